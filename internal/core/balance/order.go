package balance

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/tealhall/tealhall/internal/core/table"
)

// order divides a pool among the deciders without a message: each has first
// claim on an equal share of the endpoints, and takes others' endpoints in the
// reverse of the order in which their holders fill them, so that a holder and a
// borrower meet as late as possible. Deciders that disagree about the
// membership get different shares; that costs collisions only.
type order struct {
	// rank of each endpoint: low is taken first.
	rank []int32
	// home tells the endpoints on which this entry has first claim.
	home []bool
}

func (o *order) rebuild(p *table.Pool, deciders []string, self string) {
	n := len(p.Endpoints)
	o.rank = make([]int32, n)
	o.home = make([]bool, n)
	holders, own := holderOrder(p.Name, deciders, self)
	dealt := make([]int, n)
	for i := range dealt {
		dealt[i] = i
	}
	key := func(i int) uint64 { return xxhash.Sum64String(p.Name + "\x00" + p.Endpoints[i].Name) }
	slices.SortFunc(dealt, func(a, b int) int { return cmp.Compare(key(a), key(b)) })
	for position, i := range dealt {
		o.home[i] = position%holders == own
		o.rank[i] = int32(position)
		if !o.home[i] {
			o.rank[i] = int32(2*n - position)
		}
	}
}

// holderOrder returns the number of deciders and this one's place among them,
// in an order that differs from pool to pool.
func holderOrder(pool string, deciders []string, self string) (holders, own int) {
	if len(deciders) == 0 {
		return 1, 0
	}
	mine := xxhash.Sum64String(pool + "\x00" + self)
	for _, d := range deciders {
		if d != self && xxhash.Sum64String(pool+"\x00"+d) < mine {
			own++
		}
	}
	holders = len(deciders)
	if !slices.Contains(deciders, self) {
		// Callers reached an entry that is not named for the pool any more: it
		// has no share and borrows all.
		return holders, holders
	}
	return holders, own
}
