package assign

import (
	"fmt"
	"time"

	"github.com/tealhall/tealhall/internal/message"
	"github.com/tealhall/tealhall/internal/published"
)

// Platform is the source number of the configuration service itself; any other source is the
// incarnation of a peer.
const Platform uint64 = 0

// OfferResult is how Tracker.Offer classifies a revision.
type OfferResult uint8

// The results of an offer.
const (
	// Newer: the revision is newer than the one in force; validate its text, then call Settle.
	Newer OfferResult = iota + 1
	// Same: the revision is already in force.
	Same
	// Stale: the revision is older than the one in force, from a replica that lags. It is not put
	// in force; the audit trail should record it.
	Stale
	// Conflict: the revision has the number of the one in force but another text. It is not put in
	// force; the audit trail should record it.
	Conflict
	// Refused: the revision's text was found invalid before.
	Refused
)

// String returns the result as the audit trail shows it.
func (r OfferResult) String() string {
	switch r {
	case Newer:
		return "adopt"
	case Same:
		return "same"
	case Stale:
		return "stale"
	case Conflict:
		return "conflict"
	case Refused:
		return "refused"
	}
	return "unknown"
}

// TrackerConfig bounds a Tracker. Zero fields take defaults.
type TrackerConfig struct {
	// RetryBase and RetryMax bound the time between failed fetches.
	RetryBase, RetryMax time.Duration
	// StartPeers is how many peers must have reported their revision before a fresh entry, one that
	// has just started, is ready.
	StartPeers int
	// StartGrace is how long a fresh entry waits for StartPeers reports.
	StartGrace time.Duration
	// HintPause is how long callers' hints are ignored after a false one.
	HintPause time.Duration
	// AlwaysCurrent says that the configuration service never answers with an older revision than
	// it gave any reader before. A fresh entry then needs no peers to confirm the revision.
	AlwaysCurrent bool
}

// Defaults of TrackerConfig.
const (
	defaultRetryBase  = 100 * time.Millisecond
	defaultRetryMax   = 5 * time.Second
	defaultStartPeers = 3
	defaultStartGrace = 5 * time.Second
	defaultHintPause  = 10 * time.Second
)

func (c TrackerConfig) withDefaults() TrackerConfig {
	if c.RetryBase <= 0 {
		c.RetryBase = defaultRetryBase
	}
	if c.RetryMax <= 0 {
		c.RetryMax = defaultRetryMax
	}
	if c.StartPeers <= 0 {
		c.StartPeers = defaultStartPeers
	}
	if c.StartGrace <= 0 {
		c.StartGrace = defaultStartGrace
	}
	if c.HintPause <= 0 {
		c.HintPause = defaultHintPause
	}
	return c
}

// Tracker tracks the revision in force of one published value and decides when to fetch a newer
// one. The revision in force never decreases.
type Tracker struct {
	cfg     TrackerConfig
	started time.Duration

	inForce message.Mark
	refused message.Mark
	// held is the latest revision whose text this entry has, whether or not it is in force.
	held message.Mark
	// confirmedAt is when the configuration service last confirmed that inForce is its latest
	// revision.
	confirmedAt time.Duration
	confirmed   bool

	plan      fetchPlan
	reporters []uint64 // peers that reported their revision, at most StartPeers
	// startTarget is the revision that a fresh entry needs to be ready, 0 while it is not known.
	startTarget uint64
	ready       bool
}

// NewTracker returns a tracker without a revision in force.
func NewTracker(now time.Duration, cfg TrackerConfig) *Tracker {
	return &Tracker{cfg: cfg.withDefaults(), started: now}
}

// InForce returns the mark of the revision in force; its Revision is 0 before the first one.
func (t *Tracker) InForce() message.Mark { return t.inForce }

// LastRefused returns the mark of the latest text that was found invalid.
func (t *Tracker) LastRefused() message.Mark { return t.refused }

// Wanted returns the newest known revision that is neither in force nor refused, or 0.
func (t *Tracker) Wanted() uint64 {
	if t.plan.wanted > t.highestJudged() {
		return t.plan.wanted
	}
	return 0
}

// ConfirmedAt returns when the configuration service last confirmed that the revision in force is
// its latest, and whether it ever did.
func (t *Tracker) ConfirmedAt() (time.Duration, bool) { return t.confirmedAt, t.confirmed }

// highestJudged returns the highest revision whose text was accepted or refused here.
func (t *Tracker) highestJudged() uint64 { return max(t.inForce.Revision, t.refused.Revision) }

// Offer classifies a revision whose text came from source, which is Platform or a peer. It does not
// change the revision in force; after Newer the caller validates the text and calls Settle.
func (t *Tracker) Offer(now time.Duration, m message.Mark, source uint64) OfferResult {
	result := t.classify(m)
	if source == Platform && (result == Same || result == Newer || result == Refused) {
		t.confirm(now)
	}
	return result
}

