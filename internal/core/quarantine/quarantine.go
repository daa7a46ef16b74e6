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
	// crashesMost is how many crashes, one after the other, put a request into quarantine.
	crashesMost = 3
	// callersLeast is under how many callers endpoints have crashed before a content is held against
	// all.
	callersLeast = 2
	// period is how long it is not sent after the latest of them. Then it may run again, and each
	// further crash ends that for as long.
	period = 5 * time.Minute
	// keptFor is how long a crash counts.
	keptFor = 2 * time.Hour
	// completedFor is how long a completed run is remembered of which no crash is known: word of
	// the crash may come later.
	completedFor = time.Minute
	// mostRecords bounds the contents that are remembered, those of each caller and those of all, and
	// mostCrashes the crashes of each.
	mostRecords = 2048
	mostCrashes = 64
)

// Verdict is what is held of a request.
type Verdict uint8

// The verdicts.
const (
	// Sound: nothing speaks against it.
	Sound Verdict = iota
	// Suspected: endpoints have crashed while they ran it. It may run, but not be repeated.
	Suspected
	// Quarantined: it is not sent to any endpoint.
	Quarantined
)

// Request identifies a request by numbers for its content and its caller. A Caller of 0 stands for
// any.
type Request struct{ Content, Caller uint64 }

// ofAny is the request whoever sends it.
func (r Request) ofAny() Request { return Request{Content: r.Content} }

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
	// touchedAt is when something was last learned of it.
	touchedAt time.Duration
	// count is the number of crashes, one after the other, that speak against it.
	count int
}

// Table remembers the requests under which endpoints crashed. It is not safe for concurrent use.
type Table struct {
	records map[Request]*record
	// explained are the endpoints that crashed under a request with crashesMost crashes or more, and
	// quarantined is how many such requests there are.
	explained   map[endpoint]bool
	quarantined int
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{records: make(map[Request]*record)} }

// Crashed takes in a crash. It reports whether that was not known.
func (t *Table) Crashed(now time.Duration, c Crash) bool {
	if c.Content == 0 || c.Caller == 0 || now-c.At >= keptFor {
		return false
	}
	news, many := false, false
	for _, request := range [...]Request{c.Request, c.ofAny()} {
		r := t.recordOf(request)
		if !r.crashed(c) {
			continue
		}
		r.touchedAt, news = now, true
		r.weigh(t.explained)
		many = many || len(r.standing()) >= crashesMost
	}
	if many {
		t.judge() // it may explain what speaks against others
	}
	return news
}

// crashed adds a crash and reports whether it was not known.
func (r *record) crashed(c Crash) bool {
	if slices.ContainsFunc(r.crashes, func(o Crash) bool { return o.endpoint() == c.endpoint() && o.Caller == c.Caller }) {
		return false
	}
	if len(r.crashes) >= mostCrashes {
		r.crashes = slices.Delete(r.crashes, 0, 1)
	}
	r.crashes = append(r.crashes, c)
	slices.SortFunc(r.crashes, byEnd)
	return true
}

// Knows reports whether anything is known of a request.
func (t *Table) Knows(r Request) bool { return t.records[r] != nil || t.records[r.ofAny()] != nil }

// Completed takes in that a run of the request completed. It reports whether crashes spoke against
// the request that don't any more.
func (t *Table) Completed(now, at time.Duration, request Request) bool {
	cleared := false
	for _, request := range [...]Request{request, request.ofAny()} {
		r := t.recordOf(request)
		if r.completed && r.completedAt >= at {
			continue
		}
		before := len(r.standing())
		r.completed, r.completedAt, r.touchedAt = true, at, now
		cleared = cleared || len(r.standing()) != before
	}
	if cleared {
		t.judge()
	}
	return cleared
}

// Active reports whether crashes have put any request into quarantine.
func (t *Table) Active() bool { return t.quarantined > 0 }

// Of returns the verdict on a request.
func (t *Table) Of(now time.Duration, r Request) Verdict {
	if len(t.records) == 0 {
		return Sound
	}
	return max(t.records[r].verdict(now), t.records[r.ofAny()].verdict(now))
}

func (r *record) verdict(now time.Duration) Verdict {
	switch {
	case r == nil || r.count == 0:
		return Sound
	case r.count >= crashesMost && now < r.until():
		return Quarantined
	}
	return Suspected
}

