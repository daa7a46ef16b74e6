// Package quarantine detects requests that crash the endpoints that run them, and decides which
// requests may no longer be sent.
//
// A crash ends all requests that the endpoint was running, most of which did not cause it. A
// request that causes crashes is recognized after several of them: it was running at each crash,
// each of its runs began after the previous crash, and none of its runs has completed since. A
// crash that is attributed to a quarantined request does not count against any other request.
//
// A request is identified by its content. Crashes are recorded once for the content with its caller
// and once for the content with any caller, because the caller may or may not be part of the cause,
// and one caller may have many addresses. A content is quarantined for all callers only if
// endpoints crashed while they ran it for several callers.
//
// The verdicts depend only on the set of known crashes and completed runs, so that entries with the
// same set agree, in whatever order they learned of the events. The package does no I/O and reads
// no clock. Times are durations since the process started; those of events that other entries
// reported may be negative.
package quarantine

import (
	"cmp"
	"slices"
	"time"
)

const (
	// quarantineCrashes is the number of successive crashes that put a request into quarantine.
	quarantineCrashes = 3
	// minCallers is the number of callers whose requests must have crashed endpoints before a
	// content is quarantined for all callers.
	minCallers = 2
	// quarantinePeriod is how long after its latest crash a request stays in quarantine. The
	// request may run again after that, and each further crash starts a new period.
	quarantinePeriod = 5 * time.Minute
	// crashRetention is how long a crash counts.
	crashRetention = 2 * time.Hour
	// completionRetention is how long the record of a request without a known crash is kept after
	// a run completed, because evidence of an earlier crash may arrive later.
	completionRetention = time.Minute
	// maxRecords bounds the records of all requests, and maxCrashes the crashes of each record.
	maxRecords = 2048
	maxCrashes = 64
)

// Verdict is the decision on a request.
type Verdict uint8

// The verdicts.
const (
	// Clear means that no crash counts against the request.
	Clear Verdict = iota
	// Suspected means that endpoints crashed while they ran the request. It may run, but must not
	// be repeated.
	Suspected
	// Quarantined means that the request must not be sent to any endpoint.
	Quarantined
)

// Request identifies a request by numbers for its content and its caller. A Caller of 0 stands for
// any caller.
type Request struct{ Content, Caller uint64 }

// withAnyCaller returns the request's content with any caller.
func (r Request) withAnyCaller() Request { return Request{Content: r.Content} }

// Crash is the crash of an endpoint while it ran a request.
type Crash struct {
	Request
	// Endpoint and Incarnation identify the endpoint.
	Endpoint    string
	Incarnation uint64
	// Began is when the run began, and At when the crash ended it.
	Began, At time.Duration
}

// record holds the known crashes and the latest completed run of a request.
type record struct {
	request Request
	// crashes is in the order of compareEnds.
	crashes []Crash
	// completedAt is when a run last completed.
	completedAt time.Duration
	completed   bool
	// changedAt is when a crash or a completed run was last added.
	changedAt time.Duration
	// count is the number of successive crashes that count against the request.
	count int
}

// Table records the requests that endpoints were running when they crashed. It is not safe for
// concurrent use.
type Table struct {
	records map[Request]*record
	// attributed contains the endpoints whose crashes are attributed to a request with at least
	// quarantineCrashes crashes. quarantined is the number of such requests.
	attributed  map[endpoint]bool
	quarantined int
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{records: make(map[Request]*record)} }

// RecordCrash records a crash and reports whether it was new.
func (t *Table) RecordCrash(now time.Duration, c Crash) bool {
	if c.Content == 0 || c.Caller == 0 || now-c.At >= crashRetention {
		return false
	}
	added, limitReached := false, false
	for _, request := range [...]Request{c.Request, c.withAnyCaller()} {
		r := t.recordOf(request)
		if !r.addCrash(c) {
			continue
		}
		r.changedAt, added = now, true
		r.countCrashes(t.attributed)
		limitReached = limitReached || len(r.crashesSinceCompletion()) >= quarantineCrashes
	}
	if limitReached {
		t.recount() // crashes counted against other requests may now be attributed to this one
	}
	return added
}

