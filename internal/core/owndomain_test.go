package core

import (
	"strings"
	"testing"

	"github.com/tealhall/tealhall/internal/profile"
	"github.com/tealhall/tealhall/internal/route"
)

// Uploads of 60 KB arrive in a failure domain whose only endpoint is busy for a moment, while
// endpoints of other domains are idle. When such uploads were sent there at once, they were a
// quarter of the bytes between domains. An upload must wait for the near endpoint as long as the
// saved bytes justify the wait and it can be in time, without delaying other requests, and then go
// to another domain.
func TestUploadsWaitForTheirOwnDomain(t *testing.T) {
	near, far := &simEndpoint{name: "near", domain: "d0"}, idleEndpoints(3, "d1")
	h := newEntryHarness(t, append([]*simEndpoint{near}, far...)...)
	h.learnServiceTime(12)
	for range 8 {
		id := h.sendRequest(route.Upload, 3*sec)
		h.run(100 * ms)
		h.answer(id, 1, 200)
	}
	for _, sv := range h.serviceRows {
		if sv.policy.Kind == profile.Bulk {
			sv.kilobytes = 60
		}
	}
	h.sent = nil
	near.running, near.waiting = 2, 1
	first := h.sendRequest(route.Upload, 3*sec)
	read := h.sendRequest(route.Idempotent, 3*sec)
	h.run(60 * ms)
	if len(h.open[first]) > 0 {
		t.Fatalf("the upload was sent to %v at once", h.sent)
	}
	if h.open[read][1].Endpoint == "" {
		t.Error("the read after the upload had to wait")
	}
	near.running, near.waiting = 0, 0
	h.run(40 * ms)
	if got := h.open[first][1].Endpoint; got != "near" {
		t.Errorf("the upload was sent to %q, want near", got)
	}
	near.running, near.waiting = 2, 1
	second := h.sendRequest(route.Upload, 3*sec)
	h.run(160 * ms)
	if got := h.open[second][1].Endpoint; !strings.HasPrefix(got, "d1") {
		t.Errorf("after 160 ms the upload was sent to %q, want an endpoint of d1: %+v", got, h.replies[second])
	}
}
