package core

import (
	"fmt"
	"testing"
	"time"

	"github.com/tealhall/tealhall/internal/core/quarantine"
	"github.com/tealhall/tealhall/internal/message"
	"github.com/tealhall/tealhall/internal/route"
)

// sendContent sends a read with the given content and returns its number.
func (h *entryHarness) sendContent(content uint64) RequestID {
	return h.arrive(route.Idempotent, Arrival{Replayable: true, Timeout: 3 * sec, Content: content, Caller: 1})
}

// breakConnection ends the attempt of a request with a broken connection; crashed says whether its
// endpoint has crashed.
func (h *entryHarness) breakConnection(id RequestID, n Attempt, crashed bool) {
	d, ok := h.open[id][n]
	if !ok {
		h.Fatalf("request %d has no attempt %d", id, n)
	}
	delete(h.open[id], n)
	ep := h.endpoint(d.Endpoint)
	ep.running, ep.dead = max(0, ep.running-1), crashed
	h.do(func(out *Actions) {
		h.End(h.now, End{ID: id, Attempt: n, Kind: EndLost, ConnBroken: true, Replayable: true, Cause: "connection ended"}, out)
	})
}

// crashThreeEndpoints makes three endpoints crash while they run a request of the given content.
func (h *entryHarness) crashThreeEndpoints(content uint64) {
	h.Helper()
	for range 3 {
		id := h.sendContent(content)
		h.run(50 * ms)
		h.breakConnection(id, 1, true)
		h.run(20 * ms)
		for n := range h.open[id] { // repeats of the request after the first crash
			h.timeOut(id, n)
		}
		h.run(20 * ms)
	}
}

// timeOut ends an attempt that timed out without an answer.
func (h *entryHarness) timeOut(id RequestID, n Attempt) {
	h.endpoint(h.open[id][n].Endpoint).running--
	delete(h.open[id], n)
	h.do(func(out *Actions) {
		h.End(h.now, End{ID: id, Attempt: n, Kind: EndLost, TimedOut: true, Replayable: true}, out)
	})
}

// Guards against a request that is sent to another endpoint after it has crashed three endpoints:
// it must be refused at its next arrival.
func TestQuarantinedRequestReachesNoEndpoint(t *testing.T) {
	h := newEntryHarness(t, idleEndpoints(12, "d0")...)
	h.learnServiceTime(8)
	h.crashThreeEndpoints(7)
	before := len(h.sent)
	id := h.sendContent(7)
	h.run(100 * ms)
	if got := h.replies[id]; got.Outcome != OutcomeNotRun || got.Reason != ReasonQuarantined || got.RetryAfter < minRetryAfter {
		t.Errorf("outcome %v (%v), retry after %v", got.Outcome, got.Reason, got.RetryAfter)
	}
	other := h.sendContent(8)
	h.run(20 * ms)
	if sent := len(h.sent) - before; sent != 1 || h.open[other] == nil {
		t.Errorf("%d requests were sent, want only the request with the other content", sent)
	}
}

// Guards against a request that is sent although requests of the same content have crashed
// endpoints while it waited in the queue or for its connection.
func TestWaitingRequestsAreQuarantined(t *testing.T) {
	h := newEntryHarness(t, idleEndpoints(12, "d0")...)
	h.learnServiceTime(8)
	dialled := h.sendContent(7)
	h.run(20 * ms)
	h.crashThreeEndpoints(7)
	if h.MaySend(h.now, dialled, 1) {
		t.Error("an attempt without a byte written may still be sent")
	}
	h.do(func(out *Actions) {
		h.End(h.now, End{ID: dialled, Attempt: 1, Kind: EndNotWritten, Replayable: true}, out)
	})
	if got := h.replies[dialled]; got.Outcome != OutcomeNotRun || got.Reason != ReasonQuarantined {
		t.Errorf("request that was not written: outcome %v (%v)", got.Outcome, got.Reason)
	}

	h = newEntryHarness(t, idleEndpoints(12, "d0")...)
	h.learnServiceTime(8)
	var first [3]RequestID
	for i := range first {
		first[i] = h.sendContent(7)
		h.run(20 * ms)
		h.breakConnection(first[i], 1, true)
		if i < 2 {
			h.run(20 * ms)
			for n := range h.open[first[i]] {
				h.timeOut(first[i], n)
			}
			continue
		}
		for _, ep := range h.endpoints { // the third crash is not confirmed yet
			ep.running, ep.waiting = 2, 4
		}
	}
	waiting := h.sendContent(7)
	h.do(func(out *Actions) { h.Tick(h.now, time.Unix(0, 0), out) })
	h.run(100 * ms)
	if got := h.replies[waiting]; got.Outcome != OutcomeNotRun || got.Reason != ReasonQuarantined {
		t.Errorf("request that waited: outcome %v (%v)", got.Outcome, got.Reason)
	}
}

