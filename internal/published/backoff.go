package published

import (
	"math/rand/v2"
	"time"
)

// Backoff spreads the retries of a failing call over time: exponential growth with full jitter, so
// that readers that failed together do not retry together. It has no clock or lock; each loop has
// its own Backoff.
type Backoff struct {
	// Min is the largest possible first delay. The ceiling doubles with every failure.
	Min time.Duration
	// Max bounds every delay.
	Max time.Duration

	failures uint
}

// The defaults of the reader loops. The first retry comes soon enough that a single lost call has
// no noticeable effect. The largest delay is short enough that the reader detects a recovered
// service within seconds.
const (
	DefaultBackoffMin = 100 * time.Millisecond
	DefaultBackoffMax = 10 * time.Second
)

// NewBackoff returns a Backoff whose delays lie in (0, high]. Values of zero or less mean the
// defaults. If high is below low, low is used for both.
func NewBackoff(low, high time.Duration) Backoff {
	if low <= 0 {
		low = DefaultBackoffMin
	}
	if high <= 0 {
		high = DefaultBackoffMax
	}
	return Backoff{Min: low, Max: max(low, high)}
}

// Next counts a failure and returns the delay before the next attempt: uniform in (0, ceiling],
// where the ceiling starts at Min and doubles up to Max.
func (b *Backoff) Next(rng *rand.Rand) time.Duration {
	ceiling := b.ceiling()
	if ceiling < b.Max {
		b.failures++
	}
	return 1 + time.Duration(rng.Int64N(int64(ceiling)))
}

// Reset clears the count of failures. Call it after a success.
func (b *Backoff) Reset() {
	b.failures = 0
}

// ceiling returns the largest delay after the failures so far. The count of failures stops growing
// when the ceiling reaches Max, so the shift stays small. Comparing Min with the shifted Max
// avoids an overflow.
func (b *Backoff) ceiling() time.Duration {
	if b.Min <= 0 {
		return max(1, b.Max)
	}
	if b.Min > b.Max>>b.failures {
		return max(1, b.Max)
	}
	return b.Min << b.failures
}
