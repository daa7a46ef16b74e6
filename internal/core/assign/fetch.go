package assign

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Fetch says where to fetch a newer revision.
type Fetch struct {
	// From is Platform or the incarnation of a peer.
	From uint64
	// After is a revision; only a later one is useful.
	After uint64
	// Why says, for the log, why the configuration service is asked.
	Why string
}

// Source is a peer that reported that it has a revision.
type Source struct {
	Peer uint64
	// Near sources are asked before others: traffic between failure domains is expensive, and the
	// peers of one domain mostly learn of a revision at the same time.
	Near bool
	// Delay is how long to wait for a better source before this one is asked.
	Delay time.Duration
}

// maxSources bounds how many peers with a newer revision are remembered.
const maxSources = 4

// platformEvery makes every third fetch in a row without a result ask the configuration service
// while there are sources, in case they cannot be reached.
const platformEvery = 3

// fetchPlan decides when to fetch next, and from where.
type fetchPlan struct {
	wanted   uint64
	sources  []Source // peers that reported a newer revision
	retryAt  time.Duration
	failures int
	attempt  int
	fetching bool
	// after is the highest judged revision when the fetch under way began.
	after uint64
	// hintsIgnoredUntil is the time before which callers' hints are ignored.
	hintsIgnoredUntil time.Duration
	search            Search
}

// requestRevision makes a fetch due as soon as none is under way.
func (p *fetchPlan) requestRevision(now time.Duration, revision uint64) {
	if revision <= p.wanted {
		return
	}
	p.wanted = revision
	p.retryAt = now
}

// addSource adds a peer that can provide a newer revision. An additional source makes a fetch due
// after its delay, whatever failures preceded it. When the list is full, the new source replaces
// the first one that is not near, or the first one if all are near.
func (p *fetchPlan) addSource(now time.Duration, revision uint64, s Source) {
	if revision > p.wanted {
		p.wanted = revision
		p.retryAt = now + s.Delay
	}
	if slices.ContainsFunc(p.sources, func(known Source) bool { return known.Peer == s.Peer }) {
		return
	}
	if len(p.sources) == maxSources {
		out := max(0, slices.IndexFunc(p.sources, func(known Source) bool { return !known.Near }))
		p.sources = slices.Delete(p.sources, out, out+1)
	}
	p.sources = append(p.sources, s)
	p.retryAt = min(p.retryAt, now+s.Delay)
}

// Next returns the fetch that is due now, if any. The caller ends each fetch with Done; until then
// no other fetch is due. peers are the reachable entries; an entry without a revision in force asks
// them alternately with the configuration service.
func (t *Tracker) Next(now time.Duration, peers []uint64) (Fetch, bool) {
	p := &t.plan
	fresh := t.inForce.Revision == 0
	if p.fetching || now < p.retryAt || (!fresh && t.Wanted() == 0) {
		return Fetch{}, false
	}
	p.fetching, p.after = true, t.highestJudged()
	f := Fetch{After: p.after}
	f.From, f.Why = p.source(fresh, peers)
	p.attempt++
	p.search.Fetches++
	return f, true
}

// source picks the source for this attempt.
func (p *fetchPlan) source(fresh bool, peers []uint64) (from uint64, why string) {
	if n := len(p.sources); n > 0 {
		if p.failures%platformEvery == platformEvery-1 {
			return Platform, fmt.Sprintf("%d fetches from peers failed", p.failures)
		}
		return p.sources[p.sourceIndex(n)].Peer, ""
	}
	if fresh && len(peers) > 0 && p.attempt%2 == 1 {
		return peers[(p.attempt/2)%len(peers)], ""
	}
	return Platform, fmt.Sprintf("no peer has reported a revision, %d are reachable", len(peers))
}

// sourceIndex returns the index of the source to ask: a near one at first, and each in turn after a
// failure.
func (p *fetchPlan) sourceIndex(n int) int {
	if p.failures == 0 {
		if near := slices.IndexFunc(p.sources, func(s Source) bool { return s.Near }); near >= 0 {
			return near
		}
	}
	return p.attempt % n
}

// Done ends a fetch. answered is false when the source could not be reached. The caller offers and
// settles what the source returned before it calls Done.
func (t *Tracker) Done(now time.Duration, f Fetch, answered bool, rng *rand.Rand) {
	p := &t.plan
	p.fetching = false
	if !answered {
		p.search.Unanswered++
	}
	fresh := t.inForce.Revision == 0
	switch {
	case !fresh && t.Wanted() == 0:
		p.sources = p.sources[:0]
		p.failures = 0
	case answered && f.From != Platform && t.highestJudged() > p.after:
		// The peer may be as far as the latest revision by now.
		p.failures = 0
	case answered:
		p.handleMissing(now, f, t)
		fallthrough
	default:
		p.failures++
	}
	p.retryAt = now + t.retryPause(rng)
}

// handleMissing handles an answer without the wanted revision. A peer that does not have it is
// removed from the sources. When the configuration service does not have it and no peer reports it,
// the revision was a false hint.
func (p *fetchPlan) handleMissing(now time.Duration, f Fetch, t *Tracker) {
	if f.From != Platform {
		p.sources = slices.DeleteFunc(p.sources, func(s Source) bool { return s.Peer == f.From })
		return
	}
	if len(p.sources) == 0 {
		p.wanted = t.highestJudged()
		p.hintsIgnoredUntil = now + t.cfg.HintPause
	}
}

// retryJitter spreads the retries of entries that failed together.
const retryJitter = 0.5

// retryPause returns the time before the next fetch, which doubles with each failure.
func (t *Tracker) retryPause(rng *rand.Rand) time.Duration {
	d := t.cfg.RetryBase << min(t.plan.failures, 16)
	return jittered(min(d, t.cfg.RetryMax), retryJitter, rng)
}

// Pause records that the process slept for gap until now. A fetch that was under way is given up,
// and the configuration service's confirmation no longer counts. This guards against a late wake-up
// after which the entry takes its old revision for the latest.
func (t *Tracker) Pause(now, gap time.Duration) {
	t.plan.fetching = false
	t.plan.failures = max(t.plan.failures, platformEvery-1)
	t.plan.retryAt = now
	t.confirmed = false
	t.started += gap
}
