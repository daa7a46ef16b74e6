package assign

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Fetch says where to fetch a newer revision.
type Fetch struct {
	// Number distinguishes the fetches of a Tracker.
	Number int
	// From is Platform or the incarnation of a peer.
	From uint64
	// After is a revision; only a later one is useful.
	After uint64
	// Why says, for the log, why the configuration service is asked.
	Why string
}

// platformEvery makes every third fetch in a row without a result ask the configuration service
// while there are sources, in case they cannot be reached.
const platformEvery = 3

// sourcePatience is how long a source may send nothing before another one is asked as well. It is a
// fraction of the seconds within which a revision has to be in force, and several times what a
// source needs to answer.
const sourcePatience = 400 * time.Millisecond

// leastPatience bounds the patience with a source while others are silent, which is halved for each of
// them: four silent sources in a row take less than a second.
const leastPatience = 100 * time.Millisecond

// maxFetches bounds the fetches of one value that are under way at the same time: one from each
// remembered peer and one from the configuration service, of which any may be the only one that
// answers.
const maxFetches = maxSources + 1

// fetchPlan decides when to fetch next, and from where.
type fetchPlan struct {
	wanted   uint64
	sources  sources
	underway []pendingFetch // oldest first
	retryAt  time.Duration
	failures int
	attempt  int
	// hintedAt is when a caller last named a revision that was not known, and hintPeerAsked whether a
	// peer has been asked for it.
	hintedAt      time.Duration
	hintPeerAsked bool
	// hintsIgnoredUntil is the time before which callers' hints are ignored.
	hintsIgnoredUntil time.Duration
	search            Search
}

// pendingFetch is a fetch under way.
type pendingFetch struct {
	Fetch
	// heardAt is when the fetch began or its source last sent a part of the answer.
	heardAt time.Duration
	// received says that the answer is complete and is being applied.
	received bool
	// overdue says that the source has sent nothing for too long. The fetch goes on, but
	// others are not delayed by it.
	overdue bool
}

// requestRevision makes a fetch due as soon as none is under way.
func (p *fetchPlan) requestRevision(now time.Duration, revision uint64) {
	if revision <= p.wanted {
		return
	}
	p.wanted = revision
	p.retryAt = now
}

// hintPatience is how long a revision that only a caller named is looked for at peers, before the
// configuration service is asked. A caller often sees a revision just before this entry hears of it,
// and each read of the service is a whole value.
const hintPatience = 400 * time.Millisecond

// addSource adds a peer that can provide a newer revision. An additional source makes a fetch due
// after its delay, whatever failures preceded it.
func (p *fetchPlan) addSource(now time.Duration, revision uint64, s Source) {
	if revision > p.wanted {
		p.wanted = revision
		p.retryAt = now + s.Delay
	}
	if p.sources.add(s) {
		p.retryAt = min(p.retryAt, now+s.Delay)
	}
}

// Next returns the fetch that is due now, if any. The caller ends each fetch with Done. Until then
// no other fetch is due, unless the source is silent for too long: a revision that several
// peers have is not delayed by the one that was asked first. peers are the reachable entries; an
// entry without a revision in force asks them alternately with the configuration service.
func (t *Tracker) Next(now time.Duration, peers []uint64, rng *rand.Rand) (Fetch, bool) {
	p := &t.plan
	fresh := t.inForce.Revision == 0
	t.noteOverdue(now, rng)
	if now < p.retryAt || p.isWaiting() || (!fresh && t.Wanted() == 0) || t.isSettling() && t.held.Revision >= p.wanted {
		return Fetch{}, false
	}
	from, why, ok := p.source(now, fresh, peers)
	if !ok {
		return Fetch{}, false
	}
	f := Fetch{Number: p.attempt, From: from, After: t.highestJudged(), Why: why}
	p.underway = append(p.underway, pendingFetch{Fetch: f, heardAt: now})
	p.attempt++
	p.search.Fetches++
	if p.search.FetchedAt == 0 {
		p.search.FetchedAt = now
	}
	return f, true
}

// noteOverdue looks for sources that have been silent for too long. Each counts as a failure.
func (t *Tracker) noteOverdue(now time.Duration, rng *rand.Rand) {
	p := &t.plan
	patience := sourcePatience
	for i := range p.underway {
		f := &p.underway[i]
		if f.overdue {
			patience = max(patience/2, leastPatience)
			continue
		}
		if f.received || now-f.heardAt < patience {
			continue
		}
		f.overdue = true
		p.noteFailure(f.From)
		t.scheduleRetry(now, true, rng)
	}
}

// isWaiting reports whether the fetches under way are to be waited for.
func (p *fetchPlan) isWaiting() bool {
	inTime := func(f pendingFetch) bool { return !f.overdue }
	return len(p.underway) >= maxFetches || slices.ContainsFunc(p.underway, inTime)
}

// asks reports whether a fetch from a source is under way.
func (p *fetchPlan) asks(from uint64) bool {
	return slices.ContainsFunc(p.underway, func(f pendingFetch) bool { return f.From == from })
}

