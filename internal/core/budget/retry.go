package budget

import "time"

// RetryConfig configures the retry budget of one service.
type RetryConfig struct {
	// Share is the number of retries and hedges that each successful request earns, for example
	// 0.1.
	Share float64
	// MinPerSecond is the rate that all entries together earn without any success, so that a
	// service with little traffic can retry.
	MinPerSecond float64
	// LargestFleet is as in HealthProbeConfig.
	LargestFleet int
	// Cap is the largest number of attempts that can be saved up, DefaultRetryCap if zero.
	Cap float64
}

// DefaultRetryCap is the default of RetryConfig.Cap.
const DefaultRetryCap = 5

// Retry decides whether one more attempt may be sent for a request, as a retry or a hedge.
//
// It prevents retry storms: when endpoints fail because of overload, every retry adds load and
// makes more requests fail. Successes earn retries, so that without successes only the small
// minimum is left. Over any time t in which an entry counts s successes, it sends at most
// Share*s + MinPerSecond/LargestFleet*t + Cap extra attempts. The budget starts empty, so that a
// restart adds no attempts.
type Retry struct {
	config RetryConfig
	bucket bucket
	// spent and denied count attempts since the process started.
	spent, denied uint64
}

// NewRetry returns an empty budget.
func NewRetry(cfg RetryConfig) *Retry {
	cfg.LargestFleet = max(1, cfg.LargestFleet)
	if cfg.Cap <= 0 {
		cfg.Cap = DefaultRetryCap
	}
	// The minimum is earned from the start of the process. If it were earned from the first failure
	// on, that failure would never be retried.
	return &Retry{config: cfg, bucket: bucket{capacity: max(1, cfg.Cap), started: true}}
}

// Earn counts a request that succeeded.
func (r *Retry) Earn() { r.bucket.add(r.config.Share) }

// TrySpend spends one attempt and reports true if the budget allows it.
func (r *Retry) TrySpend(now time.Duration) bool {
	r.bucket.refill(now, r.config.MinPerSecond/float64(r.config.LargestFleet))
	if !r.bucket.take(1) {
		r.denied++
		return false
	}
	r.spent++
	return true
}

// Spent returns how many attempts were allowed and denied since the process started.
func (r *Retry) Spent() (spent, denied uint64) { return r.spent, r.denied }

// Level returns how many attempts are saved up.
func (r *Retry) Level() float64 { return r.bucket.tokens }

// SetShare changes the number of attempts that each success earns.
func (r *Retry) SetShare(share float64) { r.config.Share = share }
