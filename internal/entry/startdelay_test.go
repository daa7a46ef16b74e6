package entry

import (
	"fmt"
	"testing"
	"time"

	"github.com/tealhall/tealhall/internal/message"
	"github.com/tealhall/tealhall/internal/settings"
)

// Guards against a fleet that lost power and serves late, because its entries wait for seeds that
// return last, and against entries that read the configuration service before a link to a seed that is
// up has opened.
func TestEntriesReadSoonAfterPowerLoss(t *testing.T) {
	const entries = 135
	soonest, latest, early := time.Hour, time.Duration(0), 0
	for n := range entries {
		s := settings.Default()
		s.Peers.Seeds = []string{"10.0.0.1:82", "10.0.0.2:82", "10.0.0.3:82"}
		e := &Entry{settings: s, hello: message.Hello{Name: fmt.Sprint("front-", n), PeerAddress: fmt.Sprintf("10.0.1.%d:82", n)}}
		delay := e.platformStartDelay()
		soonest, latest = min(soonest, delay), max(latest, delay)
		if delay < 200*time.Millisecond {
			early++
		}
	}
	if soonest < 100*time.Millisecond || latest > 400*time.Millisecond {
		t.Errorf("entries read %v to %v after their start, want 100ms to 400ms", soonest, latest)
	}
	if early > entries/10 {
		t.Errorf("%d of %d entries read within 200ms", early, entries)
	}
	s := settings.Default()
	s.Peers.Seeds = []string{"10.0.0.1:82"}
	seed := &Entry{settings: s, hello: message.Hello{Name: "seed", PeerAddress: "10.0.0.1:82"}}
	if delay := seed.platformStartDelay(); delay != 0 {
		t.Errorf("a seed reads after %v, want at once", delay)
	}
}
