package soak

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// Promise is a promise of the product that a run checks.
type Promise string

// The promises.
const (
	WholeAnswers   Promise = "each caller gets its own, whole answer"
	DoneRan        Promise = "what is reported as done has run to its end"
	NotRunIsTrue   Promise = "what is reported as not run has not run"
	AtMostOnce     Promise = "a request that must run once runs at most once"
	LeavingIsLeft  Promise = "an endpoint that leaves gets no new work"
	StopsCutNone   Promise = "a planned stop cuts off nothing"
	ChangesInForce Promise = "an accepted change is in force everywhere in time"
	NeverBack      Promise = "an accepted change never goes back"
	Recovery       Promise = "service is back in time after the last fault"
	StaysUp        Promise = "an entry ends only when it is told to"
)

// Promises lists all promises, in the order of the report.
var Promises = []Promise{WholeAnswers, DoneRan, NotRunIsTrue, AtMostOnce, LeavingIsLeft, StopsCutNone, ChangesInForce, NeverBack, Recovery, StaysUp}

// The bounds of the promises.
const (
	// leavingWithin is how long after an endpoint began to leave requests may still be sent to it,
	// and inForceWithin how long a change may take until it is in force.
	leavingWithin = 3 * time.Second
	inForceWithin = 5 * time.Second
	// recoveryWithin is the time from the end of the last fault until recoveredShare of the requests
	// must be done.
	recoveryWithin = 5 * time.Second
	recoveredShare = 0.99
)

// Result is what a run has found about one promise.
type Result struct {
	// Checked counts the checks, and Violations describes those that failed.
	Checked    int
	Violations []string
}

// Checks records what callers and endpoints see and checks the promises. It is safe for concurrent
// use.
type Checks struct {
	now func() time.Time

	mu      sync.Mutex
	results map[Promise]*Result
	// requests are all requests by id.
	requests map[string]*requestRecord
	// leaving is when each endpoint process began to leave.
	leaving map[string]time.Time
	// published are the revisions of the profiles, oldest first, and reached the highest revision that
	// each entry was seen with.
	published []publication
	reached   map[string]uint64
	// platformAt is the latest time at which the platform was disturbed, pausedAt the latest at which
	// an entry was, and disturbedAt the same for each entry.
	platformAt, pausedAt time.Time
	disturbedAt          map[string]time.Time
}

type requestRecord struct {
	sent           time.Time
	once           bool
	runs, finished int
	done, notRun   bool
}

type publication struct {
	revision uint64
	at       time.Time
}

// NewChecks returns checks that read the time from now.
func NewChecks(now func() time.Time) *Checks {
	c := &Checks{
		now: now, results: make(map[Promise]*Result), requests: make(map[string]*requestRecord),
		leaving: make(map[string]time.Time), reached: make(map[string]uint64), disturbedAt: make(map[string]time.Time),
	}
	for _, p := range Promises {
		c.results[p] = &Result{}
	}
	return c
}

// check counts a check of a promise. The lock must be held.
func (c *Checks) check(p Promise, holds bool, format string, args ...any) {
	r := c.results[p]
	r.Checked++
	if !holds {
		r.Violations = append(r.Violations, fmt.Sprintf(format, args...))
	}
}

// Sent records that a caller sends a request; once is set if it must run at most once.
func (c *Checks) Sent(id string, once bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests[id] = &requestRecord{sent: c.now(), once: once}
}

// Answered records the outcome of a request. wrong says what is wrong with its answer, if anything.
func (c *Checks) Answered(id string, done, notRun bool, wrong error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.requests[id]
	r.done, r.notRun = done, notRun
	if done {
		c.check(WholeAnswers, wrong == nil, "%s: %v", id, wrong)
	}
}

