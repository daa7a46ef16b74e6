package core

import (
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/tealhall/tealhall/internal/message"
	"github.com/tealhall/tealhall/internal/profile"
	"github.com/tealhall/tealhall/internal/route"
	"pgregory.net/rapid"
)

// A read would wait beside others, or at a VM that neighbours have slowed down, while
// an idle endpoint stands by. Reports with earlier answers are older than the state of
// a VM lasts; only a look right before the request is sent tells.
func TestChoiceByLook(t *testing.T) {
	for _, c := range []struct {
		name  string
		boxes []*box
		kind  route.Kind
		want  string
	}{
		{"the idle one", []*box{{name: "a", domain: "d0", running: 2}, {name: "b", domain: "d0"}, {name: "c", domain: "d0", running: 1}}, route.Idempotent, "b"},
		{"the one of usual pace", []*box{{name: "a", domain: "d0", pace: 500}, {name: "b", domain: "d0"}, {name: "c", domain: "d0", pace: 500}}, route.Idempotent, "b"},
		{"one slot taken beats both", []*box{{name: "a", domain: "d0", running: 2}, {name: "b", domain: "d0", running: 1}}, route.Idempotent, "b"},
		{"one that says nothing is left", []*box{{name: "a", domain: "d0", silent: true}, {name: "b", domain: "d0"}}, route.NonIdempotent, "b"},
		{"another endpoint at the address", []*box{{name: "a", domain: "d0", misdirected: true}, {name: "b", domain: "d0", running: 1}}, route.Idempotent, "b"},
		{"another domain when the own is full", []*box{{name: "a", domain: "d0", running: 2}, {name: "b", domain: "d0", running: 2},
			{name: "c", domain: "d0", running: 2}, {name: "d", domain: "d1"}}, route.Idempotent, "d"},
		{"nobody answers: somebody is tried", []*box{{name: "a", domain: "d0", silent: true}}, route.Idempotent, "a"},
	} {
		t.Run(c.name, func(t *testing.T) {
			y := newYard(t, c.boxes...)
			y.ask(c.kind, 3*sec)
			y.run(60 * ms)
			if !slices.Equal(y.sent, []string{c.want}) {
				t.Errorf("sent to %v, want %s", y.sent, c.want)
			}
		})
	}
}

