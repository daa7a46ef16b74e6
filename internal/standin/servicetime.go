package standin

import (
	"math"
	"math/rand/v2"
	"time"
)

// ServiceTime returns how long the next request uses its slot. Each endpoint calls it under its own
// lock, so endpoints may share a function only if it is safe for concurrent use.
type ServiceTime func() time.Duration

// Constant returns a ServiceTime that is always d.
func Constant(d time.Duration) ServiceTime {
	return func() time.Duration { return d }
}

// Exponential returns a ServiceTime with an exponential distribution.
func Exponential(mean time.Duration, seed uint64) ServiceTime {
	rng := newRand(seed)
	return func() time.Duration { return scale(mean, rng.ExpFloat64()) }
}

// LogNormal returns a ServiceTime with a log-normal distribution of the given mean; sigma is the
// standard deviation of its logarithm.
func LogNormal(mean time.Duration, sigma float64, seed uint64) ServiceTime {
	rng := newRand(seed)
	mu := -sigma * sigma / 2 // makes the mean of the factor 1
	return func() time.Duration { return scale(mean, math.Exp(mu+sigma*rng.NormFloat64())) }
}

func newRand(seed uint64) *rand.Rand {
	return rand.New(rand.NewPCG(seed, seed))
}

func scale(d time.Duration, factor float64) time.Duration {
	return time.Duration(float64(d) * factor)
}
