package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/tealhall/tealhall/internal/core/table"
)

// connectedFirst counts who of thirty endpoints alike is asked first in many choices: the first
// six were asked a second ago, the others never.
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
		v.Learned.NoteShort(v.Now)
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

// An entry that sees twenty requests a second before thirty endpoints chose among them by
// chance, and two of three requests opened a connection, which costs the endpoint a millisecond
// of a slot: what it had opened before was closed again when chance came back to it. It
// keeps to endpoints with which it has spoken lately while there is room, and tries others often
// enough that one that has just joined gets its part.
func TestRequestsPreferConnectedEndpoints(t *testing.T) {
	if asked, connected := connectedFirst(false); connected < 0.8 || asked < 30 {
		t.Errorf("with room: %.2f of the choices have a connection, want 0.8; %d of 30 endpoints asked at all", connected, asked)
	}
	if _, connected := connectedFirst(true); connected > 0.3 {
		t.Errorf("short of room: %.2f of the choices are those with a connection, want chance, 0.2", connected)
	}
}
