package core

import (
	"testing"
	"time"

	"github.com/tealhall/tealhall/internal/core/budget"
	"github.com/tealhall/tealhall/internal/route"
)

// All endpoints are full for a second. Whatever is sent there queues up, so that a
// request that comes when a slot is free finds a queue in front of it, and everybody is
// late for long after. Requests wait in the entry, and the first free slot is used at
// once.
func TestFullEndpointsGetNoQueue(t *testing.T) {
	boxes := idleEndpoints(3, "d0")
	y := newEntryHarness(t, boxes...)
	y.learnServiceTime(8)
	setLoad(boxes, 2, 1)
	var ids []RequestID
	for range 6 {
		ids = append(ids, y.sendRequest(route.Idempotent, 3*sec))
		y.run(10 * ms)
	}
	if len(y.sent) > 0 {
		t.Fatalf("sent to full endpoints: %v", y.sent)
	}
	boxes[1].running, boxes[1].waiting = 0, 0
	y.run(100 * ms)
	if len(y.sent) == 0 || y.sent[0] != boxes[1].name {
		t.Fatalf("a free slot was not used: %v", y.sent)
	}
	if y.replies[ids[0]].Reason != ReasonNone {
		t.Errorf("the first was refused: %v", y.replies[ids[0]].Reason)
	}
}

// Endpoints stay full. A caller that is kept until its deadline can't go elsewhere, and
// one that comes back at once makes it worse: it is told early, that it has not run and
// when to come back, and callers who were refused together come back apart.
func TestWhatFindsNoRoomIsToldEarly(t *testing.T) {
	boxes := idleEndpoints(3, "d0")
	y := newEntryHarness(t, boxes...)
	y.learnServiceTime(8)
	setLoad(boxes, 2, 4)
	began := y.now
	var ids []RequestID
	for range 4 {
		ids = append(ids, y.sendRequest(route.Idempotent, 3*sec))
	}
	y.run(700 * ms)
	again := map[time.Duration]bool{}
	for _, id := range ids {
		d, ok := y.replies[id]
		if !ok || d.Outcome != OutcomeNotRun || d.RetryAfter <= 0 || d.RetryAfter > sec {
			t.Fatalf("request %d after %v: %+v", id, y.now-began, d)
		}
		again[d.RetryAfter] = true
	}
	if len(again) < 3 {
		t.Errorf("callers are told the same times: %v", again)
	}
	if len(y.sent) != 0 {
		t.Errorf("sent to %v", y.sent)
	}
}

// A caller comes back after a refusal and can't be answered in time any more. While
// others still can, its request takes no slot from them, though it is the oldest.
func TestThoseInTimeGoFirst(t *testing.T) {
	boxes := idleEndpoints(2, "d0")
	y := newEntryHarness(t, boxes...)
	y.learnServiceTime(12)
	setLoad(boxes, 2, 1)
	late := y.sendRequest(route.Idempotent, 3*sec-900*ms)
	y.run(20 * ms)
	inTime := y.sendRequest(route.Idempotent, 3*sec)
	y.run(20 * ms)
	boxes[0].running, boxes[0].waiting = 1, 0
	y.run(80 * ms)
	if len(y.open[inTime]) == 0 {
		t.Error("the one in time was not sent")
	}
	if len(y.open[late]) > 0 {
		t.Error("the late one went first")
	}
}

// Endpoints turn half of what they get away while they tell that they are idle. Callers
// were told to come back after 150 to 500 ms, as if there were a queue to wait for, and most
// of those that were answered then were late. They are told to come back at once, and apart;
// where endpoints are full, the load has to ebb first.
func TestReturnAfterRefusalByWhatRefused(t *testing.T) {
	for _, c := range []struct {
		name    string
		running int
		most    time.Duration
	}{{"they have room", 0, soonMost}, {"they are full", 2, retryMost}} {
		boxes := idleEndpoints(4, "d0")
		y := newEntryHarness(t, boxes...)
		y.learnServiceTime(12)
		y.poolRows[0].repeats = budget.NewRepeats(budget.RepeatBound{Share: 1e-6, Window: 10 * sec}, 1, 0) // used up
		again := map[time.Duration]bool{}
		for range 8 {
			id := y.sendRequest(route.NonIdempotent, 3*sec)
			y.run(5 * ms)
			for _, b := range boxes {
				b.running, b.waiting = c.running, c.running
			}
			p := y.poolRows[0]
			for i := range p.Endpoints {
				p.Endpoints[i].NoteProbed(probedLoadOf(y.now, Load{Known: true, InFlight: c.running, Queued: c.running, Slots: 2, Pace: 100}))
			}
			y.do(func(out *Actions) { y.End(y.now, End{ID: id, Attempt: 1, Kind: EndNotRun, Replayable: true}, out) })
			d := y.replies[id]
			if d.Reason != ReasonEndpointsRefuse || d.RetryAfter <= 0 || d.RetryAfter > c.most || c.running > 0 && d.RetryAfter < retryLeast {
				t.Fatalf("%s: %+v", c.name, d)
			}
			again[d.RetryAfter] = true
			y.run(600 * ms)
			setLoad(boxes, 0, 0)
		}
		if len(again) < 4 {
			t.Errorf("%s: told the same times %v", c.name, again)
		}
	}
}

// setLoad lets all endpoints tell the same load.
func setLoad(boxes []*simEndpoint, running, waiting int) {
	for _, b := range boxes {
		b.running, b.waiting = running, waiting
	}
}
