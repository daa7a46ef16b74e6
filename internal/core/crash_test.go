package core

import (
	"fmt"
	"testing"
	"time"

	"github.com/tealhall/tealhall/internal/core/quarantine"
	"github.com/tealhall/tealhall/internal/message"
	"github.com/tealhall/tealhall/internal/route"
)

// askContent feeds a read of a content and returns its number.
func (y *entryHarness) askContent(content uint64) RequestID {
	return y.arrive(route.Idempotent, Arrival{Replayable: true, Timeout: 3 * sec, Content: content, Caller: 1})
}

// breakOff ends the attempt of a request by the end of its connection; its endpoint has crashed, or not.
func (y *entryHarness) breakOff(id RequestID, n Attempt, crashed bool) {
	d, ok := y.open[id][n]
	if !ok {
		y.Fatalf("request %d has no attempt %d", id, n)
	}
	delete(y.open[id], n)
	b := y.endpoint(d.Endpoint)
	b.running, b.dead = max(0, b.running-1), crashed
	y.do(func(out *Actions) {
		y.End(y.now, End{ID: id, Attempt: n, Kind: EndLost, Broke: true, Replayable: true, Cause: "connection ended"}, out)
	})
}

// crashes has three endpoints crash under a content.
func (y *entryHarness) crashes(content uint64) {
	y.Helper()
	for range 3 {
		id := y.askContent(content)
		y.run(50 * ms)
		y.breakOff(id, 1, true)
		y.run(20 * ms)
		for n := range y.open[id] { // the repeat after the first crash
			y.answerNothing(id, n)
		}
		y.run(20 * ms)
	}
}

// answerNothing ends an attempt of which nothing is known.
func (y *entryHarness) answerNothing(id RequestID, n Attempt) {
	y.endpoint(y.open[id][n].Endpoint).running--
	delete(y.open[id], n)
	y.do(func(out *Actions) {
		y.End(y.now, End{ID: id, Attempt: n, Kind: EndLost, TimedOut: true, Replayable: true}, out)
	})
}

// Guards against a request that goes on to the next endpoint after it has crashed three: at its next
// arrival, from the queue, and right before it is written.
func TestQuarantinedRequestReachesNoEndpoint(t *testing.T) {
	y := newEntryHarness(t, idle(12, "d0")...)
	y.learn(8)
	y.crashes(7)
	before := len(y.sent)
	id := y.askContent(7)
	y.run(100 * ms)
	if got := y.told[id]; got.Outcome != OutcomeNotRun || got.Reason != ReasonQuarantined || got.RetryAfter < minRetryAfter {
		t.Errorf("told %v (%v), come back after %v", got.Outcome, got.Reason, got.RetryAfter)
	}
	other := y.askContent(8)
	y.run(20 * ms)
	if sent := len(y.sent) - before; sent != 1 || y.open[other] == nil {
		t.Errorf("%d requests were sent, want the other one", sent)
	}
}

// Guards against a request that waits in a queue, or for its connection, while others of the same content
// crash endpoints, and goes on then.
func TestRequestsThatWaitAreQuarantined(t *testing.T) {
	y := newEntryHarness(t, idle(12, "d0")...)
	y.learn(8)
	dialled := y.askContent(7)
	y.run(20 * ms)
	y.crashes(7)
	if y.MaySend(y.now, dialled, 1) {
		t.Error("what has no byte written yet may be sent")
	}
	y.do(func(out *Actions) {
		y.End(y.now, End{ID: dialled, Attempt: 1, Kind: EndNotWritten, Replayable: true}, out)
	})
	if got := y.told[dialled]; got.Outcome != OutcomeNotRun || got.Reason != ReasonQuarantined {
		t.Errorf("one that was not written: told %v (%v)", got.Outcome, got.Reason)
	}

	y = newEntryHarness(t, idle(12, "d0")...)
	y.learn(8)
	var first [3]RequestID
	for i := range first {
		first[i] = y.askContent(7)
		y.run(20 * ms)
		y.breakOff(first[i], 1, true)
		if i < 2 {
			y.run(20 * ms)
			for n := range y.open[first[i]] {
				y.answerNothing(first[i], n)
			}
			continue
		}
		for _, b := range y.endpoints { // the crash of the third is not known yet
			b.running, b.waiting = 2, 4
		}
	}
	waits := y.askContent(7)
	y.do(func(out *Actions) { y.Tick(y.now, time.Unix(0, 0), out) })
	y.run(100 * ms)
	if got := y.told[waits]; got.Outcome != OutcomeNotRun || got.Reason != ReasonQuarantined {
		t.Errorf("one that waited: told %v (%v)", got.Outcome, got.Reason)
	}
}

