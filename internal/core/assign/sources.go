package assign

import (
	"cmp"
	"slices"
	"time"
)

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

// knownSource is a source with the number of fetches from it that had no answer.
type knownSource struct {
	Source
	failures int
	// busyUntil is when a source that sends to others can be asked again.
	busyUntil time.Duration
}

// sources are the peers that reported a newer revision than the one in force.
type sources []knownSource

// add adds a source and reports whether it is new. When the list is full, the new source replaces
// the first one that has not answered, else the first one that is not near, else the first one.
func (l *sources) add(s Source) bool {
	if l.index(s.Peer) >= 0 {
		return false
	}
	if len(*l) == maxSources {
		out := slices.IndexFunc(*l, func(known knownSource) bool { return known.failures > 0 })
		if out < 0 {
			out = slices.IndexFunc(*l, func(known knownSource) bool { return !known.Near })
		}
		*l = slices.Delete(*l, max(out, 0), max(out, 0)+1)
	}
	*l = append(*l, knownSource{Source: s})
	return true
}

func (l *sources) index(peer uint64) int {
	return slices.IndexFunc(*l, func(known knownSource) bool { return known.Peer == peer })
}

func (l *sources) remove(peer uint64) {
	*l = slices.DeleteFunc(*l, func(known knownSource) bool { return known.Peer == peer })
}

func (l *sources) noteFailure(peer uint64) {
	if i := l.index(peer); i >= 0 {
		(*l)[i].failures++
	}
}

// noteBusy records that a source is to be asked again at a later time.
func (l *sources) noteBusy(peer uint64, until time.Duration) {
	if i := l.index(peer); i >= 0 {
		(*l)[i].busyUntil = until
	}
}

// nextFree returns when the first source that has not failed to answer can be asked, and whether
// there is one.
func (l *sources) nextFree() (at time.Duration, found bool) {
	for _, known := range *l {
		if known.failures == 0 && (!found || known.busyUntil < at) {
			at, found = known.busyUntil, true
		}
	}
	return at, found
}

// best returns the source to ask: of those that are not busy and for which isAsked is false the one
// with the fewest failures, and whether there is one. Among equals a near one comes first, unless a
// near one has failed to answer: the whole failure domain may be cut off or without power.
func (l *sources) best(now time.Duration, isAsked func(peer uint64) bool) (peer uint64, found bool) {
	free := slices.DeleteFunc(slices.Clone(*l), func(known knownSource) bool { return now < known.busyUntil || isAsked(known.Peer) })
	if len(free) == 0 {
		return 0, false
	}
	nearFirst := !slices.ContainsFunc(*l, func(known knownSource) bool { return known.Near && known.failures > 0 })
	best := slices.MinFunc(free, func(a, b knownSource) int {
		if byFailures := cmp.Compare(a.failures, b.failures); byFailures != 0 || a.Near == b.Near {
			return byFailures
		}
		if a.Near == nearFirst {
			return -1
		}
		return 1
	})
	return best.Peer, true
}
