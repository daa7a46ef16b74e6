package core

import (
	"strings"
	"testing"

	"github.com/tealhall/tealhall/internal/profile"
	"github.com/tealhall/tealhall/internal/route"
)

// Uploads of 60 KB come into a failure domain with one endpoint, which is busy for a
// moment; endpoints of other domains are idle. Sent there at once, such uploads were a
// quarter of the bytes between domains. They wait for the endpoint nearby as long as a
// kilobyte is worth and they are in time, beside others that need not wait; then they go.
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
	second := y.sendRequest(route.Upload, 3*sec)
	y.run(160 * ms)
	if got := y.open[second][1].Endpoint; !strings.HasPrefix(got, "d1") {
		t.Errorf("after 160 ms the upload is at %q, %+v", got, y.replies[second])
	}
}