// All endpoints are full for a second. Whatever is sent there queues up, so that a
// request that comes when a slot is free finds a queue in front of it, and everybody is
// late for long after. Requests wait in the entry, and the first free slot is used at
// once.
func TestFullEndpointsGetNoQueue(t *testing.T) {
	boxes := idle(3, "d0")
	y := newYard(t, boxes...)
	y.learn(8)
	for _, b := range boxes {
		b.running, b.waiting = 2, 1
	}
	var ids []RequestID
	for range 6 {
		ids = append(ids, y.ask(route.Idempotent, 3*sec))
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
	if y.told[ids[0]].Reason != ReasonNone {
		t.Errorf("the first was refused: %v", y.told[ids[0]].Reason)
	}
}

// Endpoints stay full. A caller that is kept until its deadline can't go elsewhere, and
// one that comes back at once makes it worse: it is told early, that it has not run and
// when to come back, and callers who were refused together come back apart.
func TestWhatFindsNoRoomIsToldEarly(t *testing.T) {
	boxes := idle(3, "d0")
	y := newYard(t, boxes...)
	y.learn(8)
	for _, b := range boxes {
		b.running, b.waiting = 2, 4
	}
	began := y.now
	var ids []RequestID
	for range 4 {
		ids = append(ids, y.ask(route.Idempotent, 3*sec))
	}
	y.run(700 * ms)
	again := map[time.Duration]bool{}
	for _, id := range ids {
		d, ok := y.told[id]
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
	boxes := idle(2, "d0")
	y := newYard(t, boxes...)
	y.learn(12)
	for _, b := range boxes {
		b.running, b.waiting = 2, 1
	}
	late := y.ask(route.Idempotent, 3*sec-900*ms)
	y.run(20 * ms)
	inTime := y.ask(route.Idempotent, 3*sec)
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

// An endpoint loses a read, or its VM turns slow under way. The caller would wait until
// its deadline, while an idle endpoint could answer within the objective. A second
// attempt goes out in time, never for a request that may run only once, and not to an
// endpoint that is at work.
func TestSecondAttempt(t *testing.T) {
	for _, c := range []struct {
		name   string
		kind   route.Kind
		happen func(first *box, others []*box)
		want   int
	}{
		{"the VM turned slow", route.Idempotent, func(first *box, _ []*box) { first.pace = 500 }, 2},
		{"the request was lost", route.Idempotent, func(first *box, _ []*box) { first.running = 0 }, 2},
		{"the endpoint went silent", route.Idempotent, func(first *box, _ []*box) { first.silent = true }, 2},
		{"a booking runs once", route.NonIdempotent, func(first *box, _ []*box) { first.pace = 500 }, 1},
		{"nobody is idle", route.Idempotent, func(first *box, others []*box) {
			first.pace = 500
			for _, b := range others {
				b.running = 1
			}
		}, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			boxes := idle(4, "d0")
			y := newYard(t, boxes...)
			y.learn(12)
			id := y.ask(c.kind, 3*sec)
			y.run(20 * ms)
			first := y.box(y.open[id][1].Endpoint)
			others := slices.DeleteFunc(slices.Clone(boxes), func(b *box) bool { return b == first })
			c.happen(first, others)
			y.run(320 * ms)
			if len(y.sent) != c.want || c.want == 2 && y.sent[1] == first.name {
				t.Errorf("sent to %v, want %d attempts", y.sent, c.want)
			}
		})
	}
}

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
			boxes := idle(1, "d0")
			y := newYard(t, boxes...)
			y.learn(8)
			for range 40 {
				boxes[0].running = 1
				id := y.ask(route.Idempotent, 3*sec)
				y.run(20 * ms)
				if len(y.open[id]) == 0 {
					break
				}
				y.run(c.took)
				y.answer(id, 1, 200)
			}
			boxes[0].running = 1
			id := y.ask(route.Idempotent, 3*sec)
			y.run(20 * ms)
			if got := len(y.open[id]) > 0; got != c.wants {
				t.Errorf("sent beside another: %v, want %v (sharing %.2f)", got, c.wants, y.pools["p"].sharing)
			}
		})
	}
}

// An endpoint that fails half its requests while it says that it is well, or answers for
// another one at its address, is chosen last, and again soon after it is well.
func TestOutcomesCountMoreThanStatements(t *testing.T) {
	boxes := idle(2, "d0")
	y := newYard(t, boxes...)
	y.learn(8)
	e := &y.pools["p"].Endpoints[y.pools["p"].find("d0-0", 1)]
	for range 4 {
		noteOutcome(y.now, e, true)
	}
	for range 8 {
		id := y.ask(route.Idempotent, 3*sec)
		y.run(50 * ms)
		if got := y.open[id][1].Endpoint; got != "d0-1" {
			t.Fatalf("sent to %s, which fails", got)
		}
		y.answer(id, 1, 200)
	}
	y.run(20 * sec)
	seen := map[string]bool{}
	for range 20 {
		id := y.ask(route.Idempotent, 3*sec)
		y.run(50 * ms)
		seen[y.open[id][1].Endpoint] = true
		y.answer(id, 1, 200)
	}
	if !seen["d0-0"] {
		t.Error("it is never tried again")
	}
}

// The endpoints of a service tell no load. Looks are worth nothing there and are given
// up; requests are sent by what the entry itself has under way.
func TestEndpointsThatTellNoLoad(t *testing.T) {
	y := newYard(t, idle(3, "d0")...)
	y.pools["p"].loadless = loadlessLooks
	id := y.ask(route.Idempotent, 3*sec)
	y.run(10 * ms)
	if len(y.open[id]) != 1 || len(y.looked) != 0 {
		t.Errorf("attempts %v, looks %v", y.open[id], y.looked)
	}
}

