// Package quarantine finds requests that crash the endpoints that run them, and says which may not
// be sent any more.
//
// A crash ends all requests that the endpoint held, most of which have nothing to do with it. So
// a request is told from the others by what it does over several crashes: it was under way at
// each of them, each of its runs began after the crash before, and none has completed since. A crash
// under a request that is in quarantine speaks against no other one.
//
// A request is known by its content, once for each caller and once whoever sends it: the caller may be
// what crashes endpoints, or have nothing to do with it, and a caller may have many addresses. For all
// callers a content is in quarantine only if endpoints crashed under it for several of them.
//
// What is known is a set of crashes and completed runs, and the verdicts follow from the set alone:
// entries that know the same agree, in whatever order they learned it. The package is pure. Times are
// durations since the process started; those of events that were learned from others may be negative.
package quarantine

import (
	"cmp"
	"slices"
	"time"
)

const (
	// quarantineCrashes is how many crashes, one after the other, put a request into quarantine.
	quarantineCrashes = 3
	// minCallers is under how many callers endpoints have crashed before a content is held against
	// all.
	minCallers = 2
	// quarantinePeriod is how long it is not sent after the latest of them. Then it may run again, and each
	// further crash ends that for as long.
	quarantinePeriod = 5 * time.Minute
	// crashRetention is how long a crash counts.
	crashRetention = 2 * time.Hour
	// completionRetention is how long a completed run is remembered of which no crash is known: word of
	// the crash may come later.
	completionRetention = time.Minute
	// maxRecords bounds the contents that are remembered, those of each caller and those of all, and
	// maxCrashes the crashes of each.
	maxRecords = 2048
	maxCrashes = 64
)

// Verdict is what is held of a request.
type Verdict uint8

// The verdicts.
const (
	// Clear: nothing speaks against it.
	Clear Verdict = iota
	// Suspected: endpoints have crashed while they ran it. It may run, but not be repeated.
	Suspected
	// Quarantined: it is not sent to any endpoint.
	Quarantined
)

// Request identifies a request by numbers for its content and its caller. A Caller of 0 stands for
// any.
type Request struct{ Content, Caller uint64 }

// withAnyCaller is the request whoever sends it.
func (r Request) withAnyCaller() Request { return Request{Content: r.Content} }

// Crash is an endpoint that crashed while it ran a request.
type Crash struct {
	Request
	// Endpoint and Incarnation name the endpoint.
	Endpoint    string
	Incarnation uint64
	// Began and At are when the run began and ended.
	Began, At time.Duration
}

// record is what is known of a request.
type record struct {
	request Request
	// crashes are in the order of their ends.
	crashes []Crash
	// completedAt is when a run last completed.
	completedAt time.Duration
	completed   bool
	// changedAt is when something was last learned of it.
	changedAt time.Duration
	// count is the number of crashes, one after the other, that speak against it.
	count int
}

// Table remembers the requests under which endpoints crashed. It is not safe for concurrent use.
type Table struct {
	records map[Request]*record
	// attributed are the endpoints that crashed under a request with quarantineCrashes crashes or more, and
	// quarantined is how many such requests there are.
	attributed  map[endpoint]bool
	quarantined int
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{records: make(map[Request]*record)} }

// RecordCrash takes in a crash. It reports whether that was not known.
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
		t.recount() // it may explain what speaks against others
	}
	return added
}

// addCrash adds a crash and reports whether it was not known.
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

// Known reports whether anything is known of a request.
func (t *Table) Known(r Request) bool {
	return t.records[r] != nil || t.records[r.withAnyCaller()] != nil
}

// RecordCompletion takes in that a run of the request completed. It reports whether crashes spoke against
// the request that don't any more.
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

// Active reports whether crashes have put any request into quarantine.
func (t *Table) Active() bool { return t.quarantined > 0 }

// Verdict returns the verdict on a request.
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

// Until returns when a request in quarantine may run again.
func (t *Table) Until(request Request) (until time.Duration) {
	for _, request := range [...]Request{request, request.withAnyCaller()} {
		if r := t.records[request]; r != nil && r.count >= quarantineCrashes {
			until = max(until, r.until())
		}
	}
	return until
}

// Crashes returns the crashes that speak against a request or against all with its content, by their
// ends.
func (t *Table) Crashes(request Request) (crashes []Crash) {
	for _, request := range [...]Request{request, request.withAnyCaller()} {
		if r := t.records[request]; r != nil && len(r.crashesSinceCompletion()) > len(crashes) {
			crashes = slices.Clone(r.crashesSinceCompletion())
		}
	}
	return crashes
}

// Quarantined appends the requests in quarantine to out, in order.
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

// SuspectCount counts the contents that are suspected or in quarantine.
func (t *Table) SuspectCount() int {
	contents := make(map[uint64]bool)
	for request, r := range t.records {
		if r.count > 0 {
			contents[request.Content] = true
		}
	}
	return len(contents)
}

// Expire drops what is too old to count.
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

// recordOf returns the record of a request, which it makes if need be.
func (t *Table) recordOf(request Request) *record {
	r := t.records[request]
	if r == nil {
		t.evictIfFull()
		r = &record{request: request}
		t.records[request] = r
	}
	return r
}

// evictIfFull drops the record of least worth if the table is full: the least spoken against, of these
// the one that was touched first.
func (t *Table) evictIfFull() {
	if len(t.records) < maxRecords {
		return
	}
	var least *record
	for _, r := range t.records {
		if least == nil || compareValue(r, least) < 0 {
			least = r
		}
	}
	delete(t.records, least.request)
}

func compareValue(a, b *record) int {
	return cmp.Or(cmp.Compare(a.count, b.count), cmp.Compare(a.changedAt, b.changedAt), a.request.compare(b.request))
}

func compareEnds(a, b Crash) int {
	return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.Endpoint, b.Endpoint), cmp.Compare(a.Incarnation, b.Incarnation), cmp.Compare(a.Caller, b.Caller))
}

// crashesSinceCompletion returns the crashes since the last run that completed.
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

// until is the end of a quarantine.
func (r *record) until() time.Duration { return r.crashes[len(r.crashes)-1].At + quarantinePeriod }

// endpoint names one incarnation of an endpoint.
type endpoint struct {
	name        string
	incarnation uint64
}

func (c *Crash) endpoint() endpoint { return endpoint{c.Endpoint, c.Incarnation} }

// recount counts anew what speaks against each request, the most suspect first. Guards against a request
// that was at several endpoints together with one that crashes them.
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

// countCrashes counts what speaks against a request.
func (r *record) countCrashes(attributed map[endpoint]bool) {
	n, callers := countSuccessive(r.crashesSinceCompletion(), attributed)
	if r.count = n; r.request.Caller == 0 && callers < minCallers {
		r.count = 0
	}
}

// countSuccessive counts the crashes that no other request explains, as many as have runs that don't
// overlap, and the callers of these. Guards against a request that often comes and was at many endpoints
// when they crashed together, as when a failure domain loses power: its next runs complete.
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