// Guards against endpoints that are crashed by repeats of this entry's own: after one crash under the
// same request, a request that loses its endpoint isn't sent to another.
func TestSuspectIsNotRepeated(t *testing.T) {
	y := newEntryHarness(t, idle(12, "d0")...)
	y.learn(8)
	first := y.askContent(7)
	y.run(50 * ms)
	y.breakOff(first, 1, true)
	y.run(20 * ms)
	if len(y.open[first]) != 1 {
		t.Error("a request whose endpoint crashed for the first time isn't repeated")
	}
	y.breakOff(first, 2, true)
	second := y.askContent(7)
	y.run(50 * ms)
	y.breakOff(second, 1, true)
	y.run(50 * ms)
	if got := y.told[second]; len(y.open[second]) != 0 || got.Reason != ReasonEndpointLost || got.Outcome != OutcomeUnknown {
		t.Errorf("%d attempts, told %v (%v)", len(y.open[second]), got.Outcome, got.Reason)
	}
}

// Guards against quarantine for what is no crash: endpoints that reset connections, endpoints that say
// nothing, and endpoints that had announced that they leave.
func TestOnlyCrashesCount(t *testing.T) {
	y := newEntryHarness(t, idle(12, "d0")...)
	y.learn(8)
	for i := range 20 {
		id := y.askContent(7)
		y.run(20 * ms)
		d := y.open[id][1]
		b := y.endpoint(d.Endpoint)
		b.silent = i%2 == 0
		y.breakOff(id, 1, false)
		y.run(50 * ms)
		for n := range y.open[id] {
			y.answerNothing(id, n)
		}
		y.run(3 * sec)
		b.silent = false
	}
	if y.quarantine.Suspects() != 0 || len(y.broken) != 0 {
		t.Errorf("%d suspects, %d attempts whose endpoint is still asked", y.quarantine.Suspects(), len(y.broken))
	}
}

// Guards against a crash that is missed since its endpoint had answered a question from before; and one
// whose endpoint is back at once, as another process at the same address.
func TestEarlierAnswersSayNothingOfALaterCrash(t *testing.T) {
	y := newEntryHarness(t, idle(1, "d0")...)
	y.learn(8)
	first, second := y.askContent(8), y.askContent(7)
	y.run(20 * ms)
	y.breakOff(first, 1, false)
	earlier := y.probes[len(y.probes)-1]
	y.now += ms
	y.breakOff(second, 1, false)
	y.do(func(out *Actions) { y.ProbeEnd(y.now, ProbeEnd{Probe: earlier, OK: true}, out) })
	later := y.probes[len(y.probes)-1]
	y.do(func(out *Actions) {
		y.ProbeEnd(y.now, ProbeEnd{Probe: later, OK: true, Seen: later.Incarnation + 1}, out)
	})
	if got := y.quarantine.Crashes(quarantine.Request{Content: 7, Caller: 1}); len(got) != 1 {
		t.Errorf("crashes under the second request: %+v", got)
	}
	if got := y.quarantine.Crashes(quarantine.Request{Content: 8, Caller: 1}); len(got) != 0 {
		t.Errorf("crashes under the first request: %+v", got)
	}
}

