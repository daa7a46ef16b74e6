package quota

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/tealhall/tealhall/internal/core/assign"
	"github.com/tealhall/tealhall/internal/core/table"
)

const (
	// burst is how many requests an owner may send at once.
	burst = 1.0
	// ownersShare is the part of the bound that the owners of an endpoint have together. The rest is
	// for entries that own it by another view of the fleet: as many again, as when a partition
	// lasts until each side has forgotten the other, or entries join and others don't know yet.
	ownersShare = 0.5
	// maxOwners is how many entries own an endpoint at most, and minOwnerRate the requests a second
	// that are worth an owner.
	maxOwners    = 3
	minOwnerRate = 1.25
)

// Warmup is what is published of a pool's cold endpoints, and what the platform allows beyond it.
type Warmup struct {
	// For is how long an endpoint stays cold, PerSecond the requests a second that it bears.
	For       time.Duration
	PerSecond float64
	// Over and Slack make the bound for any second: PerSecond x Over + Slack.
	Over, Slack float64
}

// NewColdQuota returns what an entry may send to each cold endpoint that it owns. Its Bound is 0 where
// nothing is published: then nothing binds.
func NewColdQuota(w Warmup) table.ColdQuota {
	if w.PerSecond <= 0 {
		return table.ColdQuota{}
	}
	s := table.ColdQuota{Warmup: w.For, Bound: w.PerSecond*max(1, w.Over) + w.Slack}
	usable := s.Bound * ownersShare
	s.Owners = min(maxOwners, int(usable/minOwnerRate))
	if s.Owners == 0 && usable >= burst {
		s.Owners = 1
	}
	if s.Owners > 0 {
		s.Rate = usable/float64(s.Owners) - burst
	}
	return s
}

// Entry is an entry that may own cold endpoints.
type Entry struct {
	// ID is its number in the division of duties, Domain its failure domain.
	ID     uint64
	Domain string
	// Capacity is what its VM gives it, in thousandths of a core.
	Capacity uint32
}

const (
	// ownersInDomain is how many owners of an endpoint lie in its own failure domain. The others lie
	// elsewhere, since entries of a domain that lost power come back with its endpoints.
	ownersInDomain = 2
	// strongEntries is how many of the strongest entries of a failure domain own most; each further
	// one owns less, by its place. Callers are sent to the strongest, to more of them by their
	// calls, which each entry counts a little differently: who owns what must not follow them.
	strongEntries = 8
)

// Candidates are the entries of a fleet in the order of their strength, each with its weight. Make
// them with NewCandidates.
type Candidates struct {
	entries []Entry
	weights []float64
}

// NewCandidates orders entries, which it keeps.
func NewCandidates(entries []Entry) Candidates {
	slices.SortFunc(entries, func(a, b Entry) int {
		return cmp.Or(cmp.Compare(a.Domain, b.Domain), cmp.Compare(b.Capacity, a.Capacity), cmp.Compare(a.ID, b.ID))
	})
	c := Candidates{entries: entries, weights: make([]float64, len(entries))}
	place := 0
	for i := range entries {
		if place++; i > 0 && entries[i].Domain != entries[i-1].Domain {
			place = 1
		}
		c.weights[i] = strongEntries / max(float64(place), strongEntries)
	}
	return c
}

// Owns reports whether the entry of number self is among so many owners of an endpoint: those that
// rank first for its name, by their weight, which moves only what an entry that comes or goes owns.
func (c *Candidates) Owns(self uint64, name, domain string, owners int) bool {
	near := min(owners, ownersInDomain)
	ownIndex := slices.IndexFunc(c.entries, func(e Entry) bool { return e.ID == self })
	if ownIndex < 0 {
		return false
	}
	key := assign.Key("cold", name)
	isNear := c.entries[ownIndex].Domain == domain
	places, ownRank := owners-near, c.rank(key, ownIndex)
	if isNear {
		places = near
	}
	for i := range c.entries {
		if i != ownIndex && (c.entries[i].Domain == domain) == isNear && c.rank(key, i) < ownRank {
			places--
		}
	}
	return places > 0
}

// rank is that of weighted rendezvous hashing; the lowest goes first.
func (c *Candidates) rank(key uint64, i int) float64 {
	u := (float64(assign.Score(key, c.entries[i].ID)>>11) + 0.5) / (1 << 53)
	return -math.Log(u) / c.weights[i]
}
