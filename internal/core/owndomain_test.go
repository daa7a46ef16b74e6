package core

import (
	"strings"
	"testing"

	"github.com/tealhall/tealhall/internal/profile"
	"github.com/tealhall/tealhall/internal/route"
)

// Uploads of 60 KB arrive in a failure domain whose only endpoint is busy for a moment, while
// endpoints of other domains are idle. Sent there at once, such uploads were a quarter of the bytes
// between domains. They wait for the near endpoint as long as the saved bytes justify and they can
// be in time, and do not delay other requests; then they go to another domain.
func TestUploadsWaitForTheirOwnDomain(t *testing.T) {
	near, far := &simEndpoint{name: "near", domain: "d0"}, idleEndpoints(3, "d1")
	y := newEntryHarness(t, append([]*simEndpoint{near}, far...)...)
	y.learnServiceTime(12)
	for range 8 {
		id := y.sendRequest(route.Upload, 3*sec)
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
	first := y.sendRequest(route.Upload, 3*sec)
	read := y.sendRequest(route.Idempotent, 3*sec)
	y.run(60 * ms)
	if len(y.open[first]) > 0 {
		t.Fatalf("the upload was sent to %v at once", y.sent)
	}
	if y.open[read][1].Endpoint == "" {
		t.Error("the read after the upload had to wait")
	}
	near.running, near.waiting = 0, 0
	y.run(40 * ms)
	if got := y.open[first][1].Endpoint; got != "near" {
		t.Errorf("the upload was sent to %q, want near", got)
	}
	near.running, near.waiting = 2, 1
	second := y.sendRequest(route.Upload, 3*sec)
	y.run(160 * ms)
	if got := y.open[second][1].Endpoint; !strings.HasPrefix(got, "d1") {
		t.Errorf("after 160 ms the upload was sent to %q, want an endpoint of d1: %+v", got, y.replies[second])
	}
}
