package balance

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/tealhall/tealhall/internal/core/table"
)

// order divides a pool among the deciders without a message: each entry prefers an equal share of
// the endpoints and has its own order among endpoints that are otherwise equal, so that two
// entries seldom choose the same slot. Entries that disagree about the membership get different
// shares, which only causes collisions.
type order struct {
	// rank has the rank of each endpoint; the lowest is taken first.
	rank []int32
	// preferred marks the endpoints of this entry's own share.
	preferred []bool
	// deciders are the entries among which the pool is divided. stale is set if they or the
	// endpoints have changed since the order was made.
	deciders []string
	stale    bool
}

// invalidate has the next refresh make the order anew. A list that changes often thus costs nothing
// in pools whose endpoints are chosen in another way.
func (o *order) invalidate(deciders []string) {
	o.deciders, o.stale = append(o.deciders[:0], deciders...), true
}

// refresh makes the order anew if it is stale.
func (o *order) refresh(p *table.Pool, self string) {
	if o.stale {
		o.stale = false
		o.rebuild(p, o.deciders, self)
	}
}

func (o *order) rebuild(p *table.Pool, deciders []string, self string) {
	n := len(p.Endpoints)
	o.rank = make([]int32, n)
	o.preferred = make([]bool, n)
	total, own := positionAmong(p.Name, deciders, self)
	for position, i := range sortedBy(p, p.Name) {
		o.preferred[i] = position%total == own
	}
	for position, i := range sortedBy(p, self) {
		o.rank[i] = int32(position)
	}
}

// sortedBy returns the indexes of the endpoints in an order that depends on salt.
func sortedBy(p *table.Pool, salt string) []int {
	sorted, keys := make([]int, len(p.Endpoints)), make([]uint64, len(p.Endpoints))
	for i := range sorted {
		sorted[i], keys[i] = i, xxhash.Sum64String(salt+"\x00"+p.Endpoints[i].Name)
	}
	slices.SortFunc(sorted, func(a, b int) int { return cmp.Compare(keys[a], keys[b]) })
	return sorted
}

// positionAmong returns the number of deciders and this entry's position among them, in an order
// that differs from pool to pool.
func positionAmong(pool string, deciders []string, self string) (total, position int) {
	if len(deciders) == 0 {
		return 1, 0
	}
	selfHash := xxhash.Sum64String(pool + "\x00" + self)
	for _, decider := range deciders {
		if decider != self && xxhash.Sum64String(pool+"\x00"+decider) < selfHash {
			position++
		}
	}
	total = len(deciders)
	if !slices.Contains(deciders, self) {
		// Callers reached an entry that is no longer one of the pool's deciders: it has no share
		// of its own and uses the endpoints of the others.
		return total, total
	}
	return total, position
}