// source picks the source for this attempt, which none of the fetches under way asks.
func (p *fetchPlan) source(now time.Duration, fresh bool, peers []uint64) (from uint64, why string, ok bool) {
	platformAsked := p.asks(Platform)
	if len(p.sources) > 0 {
		if p.failures%platformEvery == platformEvery-1 && !platformAsked {
			return Platform, fmt.Sprintf("%d fetches from peers failed", p.failures), true
		}
		if peer, found := p.sources.best(now, p.asks); found {
			return peer, "", true
		}
		if free, some := p.sources.nextFree(); some && now < free {
			return 0, "", false
		}
		return Platform, "all peers that reported a revision are silent", !platformAsked
	}
	if fresh && len(peers) > 0 && (p.attempt%2 == 1 || platformAsked) {
		peer := peers[(p.attempt/2)%len(peers)]
		return peer, "", !p.asks(peer)
	}
	if !fresh && len(peers) > 0 && now < p.hintedAt+hintPatience {
		peer, first := peers[p.attempt%len(peers)], !p.hintPeerAsked
		p.hintPeerAsked = true
		return peer, "", first
	}
	return Platform, fmt.Sprintf("no peer has reported a revision, %d are reachable", len(peers)), !platformAsked
}

// Received records that a source sent a part of its answer of the given size, and whether the answer
// is complete.
func (t *Tracker) Received(now time.Duration, f Fetch, bytes int, complete bool) {
	i := t.plan.pendingIndex(f)
	if i < 0 {
		return
	}
	pending, search := &t.plan.underway[i], &t.plan.search
	pending.heardAt, pending.received = now, complete
	search.Bytes += bytes
	if complete && search.ReceivedAt == 0 {
		search.ReceivedAt = now
	}
}

func (p *fetchPlan) pendingIndex(f Fetch) int {
	return slices.IndexFunc(p.underway, func(u pendingFetch) bool { return u.Number == f.Number })
}

// Done ends a fetch. answered is false when the source could not be reached. The caller offers and
// settles what the source returned before it calls Done.
func (t *Tracker) Done(now time.Duration, f Fetch, answered bool, rng *rand.Rand) {
	p := &t.plan
	i := p.pendingIndex(f)
	if i < 0 {
		return // given up by Pause
	}
	overdue := p.underway[i].overdue
	p.underway = slices.Delete(p.underway, i, i+1)
	if !answered {
		p.search.Unanswered++
	}
	fresh, failed := t.inForce.Revision == 0, false
	switch {
	case !fresh && t.Wanted() == 0:
		p.sources = p.sources[:0]
		p.failures = 0
	case answered && f.From != Platform && t.highestJudged() > f.After:
		// The peer may be as far as the latest revision by now.
		p.failures = 0
	case answered && !fresh && f.From != Platform && p.sources.index(f.From) < 0:
		// The peer was asked because of a caller's hint, which is no failure of the peer.
	case answered:
		p.handleMissing(now, f, t)
		p.failures++
		failed = true
	default:
		failed = true
		if !overdue {
			p.noteFailure(f.From)
		}
	}
	t.scheduleRetry(now, failed, rng)
}

// scheduleRetry sets when the next fetch is due. After a failure a source that has not failed yet
// is asked without a pause, unless it is busy.
func (t *Tracker) scheduleRetry(now time.Duration, failed bool, rng *rand.Rand) {
	free, some := t.plan.sources.nextFree()
	if failed && some {
		t.plan.retryAt = max(now, free)
		return
	}
	t.plan.retryAt = now + t.retryPause(rng)
}

// Deferred ends a fetch whose source sends to others now and is to be asked again after wait. It is
// no failure; other sources are asked meanwhile.
func (t *Tracker) Deferred(now time.Duration, f Fetch, wait time.Duration) {
	p := &t.plan
	i := p.pendingIndex(f)
	if i < 0 {
		return // given up by Pause
	}
	p.underway = slices.Delete(p.underway, i, i+1)
	p.sources.noteBusy(f.From, now+wait)
	p.retryAt = now
	if free, some := p.sources.nextFree(); some {
		p.retryAt = max(now, free)
	}
}

// noteFailure records that a source did not answer.
func (p *fetchPlan) noteFailure(from uint64) {
	p.failures++
	p.sources.noteFailure(from)
}

// handleMissing handles an answer without the wanted revision. A peer that does not have it is
// removed from the sources. When the configuration service does not have it and no peer reports it,
// the revision was a false hint.
func (p *fetchPlan) handleMissing(now time.Duration, f Fetch, t *Tracker) {
	if f.From != Platform {
		p.sources.remove(f.From)
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

// Pause records that the process slept for gap until now. The fetches that were under way are given
// up, and the configuration service's confirmation no longer counts. This guards against a late
// wake-up after which the entry takes its old revision for the latest.
func (t *Tracker) Pause(now, gap time.Duration) {
	t.plan.underway = t.plan.underway[:0]
	t.plan.failures = max(t.plan.failures, platformEvery-1)
	t.plan.retryAt = now
	t.confirmed = false
	t.started += gap
}
