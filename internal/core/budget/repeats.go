package budget

import (
	"math"
	"time"
)

// repeatSteps is the number of steps of a window of the bound on repeats. Windows that begin in the same
// step are taken for one.
const repeatSteps = 40

// RepeatBound bounds the repeats, the attempts beyond the first one of each request, that all
// entries together may send to one pool.
type RepeatBound struct {
	// Share is the number of repeats per request in the window; 0 means no bound.
	Share float64
	// Window is the length of the windows in which the bound holds, wherever they begin.
	Window time.Duration
	// Slack is the number of repeats that the whole fleet may send in addition to the share.
	Slack float64
}

// usableRepeatShare is the share of the bound that entries use. The rest covers the time between a
// request or repeat that an entry counts and its arrival elsewhere, which may be in another window.
const usableRepeatShare = 0.9

// The bound of a window counts the requests of that window, of the one before, or of the one half a
// window before, whichever has most. Which one that is for the whole fleet, an entry cannot know: in
// a window in which callers leave some entries for others, each entry would choose the one that suits
// it, and together they would exceed the bound. So all of them use the same weighted mean of the first
// two, which is never more than the largest.
const (
	currentWindowWeight  = 0.4
	previousWindowWeight = 1 - currentWindowWeight
)

// savedSlackShare is the share of the slack that a process may use at once. It earns the rest over the
// time of each window.
const savedSlackShare = 0.5

// Repeats keeps the repeats of all entries together within a bound without messages between the
// entries. A repeat must be allowed by every window that it falls into, also by those that have just
// begun, since nobody knows how many requests are still to come in them. The amounts that the entries
// may spend in a window add up to the share of all requests. The slack is divided by the largest fleet
// that may run, and a process that has just started has none of it saved, so that neither a partition
// nor a restart raises the total.
type Repeats struct {
	bound        RepeatBound
	largestFleet int
	knownFleet   int
	started      time.Duration
	// requests covers the windows that a repeat falls into and the windows before them, repeats only
	// the former.
	requests, repeats steps
	// wanted counts the repeats that requests of each rank asked for, and spent those that were
	// allowed.
	wanted, spent [Ranks]window
	denied        uint64
}

// Ranks is the number of ranks of requests among which scarce repeats are distributed. Rank 0 is
// the highest. Each of the ten priorities has a rank, and the last rank is for late requests.
const Ranks = 11

// NewRepeats returns a budget for one pool of a process that started at the given time, or nil if
// there is no bound. A nil budget allows every repeat.
func NewRepeats(bound RepeatBound, largestFleet int, started time.Duration) *Repeats {
	if bound.Share <= 0 || bound.Window <= 0 {
		return nil
	}
	b := &Repeats{
		bound:        bound,
		started:      started,
		largestFleet: max(1, largestFleet),
		requests:     newSteps(bound.Window/repeatSteps, 2*repeatSteps+1),
		repeats:      newSteps(bound.Window/repeatSteps, repeatSteps+1),
	}
	for rank := range Ranks {
		b.wanted[rank].span, b.spent[rank].span = bound.Window, bound.Window
	}
	return b
}

// Request counts a caller's request for the pool.
func (b *Repeats) Request(now time.Duration) {
	if b != nil {
		b.requests.add(now)
	}
}

// SetFleet sets the largest number of entries known to have run at the same time. It takes effect
// if the fleet has grown beyond the configured size.
func (b *Repeats) SetFleet(entries int) {
	if b != nil {
		b.knownFleet = entries
	}
}

// Left returns how many repeats may be sent now.
func (b *Repeats) Left(now time.Duration) float64 {
	b.requests.advance(now)
	b.repeats.advance(now)
	left := math.Inf(1)
	// Sums for the windows that begin in the step of an age: their repeats, and the least number of
	// requests in them so far and in the windows before them.
	sent, current, previous := 0, 0, b.requests.sum(1, repeatSteps)
	for age := range repeatSteps + 1 {
		sent += b.repeats.at(age)
		requests := currentWindowWeight*float64(current) + previousWindowWeight*float64(previous)
		allowed := usableRepeatShare * (b.bound.Share*requests + b.slack(now, age))
		left = min(left, allowed-float64(sent))
		current += b.requests.at(age)
		previous += b.requests.at(age+repeatSteps) - b.requests.at(age+1)
	}
	return left
}

// slack returns this process's part of the slack for a window that begins in the step of an age.
func (b *Repeats) slack(now time.Duration, age int) float64 {
	part := b.bound.Slack / float64(max(b.largestFleet, b.knownFleet))
	began := b.repeats.begin(age)
	saved := max(0, min(1, float64(began-b.started)/float64(b.bound.Window)))
	earned := float64(now-max(began+b.repeats.length, b.started)) / float64(b.bound.Window)
	return part * (savedSlackShare*saved + (1-savedSlackShare)*max(0, earned))
}

