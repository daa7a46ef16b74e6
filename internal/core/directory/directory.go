// Package directory answers a caller that asks which entries to use for a service. The answer
// orders entries so that callers spread evenly, stay in their own failure domain while its entries
// have room, and move to different entries when one disappears.
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

// Request is a caller's question.
type Request struct {
	Service string
	// Caller is a hash of the caller's identity.
	Caller uint64
	// Domain is the caller's failure domain, or empty if the caller did not give one.
	Domain string
}

// Entry is what the answering entry knows about an entry, which may be itself.
type Entry struct {
	Incarnation uint64
	Address     string
	Region      string
	Domain      string
	// Epoch is the entry's current epoch of idempotency keys.
	Epoch uint32
	// Leaving entries are never in an answer.
	Leaving bool
	// Suspected entries are in an answer only when almost no other entry is left.
	Suspected bool
	// Load is the share of the entry's capacity that is in use; 1 is full.
	Load float64
}

// View is what the answering entry knows about the fleet.
type View struct {
	Self    uint64
	Region  string
	Entries []Entry
	// Serving holds the incarnations of the entries to which callers of the service are directed,
	// from assign.ServiceEntries.
	Serving []uint64
	// MaxTTL is the longest time for which a caller may keep the answer; 0 stands for
	// DefaultMaxTTL.
	MaxTTL time.Duration
}

// Choice is one entry of an answer.
type Choice struct {
	Incarnation uint64
	Address     string
	Domain      string
	Epoch       uint32
	// Weight is the share of requests for this entry relative to the other choices, up to
	// MaxWeight; 0 means that the entry is used only when the others fail.
	Weight uint32
}

// Answer is the answer to a caller: entries in the order in which to try them.
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
	// MinChoices is the fewest entries in an answer if that many exist.
	MinChoices = 3
	// MinDomains is the fewest failure domains in an answer if that many exist.
	MinDomains = 2
	// MaxWeight is the weight of an entry with room in the caller's own failure domain.
	MaxWeight = 1000
	// DefaultMaxTTL is the longest time for which a caller may keep an answer if MaxTTL is not set.
	// A leaving entry keeps serving for that time.
	DefaultMaxTTL = 12 * time.Second
)

// minTTLShare bounds the time to live of an answer from below, as a share of the longest one.
const minTTLShare = 2.0 / 3

// otherDomainShare is the weight of an entry outside the caller's failure domain relative to one
// inside it with the same load.
const otherDomainShare = 0.05

// otherRegionShare is the additional factor for an entry in another region.
const otherRegionShare = 0.01

// Loads between which an entry's weight falls from full to minLoadShare.
const (
	lowLoad      = 0.7
	fullLoad     = 1.0
	minLoadShare = 0.02
)

// candidate is an entry with its weight and its rank for the caller.
type candidate struct {
	entry   *Entry
	weight  float64
	rank    float64 // lower ranks come first
	serving bool
}

// Answer returns the entries that the caller should use. It allocates only the answer and scratch
// lists of the known entries.
func (v *View) Answer(req Request) Answer {
	found := v.candidates(req)
	v.reduceFallbackWeights(found)
	slices.SortFunc(found, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.entry.Incarnation, b.entry.Incarnation))
	})
	return Answer{
		Service:    req.Service,
		AnsweredBy: v.Self,
		TTL:        v.timeToLive(req.Caller),
		Entries:    choices(pick(found)),
	}
}

// reduceFallbackWeights reduces the weight of entries that do not serve the service, down to 0 if a
// serving entry has full room. Otherwise callers would spread over the entries that are in the
// answer only as a fallback, and more entries would choose among a pool's endpoints without knowing
// of each other.
func (v *View) reduceFallbackWeights(found []candidate) {
	servingShare := 0.0
	for i := range found {
		if found[i].serving {
			servingShare = max(servingShare, loadShare(found[i].entry.Load))
		}
	}
	for i := range found {
		if !found[i].serving {
			found[i].weight *= 1 - servingShare
		}
	}
}

// candidates returns all entries that may be in the answer, unordered.
func (v *View) candidates(req Request) []candidate {
	found := make([]candidate, 0, len(v.Entries))
	for i := range v.Entries {
		if e := &v.Entries[i]; !e.Leaving && !e.Suspected {
			found = append(found, v.newCandidate(e, req))
		}
	}
	if len(found) >= MinDomains {
		return found
	}
	return append(found, v.lastResort(req)...)
}

// lastResort returns the suspected entries. An entry that hears from no other entry is probably cut
// off itself; a caller that reached it may also reach the others.
func (v *View) lastResort(req Request) []candidate {
	var found []candidate
	for i := range v.Entries {
		e := &v.Entries[i]
		if e.Leaving || !e.Suspected {
			continue
		}
		c := v.newCandidate(e, req)
		c.weight = 0
		c.rank = math.MaxFloat64
		found = append(found, c)
	}
	return found
}

// newCandidate weighs one entry for a caller. The rank is that of weighted rendezvous hashing:
// -ln(u)/weight with u uniform by a hash of caller and entry. Over many callers an entry comes
// first in proportion to its weight, and when it disappears its callers spread over all others.
func (v *View) newCandidate(e *Entry, req Request) candidate {
	c := candidate{entry: e, weight: v.weight(e, req), serving: slices.Contains(v.Serving, e.Incarnation)}
	u := (float64(assign.Score(req.Caller, e.Incarnation)>>11) + 1) / (1 << 53)
	c.rank = -math.Log(u) / c.weight
	return c
}

// weight returns the weight of an entry for a caller, between 0 and 1.
func (v *View) weight(e *Entry, req Request) float64 {
	w := loadShare(e.Load)
	if e.Domain != req.Domain {
		w *= otherDomainShare
	}
	if e.Region != v.Region {
		w *= otherRegionShare
	}
	return w
}

// loadShare falls linearly from 1 at lowLoad to minLoadShare at fullLoad. It is never 0: an entry
// without requests could never show that it has room.
func loadShare(load float64) float64 {
	if !(load > lowLoad) {
		return 1
	}
	share := (fullLoad - load) / (fullLoad - lowLoad)
	return max(share, minLoadShare)
}

// timeToLive returns the time to live of an answer. It differs by caller, so that callers that
// started together do not ask again together.
func (v *View) timeToLive(caller uint64) time.Duration {
	maxTTL := v.MaxTTL
	if maxTTL <= 0 {
		maxTTL = DefaultMaxTTL
	}
	share := float64(assign.Score(caller, 0)>>11) / (1 << 53)
	return time.Duration(float64(maxTTL) * (minTTLShare + share*(1-minTTLShare)))
}
