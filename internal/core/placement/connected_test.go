package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/tealhall/tealhall/internal/core/table"
)

// connectedFirst makes many choices among thirty equal endpoints, of which the first six were
// probed a second ago and the others never. It returns how many endpoints were chosen at all, and
// the share of the choices that fell on the six.
func connectedFirst(short bool) (probed int, connected float64) {
	const choices, connectedEndpoints = 3000, 6
	var endpoints []table.Endpoint
	for i := range 30 {
		ago := -time.Millisecond
		if i < connectedEndpoints {
			ago = time.Second
		}
		endpoints = append(endpoints, endpoint("a", 0, 6, 100, ago))
		endpoints[i].Name = fmt.Sprint("a-", i)
	}
	v := viewOf(endpoints...)
	if short {
		v.PoolState.NoteShortage(v.Now)
	}
	probedOnce, first := map[int]bool{}, 0
	for range choices {
		i := v.NextToProbe()
		probedOnce[i] = true
		if i < connectedEndpoints {
			first++
		}
	}
	return len(probedOnce), float64(first) / choices
}

// Guards against opening a new connection for most requests. An entry with twenty requests per
// second and thirty endpoints chose among them at random. By the time an endpoint was chosen again
// its connection was closed, so that two of three requests opened a new one, which costs the
// endpoint a millisecond of a slot. While there is room, the entry prefers endpoints that it has
// contacted lately, but tries others often enough that an endpoint that has just joined gets its
// part.
func TestRequestsPreferConnectedEndpoints(t *testing.T) {
	if probed, connected := connectedFirst(false); connected < 0.8 || probed < 30 {
		t.Errorf("with room: %.2f of the choices have a connection, want 0.8; %d of 30 endpoints probed at all", connected, probed)
	}
	if _, connected := connectedFirst(true); connected > 0.3 {
		t.Errorf("short of room: %.2f of the choices have a connection, want a random choice, 0.2", connected)
	}
}
