package standin

import (
	"math"
	"math/rand/v2"
	"time"
)

// ServiceTime returns how long the next request holds its slot. An endpoint
// calls it under its own lock, so one function must not serve two endpoints
// unless it is safe for concurrent use.
type ServiceTime func() time.Duration

// Constant always takes d.
func Constant(d time.Duration) ServiceTime {
	return func() time.Duration { return d }
}

// Exponential takes an exponentially distributed time.
func Exponential(mean time.Duration, seed uint64) ServiceTime {
	rng := newRand(seed)
	return func() time.Duration { return scale(mean, rng.ExpFloat64()) }
}

// LogNormal takes a log-normally distributed time with the given mean; sigma is
// the standard deviation of its logarithm.
func LogNormal(mean time.Duration, sigma float64, seed uint64) ServiceTime {
	rng := newRand(seed)
	mu := -sigma * sigma / 2 // makes the mean of the factor one
	return func() time.Duration { return scale(mean, math.Exp(mu+sigma*rng.NormFloat64())) }
}

func newRand(seed uint64) *rand.Rand {
	return rand.New(rand.NewPCG(seed, seed))
}

func scale(d time.Duration, factor float64) time.Duration {
	return time.Duration(float64(d) * factor)
}
