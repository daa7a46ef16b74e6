package fleetload

import (
	"context"
	"sync"
	"time"

	"github.com/tealhall/tealhall/internal/audit"
)

// changeTracker records, from the entries' audit trails, when each entry learned of a change.
type changeTracker struct {
	mu        sync.Mutex
	firstSeen map[change]map[string]time.Time // by change and entry
	// updated is closed and replaced whenever a record of a change arrives.
	updated chan struct{}
}

// change is either a revision of the profiles that came into force at an entry or an endpoint that
// the entry learned is leaving. leaving is the subject of the audit record: the prefix and the
// endpoint's name.
type change struct {
	revision uint64
	leaving  string
}

func newChangeTracker() *changeTracker {
	return &changeTracker{firstSeen: make(map[change]map[string]time.Time), updated: make(chan struct{})}
}

// The subjects and actions of the audit records that report a change.
const (
	profilesSubject = "profiles"
	inForceAction   = "in-force"
	leavingAction   = "endpoint-leaving"
	endpointPrefix  = "endpoint "
)

// add records the change, if any, that a record of an entry's audit trail reports.
func (t *changeTracker) add(entry string, r audit.Record) {
	now := time.Now()
	var c change
	switch {
	case r.Subject == profilesSubject && r.Action == inForceAction:
		c.revision = r.Revision
	case r.Action == leavingAction:
		c.leaving = r.Subject
	default:
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.firstSeen[c] == nil {
		t.firstSeen[c] = make(map[string]time.Time)
	}
	if _, known := t.firstSeen[c][entry]; !known {
		t.firstSeen[c][entry] = now
	}
	close(t.updated)
	t.updated = make(chan struct{})
}

// await waits until count entries have learned of a change or ctx ends. It returns the seconds from
// the time since until each entry learned of it, and the number of entries that have not.
func (t *changeTracker) await(ctx context.Context, c change, count int, since time.Time) (delays []float64, missing int) {
	for {
		t.mu.Lock()
		seen, updated := len(t.firstSeen[c]), t.updated
		t.mu.Unlock()
		if seen >= count {
			break
		}
		select {
		case <-updated:
			continue
		case <-ctx.Done():
		}
		break
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, seenAt := range t.firstSeen[c] {
		delays = append(delays, seenAt.Sub(since).Seconds())
	}
	return delays, max(0, count-len(delays))
}
