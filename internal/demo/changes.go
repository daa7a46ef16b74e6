package demo

import (
	"fmt"
	"sync"
	"time"

	"github.com/tealhall/tealhall/internal/audit"
)

// Subject and action of the audit record that an entry writes when profiles come into force.
const (
	profilesSubject = "profiles"
	inForceAction   = "in-force"
)

// changeLog records from the audit trails when each revision of the profiles came into force on
// each entry.
type changeLog struct {
	mu        sync.Mutex
	inForceAt map[string]map[uint64]time.Time // by entry name and revision
	latest    map[string]uint64               // the revision in force, by entry name
	reverted  []string                        // describes each return to an older revision

	// revision is the revision that report is about, published the time at which it was published.
	revision  uint64
	published time.Time
}

func newChangeLog() *changeLog {
	return &changeLog{inForceAt: make(map[string]map[uint64]time.Time), latest: make(map[string]uint64)}
}

// add processes a record of an entry's audit trail.
func (c *changeLog) add(entry string, r audit.Record) {
	if r.Subject != profilesSubject || r.Action != inForceAction {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if r.Revision < c.latest[entry] {
		c.reverted = append(c.reverted, fmt.Sprintf("%s from revision %d to %d", entry, c.latest[entry], r.Revision))
	}
	c.latest[entry] = r.Revision
	if c.inForceAt[entry] == nil {
		c.inForceAt[entry] = make(map[uint64]time.Time)
	}
	c.inForceAt[entry][r.Revision] = r.Wall
}

// expect sets the revision that report is about and the time at which the revision was published.
func (c *changeLog) expect(revision uint64, published time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.revision, c.published = revision, published
}

// report returns when the expected revision came into force on each of the entries.
func (c *changeLog) report(entries []string) ChangeReport {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := ChangeReport{Revision: c.revision, Reverted: c.reverted}
	for _, name := range entries {
		at, ok := c.inForceAt[name][c.revision]
		if !ok {
			r.Missing = append(r.Missing, name)
			continue
		}
		r.InForce = append(r.InForce, InForce{Entry: name, After: at.Sub(c.published)})
	}
	return r
}

// lateRequestCounter counts the requests that a leaving endpoint gets after leavingGrace.
type lateRequestCounter struct {
	endpoint *Endpoint
	how      string // how the endpoint's leaving became known

	mu       sync.Mutex
	counting bool  // leavingGrace has passed
	before   int64 // the requests that the endpoint got before counting began
}

func (c *lateRequestCounter) startCounting() {
	requests := c.endpoint.Stats().Requests
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counting, c.before = true, requests
}

func (c *lateRequestCounter) report() LeavingReport {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := LeavingReport{Endpoint: c.endpoint.VM.Name, How: c.how, Counted: c.counting}
	if c.counting {
		r.LateRequests = int(c.endpoint.Stats().Requests - c.before)
	}
	return r
}