// addCrash adds a crash and reports whether it was new.
func (r *record) addCrash(c Crash) bool {
	if slices.ContainsFunc(r.crashes, func(o Crash) bool { return o.endpoint() == c.endpoint() && o.Caller == c.Caller }) {
		return false
	}
	if len(r.crashes) >= maxCrashes {
		r.crashes = slices.Delete(r.crashes, 0, 1)
	}
	r.crashes = append(r.crashes, c)
	slices.SortFunc(r.crashes, compareEnds)
	return true
}

// Known reports whether the table has a record of the request or of its content.
func (t *Table) Known(r Request) bool {
	return t.records[r] != nil || t.records[r.withAnyCaller()] != nil
}

// RecordCompletion records that a run of the request completed at the time at. It reports whether
// this cleared crashes that counted against the request.
func (t *Table) RecordCompletion(now, at time.Duration, request Request) bool {
	cleared := false
	for _, request := range [...]Request{request, request.withAnyCaller()} {
		r := t.recordOf(request)
		if r.completed && r.completedAt >= at {
			continue
		}
		before := len(r.crashesSinceCompletion())
		r.completed, r.completedAt, r.changedAt = true, at, now
		cleared = cleared || len(r.crashesSinceCompletion()) != before
	}
	if cleared {
		t.recount()
	}
	return cleared
}

// Active reports whether any request has enough crashes for quarantine, even if its quarantine has
// ended since.
func (t *Table) Active() bool { return t.quarantined > 0 }

// Verdict returns the verdict on a request, the stricter one of those for its caller and for all
// callers.
func (t *Table) Verdict(now time.Duration, r Request) Verdict {
	if len(t.records) == 0 {
		return Clear
	}
	return max(t.records[r].verdict(now), t.records[r.withAnyCaller()].verdict(now))
}

func (r *record) verdict(now time.Duration) Verdict {
	switch {
	case r == nil || r.count == 0:
		return Clear
	case r.count >= quarantineCrashes && now < r.until():
		return Quarantined
	}
	return Suspected
}

// Until returns when a request in quarantine may run again, or 0 if it has too few crashes.
func (t *Table) Until(request Request) (until time.Duration) {
	for _, request := range [...]Request{request, request.withAnyCaller()} {
		if r := t.records[request]; r != nil && r.count >= quarantineCrashes {
			until = max(until, r.until())
		}
	}
	return until
}

// Crashes returns the crashes since the last completed run, in order of time: those of the request
// or those of its content with any caller, whichever are more.
func (t *Table) Crashes(request Request) (crashes []Crash) {
	for _, request := range [...]Request{request, request.withAnyCaller()} {
		if r := t.records[request]; r != nil && len(r.crashesSinceCompletion()) > len(crashes) {
			crashes = slices.Clone(r.crashesSinceCompletion())
		}
	}
	return crashes
}

// Quarantined appends the requests in quarantine to out, ordered by content and caller.
func (t *Table) Quarantined(now time.Duration, out []Request) []Request {
	if !t.Active() {
		return out
	}
	for request, r := range t.records {
		if r.verdict(now) == Quarantined {
			out = append(out, request)
		}
	}
	slices.SortFunc(out, Request.compare)
	return out
}

func (r Request) compare(o Request) int {
	return cmp.Or(cmp.Compare(r.Content, o.Content), cmp.Compare(r.Caller, o.Caller))
}

// Suspects returns the number of contents that are suspected or in quarantine.
func (t *Table) Suspects() int {
	contents := make(map[uint64]bool)
	for request, r := range t.records {
		if r.count > 0 {
			contents[request.Content] = true
		}
	}
	return len(contents)
}

// Expire drops crashes and records that are too old to count.
func (t *Table) Expire(now time.Duration) {
	changed := false
	for request, r := range t.records {
		before := len(r.crashes)
		r.crashes = slices.DeleteFunc(r.crashes, func(c Crash) bool { return now-c.At >= crashRetention })
		changed = changed || len(r.crashes) != before
		if len(r.crashes) == 0 && now-r.changedAt >= completionRetention {
			delete(t.records, request)
		}
	}
	if changed {
		t.recount()
	}
}

