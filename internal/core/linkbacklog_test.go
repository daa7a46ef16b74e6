package core

import (
	"testing"
	"time"

	"github.com/tealhall/tealhall/internal/route"
)

// Guards against downloads that wait for a full link until they are late, while other entries have
// room, and against other requests that are refused for the link.
func TestDownloadIsRefusedWhileLinkIsFull(t *testing.T) {
	const objective = 400 * ms // of the routes of the harness
	for _, c := range []struct {
		name    string
		kind    route.Kind
		backlog time.Duration
		refused bool
	}{
		{"download, link idle", route.Download, 0, false},
		{"download, link has work for half the objective", route.Download, objective / 2, false},
		{"download, link has work for longer", route.Download, objective/2 + ms, true},
		{"read, link has work for longer", route.Idempotent, 10 * objective, false},
		{"upload, link has work for longer", route.Upload, 10 * objective, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newEntryHarness(t, idleEndpoints(2, "d0")...)
			h.learnServiceTime(8)
			id := h.arrive(c.kind, Arrival{Replayable: true, Timeout: 3 * sec, LinkBacklog: c.backlog})
			h.run(10 * ms)
			got, refused := h.replies[id]
			if refused != c.refused || refused && (got.Reason != ReasonLinkFull || got.Outcome != OutcomeNotRun) {
				t.Fatalf("got %+v, want a refusal: %v", got, c.refused)
			}
			if excess := c.backlog - objective/2; refused && got.RetryAfter < excess {
				t.Errorf("told to come back after %v, the link has room in %v", got.RetryAfter, excess)
			}
			if !refused && len(h.sent) != 1 {
				t.Errorf("sent to %v", h.sent)
			}
		})
	}
}
