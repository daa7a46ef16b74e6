package fleetload

import (
	"context"
	"sync"
	"time"

	"github.com/tealhall/tealhall/internal/audit"
)

// arrivals learns from the entries' audit trails when each got a piece of news.
type arrivals struct {
	mu sync.Mutex
	at map[arrival]map[string]time.Time // by entry
	// changed is closed and replaced with each piece.
	changed chan struct{}
}

// arrival is a revision that came into force or an endpoint that leaves.
type arrival struct {
	revision uint64
	leaving  string
}

func newArrivals() *arrivals {
	return &arrivals{at: make(map[arrival]map[string]time.Time), changed: make(chan struct{})}
}

// The audit records that the bench looks for.
const (
	profilesSubject = "profiles"
	inForceAction   = "in-force"
	leavingAction   = "endpoint-leaving"
	endpointPrefix  = "endpoint "
)

// add takes a record of an entry's trail.
func (a *arrivals) add(entry string, r audit.Record) {
	now := time.Now()
	var n arrival
	switch {
	case r.Subject == profilesSubject && r.Action == inForceAction:
		n.revision = r.Revision
	case r.Action == leavingAction:
		n.leaving = r.Subject
	default:
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.at[n] == nil {
		a.at[n] = make(map[string]time.Time)
	}
	if _, known := a.at[n][entry]; !known {
		a.at[n][entry] = now
	}
	close(a.changed)
	a.changed = make(chan struct{})
}

// await waits until count entries have the news and returns how many seconds
// after since each got it. missing is how many had not when ctx ended.
func (a *arrivals) await(ctx context.Context, n arrival, count int, since time.Time) (after []float64, missing int) {
	for {
		a.mu.Lock()
		got, changed := len(a.at[n]), a.changed
		a.mu.Unlock()
		if got >= count {
			break
		}
		select {
		case <-changed:
			continue
		case <-ctx.Done():
		}
		break
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, at := range a.at[n] {
		after = append(after, at.Sub(since).Seconds())
	}
	return after, max(0, count-len(after))
}