// Guards against repeats that crash further endpoints: after one crash under the same content, a
// request that loses its endpoint is not sent to another one.
func TestSuspectedRequestIsNotRepeated(t *testing.T) {
	h := newEntryHarness(t, idleEndpoints(12, "d0")...)
	h.learnServiceTime(8)
	first := h.sendContent(7)
	h.run(50 * ms)
	h.breakConnection(first, 1, true)
	h.run(20 * ms)
	if len(h.open[first]) != 1 {
		t.Error("a request whose endpoint crashed for the first time is not repeated")
	}
	h.breakConnection(first, 2, true)
	second := h.sendContent(7)
	h.run(50 * ms)
	h.breakConnection(second, 1, true)
	h.run(50 * ms)
	if got := h.replies[second]; len(h.open[second]) != 0 || got.Reason != ReasonEndpointLost || got.Outcome != OutcomeUnknown {
		t.Errorf("%d attempts, outcome %v (%v)", len(h.open[second]), got.Outcome, got.Reason)
	}
}

// Guards against quarantine without a crash, after endpoints have reset connections or have not
// answered.
func TestOnlyCrashesLeadToQuarantine(t *testing.T) {
	h := newEntryHarness(t, idleEndpoints(12, "d0")...)
	h.learnServiceTime(8)
	for i := range 20 {
		id := h.sendContent(7)
		h.run(20 * ms)
		d := h.open[id][1]
		ep := h.endpoint(d.Endpoint)
		ep.silent = i%2 == 0
		h.breakConnection(id, 1, false)
		h.run(50 * ms)
		for n := range h.open[id] {
			h.timeOut(id, n)
		}
		h.run(3 * sec)
		ep.silent = false
	}
	if h.quarantine.Suspects() != 0 || len(h.brokenAttempts) != 0 {
		t.Errorf("%d suspects, %d attempts whose endpoint is still probed", h.quarantine.Suspects(), len(h.brokenAttempts))
	}
}

// Guards against a crash that is missed because the endpoint had answered an earlier probe, or
// because another process answers at the same address right after the crash.
func TestEarlierProbeDoesNotHideLaterCrash(t *testing.T) {
	h := newEntryHarness(t, idleEndpoints(1, "d0")...)
	h.learnServiceTime(8)
	first, second := h.sendContent(8), h.sendContent(7)
	h.run(20 * ms)
	h.breakConnection(first, 1, false)
	earlier := h.probes[len(h.probes)-1]
	h.now += ms
	h.breakConnection(second, 1, false)
	h.do(func(out *Actions) { h.ProbeEnd(h.now, ProbeEnd{Probe: earlier, OK: true}, out) })
	later := h.probes[len(h.probes)-1]
	h.do(func(out *Actions) {
		h.ProbeEnd(h.now, ProbeEnd{Probe: later, OK: true, Incarnation: later.Incarnation + 1}, out)
	})
	if got := h.quarantine.Crashes(quarantine.Request{Content: 7, Caller: 1}); len(got) != 1 {
		t.Errorf("crashes under the second request: %+v", got)
	}
	if got := h.quarantine.Crashes(quarantine.Request{Content: 8, Caller: 1}); len(got) != 0 {
		t.Errorf("crashes under the first request: %+v", got)
	}
}

// Guards against a request that stays suspected or in quarantine although a run of it completes.
func TestCompletedRunEndsSuspicion(t *testing.T) {
	h := newEntryHarness(t, idleEndpoints(12, "d0")...)
	h.learnServiceTime(8)
	long := h.sendContent(7)
	h.run(20 * ms)
	h.crashThreeEndpoints(7)
	h.answer(long, 1, 200)
	h.run(20 * ms)
	id := h.sendContent(7)
	h.run(20 * ms)
	if len(h.open[id]) != 1 {
		t.Errorf("the request was not sent: reply %+v", h.replies[id])
	}
	h.answer(id, 1, 200)
	if h.quarantine.Suspects() != 0 {
		t.Error("the request is still suspected after it completed")
	}
	if got := h.sendRequest(route.Idempotent, 3*sec); got == 0 {
		t.Error("no further request is admitted")
	}
}