// recordOf returns the record of a request and creates it if there is none.
func (t *Table) recordOf(request Request) *record {
	r := t.records[request]
	if r == nil {
		t.evictIfFull()
		r = &record{request: request}
		t.records[request] = r
	}
	return r
}

// evictIfFull drops a record if the table is full: the one with the fewest successive crashes, and
// among those the one that was changed least recently.
func (t *Table) evictIfFull() {
	if len(t.records) < maxRecords {
		return
	}
	var least *record
	for _, r := range t.records {
		if least == nil || compareForEviction(r, least) < 0 {
			least = r
		}
	}
	delete(t.records, least.request)
}

// compareForEviction orders records; the first one is evicted first.
func compareForEviction(a, b *record) int {
	return cmp.Or(cmp.Compare(a.count, b.count), cmp.Compare(a.changedAt, b.changedAt), a.request.compare(b.request))
}

func compareEnds(a, b Crash) int {
	return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.Endpoint, b.Endpoint), cmp.Compare(a.Incarnation, b.Incarnation), cmp.Compare(a.Caller, b.Caller))
}

// crashesSinceCompletion returns the crashes after the latest completed run.
func (r *record) crashesSinceCompletion() []Crash {
	if !r.completed {
		return r.crashes
	}
	i, _ := slices.BinarySearchFunc(r.crashes, r.completedAt, func(c Crash, at time.Duration) int {
		if c.At <= at {
			return -1
		}
		return 1
	})
	return r.crashes[i:]
}

// until returns the end of the quarantine.
func (r *record) until() time.Duration { return r.crashes[len(r.crashes)-1].At + quarantinePeriod }

// endpoint identifies one incarnation of an endpoint.
type endpoint struct {
	name        string
	incarnation uint64
}

func (c *Crash) endpoint() endpoint { return endpoint{c.Endpoint, c.Incarnation} }

// recount counts the crashes against each request again. It starts with the request that has the
// most crashes and attributes these to it, so that a harmless request that ran on several endpoints
// together with a request that crashes them is not quarantined.
func (t *Table) recount() {
	suspects := make([]*record, 0, len(t.records))
	for _, r := range t.records {
		r.count = 0
		if len(r.crashesSinceCompletion()) > 0 {
			suspects = append(suspects, r)
		}
	}
	slices.SortFunc(suspects, func(a, b *record) int {
		return cmp.Or(cmp.Compare(len(b.crashesSinceCompletion()), len(a.crashesSinceCompletion())), a.request.compare(b.request))
	})
	t.attributed, t.quarantined = make(map[endpoint]bool), 0
	for _, r := range suspects {
		if r.countCrashes(t.attributed); r.count < quarantineCrashes {
			continue
		}
		t.quarantined++
		for _, c := range r.crashesSinceCompletion() {
			t.attributed[c.endpoint()] = true
		}
	}
}

// countCrashes updates the count of crashes against a request.
func (r *record) countCrashes(attributed map[endpoint]bool) {
	n, callers := countSuccessive(r.crashesSinceCompletion(), attributed)
	if r.count = n; r.request.Caller == 0 && callers < minCallers {
		r.count = 0
	}
}

// countSuccessive counts the crashes that are not attributed to another request and whose runs do
// not overlap, and the callers of these runs. Overlapping runs count once because a frequent
// request runs on many endpoints when these crash together, as when a failure domain loses power;
// its next runs complete.
func countSuccessive(crashes []Crash, attributed map[endpoint]bool) (n, callers int) {
	seenCallers := make(map[uint64]bool)
	previousEnd := time.Duration(0)
	for i := range crashes {
		c := &crashes[i]
		if attributed[c.endpoint()] || n > 0 && c.Began < previousEnd {
			continue
		}
		n, previousEnd, seenCallers[c.Caller] = n+1, c.At, true
	}
	return n, len(seenCallers)
}
