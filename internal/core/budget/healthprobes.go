package budget

import "time"

// HealthProbeConfig sets the watching budget of one pool.
type HealthProbeConfig struct {
	// Share is the share of the pool's slot time that all entries together may
	// spend on probes, for example 0.01.
	Share float64
	// ProbeCost is the slot time of one probe, 6 ms if zero.
	ProbeCost time.Duration
	// LargestFleet is the largest number of entry processes that ever run at a
	// time, those that are being replaced and their successors included. It is
	// a setting and never the number of peers seen: in a partition, or while
	// peers are counted twice or not yet known, every entry would divide by
	// another number and the sum would pass the budget.
	LargestFleet int
	// Window is the shortest window in which the budget holds, 10 s if zero.
	Window time.Duration
}

// Defaults of HealthProbeConfig.
const (
	DefaultProbeCost = 6 * time.Millisecond
	DefaultWindow    = 10 * time.Second
)

// HealthProbes decides when this entry may probe an endpoint of a pool.
//
// The bound: in every window of at least Window, all entries together spend at
// most Share of the pool's slot time, provided that at most LargestFleet entry
// processes run at any moment. The bucket holds the cost of one probe at most
// and starts empty. So a process that runs for the time t of a window spends
// at most the rate times t, and the cost of one probe more if it ran before
// the window began; only LargestFleet processes can have done that. Each
// entry's rate is its part of the budget less ProbeCost/Window, which pays for
// that one probe. Restarts cost nothing extra, however many there are: the
// successor of a process that ended starts with an empty bucket.
type HealthProbes struct {
	config HealthProbeConfig
	bucket bucket
	spent  Spending
}

// Spending counts what was spent since the process started.
type Spending struct {
	Probes   uint64
	SlotTime time.Duration
	// Denied counts the times at which the budget did not allow a probe.
	Denied uint64
}

// NewHealthProbes returns an empty budget.
func NewHealthProbes(cfg HealthProbeConfig) *HealthProbes {
	if cfg.ProbeCost <= 0 {
		cfg.ProbeCost = DefaultProbeCost
	}
	if cfg.Window <= 0 {
		cfg.Window = DefaultWindow
	}
	cfg.LargestFleet = max(1, cfg.LargestFleet)
	return &HealthProbes{
		config: cfg,
		bucket: bucket{capacity: cfg.ProbeCost.Seconds()},
	}
}

// Rate returns the slot time per second that this entry may spend in the long
// run. It is zero if the pool is too small for the window; then this entry
// never probes, and a longer window or a larger share is the remedy.
func (b *HealthProbes) Rate(slots int) float64 {
	ownShare := b.config.Share * float64(slots) / float64(b.config.LargestFleet)
	return max(0, ownShare-b.config.ProbeCost.Seconds()/b.config.Window.Seconds())
}

// TrySpend takes the cost of one probe if it is there. slots is the number of
// slots of the pool's endpoints; the bound holds for the largest number that
// any entry passes in the window.
func (b *HealthProbes) TrySpend(now time.Duration, slots int) bool {
	b.bucket.refill(now, b.Rate(slots))
	if !b.bucket.take(b.config.ProbeCost.Seconds()) {
		b.spent.Denied++
		return false
	}
	b.spent.Probes++
	b.spent.SlotTime += b.config.ProbeCost
	return true
}

// Charge accounts for a probe that took longer than its cost, for example at a
// slow endpoint. The excess is paid before the next probe.
func (b *HealthProbes) Charge(excess time.Duration) {
	if excess <= 0 {
		return
	}
	b.bucket.tokens -= excess.Seconds()
	b.spent.SlotTime += excess
}

// SetShare changes the share, for example when a close begins. In a window
// that spans the change the larger of the two shares holds: what the first
// call afterwards earns at the new rate for the time before is within the one
// probe that the bucket holds.
func (b *HealthProbes) SetShare(share float64) { b.config.Share = share }

// Share returns the share of the pool's slot time that all entries may spend.
func (b *HealthProbes) Share() float64 { return b.config.Share }

// Left returns how many probes were saved up when a probe was last asked for;
// below zero while the excess of a slow one is paid off.
func (b *HealthProbes) Left() float64 { return b.bucket.tokens / b.config.ProbeCost.Seconds() }

// Spent returns what was spent since the process started.
func (b *HealthProbes) Spent() Spending { return b.spent }