// classify compares a mark with the revision in force. This guards against an older replica of the
// configuration service and a peer that slept, which would change profiles back: only a higher
// revision can pass.
func (t *Tracker) classify(m message.Mark) OfferResult {
	switch {
	case m.Revision < t.inForce.Revision || m.Revision == 0:
		return Stale
	case m.Revision == t.inForce.Revision && m.Digest == t.inForce.Digest:
		return Same
	case m.Revision == t.inForce.Revision:
		return Conflict
	case m == t.refused:
		return Refused
	}
	return Newer
}

// Hold records that this entry has the text of a revision, which it validates and settles next. It
// reports whether the revision is later than all others that it has. Nothing is fetched meanwhile,
// unless a still later revision is known.
func (t *Tracker) Hold(m message.Mark) bool {
	if m.Revision <= t.held.Revision || t.classify(m) != Newer {
		return false
	}
	t.held = m
	return true
}

// Available returns the mark of the latest revision that other entries can fetch from this one.
func (t *Tracker) Available() message.Mark {
	if t.isSettling() {
		return t.held
	}
	return t.inForce
}

// isSettling reports whether the text of a later revision is being validated.
func (t *Tracker) isSettling() bool { return t.held.Revision > t.highestJudged() }

// Settle records the result of validating a newer text. It reports whether the revision is now in
// force.
func (t *Tracker) Settle(m message.Mark, accepted bool) bool {
	if t.classify(m) != Newer {
		return false
	}
	if !accepted {
		if m.Revision >= t.refused.Revision {
			t.refused = m
		}
		return false
	}
	t.inForce = m
	return true
}

// Confirm records that a watch at the configuration service ended without a newer revision.
func (t *Tracker) Confirm(now time.Duration) { t.confirm(now) }

func (t *Tracker) confirm(now time.Duration) {
	t.confirmedAt, t.confirmed = now, true
}

// NotePeerRevision records the revision that a peer has. If it is newer than every revision
// accepted or refused here, a fetch from that peer becomes due after the source's delay.
func (t *Tracker) NotePeerRevision(now time.Duration, revision uint64, s Source) {
	t.addReporter(s.Peer)
	if revision > t.highestJudged() {
		t.plan.addSource(now, revision, s)
		t.updateSearch(now)
	}
}

// NoteCallerRevision records the revision that a caller has seen in another entry's answer. It is a
// hint: when neither the configuration service nor a peer has such a revision, callers' hints are
// ignored for HintPause, so that a caller that invents revisions causes few calls.
func (t *Tracker) NoteCallerRevision(now time.Duration, revision uint64) {
	if revision > t.highestJudged() && now >= t.plan.hintsIgnoredUntil {
		if t.Wanted() == 0 {
			t.plan.hintedAt, t.plan.hintPeerAsked = now, false
		}
		t.plan.requestRevision(now, revision)
		t.updateSearch(now)
	}
}

// addReporter records that a peer reported its revision.
func (t *Tracker) addReporter(peer uint64) {
	if len(t.reporters) >= t.cfg.StartPeers {
		return
	}
	for _, known := range t.reporters {
		if known == peer {
			return
		}
	}
	t.reporters = append(t.reporters, peer)
}

// Ready reports whether this entry may serve: either enough of the reachable peers have reported
// their revision, or a configuration service that is always current has confirmed one, and the
// newest revision that was known then, or a later one, is in force. Revisions that follow don't
// delay a fresh entry: it is as far behind them as those that serve. Once true, it stays true. The
// reason is for operators and is empty when ready.
//
// This guards against a fresh entry that asks a lagging replica and puts an older revision in force
// than the fleet has; callers would see settings change back.
func (t *Tracker) Ready(now time.Duration, peers int) (ready bool, reason string) {
	if t.ready {
		return true, ""
	}
	switch {
	case t.inForce.Revision == 0 && t.refused.Revision != 0:
		return false, fmt.Sprintf("revision %s is invalid and no earlier one is known", published.RevisionText(t.refused.Revision))
	case t.inForce.Revision == 0:
		return false, "neither the platform nor a peer has given a revision yet"
	}
	if t.startTarget == 0 {
		why := t.unconfirmed(now, peers)
		if why == "" {
			t.startTarget = max(t.Wanted(), t.highestJudged())
		} else if t.Wanted() == 0 {
			return false, why
		}
	}
	if missing := max(t.startTarget, t.Wanted()); t.startTarget == 0 || t.highestJudged() < t.startTarget {
		return false, fmt.Sprintf("revision %s is in force but %s exists", published.RevisionText(t.inForce.Revision), published.RevisionText(missing))
	}
	t.ready = true
	return true, ""
}

// unconfirmed returns why a fresh entry does not know yet which revision the fleet has, "" if it
// does.
func (t *Tracker) unconfirmed(now time.Duration, peers int) string {
	need := min(t.cfg.StartPeers, peers)
	switch {
	case t.cfg.AlwaysCurrent && t.confirmed:
		return ""
	case len(t.reporters) < need && now-t.started < t.cfg.StartGrace:
		return fmt.Sprintf("%d of %d peers have reported their revision", len(t.reporters), need)
	case len(t.reporters) == 0 && !t.confirmed:
		return "neither the platform nor a peer has confirmed the revision"
	}
	return ""
}
