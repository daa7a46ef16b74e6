package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/tealhall/tealhall/internal/core/table"
)

// manyDomains returns a view of endpoints of the own domain and twice as many of others, of
// which nothing is known.
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

// shareElsewhere is the part of the choices in which an endpoint of another domain is asked first.
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

// A failure domain has 67 endpoints, all at work, and the two others have room. An entry there
// asks nine for a request, all of its own domain, finds none, and refuses the request half a
// second later: 58 others of its own domain were not asked yet, and went before all of the
// others. 255 of 275 refusals of the fleet came from that domain.
func TestRequestsLeaveBusyOwnDomain(t *testing.T) {
	full := endpoint("a", 2, 2, 100, 0)
	room := endpoint("a", 0, 2, 100, 0)
	for _, c := range []struct {
		name  string
		own   int
		looks []table.Endpoint
		short bool
		later time.Duration
		left  bool
	}{
		{"requests find no room, nor do looks", 30, []table.Endpoint{full, full, full}, true, 0, true},
		{"a look finds room", 30, []table.Endpoint{full, full, full, room}, true, 0, false},
		{"requests find room elsewhere", 30, []table.Endpoint{full, full, full}, false, 0, false},
		{"a while later", 30, []table.Endpoint{full, full, full}, true, time.Second, false},
		{"so few that all are asked", 9, []table.Endpoint{full, full, full}, true, 0, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			v := manyDomains(c.own)
			for i := range c.looks {
				v.Learned.NoteRoom(v.Now, &c.looks[i])
			}
			v.Now += c.later
			if c.short {
				v.Learned.NoteShort(v.Now)
			}
			// Two thirds of the endpoints are elsewhere.
			if share := v.shareElsewhere(); c.left && share < 0.5 || !c.left && share > 0 {
				t.Errorf("asks elsewhere first in %.2f of the choices, the domain is to be left: %v", share, c.left)
			}
		})
	}
}