// newCrashHarness returns a fleet whose endpoints crash under reads with content 7.
func newCrashHarness(t *testing.T, entries int) (h *clusterHarness, endpoints []string) {
	var listed []string
	for i := range 12 {
		endpoints = append(endpoints, fmt.Sprint("c", i+1))
		listed = append(listed, "counts/"+endpoints[i])
	}
	h = newServingCluster(t, entries, listed...)
	dead := map[string]bool{}
	h.endpoint = func(name string, a Arrival) reaction {
		switch {
		case dead[name]:
			return reaction{end: End{Kind: EndNotWritten, DialFailed: true}, ignores: true}
		case a.Content == 7:
			dead[name] = true
			return reaction{after: 30 * ms, end: End{Kind: EndLost, ConnBroken: true}}
		}
		return reaction{after: 5 * ms}
	}
	h.refuses = func(name string) bool { return dead[name] }
	return h, endpoints
}

// Guards against a quarantine that stays unknown to some entries. The request arrives at every
// entry in turn; an entry that starts after the quarantine began must learn of it as well.
func TestQuarantineSpreadsToFleet(t *testing.T) {
	h, endpoints := newCrashHarness(t, 4)
	ask := func(i int) RequestID {
		n := h.nodes[i%len(h.nodes)]
		if n.dead {
			return 0
		}
		return h.sendRequest(n, Arrival{Service: "counts", Caller: 1, Content: 7})
	}
	for i := range 16 {
		ask(i)
		h.run(250 * ms)
	}
	crashed := 0
	for _, runs := range h.written {
		crashed += runs
	}
	if crashed > 5 {
		t.Errorf("the request reached %d endpoints", crashed)
	}
	for _, n := range h.nodes {
		if got := n.quarantine.Quarantined(h.now-n.started, nil); len(got) != 1 || got[0].Content != 7 {
			t.Errorf("%s has in quarantine: %v", n.hello.Name, got)
		}
	}
	fresh := h.start(3)
	h.run(3 * sec)
	if got := fresh.quarantine.Quarantined(h.now-fresh.started, nil); len(got) != 1 {
		t.Errorf("started entry has in quarantine: %v", got)
	}
	var living []string
	for _, name := range endpoints {
		if !h.refuses(name) {
			living = append(living, "counts/"+name)
		}
	}
	h.publishVMs(2, living...)
	h.run(sec)
	id := h.sendRequest(h.nodes[0], Arrival{Service: "counts", Caller: 1, Content: 8})
	h.run(100 * ms)
	if got := h.nodes[0].replies[id]; got.Outcome != OutcomeDone {
		t.Errorf("another request: outcome %v (%v)", got.Outcome, got.Reason)
	}
}

// Guards against a fleet of hundreds of entries in which some still send a request three seconds
// after it has crashed its third endpoint, when each crash is seen by another entry.
func TestQuarantineSpreadsToLargeFleet(t *testing.T) {
	t.Parallel()
	const stable = 3 * sec
	for _, n := range fleetSizes(t) {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			t.Parallel()
			f := newLargeFleet(t, n)
			f.run(8 * sec)
			for i := range 3 {
				e := f.vms[(i*n/3+n/7)%n]
				f.do(e, func(now time.Duration, out *Actions) {
					evidence := []message.Evidence{{VM: fmt.Sprint("e", i), Incarnation: 1, Kind: message.EvidenceCrashed, Content: 7, Caller: 1, RanMillis: 60}}
					e.fleet.gossip.Spread(now, evidence)
					e.processRequestEvidence(now, evidence, out)
				})
				if i < 2 {
					f.run(250 * ms)
				}
			}
			took := f.until(10*sec, func(e *largeEntry) bool { return len(e.quarantine.Quarantined(f.now-e.startedAt, nil)) == 1 })
			t.Logf("%d entries know of the quarantine after %v", n, took)
			if took > stable {
				t.Errorf("the last entry knows of the quarantine %v after the third crash", took)
			}
		})
	}
}

