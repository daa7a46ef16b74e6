package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/tealhall/tealhall/internal/core/table"
)

// manyDomains returns a view with endpoints of the entry's own failure domain and twice as many of
// other domains, none of which has reported a load.
func manyDomains(own int) *View {
	var endpoints []table.Endpoint
	for i := range 3 * own {
		e := endpoint([]string{"a", "b", "c"}[i%3], 0, 2, 0, -1)
		e.Name = fmt.Sprint(e.Domain, i)
		endpoints = append(endpoints, e)
	}
	v := viewOf(endpoints...)
	v.Request.MaxProbes = 9
	return v
}

// shareElsewhere returns the share of the choices in which an endpoint of another domain is probed
// first.
func (v *View) shareElsewhere() float64 {
	const choices = 1000
	remote := 0
	for range choices {
		if i := v.NextToProbe(); !v.isNear(&v.Endpoints[i]) {
			remote++
		}
	}
	return float64(remote) / choices
}

// Guards against refusals in a busy failure domain while others have room. One domain had 67
// endpoints, all busy. An entry there probed nine of them for a request, found no room and refused
// the request half a second later: the 58 others of its own domain, which were not probed yet,
// ranked before all endpoints of the other domains. 255 of the fleet's 275 refusals came from that
// domain.
func TestRequestsLeaveBusyOwnDomain(t *testing.T) {
	full := endpoint("a", 2, 2, 100, 0)
	room := endpoint("a", 0, 2, 100, 0)
	for _, c := range []struct {
		name   string
		own    int
		probes []table.Endpoint
		short  bool
		later  time.Duration
		left   bool
	}{
		{"neither requests nor probes find room", 30, []table.Endpoint{full, full, full}, true, 0, true},
		{"a probe finds room", 30, []table.Endpoint{full, full, full, room}, true, 0, false},
		{"requests find room elsewhere", 30, []table.Endpoint{full, full, full}, false, 0, false},
		{"a while later", 30, []table.Endpoint{full, full, full}, true, time.Second, false},
		{"so few endpoints that all are probed", 9, []table.Endpoint{full, full, full}, true, 0, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			v := manyDomains(c.own)
			for i := range c.probes {
				v.PoolState.NoteHeadroom(v.Now, &c.probes[i])
			}
			v.Now += c.later
			if c.short {
				v.PoolState.NoteShortage(v.Now)
			}
			// Two thirds of the endpoints are in other domains.
			if share := v.shareElsewhere(); c.left && share < 0.5 || !c.left && share > 0 {
				t.Errorf("other domains are probed first in %.2f of the choices, want requests to leave the domain: %v", share, c.left)
			}
		})
	}
}
