// Package budget bounds what an entry may spend on health probes, load probes, retries and hedges.
//
// The package does no I/O and reads no clock: the driver passes in the time since the process
// started. Values are not safe for concurrent use.
package budget

import "time"

// roundingMargin lowers every rate by a millionth, so that rounding errors of floating-point sums
// never lead to spending above a bound.
const roundingMargin = 1 - 1e-6

// bucket is a token bucket. It is refilled over time up to its capacity, and its number of tokens
// may be negative. A clock that stops or goes back adds no tokens.
type bucket struct {
	tokens     float64
	capacity   float64
	refilledAt time.Duration
	started    bool
}

// refill adds the tokens for the time since the last call, at a rate per second. The first call
// adds none and only records the time: a process that has just started has earned no tokens,
// whatever its clock shows.
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
