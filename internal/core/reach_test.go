package core

import (
	"testing"

	"github.com/tealhall/tealhall/internal/route"
)

// Guards against an entry that takes the loss of its own paths to all endpoints for crashes of the
// endpoints: the requests that were running would be suspected on all entries.
func TestLostPathsAreNoCrashes(t *testing.T) {
	h := newEntryHarness(t, idleEndpoints(6, "d0")...)
	h.learnServiceTime(8)
	var ids []RequestID
	for content := range uint64(3) {
		ids = append(ids, h.sendContent(content+1))
		h.run(20 * ms)
	}
	for _, ep := range h.endpoints {
		ep.dead = true
	}
	for _, id := range ids {
		h.breakConnection(id, 1, true)
	}
	h.run(3 * sec)
	if got := h.Counters().Crashes; got != 0 {
		t.Errorf("%d crashes are known", got)
	}
}

// Guards against crashes that are not recognized because three endpoints crash together while
// nothing else is under way: another endpoint is probed to tell the crashes from lost paths.
func TestCrashesAreRecognizedOnIdleEntry(t *testing.T) {
	h := newEntryHarness(t, idleEndpoints(6, "d0")...)
	h.learnServiceTime(8)
	var ids []RequestID
	for content := range uint64(3) {
		ids = append(ids, h.arrive(route.NonIdempotent, Arrival{Replayable: true, Timeout: 3 * sec, Content: content + 1, Caller: 1}))
		h.run(20 * ms)
	}
	for _, id := range ids {
		h.breakConnection(id, 1, true)
	}
	h.run(sec)
	if got := h.Counters().Crashes; got != 3 {
		t.Errorf("%d crashes are known, want 3", got)
	}
}

// Guards against requests that are held at endpoints that cannot be reached, where few requests
// arrive: each of them would be the one that is tried there.
func TestFewRequestsAreRefusedAtOnce(t *testing.T) {
	h := newEntryHarness(t, idleEndpoints(6, "d0")...)
	h.learnServiceTime(8)
	for _, ep := range h.endpoints {
		ep.dead, ep.silent = true, true
	}
	h.sendRequest(route.Idempotent, 3*sec)
	h.run(3 * sec)
	late := 0
	for range 48 {
		id := h.sendRequest(route.Idempotent, 3*sec)
		h.run(500 * ms)
		if _, ok := h.replies[id]; !ok {
			late++
		}
		h.run(500 * ms)
	}
	if late > 3 {
		t.Errorf("%d of 48 requests were not refused within half a second", late)
	}
}
