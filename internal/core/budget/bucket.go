// Package budget bounds what an entry may spend: slot time of endpoints on
// probes, new connections, and retries.
//
// The package is pure: the driver passes in the time since the process
// started. Each value belongs to one goroutine at a time.
package budget

import "time"

// roundingMargin lowers every rate by a millionth, so that rounding errors of
// floating-point sums can never exceed a bound.
const roundingMargin = 1 - 1e-6

// bucket is a token bucket. Tokens are earned with time up to a capacity. It
// may be in debt. A clock that stands still or goes back earns nothing.
type bucket struct {
	tokens     float64
	capacity   float64
	refilledAt time.Duration
	started    bool
}

// refill adds the tokens since the last call at a rate per second. The first
// call only starts the clock: a process that has just started has earned
// nothing, whatever its clock says.
func (b *bucket) refill(now time.Duration, rate float64) {
	if !b.started {
		b.started = true
		b.refilledAt = now
		return
	}
	if now <= b.refilledAt {
		return
	}
	if rate > 0 {
		b.add((now - b.refilledAt).Seconds() * rate * roundingMargin)
	}
	b.refilledAt = now
}

func (b *bucket) add(tokens float64) {
	b.tokens = min(b.capacity, b.tokens+tokens)
}

func (b *bucket) take(tokens float64) bool {
	if b.tokens < tokens {
		return false
	}
	b.tokens -= tokens
	return true
}
