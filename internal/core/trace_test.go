package core

import (
	"slices"
	"testing"
	"time"

	"github.com/tealhall/tealhall/internal/route"
)

// tracesOf returns the traces of the request with the given name.
func tracesOf(h *entryHarness, id RequestID, name string) []RequestTrace {
	return slices.DeleteFunc(slices.Clone(h.traces), func(s RequestTrace) bool { return s.Name != name })
}

// sendNamed is sendRequest with a name, by which the log identifies the request.
func (h *entryHarness) sendNamed(kind route.Kind, left time.Duration, name string) RequestID {
	h.name = name
	defer func() { h.name = "" }()
	return h.sendRequest(kind, left)
}

// An engineer has only the trace of a request to explain its failure. For each of the three kinds
// of failure that docs/OPERATIONS.md explains, the trace must contain the values that it refers to.
func TestTracesExplainFailures(t *testing.T) {
	t.Run("refused though endpoints were free", func(t *testing.T) {
		endpoints := idleEndpoints(3, "d0")
		h := newEntryHarness(t, endpoints...)
		h.learnServiceTime(8)
		for _, ep := range endpoints {
			ep.running, ep.waiting = 2, 4
		}
		id := h.sendNamed(route.Idempotent, 3*sec, "refused")
		h.run(700 * ms)
		got := tracesOf(h, id, "refused")
		if len(got) != 1 || got[0].Outcome != OutcomeNotRun || got[0].Reason != ReasonTooLate || got[0].NoRoom == 0 ||
			got[0].LoadProbes == 0 || len(got[0].Attempts) != 0 || got[0].RetryAfter == 0 || !got[0].Late ||
			got[0].Endpoints != 3 || got[0].Full != 3 {
			t.Errorf("%+v", got)
		}
	})
	t.Run("answered 502", func(t *testing.T) {
		h := newEntryHarness(t, idleEndpoints(3, "d0")...)
		h.learnServiceTime(8)
		id := h.sendNamed(route.NonIdempotent, 3*sec, "lost")
		h.run(20 * ms)
		endpoint := h.open[id][1].Endpoint
		h.do(func(out *Actions) {
			h.End(h.now, End{ID: id, Attempt: 1, Kind: EndLost, Replayable: true, Conn: ConnUse{Number: 7, Carried: 3, StrayAnswers: 1}}, out)
		})
		got := tracesOf(h, id, "lost")
		if len(got) != 1 || got[0].Outcome != OutcomeUnknown || got[0].Reason != ReasonEndpointLost || len(got[0].Attempts) != 1 ||
			got[0].Attempts[0].Endpoint != endpoint || got[0].Attempts[0].End != "lost" || got[0].Attempts[0].Second ||
			got[0].Attempts[0].Conn != 7 || got[0].Attempts[0].Carried != 3 || got[0].Attempts[0].Strays != 1 {
			t.Errorf("%+v", got)
		}
	})
	t.Run("late", func(t *testing.T) {
		endpoints := idleEndpoints(1, "d0")
		h := newEntryHarness(t, endpoints...)
		h.learnServiceTime(8)
		endpoints[0].running = 1
		id := h.sendNamed(route.NonIdempotent, 3*sec, "late")
		h.run(650 * ms)
		h.answer(id, 1, 200)
		got := tracesOf(h, id, "late")
		if len(got) != 1 || got[0].Outcome != OutcomeDone || got[0].Took < 600*ms || got[0].Objective != 400*ms ||
			len(got[0].Attempts) != 1 || got[0].Attempts[0].Running != 1 || got[0].Attempts[0].TookMillis < 600 || got[0].Sampled {
			t.Errorf("%+v", got)
		}
	})
}

// Only a sample of the successful requests is traced, the same requests on every entry.
func TestSuccessfulRequestsAreSampled(t *testing.T) {
	h := newEntryHarness(t, idleEndpoints(2, "d0")...)
	h.learnServiceTime(8)
	traced := map[string]bool{}
	for i := range 400 {
		name := time.Duration(i).String()
		id := h.sendNamed(route.Idempotent, 3*sec, name)
		h.run(30 * ms)
		h.answer(id, 1, 200)
		if got := tracesOf(h, id, name); len(got) == 1 {
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