// Until returns when a request in quarantine may run again.
func (t *Table) Until(request Request) (until time.Duration) {
	for _, request := range [...]Request{request, request.ofAny()} {
		if r := t.records[request]; r != nil && r.count >= crashesMost {
			until = max(until, r.until())
		}
	}
	return until
}

// Crashes returns the crashes that speak against a request or against all with its content, by their
// ends.
func (t *Table) Crashes(request Request) (crashes []Crash) {
	for _, request := range [...]Request{request, request.ofAny()} {
		if r := t.records[request]; r != nil && len(r.standing()) > len(crashes) {
			crashes = slices.Clone(r.standing())
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

// Suspects counts the contents that are suspected or in quarantine.
func (t *Table) Suspects() int {
	contents := make(map[uint64]bool)
	for request, r := range t.records {
		if r.count > 0 {
			contents[request.Content] = true
		}
	}
	return len(contents)
}

// Forget drops what is too old to count.
func (t *Table) Forget(now time.Duration) {
	changed := false
	for request, r := range t.records {
		before := len(r.crashes)
		r.crashes = slices.DeleteFunc(r.crashes, func(c Crash) bool { return now-c.At >= keptFor })
		changed = changed || len(r.crashes) != before
		if len(r.crashes) == 0 && now-r.touchedAt >= completedFor {
			delete(t.records, request)
		}
	}
	if changed {
		t.judge()
	}
}

// recordOf returns the record of a request, which it makes if need be.
func (t *Table) recordOf(request Request) *record {
	r := t.records[request]
	if r == nil {
		t.makeRoom()
		r = &record{request: request}
		t.records[request] = r
	}
	return r
}

// makeRoom drops the record of least worth if the table is full: the least spoken against, of these
// the one that was touched first.
func (t *Table) makeRoom() {
	if len(t.records) < mostRecords {
		return
	}
	var least *record
	for _, r := range t.records {
		if least == nil || worth(r, least) < 0 {
			least = r
		}
	}
	delete(t.records, least.request)
}

func worth(a, b *record) int {
	return cmp.Or(cmp.Compare(a.count, b.count), cmp.Compare(a.touchedAt, b.touchedAt), a.request.compare(b.request))
}

func byEnd(a, b Crash) int {
	return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.Endpoint, b.Endpoint), cmp.Compare(a.Incarnation, b.Incarnation), cmp.Compare(a.Caller, b.Caller))
}

// standing returns the crashes since the last run that completed.
func (r *record) standing() []Crash {
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
func (r *record) until() time.Duration { return r.crashes[len(r.crashes)-1].At + period }

// endpoint names one incarnation of an endpoint.
type endpoint struct {
	name        string
	incarnation uint64
}

func (c *Crash) endpoint() endpoint { return endpoint{c.Endpoint, c.Incarnation} }

// judge counts anew what speaks against each request, the most suspect first. Guards against a request
// that was at several endpoints together with one that crashes them.
func (t *Table) judge() {
	suspects := make([]*record, 0, len(t.records))
	for _, r := range t.records {
		r.count = 0
		if len(r.standing()) > 0 {
			suspects = append(suspects, r)
		}
	}
	slices.SortFunc(suspects, func(a, b *record) int {
		return cmp.Or(cmp.Compare(len(b.standing()), len(a.standing())), a.request.compare(b.request))
	})
	t.explained, t.quarantined = make(map[endpoint]bool), 0
	for _, r := range suspects {
		if r.weigh(t.explained); r.count < crashesMost {
			continue
		}
		t.quarantined++
		for _, c := range r.standing() {
			t.explained[c.endpoint()] = true
		}
	}
}

// weigh counts what speaks against a request.
func (r *record) weigh(explained map[endpoint]bool) {
	n, callers := inSuccession(r.standing(), explained)
	if r.count = n; r.request.Caller == 0 && callers < callersLeast {
		r.count = 0
	}
}

// inSuccession counts the crashes that no other request explains, as many as have runs that don't
// overlap, and the callers of these. Guards against a request that often comes and was at many endpoints
// when they crashed together, as when a failure domain loses power: its next runs complete.
func inSuccession(crashes []Crash, explained map[endpoint]bool) (n, callers int) {
	seen := make(map[uint64]bool)
	last := time.Duration(0)
	for i := range crashes {
		c := &crashes[i]
		if explained[c.endpoint()] || n > 0 && c.Began < last {
			continue
		}
		n, last, seen[c.Caller] = n+1, c.At, true
	}
	return n, len(seen)
}