// Counted returns the requests and the repeats of the latest window.
func (b *Repeats) Counted(now time.Duration) (requests, repeats int) {
	if b == nil {
		return 0, 0
	}
	b.requests.advance(now)
	b.repeats.advance(now)
	return b.requests.sum(0, repeatSteps), b.repeats.sum(0, repeatSteps)
}

// leftFor returns how many repeats may be sent now for requests of a rank. It reserves the repeats
// that requests of higher ranks were denied within the window.
func (b *Repeats) leftFor(now time.Duration, rank int) float64 {
	left := b.Left(now)
	for higher := range rank {
		wanted, spent := &b.wanted[higher], &b.spent[higher]
		wanted.advance(now)
		spent.advance(now)
		left -= max(0, wanted.total-spent.total)
	}
	return left
}

func clampRank(rank int) int { return min(max(rank, 0), Ranks-1) }

// MaySpend reports whether the budget allows a repeat for a request of a rank, without spending it.
func (b *Repeats) MaySpend(now time.Duration, rank int) bool {
	return b == nil || b.leftFor(now, clampRank(rank)) >= 1
}

// TrySpend spends one repeat for a request of a rank and reports true if the budget allows it.
func (b *Repeats) TrySpend(now time.Duration, rank int) bool {
	if b == nil {
		return true
	}
	rank = clampRank(rank)
	b.wanted[rank].add(now, 1)
	if b.leftFor(now, rank) < 1 {
		b.denied++
		return false
	}
	b.repeats.add(now)
	b.spent[rank].add(now, 1)
	return true
}

// Denied returns how many repeats the bound did not allow.
func (b *Repeats) Denied() uint64 {
	if b == nil {
		return 0
	}
	return b.denied
}

// Unused load probes may be saved up over loadProbeBurst. Together with usableLoadProbeShare it keeps
// the load probes of any ten seconds within the bound. In a fleet with more than burstEntries entries,
// each of which sees few requests, they are saved up over proportionally longer, up to
// maxLoadProbeBurst: a peak there is a matter of a few requests for each entry, and an entry that has
// used up its probes finds no endpoint although some have room. The bound holds over any longer time.
const (
	loadProbeBurst    = time.Second
	maxLoadProbeBurst = 4 * time.Second
	burstEntries      = 30
)

// burstFor returns the time over which an entry with the given share of the fleet's requests saves up
// load probes.
func burstFor(ownShare float64) time.Duration {
	if ownShare <= 0 {
		return loadProbeBurst
	}
	burst := float64(loadProbeBurst) / (burstEntries * ownShare)
	return time.Duration(min(max(burst, float64(loadProbeBurst)), float64(maxLoadProbeBurst)))
}

// usableLoadProbeShare is the share of the bound on load probes that entries use. The rest covers
// entries that do not know of each other yet.
const usableLoadProbeShare = 0.9

// maxSavedLoadProbes bounds how many load probes may be saved up from requests, where the bound per
// endpoint allows no more.
const maxSavedLoadProbes = 64

// LoadProbes keeps an entry's load probes within two bounds. The first is proportional to the
// entry's requests, so that even a partitioned fleet, or a fleet that restarts as a whole, sends no
// more load probes than its requests justify. The second is the pool's bound per endpoint, of which
// each entry uses a share equal to its share of the fleet's requests.
type LoadProbes struct {
	// perEndpoint is the number of load probes per second that all entries together may send to an
	// endpoint; 0 means no bound.
	perEndpoint float64
	saved       float64
	rateBucket  bucket
	total       uint64
	denied      uint64
}

// NewLoadProbes returns a budget for one pool.
//
// The bound per endpoint is earned from the start of the process. If it were earned from the first
// request on, that request would be sent without a load probe. loadProbeBurst limits the load
// probes after a restart of the whole fleet to those of one second.
func NewLoadProbes(perEndpoint float64) *LoadProbes {
	return &LoadProbes{perEndpoint: perEndpoint, rateBucket: bucket{started: true}}
}

// Request adds the number of load probes that one request earns.
func (b *LoadProbes) Request(probes int) {
	b.saved = min(max(maxSavedLoadProbes, b.rateBucket.capacity), b.saved+float64(probes))
}

// TrySpend spends one load probe and reports true if both bounds allow it. endpoints is the number
// of endpoints of the pool, and ownShare is this entry's share of the fleet's requests.
func (b *LoadProbes) TrySpend(now time.Duration, endpoints int, ownShare float64) bool {
	rate := usableLoadProbeShare * b.perEndpoint * float64(endpoints) * ownShare
	b.rateBucket.capacity = max(1, rate*burstFor(ownShare).Seconds())
	b.rateBucket.refill(now, rate)
	if b.saved < 1 || b.perEndpoint > 0 && !b.rateBucket.take(1) {
		b.denied++
		return false
	}
	b.saved--
	b.total++
	return true
}

// Spent returns how many load probes were allowed and denied since the process started.
func (b *LoadProbes) Spent() (spent, denied uint64) { return b.total, b.denied }
