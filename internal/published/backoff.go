package published

import (
	"math/rand/v2"
	"time"
)

// Backoff spreads retries of a failing call over time: exponential growth with
// full jitter, so that readers that failed together do not come back together.
// It is a plain value without clock or lock; each loop owns one.
type Backoff struct {
	// Min is the largest possible first delay; it doubles with every failure.
	Min time.Duration
	// Max bounds every delay.
	Max time.Duration

	failures uint
}

// The back-off of the reader loops. The first retry comes soon enough that a
// single lost call is not noticed; the last comes often enough that a service
// that returns is noticed within seconds.
const (
	DefaultBackoffMin = 100 * time.Millisecond
	DefaultBackoffMax = 10 * time.Second
)

// NewBackoff returns a back-off whose delays lie in (0, high]. Values of zero or
// less stand for the defaults; high is at least low.
func NewBackoff(low, high time.Duration) Backoff {
	if low <= 0 {
		low = DefaultBackoffMin
	}
	if high <= 0 {
		high = DefaultBackoffMax
	}
	return Backoff{Min: low, Max: max(low, high)}
}

// Next counts a failure and returns how long to wait before the next try:
// uniform in (0, ceiling], where the ceiling starts at Min and doubles up to Max.
func (b *Backoff) Next(rng *rand.Rand) time.Duration {
	ceiling := b.ceiling()
	if ceiling < b.Max {
		b.failures++
	}
	return 1 + time.Duration(rng.Int64N(int64(ceiling)))
}

// Reset forgets the failures; call it after a success.
func (b *Backoff) Reset() {
	b.failures = 0
}

// ceiling returns the largest delay after the failures so far. The failures
// stop growing at Max, so the shift stays small; the comparison from above
// keeps it from overflowing.
func (b *Backoff) ceiling() time.Duration {
	if b.Min <= 0 {
		return max(1, b.Max)
	}
	if b.Min > b.Max>>b.failures {
		return max(1, b.Max)
	}
	return b.Min << b.failures
}
