package core

import (
	"testing"
	"time"

	"github.com/tealhall/tealhall/internal/route"
)

// A slot beside another request costs both most of their objective at endpoints that
// slow down when they are full. The pool learns that from its answers, and a request
// that would be late there waits for an idle endpoint.
func TestSharingIsLearned(t *testing.T) {
	for _, c := range []struct {
		name  string
		took  time.Duration
		wants bool
	}{
		{"sharing costs little", 100 * ms, true},
		{"sharing costs much", 380 * ms, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			boxes := idleEndpoints(1, "d0")
			y := newEntryHarness(t, boxes...)
			y.learnServiceTime(8)
			for range 40 {
				boxes[0].running = 1
				id := y.sendRequest(route.Idempotent, 3*sec)
				y.run(20 * ms)
				if len(y.open[id]) == 0 {
					break
				}
				y.run(c.took)
				y.answer(id, 1, 200)
			}
			boxes[0].running = 1
			id := y.sendRequest(route.Idempotent, 3*sec)
			y.run(20 * ms)
			if got := len(y.open[id]) > 0; got != c.wants {
				t.Errorf("sent beside another: %v, want %v (sharing %.2f)", got, c.wants, y.pools["p"].learned.Sharing())
			}
		})
	}
}

// The only idle endpoint runs on a VM that is five times as slow at this moment. What is
// sent there takes five times as long until its end, although the VM recovers within 150
// ms: it is late, and the slot is lost for five others. A request that can be in time, and
// one that can't any more, wait until the VM is as fast as usual.
func TestPaceAtTheStartHolds(t *testing.T) {
	for _, left := range []time.Duration{3 * sec, 2500 * ms} {
		idle, full := &simEndpoint{name: "idle", domain: "d0"}, &simEndpoint{name: "full", domain: "d0"}
		y := newEntryHarness(t, idle, full)
		y.learnServiceTime(12)
		idle.pace, full.running, full.waiting = 500, 2, 1
		id := y.sendRequest(route.Idempotent, left)
		y.run(70 * ms)
		if len(y.sent) != 0 {
			t.Errorf("with %v left sent to %v", left, y.sent)
		}
		idle.pace = 100
		y.run(70 * ms)
		if d, open := y.open[id][1]; !open || d.Endpoint != "idle" {
			t.Errorf("with %v left not sent once the VM was well: %+v", left, y.replies[id])
		}
	}
}

// Requests of two services share endpoints; one kind takes four times as long as the
// other. Both slots of an endpoint are taken. A short request that goes by its own time
// believes that a slot is free in a moment; it waits there behind a long one and is late.
// It waits in the entry instead, and takes the slot that frees up first anywhere.
func TestNoWaitBehindLongRequests(t *testing.T) {
	boxes := idleEndpoints(2, "d0")
	y := newEntryHarness(t, boxes...)
	y.learnServiceTime(12)
	for range 12 {
		id := y.sendRequest(route.NonIdempotent, 3*sec)
		y.run(600 * ms)
		y.answer(id, 1, 200)
	}
	y.sent = nil
	for _, b := range boxes {
		b.running = 2
	}
	short := y.sendRequest(route.Idempotent, 3*sec)
	y.run(50 * ms)
	if len(y.sent) != 0 {
		t.Fatalf("sent to a full endpoint: %v", y.sent)
	}
	boxes[1].running = 0
	y.run(60 * ms)
	if d := y.open[short][1]; d.Endpoint != boxes[1].name {
		t.Errorf("the free slot was not used: %+v", y.replies[short])
	}
}