// Arrived records that a request has arrived at an endpoint process.
func (c *Checks) Arrived(endpoint, id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	began, leaving := c.leaving[endpoint]
	r := c.requests[id]
	if !leaving || r == nil || !c.pausedAt.Before(began) {
		return // a paused entry may send what it chose before
	}
	late := r.sent.Sub(began)
	c.check(LeavingIsLeft, late <= leavingWithin, "%s was sent %v after %s began to leave, and reached it", id, late, endpoint)
}

// Ran records that an endpoint began to run a request, Finished that it has.
func (c *Checks) Ran(id string) { c.count(id, func(r *requestRecord) { r.runs++ }) }

// Finished records that an endpoint has run a request to its end.
func (c *Checks) Finished(id string) { c.count(id, func(r *requestRecord) { r.finished++ }) }

func (c *Checks) count(id string, add func(*requestRecord)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r := c.requests[id]; r != nil {
		add(r)
	}
}

// Leaving records that an endpoint process begins to leave.
func (c *Checks) Leaving(endpoint string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leaving[endpoint] = c.now()
}

// Left records that an endpoint process that was leaving has ended.
func (c *Checks) Left(endpoint string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	began, leaving := c.leaving[endpoint]
	if leaving && c.now().Sub(began) > leavingWithin {
		c.check(LeavingIsLeft, true, "")
	}
}

// Stopped records the end of a planned stop.
func (c *Checks) Stopped(entry string, exitCode int, inTime bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.check(StopsCutNone, exitCode == 0 && inTime, "%s ended with exit code %d, in time: %v", entry, exitCode, inTime)
}

// Ended records whether the end of an entry's process was asked for.
func (c *Checks) Ended(entry string, told bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.check(StaysUp, told, "%s ended by itself", entry)
}

// Published records a revision of the profiles.
func (c *Checks) Published(revision uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.published = append(c.published, publication{revision, c.now()})
}

// PlatformDisturbed records that the platform begins or ceases to misbehave.
func (c *Checks) PlatformDisturbed() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.platformAt = c.now()
}

// EntryDisturbed records that an entry was started, or begins or ceases to be paused.
func (c *Checks) EntryDisturbed(entry string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.disturbedAt[entry], c.pausedAt = c.now(), c.now()
}

// Revision records the revision that an entry which is ready has in force. A change counts as due only
// if neither the entry nor the platform was disturbed for as long as it may take.
func (c *Checks) Revision(entry string, revision uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	highest := c.reached[entry]
	c.check(NeverBack, revision >= highest, "%s went back from revision %d to %d", entry, highest, revision)
	c.reached[entry] = max(highest, revision)
	due := c.now().Add(-inForceWithin)
	if !c.platformAt.Before(due) || !c.disturbedAt[entry].Before(due) {
		return
	}
	want := uint64(0)
	for _, p := range c.published {
		if p.at.Before(due) {
			want = p.revision
		}
	}
	c.check(ChangesInForce, revision >= want, "%s has revision %d; %d was published more than %v ago", entry, revision, want, inForceWithin)
}

// Finish checks what only the end of the run shows. recovered is when service must be back.
func (c *Checks) Finish(recovered time.Time) map[Promise]Result {
	c.mu.Lock()
	defer c.mu.Unlock()
	done, all := 0, 0
	for id, r := range c.requests {
		if r.done {
			c.check(DoneRan, r.finished > 0, "%s is done, but no endpoint has finished it", id)
		}
		if r.notRun {
			c.check(NotRunIsTrue, r.runs == 0, "%s is not run, but ran %d times", id, r.runs)
		}
		if r.once {
			c.check(AtMostOnce, r.runs <= 1, "%s ran %d times", id, r.runs)
		}
		if !r.sent.Before(recovered) {
			all++
			if r.done {
				done++
			}
		}
	}
	c.check(Recovery, all > 0 && float64(done) >= recoveredShare*float64(all), "%d of %d requests were done", done, all)
	results := make(map[Promise]Result)
	for p, r := range c.results {
		results[p] = Result{Checked: r.Checked, Violations: slices.Sorted(slices.Values(r.Violations))}
	}
	return results
}
