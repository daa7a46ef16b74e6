package placement

import (
	"testing"
	"time"

	"github.com/tealhall/tealhall/internal/core/quota"
	"github.com/tealhall/tealhall/internal/core/table"
)

// Guards against a limited endpoint that gets no requests although its only owner has earned one
// for it: at a few requests a second, others to which a connection is open came first each time.
func TestOwnerUsesEarnedRequestOfLimitedEndpoint(t *testing.T) {
	const requests, limited = 100, 3
	var endpoints []table.Endpoint
	for i := range 6 {
		ago := time.Second
		if i == limited {
			ago = 2 * connectedFor
		}
		endpoints = append(endpoints, endpoint("a", 0, 6, 100, ago))
	}
	v := viewOf(endpoints...)
	e := &v.Endpoints[limited]
	quota.SetLimit(v.Now-10*time.Second, e, 0.4)
	quota.SetOwner(v.Now-10*time.Second, e, true)
	first := 0
	for range requests {
		if v.NextToProbe() == limited {
			first++
		}
	}
	if first < requests {
		t.Errorf("chosen first for %d of %d requests", first, requests)
	}
	e.Outstanding = e.Slots
	if v.NextToProbe() == limited {
		t.Error("chosen first with all slots in use")
	}
	e.Outstanding = 0
	quota.Spend(v.Now, v.Pool, e)
	if v.NextToProbe() == limited {
		t.Error("chosen again before it has earned another request")
	}
}
