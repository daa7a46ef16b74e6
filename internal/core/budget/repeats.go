package budget

import "time"

// windowSteps is into how many steps a window is divided. An event is counted for
// up to one step longer than the window, never shorter.
const windowSteps = 20

// window counts events of the last span.
type window struct {
	span   time.Duration
	counts [windowSteps + 1]float64
	total  float64
	step   int64
}

// advance forgets what is older than the span.
func (w *window) advance(now time.Duration) {
	step := int64(now / (w.span / windowSteps))
	if step <= w.step {
		return
	}
	if step-w.step > windowSteps {
		w.counts, w.total = [windowSteps + 1]float64{}, 0
	} else {
		for s := w.step + 1; s <= step; s++ {
			bin := &w.counts[s%(windowSteps+1)]
			w.total -= *bin
			*bin = 0
		}
	}
	w.step = step
}

func (w *window) add(now time.Duration, n float64) {
	w.advance(now)
	w.counts[w.step%(windowSteps+1)] += n
	w.total += n
}

// RepeatBound is what all entries together may send beyond the first attempt of
// each request for one pool of endpoints.
type RepeatBound struct {
	// Share of the requests in the window; 0 for no bound.
	Share float64
	// Window is the length of any window in which the bound holds.
	Window time.Duration
	// Slack is added to the share of the requests, for the fleet as a whole.
	Slack float64
}

// usableRepeatShare is the part of the bound that is used. The rest covers requests
// that one entry counts in a window and an observer counts in the next one; the part of
// the slack that no entry gets, since fewer run than may, covers them as well.
const usableRepeatShare = 0.9

// Repeats keeps the attempts beyond the first of each request within a bound that
// holds for all entries together, without a message between them: each spends its
// share of its own requests, and the sum of the shares is the share of the sum.
// The slack is divided by the largest fleet that may run, and each process earns its
// part in the course of its first window, so that neither a partition nor any number of
// restarts can add to it.
type Repeats struct {
	bound             RepeatBound
	largestFleet      int
	knownFleet        int
	started           time.Duration
	requests, repeats window
	// wanted are the repeats that requests of each rank asked for, granted or not, and
	// spent those granted.
	wanted, spent [Ranks]window
	denied        uint64
}

// Ranks is how many ranks of requests are told apart where repeats are scarce; 0 is the
// highest. There is one for each of ten priorities, and one behind them for what is late.
const Ranks = 11

// NewRepeats returns a budget for one pool of a process that started at a time; nil
// where there is no bound.
func NewRepeats(bound RepeatBound, largestFleet int, started time.Duration) *Repeats {
	if bound.Share <= 0 || bound.Window <= 0 {
		return nil
	}
	b := &Repeats{
		bound:        bound,
		started:      started,
		largestFleet: max(1, largestFleet),
		requests:     window{span: bound.Window},
		repeats:      window{span: bound.Window},
	}
	for rank := range Ranks {
		b.wanted[rank].span, b.spent[rank].span = bound.Window, bound.Window
	}
	return b
}

// Request counts a request of a caller for the pool.
func (b *Repeats) Request(now time.Duration) {
	if b != nil {
		b.requests.add(now, 1)
	}
}

// SetFleet tells the largest number of entries known to have run at a time, for a fleet
// that has grown beyond the setting.
func (b *Repeats) SetFleet(entries int) {
	if b != nil {
		b.knownFleet = entries
	}
}

// Left returns how many more attempts may be sent now.
func (b *Repeats) Left(now time.Duration) float64 {
	b.requests.advance(now)
	b.repeats.advance(now)
	slack := b.bound.Slack / float64(max(b.largestFleet, b.knownFleet))
	earned := slack * min(1, float64(now-b.started)/float64(b.bound.Window))
	return usableRepeatShare*(b.bound.Share*b.requests.total+earned) - b.repeats.total
}

// leftFor returns how many more attempts requests of a rank may send now. What those of
// higher ranks asked for within the window in vain is left to them.
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

// MaySpend reports whether one more attempt is allowed for a request of a rank, without
// spending it.
func (b *Repeats) MaySpend(now time.Duration, rank int) bool {
	return b == nil || b.leftFor(now, clampRank(rank)) >= 1
}

// TrySpend takes one attempt for a request of a rank if it is there.
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
	b.repeats.add(now, 1)
	b.spent[rank].add(now, 1)
	return true
}

// Denied counts the attempts that the bound did not allow.
func (b *Repeats) Denied() uint64 {
	if b == nil {
		return 0
	}
	return b.denied
}

// loadProbeBurst is how much of the bound on looks may be saved up. Together with
// usableLoadProbeShare it keeps the looks of any ten seconds within the bound.
const loadProbeBurst = time.Second

// usableLoadProbeShare is the part of the bound on looks that is used, since entries may
// know of each other late.
const usableLoadProbeShare = 0.9

// maxSavedLoadProbes bounds how many looks may be saved up from requests.
const maxSavedLoadProbes = 64

// LoadProbes keeps the looks at endpoints within two bounds. One follows the requests,
// so that a fleet that is partitioned, or restarted as a whole, looks no more than
// its requests warrant. The other is the pool's bound per endpoint, of which an
// entry takes the part that it has of the fleet's requests.
type LoadProbes struct {
	// perEndpoint is how many looks a second all entries may spend on an endpoint;
	// 0 for no bound.
	perEndpoint float64
	saved       float64
	rateBucket  bucket
	total       uint64
	denied      uint64
}

// NewLoadProbes returns a budget for one pool.
//
// What an entry may spend is saved up from the start of its process, and not from its
// first request on, which would otherwise be sent without a look. The bound on what may
// be saved keeps a restart of the whole fleet within one second's worth.
func NewLoadProbes(perEndpoint float64) *LoadProbes {
	return &LoadProbes{perEndpoint: perEndpoint, rateBucket: bucket{started: true}}
}

// Request earns the looks of one request.
func (b *LoadProbes) Request(probes int) { b.saved = min(maxSavedLoadProbes, b.saved+float64(probes)) }

// TrySpend takes one look if it is there. endpoints is the number of endpoints of
// the pool, part this entry's part of the fleet's requests.
func (b *LoadProbes) TrySpend(now time.Duration, endpoints int, ownShare float64) bool {
	rate := usableLoadProbeShare * b.perEndpoint * float64(endpoints) * ownShare
	b.rateBucket.capacity = max(1, rate*loadProbeBurst.Seconds())
	b.rateBucket.refill(now, rate)
	if b.saved < 1 || b.perEndpoint > 0 && !b.rateBucket.take(1) {
		b.denied++
		return false
	}
	b.saved--
	b.total++
	return true
}

// Spent returns how many looks were taken and denied since the process started.
func (b *LoadProbes) Spent() (spent, denied uint64) { return b.total, b.denied }
