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
	// Share is the number of repeats per request; 0 means no bound. The requests are those of the
	// window, of the one before or of the one half a window before, whichever has most.
	Share float64
	// Window is the length of the windows in which the bound holds, wherever they begin.
	Window time.Duration
	// Slack is the number of repeats that the whole fleet may send in addition to the share.
	Slack float64
}

// usableRepeatShare is the share of the bound that entries use. The rest covers the time between a
// request or repeat that an entry counts and its arrival elsewhere, which may be in another window.
const usableRepeatShare = 0.9

// Weights of the requests of a window and of the window before it. An entry does not know which window
// has most requests of the whole fleet. If each entry took the one in which it has most itself, they
// would exceed the bound together when callers leave some entries for others. The mean with the same
// weights at all entries never exceeds the largest.
const (
	currentWindowWeight  = 0.4
	previousWindowWeight = 1 - currentWindowWeight
)

// savedSlackShare is the share of the slack that a process may use at once. It earns the rest over the
// time of each window.
const savedSlackShare = 0.5

// Repeats keeps the repeats of all entries together within a bound without messages between the
// entries. Every window that a repeat falls into must allow it, with the requests known so far: traffic
// may end before the window does. Each entry spends for its own requests, and these amounts add up to
// the share of all requests. The slack is divided by the largest fleet that may run, and a process that
// has just started has saved none of it, so that neither a partition nor a restart raises the total.
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
	// For the windows that begin in the step of an age: the most repeats in them, and the fewest requests
	// in them so far and in the windows before them.
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
