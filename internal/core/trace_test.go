package core

import (
	"slices"
	"testing"
	"time"

	"github.com/tealhall/tealhall/internal/route"
)

// tracesOf returns the traces of the request with a name.
func tracesOf(y *entryHarness, id RequestID, name string) []RequestTrace {
	return slices.DeleteFunc(slices.Clone(y.traces), func(s RequestTrace) bool { return s.Name != name })
}

// sendNamed is sendRequest with a name, by which the log identifies the request.
func (y *entryHarness) sendNamed(kind route.Kind, left time.Duration, name string) RequestID {
	y.name = name
	defer func() { y.name = "" }()
	return y.sendRequest(kind, left)
}

// An engineer has only the trace of a request to explain its failure. For each of the three kinds
// of failure that docs/OPERATIONS.md explains, the trace must contain the values that it refers to.
func TestTracesExplainFailures(t *testing.T) {
	t.Run("refused though endpoints were free", func(t *testing.T) {
		endpoints := idleEndpoints(3, "d0")
		y := newEntryHarness(t, endpoints...)
		y.learnServiceTime(8)
		for _, b := range endpoints {
			b.running, b.waiting = 2, 4
		}
		id := y.sendNamed(route.Idempotent, 3*sec, "refused")
		y.run(700 * ms)
		got := tracesOf(y, id, "refused")
		if len(got) != 1 || got[0].Outcome != OutcomeNotRun || got[0].Reason != ReasonTooLate || got[0].NoRoom == 0 ||
			got[0].LoadProbes == 0 || len(got[0].Attempts) != 0 || got[0].RetryAfter == 0 || !got[0].Late ||
			got[0].Endpoints != 3 || got[0].Full != 3 {
			t.Errorf("%+v", got)
		}
	})
	t.Run("answered 502", func(t *testing.T) {
		y := newEntryHarness(t, idleEndpoints(3, "d0")...)
		y.learnServiceTime(8)
		id := y.sendNamed(route.NonIdempotent, 3*sec, "lost")
		y.run(20 * ms)
		endpoint := y.open[id][1].Endpoint
		y.do(func(out *Actions) { y.End(y.now, End{ID: id, Attempt: 1, Kind: EndLost, Replayable: true}, out) })
		got := tracesOf(y, id, "lost")
		if len(got) != 1 || got[0].Outcome != OutcomeUnknown || got[0].Reason != ReasonEndpointLost || len(got[0].Attempts) != 1 ||
			got[0].Attempts[0].Endpoint != endpoint || got[0].Attempts[0].End != "lost" || got[0].Attempts[0].Second {
			t.Errorf("%+v", got)
		}
	})
	t.Run("late", func(t *testing.T) {
		endpoints := idleEndpoints(1, "d0")
		y := newEntryHarness(t, endpoints...)
		y.learnServiceTime(8)
		endpoints[0].running = 1
		id := y.sendNamed(route.NonIdempotent, 3*sec, "late")
		y.run(650 * ms)
		y.answer(id, 1, 200)
		got := tracesOf(y, id, "late")
		if len(got) != 1 || got[0].Outcome != OutcomeDone || got[0].Took < 600*ms || got[0].Objective != 400*ms ||
			len(got[0].Attempts) != 1 || got[0].Attempts[0].Running != 1 || got[0].Attempts[0].TookMillis < 600 || got[0].Sampled {
			t.Errorf("%+v", got)
		}
	})
}

// Only a sample of the successful requests is traced, the same requests on every entry.
func TestSuccessfulRequestsAreSampled(t *testing.T) {
	y := newEntryHarness(t, idleEndpoints(2, "d0")...)
	y.learnServiceTime(8)
	traced := map[string]bool{}
	for i := range 400 {
		name := time.Duration(i).String()
		id := y.sendNamed(route.Idempotent, 3*sec, name)
		y.run(30 * ms)
		y.answer(id, 1, 200)
		if got := tracesOf(y, id, name); len(got) == 1 {
			traced[name] = got[0].Sampled
		}
	}
	if len(traced) == 0 || len(traced) > 20 {
		t.Errorf("%d of 400 requests were traced, want 1 to 20", len(traced))
	}
	for name, sampled := range traced {
		if !sampled {
			t.Errorf("%s is traced as a failure", name)
		}
	}
}
