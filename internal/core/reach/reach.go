// Package reach decides whether this entry reaches any endpoint of a pool. An entry whose network
// paths to all endpoints are cut sees the same as one whose endpoints are all down: nobody answers.
// In both cases it cannot serve requests itself, while another entry may.
//
// The package is pure. Times are durations since the process started.
package reach

import (
	"slices"
	"time"
)

const (
	// LostEndpoints is how many endpoints must fail to answer, with no answer from any endpoint
	// after them, for the pool to count as lost; all of them in a smaller pool.
	LostEndpoints = 3
	// lostContacts is how many contacts must have failed. It matters for pools of one or two
	// endpoints.
	lostContacts = 3
	// lostAfter is the shortest time from the first of these contacts until the pool counts as
	// lost. Answers may take that long through the full link of a small VM.
	lostAfter = 300 * time.Millisecond
	// SilentAfter is how long no endpoint must have answered until the silence of a whole round of
	// load probes is reason enough to relay one request.
	SilentAfter = 150 * time.Millisecond
	// lostFor is how long a pool counts as lost after the latest attempt at a contact. A pool that cannot
	// be probed is used again a second after its endpoints work.
	lostFor = 900 * time.Millisecond
	// returnAnswers is how many answers in a row end the loss. It doubles, up to maxReturnAnswers,
	// each time the pool is lost again within calmTime: hysteresis for paths that come and go.
	returnAnswers    = 3
	maxReturnAnswers = 12
	calmTime         = 10 * time.Second
	// CheckInterval is the time between two probes that look for the return of a lost pool.
	CheckInterval = 200 * time.Millisecond
)

// Tracker records the contacts of this entry with the endpoints of one pool. The zero value has
// seen none.
type Tracker struct {
	// heardAt is when an endpoint last answered.
	heardAt time.Duration
	// failed lists the endpoints that have failed to answer since then, at most maxListed of them;
	// contacts counts the failed contacts, the first of which began at failingSince. failedAt is
	// the time of the latest failure.
	failed                 []string
	contacts               int
	failingSince, failedAt time.Duration
	// triedAt is when something was last sent to find out whether a lost pool is reached again.
	triedAt time.Duration

	lost   bool
	lostAt time.Duration
	// answers counts the answers in a row since the loss, of which required end it. returnedAt is
	// when the latest loss ended.
	answers, required int
	returnedAt        time.Duration
}

// maxListed bounds the list of endpoints that failed to answer.
const maxListed = 16

// Failed records a contact that failed: a connection that was refused or reset at the time at, or
// an endpoint that did not answer what was sent to it at that time. live is the number of endpoints
// of the pool. It reports whether the pool counts as lost from now on.
func (t *Tracker) Failed(now, at time.Duration, endpoint string, live int) (lost bool) {
	if at < t.heardAt {
		return false // an endpoint has answered meanwhile
	}
	if t.contacts == 0 {
		t.failingSince = at
	}
	t.contacts++
	t.failedAt, t.answers = now, 0
	if len(t.failed) < maxListed && !slices.Contains(t.failed, endpoint) {
		t.failed = append(t.failed, endpoint)
	}
	if t.lost || len(t.failed) < min(LostEndpoints, live) || t.contacts < lostContacts || now-t.failingSince < lostAfter {
		return false
	}
	t.lose(now)
	return true
}

func (t *Tracker) lose(now time.Duration) {
	t.lost, t.lostAt = true, now
	switch {
	case t.required == 0 || now-t.returnedAt >= calmTime:
		t.required = returnAnswers
	default:
		t.required = min(2*t.required, maxReturnAnswers)
	}
}

// Answered records an answer of any kind from an endpoint. It reports whether the pool no longer
// counts as lost.
func (t *Tracker) Answered(now time.Duration) (returned bool) {
	t.heardAt = now
	t.failed, t.contacts = t.failed[:0], 0
	if !t.lost {
		return false
	}
	if t.answers++; t.answers < t.required {
		return false
	}
	t.end(now)
	return true
}

func (t *Tracker) end(now time.Duration) {
	t.lost, t.answers, t.returnedAt = false, 0, now
}

// Tried records that something was sent to an endpoint of a lost pool to find out whether it is
// answered.
func (t *Tracker) Tried(now time.Duration) { t.triedAt = now }

// Expire ends a loss that was not tested for a while, so that a pool that cannot be probed and gets
// no requests is used again. It reports whether it did.
func (t *Tracker) Expire(now time.Duration) (ended bool) {
	if !t.lost || now-max(t.failedAt, t.triedAt) < lostFor {
		return false
	}
	t.failed, t.contacts = t.failed[:0], 0
	t.end(now)
	return true
}

// Reset drops all contacts, for example after a pause of the process.
func (t *Tracker) Reset() { *t = Tracker{} }

// Lost reports whether this entry reaches no endpoint of the pool.
func (t *Tracker) Lost() bool { return t.lost }

// LostAt returns when the pool was lost, if it is.
func (t *Tracker) LostAt() time.Duration { return t.lostAt }

// Unanswered returns how many endpoints have failed to answer since one last answered.
func (t *Tracker) Unanswered() int { return len(t.failed) }

// HasFailed reports whether an endpoint is among those that have failed to answer since one last
// answered.
func (t *Tracker) HasFailed(endpoint string) bool { return slices.Contains(t.failed, endpoint) }

// HeardSince reports whether an endpoint has answered at the given time or later.
func (t *Tracker) HeardSince(at time.Duration) bool { return t.heardAt > 0 && t.heardAt >= at }

// HeardAt returns when an endpoint last answered, 0 if none has.
func (t *Tracker) HeardAt() time.Duration { return t.heardAt }
