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
	// ownersShare is the part of the bound that the owners of an endpoint share. The rest is for
	// entries that own the endpoint by another view of the fleet and may send as much again, for
	// example when a partition lasts until each side has forgotten the other, or when some entries
	// do not know of new entries yet.
	ownersShare = 0.5
	// maxOwners is the largest number of entries that own an endpoint, and minOwnerRate the least
	// rate in requests per second for which an owner is added.
	maxOwners    = 3
	minOwnerRate = 1.25
)

// Warmup is the published rate of a pool's cold endpoints and what the platform allows beyond it.
type Warmup struct {
	// For is how long an endpoint stays cold, PerSecond the requests per second that it can serve
	// meanwhile.
	For       time.Duration
	PerSecond float64
	// Over and Slack make the bound for any second: PerSecond x Over + Slack.
	Over, Slack float64
}

// NewColdQuota returns the rate at which an entry may send to each cold endpoint that it owns. Its
// Bound is 0 if nothing is published; cold endpoints are then not limited.
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

// Entry is an entry that may own endpoints.
type Entry struct {
	// ID identifies the entry in the assignment, Domain is its failure domain.
	ID     uint64
	Domain string
	// Capacity is the capacity of the entry's VM in thousandths of a core.
	Capacity uint32
}

const (
	// ownersInDomain is how many owners of an endpoint are in its own failure domain. The others
	// are in other domains, since the entries of a domain that lost power restart together with
	// its endpoints.
	ownersInDomain = 2
	// strongEntries is how many of the strongest entries of a failure domain have the full weight;
	// each further one has less, by its rank. Callers are sent to the strongest entries, and to
	// more of them at a higher rate of calls, which each entry counts a little differently: the
	// owners must not depend on that count.
	strongEntries = 8
)

// Candidates are the entries of a fleet, ordered by failure domain and capacity, each with its
// weight. Create them with NewCandidates.
type Candidates struct {
	entries []Entry
	weights []float64
}

// NewCandidates sorts entries, which it keeps, and computes their weights.
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

// Owns reports whether the entry with the ID self is one of the owners of an endpoint. The owners
// are the entries that rank first for its name by weighted rendezvous hashing, so that an entry
// that joins or leaves changes only the endpoints that it owns itself.
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

// rank returns the rank of the entry at index i for the key in weighted rendezvous hashing; the
// lowest is first.
func (c *Candidates) rank(key uint64, i int) float64 {
	u := (float64(assign.Score(key, c.entries[i].ID)>>11) + 0.5) / (1 << 53)
	return -math.Log(u) / c.weights[i]
}