// Guards against a request that stays suspect, or in quarantine, although it runs.
func TestRunThatCompletesEndsSuspicion(t *testing.T) {
	y := newEntryHarness(t, idle(12, "d0")...)
	y.learn(8)
	long := y.askContent(7)
	y.run(20 * ms)
	y.crashes(7)
	y.answer(long, 1, 200)
	y.run(20 * ms)
	id := y.askContent(7)
	y.run(20 * ms)
	if len(y.open[id]) != 1 {
		t.Errorf("told %+v", y.told[id])
	}
	y.answer(id, 1, 200)
	if y.quarantine.Suspects() != 0 {
		t.Error("it is suspected still")
	}
	if got := y.sendRequest(route.Idempotent, 3*sec); got == 0 {
		t.Error("nothing is taken in")
	}
}

// newCrashHarness is a fleet on which one read crashes endpoints.
func newCrashHarness(t *testing.T, entries int) (r *clusterHarness, endpoints []string) {
	var listed []string
	for i := range 12 {
		endpoints = append(endpoints, fmt.Sprint("c", i+1))
		listed = append(listed, "counts/"+endpoints[i])
	}
	r = settled(t, entries, listed...)
	dead := map[string]bool{}
	r.endpoint = func(name string, a Arrival) reaction {
		switch {
		case dead[name]:
			return reaction{end: End{Kind: EndNotWritten, DialFailed: true}, ignores: true}
		case a.Content == 7:
			dead[name] = true
			return reaction{after: 30 * ms, end: End{Kind: EndLost, Broke: true}}
		}
		return reaction{after: 5 * ms}
	}
	r.refuses = func(name string) bool { return dead[name] }
	return r, endpoints
}

// Guards against a request that is new at each entry, and to one that has just started: it comes at
// every entry in turn, and once more at one that was replaced after the quarantine began.
func TestFleetKnowsWhatIsQuarantined(t *testing.T) {
	r, endpoints := newCrashHarness(t, 4)
	ask := func(i int) RequestID {
		n := r.nodes[i%len(r.nodes)]
		if n.dead {
			return 0
		}
		return r.sendRequest(n, Arrival{Service: "counts", Caller: 1, Content: 7})
	}
	for i := range 16 {
		ask(i)
		r.run(250 * ms)
	}
	crashed := 0
	for _, runs := range r.written {
		crashed += runs
	}
	if crashed > 5 {
		t.Errorf("the request reached %d endpoints", crashed)
	}
	for _, n := range r.nodes {
		if got := n.quarantine.Quarantined(r.now-n.started, nil); len(got) != 1 || got[0].Content != 7 {
			t.Errorf("%s has in quarantine: %v", n.hello.Name, got)
		}
	}
	fresh := r.start(3)
	r.run(3 * sec)
	if got := fresh.quarantine.Quarantined(r.now-fresh.started, nil); len(got) != 1 {
		t.Errorf("an entry that has started has in quarantine: %v", got)
	}
	var living []string
	for _, name := range endpoints {
		if !r.refuses(name) {
			living = append(living, "counts/"+name)
		}
	}
	r.list(2, living...)
	r.run(sec)
	id := r.sendRequest(r.nodes[0], Arrival{Service: "counts", Caller: 1, Content: 8})
	r.run(100 * ms)
	if got := r.nodes[0].replies[id]; got.Outcome != OutcomeDone {
		t.Errorf("another request: told %v (%v)", got.Outcome, got.Reason)
	}
}

// Guards against a fleet of hundreds in which some entries still send a request three seconds after it has
// crashed its third endpoint: each crash is seen by another entry.
func TestLargeFleetKnowsWhatIsQuarantined(t *testing.T) {
	t.Parallel()
	const stable = 3 * sec
	for _, n := range sizes(t) {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			t.Parallel()
			f := newLargeFleet(t, n)
			f.run(8 * sec)
			for i := range 3 {
				e := f.vms[(i*n/3+n/7)%n]
				f.do(e, func(now time.Duration, out *Actions) {
					evidence := []message.Evidence{{VM: fmt.Sprint("e", i), Incarnation: 1, Kind: message.EvidenceCrashed, Content: 7, Caller: 1, RanMillis: 60}}
					e.fleet.gossip.Spread(now, evidence)
					e.takeRequestEvidence(now, evidence, out)
				})
				if i < 2 {
					f.run(250 * ms)
				}
			}
			took := f.until(10*sec, func(e *largeEntry) bool { return len(e.quarantine.Quarantined(f.now-e.startedAt, nil)) == 1 })
			t.Logf("%d entries know after %v", n, took)
			if took > stable {
				t.Errorf("the last entry knows %v after the third crash", took)
			}
		})
	}
}