// Operators split a route to try a release. Over any 200 requests the parts must have
// their shares, whatever the weights, and also when the split is published again.
func TestSplitKeepsItsShares(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		y := newYard(t, idle(1, "d0")...)
		a, b := rapid.IntRange(1, 99).Draw(rt, "a"), rapid.IntRange(1, 99).Draw(rt, "b")
		d := yardRoutes(route.Part{Service: "p", Weight: a}, route.Part{Service: "q", Weight: b})
		y.publish(2, d)
		var got []string
		for i := range 600 {
			if i == 300 {
				d.Limits.BodyBytes = 1 // another revision, the same split
				y.publish(3, d)
			}
			got = append(got, y.AdmitRoute("a", "/idempotent/x").Service)
		}
		for from := 0; from+200 <= len(got); from += 50 {
			n := 0
			for _, name := range got[from : from+200] {
				if name == "idempotent/p" {
					n++
				}
			}
			share, want := float64(n)/200, float64(a)/float64(a+b)
			if share < want-0.02 || share > want+0.02 {
				rt.Fatalf("share %.3f, want %.3f", share, want)
			}
		}
	})
}

// A booking's body takes long to arrive, and meanwhile its route moves to another
// service. The request stays with what was in force when its head arrived; a new one
// follows the new routes, and one whose route is gone is told so.
func TestRequestKeepsItsRoute(t *testing.T) {
	y := newYard(t, idle(2, "d0")...)
	before := y.AdmitRoute("a", "/non_idempotent/x")
	d := yardRoutes(route.Part{Service: "q", Weight: 1})
	d.Routes = d.Routes[:2]
	y.publish(2, d)
	y.nextID++
	id := y.nextID
	y.do(func(out *Actions) {
		y.Arrive(y.now, Arrival{ID: id, Service: before.Service, Admission: before, Replayable: true, CallerAttempt: 1}, out)
	})
	y.run(20 * ms)
	if len(y.open[id]) != 1 {
		t.Errorf("the older request was not sent: %+v", y.told[id])
	}
	if after := y.AdmitRoute("a", "/non_idempotent/x"); after.Reason != ReasonNone {
		t.Errorf("new request: %v", after.Reason)
	}
	if gone := y.AdmitRoute("a", "/upload/x"); gone.Reason != ReasonUnknownService {
		t.Errorf("dropped route: %v", gone.Reason)
	}
	if none := New(DefaultConfig(y.cfg.Self), y.rng).AdmitRoute("a", "/"); none.Reason != ReasonStarting {
		t.Errorf("before the first routes: %v", none.Reason)
	}
}

// An entry has just started, and the first endpoint that it sends a read to loses it.
// A budget that successes earn is empty then; the read would fail although an idle
// endpoint stands by and the fleet is far within its bound.
func TestFirstRequestsOfAProcessAreRepeated(t *testing.T) {
	y := newYard(t, idle(3, "d0")...)
	id := y.ask(route.Idempotent, 3*sec)
	y.run(20 * ms)
	y.do(func(out *Actions) { y.End(y.now, End{ID: id, Attempt: 1, Kind: EndLost, Replayable: true}, out) })
	delete(y.open[id], 1)
	y.run(20 * ms)
	if len(y.open[id]) != 1 {
		t.Errorf("not repeated: %+v", y.told[id])
	}
}

// Neighbours slow a VM down for a moment, and another VM stays slow for minutes. A look
// tells the same of both. What goes to the second one is late or runs into its timeout;
// several looks in a row tell the two apart, and the VM is used again once it is well.
func TestVMThatStaysSlow(t *testing.T) {
	slow, fast := &box{name: "slow", domain: "d0", pace: 1200}, &box{name: "fast", domain: "d0"}
	y := newYard(t, slow, fast)
	y.learn(12)
	for range 6 {
		id := y.ask(route.Idempotent, 3*sec)
		y.run(200 * ms)
		y.answer(id, 1, 200)
	}
	y.sent = nil
	fast.running, fast.waiting = 2, 1
	y.ask(route.NonIdempotent, 3*sec)
	y.run(60 * ms)
	if len(y.sent) != 0 {
		t.Errorf("sent to %v", y.sent)
	}
	slow.pace = 100
	y.run(3 * sec)
	y.ask(route.NonIdempotent, 3*sec)
	y.run(60 * ms)
	if !slices.Contains(y.sent, "slow") {
		t.Errorf("it is well and gets nothing: %v", y.sent)
	}
}

