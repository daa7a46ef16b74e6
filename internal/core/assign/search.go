package assign

import "time"

// Search describes the search for a revision from when it became known until it is in force.
type Search struct {
	// Revision is the revision looked for; later ones may have become known since.
	Revision uint64
	// Since is when the revision became known.
	Since time.Duration
	// Fetches counts the fetches begun since then, Unanswered those of them that ended without an
	// answer.
	Fetches, Unanswered int
}

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
