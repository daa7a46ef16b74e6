package assign

import (
	"math/rand/v2"
	"time"
)

// CheckLimits bounds how often entries read the configuration service in addition to the readers'
// watches.
type CheckLimits struct {
	// Shortest is the shortest time between two checks of one entry. It bounds the fleet's rate
	// even when an entry is wrong about the fleet's size.
	Shortest time.Duration
	// Longest is the longest time between two checks, and so bounds how long an entry has wrong
	// data.
	Longest time.Duration
	// FleetRate is the target rate of all checks together, in calls per second.
	FleetRate float64
	// Values is how many published values one check reads.
	Values int
}

// DefaultCheckLimits keeps all checks together at 20 calls/s, 1 % of the configuration service's
// capacity.
func DefaultCheckLimits() CheckLimits {
	return CheckLimits{Shortest: 10 * time.Second, Longest: 2 * time.Minute, FleetRate: 20, Values: 2}
}

// CheckPeriod returns the time between two checks of one entry in a fleet of the given number of
// entries:
//
//	entries × Values / FleetRate, at least Shortest and at most Longest.
func CheckPeriod(entries int, l CheckLimits) time.Duration {
	if l.FleetRate <= 0 {
		return l.Longest
	}
	seconds := float64(max(entries, 1)*max(l.Values, 1)) / l.FleetRate
	return min(max(time.Duration(seconds*float64(time.Second)), l.Shortest), l.Longest)
}

// checkJitter is the share of a period by which a check may come early or late.
const checkJitter = 0.25

// NextCheck returns when to check next, up to a quarter of the period early or late at random, so
// that entries that started together do not read together.
func NextCheck(now, period time.Duration, rng *rand.Rand) time.Duration {
	return now + jittered(period, checkJitter, rng)
}

// jittered returns d times a random factor between 1-share and 1+share.
func jittered(d time.Duration, share float64, rng *rand.Rand) time.Duration {
	return time.Duration(float64(d) * (1 - share + 2*share*rng.Float64()))
}
