// Package directory answers a caller that asks which entries to use for a
// service. The answer orders entries so that callers spread evenly, stay in
// their own failure domain while its entries have room, and move to different
// entries when one disappears.
//
// The package is pure and keeps no state; a View is only read.
package directory

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/tealhall/tealhall/internal/core/assign"
)

// Request is what a caller asks.
type Request struct {
	Service string
	// Caller is a hash of the caller's identity.
	Caller uint64
	// Domain is the caller's failure domain, empty when it did not say.
	Domain string
}

// Entry is what the answering entry knows of an entry, itself included.
type Entry struct {
	Incarnation uint64
	Address     string
	Region      string
	Domain      string
	// Epoch is the entry's current epoch of idempotency keys.
	Epoch uint32
	// Leaving entries are never in an answer.
	Leaving bool
	// Suspected entries are in an answer only when hardly any other is left.
	Suspected bool
	// Load is the entry's share of its own capacity in use; 1 is full.
	Load float64
}

// View is what the answering entry knows.
type View struct {
	Self    uint64
	Region  string
	Entries []Entry
	// Serving holds the incarnations that the service is steered to, from
	// assign.ServiceEntries.
	Serving []uint64
	// MaxTTL is the longest that a caller may keep the answer; 0 stands for
	// DefaultMaxTTL.
	MaxTTL time.Duration
}

// Choice is one entry of an answer.
type Choice struct {
	Incarnation uint64
	Address     string
	Domain      string
	Epoch       uint32
	// Weight is the share of requests for this entry against the other
	// choices, up to MaxWeight; 0 means only when the others fail.
	Weight uint32
}

// Answer is what a caller gets: entries in the order in which to try them.
type Answer struct {
	Service string
	// AnsweredBy is the incarnation of the entry that answers.
	AnsweredBy uint64
	TTL        time.Duration
	Entries    []Choice
}

// Bounds of an answer.
const (
	// MaxChoices is the most entries in an answer.
	MaxChoices = 6
	// MinChoices is the fewest, as long as there are as many entries.
	MinChoices = 3
	// MinDomains is the fewest failure domains, as long as there are as many.
	MinDomains = 2
	// MaxWeight is the weight of an entry with room in the caller's own
	// failure domain.
	MaxWeight = 1000
	// DefaultMaxTTL is the longest that a caller may keep an answer where
	// nothing else is set. A leaving entry goes on serving for so long.
	DefaultMaxTTL = 12 * time.Second
)

// shortestTTL is the share of the longest time to live that every answer has.
const shortestTTL = 2.0 / 3

// remoteShare is the weight of an entry outside the caller's failure domain
// against one inside with the same load.
const remoteShare = 0.05

// awayShare is the further factor for an entry in another region.
const awayShare = 0.01

// Loads between which an entry's weight falls from full to the least.
const (
	easyLoad   = 0.7
	fullLoad   = 1.0
	leastShare = 0.02
)

// candidate is an entry with its weight and its place in the caller's order.
type candidate struct {
	entry   *Entry
	weight  float64
	place   float64 // smaller comes first
	serving bool
}

// Answer returns the entries that the caller should use. It allocates only
// the answer and a scratch list of the entries known.
func (v *View) Answer(req Request) Answer {
	found := v.candidates(req)
	v.holdBack(found)
	slices.SortFunc(found, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.place, b.place), cmp.Compare(a.entry.Incarnation, b.entry.Incarnation))
	})
	return Answer{
		Service:    req.Service,
		AnsweredBy: v.Self,
		TTL:        v.timeToLive(req.Caller),
		Entries:    choices(pick(found)),
	}
}

// holdBack takes the weight from entries that do not serve the service as far
// as those that do have room. Without it callers would spread over the entries
// that are named for the case of a failure, and each pool would have more
// entries that choose among its endpoints without knowing of each other.
func (v *View) holdBack(found []candidate) {
	room := 0.0
	for i := range found {
		if found[i].serving {
			room = max(room, roomShare(found[i].entry.Load))
		}
	}
	for i := range found {
		if !found[i].serving {
			found[i].weight *= 1 - room
		}
	}
}

// candidates returns all entries that may be in the answer, unordered.
func (v *View) candidates(req Request) []candidate {
	found := make([]candidate, 0, len(v.Entries))
	for i := range v.Entries {
		if e := &v.Entries[i]; !e.Leaving && !e.Suspected {
			found = append(found, v.candidate(e, req))
		}
	}
	if len(found) >= MinDomains {
		return found
	}
	return append(found, v.lastResort(req)...)
}

// lastResort returns the suspected entries. When an entry hears nobody, it is
// as likely cut off itself; a caller that reached it may reach the others too.
func (v *View) lastResort(req Request) []candidate {
	var found []candidate
	for i := range v.Entries {
		e := &v.Entries[i]
		if e.Leaving || !e.Suspected {
			continue
		}
		c := v.candidate(e, req)
		c.weight = 0
		c.place = math.MaxFloat64
		found = append(found, c)
	}
	return found
}

// candidate weighs one entry for a caller. The place is that of weighted
// rendezvous hashing: -ln(u)/weight with u uniform by hash of caller and
// entry. Over many callers an entry comes first in proportion to its weight,
// and when it disappears its callers spread over all others.
func (v *View) candidate(e *Entry, req Request) candidate {
	c := candidate{entry: e, weight: v.weight(e, req), serving: slices.Contains(v.Serving, e.Incarnation)}
	u := (float64(assign.Score(req.Caller, e.Incarnation)>>11) + 1) / (1 << 53)
	c.place = -math.Log(u) / c.weight
	return c
}

// weight is between 0 and 1.
func (v *View) weight(e *Entry, req Request) float64 {
	w := roomShare(e.Load)
	if e.Domain != req.Domain {
		w *= remoteShare
	}
	if e.Region != v.Region {
		w *= awayShare
	}
	return w
}

// roomShare falls linearly from 1 at easyLoad to leastShare at fullLoad. It is
// never 0: an entry that gets no requests could never show that it has room.
func roomShare(load float64) float64 {
	if !(load > easyLoad) {
		return 1
	}
	share := (fullLoad - load) / (fullLoad - easyLoad)
	return max(share, leastShare)
}

// timeToLive differs by caller, so that callers that started together do not
// ask again together.
func (v *View) timeToLive(caller uint64) time.Duration {
	longest := v.MaxTTL
	if longest <= 0 {
		longest = DefaultMaxTTL
	}
	share := float64(assign.Score(caller, 0)>>11) / (1 << 53)
	return time.Duration(float64(longest) * (shortestTTL + share*(1-shortestTTL)))
}
