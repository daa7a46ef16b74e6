package assign

import (
	"fmt"
	"time"
)

// Search describes the search for a revision from when it became known until it is in force.
type Search struct {
	// Revision is the revision looked for; later ones may have become known since.
	Revision uint64
	// Since is when the revision became known.
	Since time.Duration
	// Fetches counts the fetches begun since then, Unanswered those of them that ended without an
	// answer.
	Fetches, Unanswered int
	// Bytes is what sources have sent since then. FetchedAt is when the first fetch began, ReceivedAt
	// when a source had first sent a whole answer; each is 0 before that.
	Bytes                 int
	FetchedAt, ReceivedAt time.Duration
}

// Describe describes the search for the audit trail, as of now.
func (s Search) Describe(now time.Duration) string {
	text := fmt.Sprintf("known for %v, %d fetches, %d without an answer", rounded(now-s.Since), s.Fetches, s.Unanswered)
	if s.FetchedAt == 0 {
		return text
	}
	text += fmt.Sprintf("; first asked for after %v, %d bytes", rounded(s.FetchedAt-s.Since), s.Bytes)
	if s.ReceivedAt == 0 {
		return text
	}
	return text + fmt.Sprintf(" received after %v, in force %v later", rounded(s.ReceivedAt-s.Since), rounded(now-s.ReceivedAt))
}

func rounded(d time.Duration) time.Duration { return d.Round(time.Millisecond) }

// Search returns the search for the oldest known revision that is neither in force nor refused, and
// whether there is one.
func (t *Tracker) Search() (Search, bool) {
	return t.plan.search, t.plan.search.Revision > t.highestJudged()
}

// updateSearch begins a search if none is under way.
func (t *Tracker) updateSearch(now time.Duration) {
	if _, searching := t.Search(); !searching && t.Wanted() != 0 {
		t.plan.search = Search{Revision: t.Wanted(), Since: now}
	}
}
