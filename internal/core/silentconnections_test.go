package core

import (
	"fmt"
	"testing"
)

// A network forgets all open connections to the endpoints while callers rest. A busy
// machine had opened a dozen of them to an entry's endpoints, and each takes a read with
// it. Retries are paid from what successes have earned, five at the most: the other reads
// were told "endpoint-lost" although idle endpoints stood by.
func TestReadsOnSilentConnectionsAreRetried(t *testing.T) {
	const dead = 12
	r := settled(t, 1, sixCounts...)
	r.bad(reaction{})
	r.traffic(Arrival{Service: "counts"}, 10*ms, 12*sec)
	lost := map[string]bool{}
	r.endpoint = func(_ string, a Arrival) reaction {
		if body := fmt.Sprint(a.ID); !lost[body] && len(lost) < dead {
			lost[body] = true
			return reaction{after: 500 * ms, end: End{Kind: EndLost, ConnSilent: true}, ignores: true}
		}
		return reaction{after: 10 * ms}
	}
	all := r.traffic(Arrival{Service: "counts"}, 5*ms, 200*ms)
	r.run(2 * sec)
	if len(lost) < dead {
		t.Fatalf("%d reads met silent connections", len(lost))
	}
	if done := count(all, OutcomeDone); done != len(all) {
		t.Errorf("%d of %d reads were answered", done, len(all))
	}
}
