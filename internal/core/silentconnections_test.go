package core

import (
	"fmt"
	"testing"
)

// Guards against reads that fail with "endpoint-lost" although idle endpoints could run them. A
// network drops the state of all idle connections to the endpoints, of which a busy machine had
// opened a dozen, and each loses one read. Ordinary retries are limited to the budget that
// successes have earned, five at most, which is too few for these reads.
func TestReadsOnSilentConnectionsAreRetried(t *testing.T) {
	const dead = 12
	h := newServingCluster(t, 1, sixEndpoints...)
	h.setReactions(reaction{})
	h.sendTraffic(Arrival{Service: "counts"}, 10*ms, 12*sec)
	lost := map[string]bool{}
	h.endpoint = func(_ string, a Arrival) reaction {
		if body := fmt.Sprint(a.ID); !lost[body] && len(lost) < dead {
			lost[body] = true
			return reaction{after: 500 * ms, end: End{Kind: EndLost, ConnSilent: true}, ignores: true}
		}
		return reaction{after: 10 * ms}
	}
	all := h.sendTraffic(Arrival{Service: "counts"}, 5*ms, 200*ms)
	h.run(2 * sec)
	if len(lost) < dead {
		t.Fatalf("only %d reads used silent connections", len(lost))
	}
	if done := countReplies(all, OutcomeDone); done != len(all) {
		t.Errorf("%d of %d reads were answered", done, len(all))
	}
}