// The only idle endpoint runs on a VM that is five times as slow at this moment. What is
// sent there takes five times as long until its end, although the VM recovers within 150
// ms: it is late, and the slot is lost for five others. A request that can be in time, and
// one that can't any more, wait until the VM is as fast as usual.
func TestPaceAtTheStartHolds(t *testing.T) {
	for _, left := range []time.Duration{3 * sec, 2500 * ms} {
		idle, full := &box{name: "idle", domain: "d0"}, &box{name: "full", domain: "d0"}
		y := newYard(t, idle, full)
		y.learn(12)
		idle.pace, full.running, full.waiting = 500, 2, 1
		id := y.ask(route.Idempotent, left)
		y.run(70 * ms)
		if len(y.sent) != 0 {
			t.Errorf("with %v left sent to %v", left, y.sent)
		}
		idle.pace = 100
		y.run(70 * ms)
		if d, open := y.open[id][1]; !open || d.Endpoint != "idle" {
			t.Errorf("with %v left not sent once the VM was well: %+v", left, y.told[id])
		}
	}
}

// Requests of two services share endpoints; one kind takes four times as long as the
// other. Both slots of an endpoint are taken. A short request that goes by its own time
// believes that a slot is free in a moment; it waits there behind a long one and is late.
// It waits in the entry instead, and takes the slot that frees up first anywhere.
func TestNoWaitBehindLongRequests(t *testing.T) {
	boxes := idle(2, "d0")
	y := newYard(t, boxes...)
	y.learn(12)
	for range 12 {
		id := y.ask(route.NonIdempotent, 3*sec)
		y.run(600 * ms)
		y.answer(id, 1, 200)
	}
	y.sent = nil
	for _, b := range boxes {
		b.running = 2
	}
	short := y.ask(route.Idempotent, 3*sec)
	y.run(50 * ms)
	if len(y.sent) != 0 {
		t.Fatalf("sent to a full endpoint: %v", y.sent)
	}
	boxes[1].running = 0
	y.run(60 * ms)
	if d := y.open[short][1]; d.Endpoint != boxes[1].name {
		t.Errorf("the free slot was not used: %+v", y.told[short])
	}
}

// The VM of an endpoint turns slow after a request has begun there. The request goes on
// at the pace at which it began, so that a second attempt for it would only take a slot.
// One that began at a slow pace, unseen, is overdue at twice its time.
func TestRunningRequestKeepsItsPace(t *testing.T) {
	boxes := idle(3, "d0")
	y := newYard(t, boxes...)
	y.learn(12)
	y.ask(route.Idempotent, 3*sec)
	y.run(20 * ms)
	y.box(y.sent[0]).pace = 500
	y.run(130 * ms)
	if len(y.sent) != 1 {
		t.Errorf("a second attempt at 1.5 times the usual work: %v", y.sent)
	}
	y.run(100 * ms)
	if len(y.sent) != 2 {
		t.Errorf("no second attempt at 2.5 times the usual work: %v", y.sent)
	}
}

// Entries that look before each choice have no use for what others saw. Told nevertheless,
// it was half of all that entries sent each other.
func TestNoSightingsWhereEndpointsAreLookedAt(t *testing.T) {
	y := newYard(t, idle(3, "d0")...)
	peer := message.Hello{Name: "other", Incarnation: 2, Region: "r", Domain: "d1", CallerAddress: "10.0.0.2:80", PeerAddress: "10.0.0.2:81"}
	y.do(func(out *Actions) { y.Introduce(y.now, peer, out) })
	y.learn(20)
	if len(y.updates) == 0 {
		t.Fatal("the peer was told nothing")
	}
	for _, u := range y.updates {
		if len(u.Update.Sightings) > 0 {
			t.Fatalf("told of %+v", u.Update.Sightings)
		}
	}
}