// Guards against quarantine of a request that often comes and has nothing to do with it: one endpoint after
// the other crashes, each while it runs this read, and comes back.
func TestCrashesByAnotherCauseRefuseNobody(t *testing.T) {
	const every, down, work = 700 * ms, 2 * sec, 40 * ms
	var endpoints []string
	crashAt := map[string]time.Duration{}
	for i := range 14 {
		name := fmt.Sprint("c", i+1)
		endpoints = append(endpoints, "counts/"+name)
		crashAt[name] = time.Duration(i+1) * every
	}
	r := settled(t, 4, endpoints...)
	began := r.now
	untilCrash := func(name string) time.Duration { return crashAt[name] - (r.now - began) }
	r.refuses = func(name string) bool { left := untilCrash(name); return left <= 0 && left > -down }
	r.endpoint = func(name string, _ Arrival) reaction {
		switch left := untilCrash(name); {
		case r.refuses(name):
			return reaction{end: End{Kind: EndNotWritten, DialFailed: true}, ignores: true}
		case left > 0 && left <= work:
			return reaction{after: left, end: End{Kind: EndLost, Broke: true}}
		}
		return reaction{after: work}
	}
	for i := 0; r.now < began+15*every; i++ {
		r.sendRequest(r.nodes[i%4], Arrival{Service: "counts", Caller: 1, Content: 7})
		r.run(10 * ms)
		for _, n := range r.nodes {
			if held := n.quarantine.Quarantined(r.now-n.started, nil); len(held) != 0 {
				t.Fatalf("%s has it in quarantine %v after the first crash", n.hello.Name, r.now-began-every)
			}
		}
	}
	crashes := uint64(0)
	for _, n := range r.nodes {
		crashes += n.counters.Crashes
	}
	if crashes < 5 {
		t.Errorf("only %d crashes were seen: the test shows nothing", crashes)
	}
}

// Guards against news of a failure domain that crashes, which would keep back that of endpoints that leave:
// of the requests that were there hardly one is worth a word, since it runs elsewhere a moment later.
func TestRequestsThatRunElsewhereAreNoNews(t *testing.T) {
	y := newEntryHarness(t, idle(12, "d0")...)
	y.learn(8)
	var ids []RequestID
	for i := range 6 {
		ids = append(ids, y.askContent(uint64(100+i)))
		y.run(10 * ms)
	}
	y.works = 100 * ms
	y.now += 333 * time.Microsecond // crashes don't come on whole milliseconds
	for _, id := range ids {
		y.breakOff(id, 1, true)
	}
	y.now += 667 * time.Microsecond
	y.run(sec)
	if got := y.OwnEvidenceDigest(); got != 0 {
		t.Error("the fleet is told of requests that have run since")
	}
	if got := y.quarantine.Suspects(); got != 0 {
		t.Errorf("%d are suspected", got)
	}
}

// Guards against a fleet that isn't told: a request that nobody repeats is told of after a moment, one
// whose repeat crashes the next endpoint at once.
func TestCrashesAreTold(t *testing.T) {
	y := newEntryHarness(t, idle(12, "d0")...)
	y.learn(8)
	id := y.askContent(7)
	y.run(20 * ms)
	y.breakOff(id, 1, true)
	y.run(20 * ms)
	if y.OwnEvidenceDigest() != 0 {
		t.Error("the first crash is told before its repeat had time")
	}
	y.breakOff(id, 2, true)
	y.run(20 * ms)
	both := y.OwnEvidenceDigest()
	if both == 0 {
		t.Error("a second crash isn't told at once")
	}
	once := y.arrive(route.NonIdempotent, Arrival{Timeout: 3 * sec, Content: 9, Caller: 1})
	y.run(20 * ms)
	y.breakOff(once, 1, true)
	y.run(spreadAfter + 100*ms)
	if y.OwnEvidenceDigest() == both {
		t.Error("a crash under a request that nobody repeats isn't told")
	}
}