// Guards against quarantine of a frequent read that does not cause the crashes: one endpoint after
// another crashes for another reason while it runs this read, and restarts.
func TestUnrelatedCrashesDoNotQuarantine(t *testing.T) {
	const every, down, work = 700 * ms, 2 * sec, 40 * ms
	var endpoints []string
	crashAt := map[string]time.Duration{}
	for i := range 28 {
		name := fmt.Sprint("c", i+1)
		endpoints = append(endpoints, "counts/"+name)
		crashAt[name] = time.Duration(i+1) * every
	}
	h := newServingCluster(t, 4, endpoints...)
	began := h.now
	untilCrash := func(name string) time.Duration { return crashAt[name] - (h.now - began) }
	h.refuses = func(name string) bool { left := untilCrash(name); return left <= 0 && left > -down }
	broken := uint64(0)
	h.endpoint = func(name string, _ Arrival) reaction {
		switch left := untilCrash(name); {
		case h.refuses(name):
			return reaction{end: End{Kind: EndNotWritten, DialFailed: true}, ignores: true}
		case left > 0 && left <= work:
			broken++
			return reaction{after: left, end: End{Kind: EndLost, ConnBroken: true}}
		}
		return reaction{after: work}
	}
	for i := 0; h.now < began+29*every; i++ {
		h.sendRequest(h.nodes[i%4], Arrival{Service: "counts", Caller: 1, Content: 7})
		h.run(10 * ms)
		for _, n := range h.nodes {
			if quarantined := n.quarantine.Quarantined(h.now-n.started, nil); len(quarantined) != 0 {
				t.Fatalf("%s has the request in quarantine %v after the first crash", n.hello.Name, h.now-began-every)
			}
		}
	}
	crashes := uint64(0)
	for _, n := range h.nodes {
		crashes += n.counters.Crashes
	}
	if crashes < 5 {
		t.Errorf("only %d crashes were seen, too few for this test", crashes)
	}
	if crashes != broken {
		t.Errorf("%d crashes were seen, %d runs were broken by one", crashes, broken)
	}
}

// Guards against a flood of evidence when a failure domain crashes, which would delay the evidence
// of endpoints that leave. Hardly any of the requests that ran there needs evidence, since each
// completes elsewhere a moment later.
func TestCrashesOfCompletedRequestsAreNotSpread(t *testing.T) {
	h := newEntryHarness(t, idleEndpoints(12, "d0")...)
	h.learnServiceTime(8)
	var ids []RequestID
	for i := range 6 {
		ids = append(ids, h.sendContent(uint64(100+i)))
		h.run(10 * ms)
	}
	h.serviceTime = 100 * ms
	h.now += 333 * time.Microsecond // crashes do not happen at whole milliseconds
	for _, id := range ids {
		h.breakConnection(id, 1, true)
	}
	h.now += 667 * time.Microsecond
	h.run(sec)
	if got := h.OwnEvidenceDigest(); got != 0 {
		t.Error("crashes under requests that have completed since were spread")
	}
	if got := h.quarantine.Suspects(); got != 0 {
		t.Errorf("%d requests are suspected", got)
	}
}

// Guards against crashes that are never spread: a crash under a request that is not repeated is
// spread after a short delay, and a crash of the next endpoint under the repeat at once.
func TestUnresolvedCrashesAreSpread(t *testing.T) {
	h := newEntryHarness(t, idleEndpoints(12, "d0")...)
	h.learnServiceTime(8)
	id := h.sendContent(7)
	h.run(20 * ms)
	h.breakConnection(id, 1, true)
	h.run(20 * ms)
	if h.OwnEvidenceDigest() != 0 {
		t.Error("the first crash is spread before the repeat could complete")
	}
	h.breakConnection(id, 2, true)
	h.run(20 * ms)
	both := h.OwnEvidenceDigest()
	if both == 0 {
		t.Error("a second crash is not spread at once")
	}
	once := h.arrive(route.NonIdempotent, Arrival{Timeout: 3 * sec, Content: 9, Caller: 1})
	h.run(20 * ms)
	h.breakConnection(once, 1, true)
	h.run(spreadDelay + 100*ms)
	if h.OwnEvidenceDigest() == both {
		t.Error("a crash under a request that is not repeated is not spread")
	}
}