// Uploads of 60 KB come into a failure domain with one endpoint, which is busy for a
// moment; endpoints of other domains are idle. Sent there at once, nine of ten bytes
// between domains were such uploads. They wait for the endpoint nearby as long as a
// kilobyte is worth and they are in time, beside others that need not wait; then they go.
func TestUploadsWaitForTheirOwnDomain(t *testing.T) {
	near, far := &box{name: "near", domain: "d0"}, idle(3, "d1")
	y := newYard(t, append([]*box{near}, far...)...)
	y.learn(12)
	for range 8 {
		id := y.ask(route.Upload, 3*sec)
		y.run(100 * ms)
		y.answer(id, 1, 200)
	}
	for _, sv := range y.serviceRows {
		if sv.policy.Kind == profile.Bulk {
			sv.kilobytes = 60
		}
	}
	y.sent = nil
	near.running, near.waiting = 2, 1
	first := y.ask(route.Upload, 3*sec)
	read := y.ask(route.Idempotent, 3*sec)
	y.run(60 * ms)
	if len(y.open[first]) > 0 {
		t.Fatalf("the upload went to %v at once", y.sent)
	}
	if y.open[read][1].Endpoint == "" {
		t.Error("the read behind it had to wait")
	}
	near.running, near.waiting = 0, 0
	y.run(40 * ms)
	if got := y.open[first][1].Endpoint; got != "near" {
		t.Errorf("the upload went to %q", got)
	}
	near.running, near.waiting = 2, 1
	second := y.ask(route.Upload, 3*sec)
	y.run(160 * ms)
	if got := y.open[second][1].Endpoint; !strings.HasPrefix(got, "d1") {
		t.Errorf("after 160 ms the upload is at %q, %+v", got, y.told[second])
	}
}

// All slots are taken, a request waits in the entry, and its next round of looks is 30 ms
// away. Slots free up, and a look after a running request, which needs no second attempt,
// tells of them. Left until the next round, they are found by another entry; the request
// that waits gets one at once.
func TestFreeSlotThatALookFoundIsUsed(t *testing.T) {
	boxes := idle(4, "d0")
	y := newYard(t, boxes...)
	y.learn(12)
	running := y.ask(route.Idempotent, 3*sec)
	y.run(10 * ms)
	for _, b := range boxes {
		b.running, b.waiting = 2, 1
	}
	y.run(104 * ms)
	waits := y.ask(route.NonIdempotent, 3*sec)
	for range 10 {
		if y.run(ms); y.waiting() > 0 {
			break
		}
	}
	for _, b := range boxes {
		if b.name != y.open[running][1].Endpoint {
			b.running, b.waiting = 0, 0
		}
	}
	again := y.poolRows[0].lookAgain
	y.run(again - 2*ms - y.now)
	if len(y.open[running]) != 1 {
		t.Fatalf("a second attempt: %v", y.sent)
	}
	if y.open[waits][1].Endpoint == "" {
		t.Errorf("it waits on %v after slots were seen free: looked at %v", y.now, y.looked)
	}
}

// waiting is how many requests wait for the only pool.
func (y *yard) waiting() int { return y.poolRows[0].queue.Len() }

// Two of six VMs stay slow for minutes. An entry that goes on asking them spends a third of
// its looks on them, and with the bound on looks the busy seconds are without any. They
// are asked now and then only, and once they are well they get work again. A VM that is
// slow for one moment, in which it is asked three times, is not taken for one of them.
func TestVMsThatStaySlowAreAskedRarely(t *testing.T) {
	boxes := idle(6, "d0")
	y := newYard(t, boxes...)
	y.learn(12)
	boxes[0].pace, boxes[1].pace = 1200, 1200
	work := func(n int) (looks int) {
		y.looked, y.sent = nil, nil
		for range n {
			id := y.ask(route.Idempotent, 3*sec)
			y.run(100 * ms)
			y.answer(id, 1, 200)
		}
		for _, name := range y.looked {
			if name == boxes[0].name || name == boxes[1].name {
				looks++
			}
		}
		return looks
	}
	work(20)
	if looks := work(50); looks > 15 {
		t.Errorf("%d of %d looks at VMs that stay slow", looks, len(y.looked))
	}
	boxes[0].pace, boxes[1].pace = 100, 100
	work(40)
	if work(40); !slices.Contains(y.sent, boxes[0].name) || !slices.Contains(y.sent, boxes[1].name) {
		t.Errorf("they are well and get nothing: %v", y.sent)
	}
	boxes[2].pace = 500
	e := &y.poolRows[0].Endpoints[2]
	for range 4 {
		y.ask(route.NonIdempotent, 3*sec)
		y.run(20 * ms)
	}
	if got := e.Paces.Lasting(y.now); got != 1 {
		t.Errorf("slow for 80 ms, taken to stay %v times as slow", got)
	}
}
