package budget

import "time"

// HealthProbeConfig configures the health probe budget of one pool.
type HealthProbeConfig struct {
	// Share is the share of the pool's slot time that all entries together may spend on health
	// probes, for example 0.01.
	Share float64
	// ProbeCost is the slot time of one probe, DefaultProbeCost if zero.
	ProbeCost time.Duration
	// LargestFleet is the largest number of entry processes that ever run at the same time,
	// including processes that are being replaced and their successors. It comes from the settings
	// and not from the number of known peers: during a partition, or while peers are counted twice
	// or not yet known, each entry would divide by a different number and the entries together
	// would exceed the budget.
	LargestFleet int
	// Window is the shortest window in which the budget holds, DefaultWindow if zero.
	Window time.Duration
}

// Defaults of HealthProbeConfig.
const (
	DefaultProbeCost = 6 * time.Millisecond
	DefaultWindow    = 10 * time.Second
)

// HealthProbes decides when this entry may send a health probe to an endpoint of a pool.
//
// Its bound is: in every window of at least Window, all entries together spend at most Share of the
// pool's slot time, provided that at most LargestFleet entry processes run at any moment.
//
// The bucket starts empty and its capacity is the cost of one probe. A process that runs for the
// time t of a window therefore spends at most the rate times t, plus the cost of one probe if it
// ran before the window began. At most LargestFleet processes ran at that time. Each entry's rate
// is its share of the budget less ProbeCost/Window, which covers that one probe. Any number of
// restarts adds nothing, because the successor of an ended process starts with an empty bucket.
type HealthProbes struct {
	config HealthProbeConfig
	bucket bucket
	spent  Spending
}

// Spending counts the probes and their slot time since the process started.
type Spending struct {
	Probes   uint64
	SlotTime time.Duration
	// Denied counts the probes that the budget did not allow.
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

// Rate returns the slot time per second that this entry may spend in the long run. It is zero if
// the pool is too small for the window. The entry then sends no health probes until the window is
// made longer or the share larger.
func (b *HealthProbes) Rate(slots int) float64 {
	ownShare := b.config.Share * float64(slots) / float64(b.config.LargestFleet)
	return max(0, ownShare-b.config.ProbeCost.Seconds()/b.config.Window.Seconds())
}

// TrySpend spends the cost of one probe and reports true if the budget allows it. slots is the
// number of slots of the pool's endpoints. The bound holds for the largest number that any entry
// passes in the window.
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

// Charge accounts for a probe that took longer than ProbeCost, for example at a slow endpoint. The
// excess delays the next probe.
func (b *HealthProbes) Charge(excess time.Duration) {
	if excess <= 0 {
		return
	}
	b.bucket.tokens -= excess.Seconds()
	b.spent.SlotTime += excess
}

// SetShare changes the share, for example when a close of the calendar begins. In a window that
// spans the change, the larger of the two shares is the bound: the next refill applies the new rate
// also to the time before the change, but the bucket's capacity limits it to one probe.
func (b *HealthProbes) SetShare(share float64) { b.config.Share = share }

// Share returns the share of the pool's slot time that all entries may spend.
func (b *HealthProbes) Share() float64 { return b.config.Share }

// Left returns how many probes the budget allowed at the last TrySpend or Charge. It is negative
// while the excess of a slow probe is not yet earned back.
func (b *HealthProbes) Left() float64 { return b.bucket.tokens / b.config.ProbeCost.Seconds() }

// Spent returns the spending since the process started.
func (b *HealthProbes) Spent() Spending { return b.spent }
