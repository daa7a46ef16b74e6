package assign

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Fetch names whom to ask for a later revision.
type Fetch struct {
	// From is Platform or the incarnation of a peer.
	From uint64
	// After: only a later revision is of use.
	After uint64
}

// Source is a peer that said that it holds a revision.
type Source struct {
	Peer uint64
	// Near says that it is to be asked before others: bytes between failure domains are
	// dear, and the peers of one domain mostly learn of a revision at the same time.
	Near bool
	// Delay is how long to wait for a better source before it is asked.
	Delay time.Duration
}

// maxSources bounds how many peers that hold a later revision are remembered.
const maxSources = 4

// platformEvery: while peers hold a later revision, every third fetch in a row that
// brings nothing asks the platform instead, in case they cannot be reached.
const platformEvery = 3

// fetchPlan is when and whom to ask next.
type fetchPlan struct {
	wanted   uint64
	sources  []Source // peers that said they hold a later revision
	retryAt  time.Duration
	failures int
	attempt  int
	fetching bool
	// hintsIgnoredUntil: callers' hints are ignored before this time.
	hintsIgnoredUntil time.Duration
}

// requestRevision asks for a revision as soon as no fetch is under way.
func (p *fetchPlan) requestRevision(now time.Duration, revision uint64) {
	if revision <= p.wanted {
		return
	}
	p.wanted = revision
	p.retryAt = now
}

// addSource notes a peer that can give a later revision. A further peer is worth a
// fetch after its patience, however the ones before it failed. Where there are many, a far
// one makes room for a near one.
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

// Next returns whom to ask now, if anybody. The caller ends each fetch with
// Done; until then no other one is due. peers are the entries that can be
// reached, which a fresh entry asks in turn with the platform.
func (t *Tracker) Next(now time.Duration, peers []uint64) (Fetch, bool) {
	p := &t.plan
	fresh := t.inForce.Revision == 0
	if p.fetching || now < p.retryAt || (!fresh && t.Wanted() == 0) {
		return Fetch{}, false
	}
	p.fetching = true
	f := Fetch{From: p.source(fresh, peers), After: t.highestJudged()}
	p.attempt++
	return f, true
}

// source picks whom to ask in this attempt.
func (p *fetchPlan) source(fresh bool, peers []uint64) uint64 {
	if n := len(p.sources); n > 0 {
		if p.failures%platformEvery == platformEvery-1 {
			return Platform
		}
		return p.sources[p.sourceIndex(n)].Peer
	}
	if fresh && len(peers) > 0 && p.attempt%2 == 1 {
		return peers[(p.attempt/2)%len(peers)]
	}
	return Platform
}

// sourceIndex returns the index of the holder to ask: a near one at first, and after a failure
// each in turn.
func (p *fetchPlan) sourceIndex(n int) int {
	if p.failures == 0 {
		if near := slices.IndexFunc(p.sources, func(s Source) bool { return s.Near }); near >= 0 {
			return near
		}
	}
	return p.attempt % n
}

// Done ends a fetch. answered is false when the source could not be reached.
// What the source gave must have been offered and settled before.
func (t *Tracker) Done(now time.Duration, f Fetch, answered bool, rng *rand.Rand) {
	p := &t.plan
	p.fetching = false
	fresh := t.inForce.Revision == 0
	switch {
	case !fresh && t.Wanted() == 0:
		p.sources = p.sources[:0]
		p.failures = 0
	case answered:
		p.handleMissing(now, f, t)
		fallthrough
	default:
		p.failures++
	}
	p.retryAt = now + t.retryPause(rng)
}

// handleMissing handles an answer without the wanted revision. A peer that does not
// hold it is asked no more. When the platform has not got it and no peer
// claims to, the revision was a false hint.
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

// retryJitter spreads retries of entries that failed together.
const retryJitter = 0.5

// retryPause returns the time before the next fetch: doubling with each failure.
func (t *Tracker) retryPause(rng *rand.Rand) time.Duration {
	d := t.cfg.RetryBase << min(t.plan.failures, 16)
	return jittered(min(d, t.cfg.RetryMax), retryJitter, rng)
}

// Pause notes that the process slept for gap until now. A fetch that was under
// way is given up, and the platform's confirmation no longer counts. Guards
// against a late wake-up that takes its old revision for the latest.
func (t *Tracker) Pause(now, gap time.Duration) {
	t.plan.fetching = false
	t.plan.failures = max(t.plan.failures, platformEvery-1)
	t.plan.retryAt = now
	t.confirmed = false
	t.started += gap
}
