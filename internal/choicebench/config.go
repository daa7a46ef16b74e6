// Package choicebench measures the choice of endpoint through real entries on
// loopback: the same open-loop load goes through one entry that sees every slot
// and through many entries that choose independently, in one run.
package choicebench

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/tealhall/tealhall/internal/core/balance"
	"github.com/tealhall/tealhall/internal/standin"
)

// Variant is one way to bring the load to the endpoints.
type Variant struct {
	Name   string
	Policy string
	// Entries is how many entries run.
	Entries int
	// Steered: callers use the entries that they are told; else all alike.
	Steered bool
	// Oracle: the ratios are taken to the best of these.
	Oracle bool
	// PerDomain is entries_per_domain in the profile.
	PerDomain int
}

// Scenario is a state of the endpoints.
type Scenario struct {
	Name string
	// Faults of the first endpoint.
	Faults standin.EndpointFaults
	// Variation is the standard deviation of the work of requests as a share of
	// its mean; it is log-normal.
	Variation float64
}

// The variations of ordinary and of noisy service times.
const (
	ordinaryVariation = 0.5
	noisyVariation    = 1.5
)

// Config describes a run.
type Config struct {
	Endpoints int
	Slots     int
	Domains   []string
	// Service is the mean time of a request at an endpoint.
	Service   time.Duration
	Loads     []float64
	Variants  []Variant
	Scenarios []Scenario
	Rounds    int
	// Window is how long each round measures, after Warm-up.
	Window time.Duration
	Warmup time.Duration
	// Callers is how many callers share the load.
	Callers int
	Seed    uint64
	Log     func(format string, args ...any)
}

// DefaultConfig is the users' live counts: 16 endpoints of 2 slots, 14 entries
// in 3 failure domains.
func DefaultConfig() Config {
	return Config{
		Endpoints: 16,
		Slots:     2,
		Domains:   []string{"a", "b", "c"},
		Service:   20 * time.Millisecond,
		Loads:     []float64{0.5, 0.7, 0.85, 0.95},
		Variants:  Variants(),
		Scenarios: Scenarios()[:1],
		Rounds:    2,
		Window:    4 * time.Second,
		Warmup:    1500 * time.Millisecond,
		Callers:   30,
		Seed:      1,
	}
}

// manyEntries is the size of today's fleets.
const manyEntries = 14

// Variants returns all ways: two oracles, each policy over all entries alike,
// and the default policy as callers use it, steered.
func Variants() []Variant {
	all := []Variant{
		{Name: "one entry central queue", Policy: balance.CentralQueue, Entries: 1, Oracle: true, PerDomain: 1},
		{Name: "one entry " + balance.Default, Policy: balance.Default, Entries: 1, Oracle: true, PerDomain: 1},
	}
	for _, policy := range balance.Policies() {
		if policy == balance.CentralQueue {
			continue
		}
		all = append(all, Variant{Name: policy, Policy: policy, Entries: manyEntries, PerDomain: 1})
	}
	return append(all,
		Variant{Name: balance.P2CReports + " steered", Policy: balance.P2CReports, Entries: manyEntries, Steered: true, PerDomain: 1},
		Variant{Name: balance.Default + " steered", Policy: balance.Default, Entries: manyEntries, Steered: true, PerDomain: 1},
		Variant{Name: balance.Default + " steered to one", Policy: balance.Default, Entries: manyEntries, Steered: true, PerDomain: 0},
	)
}

// Scenarios returns all states of the endpoints.
func Scenarios() []Scenario {
	return []Scenario{
		{Name: "healthy", Variation: ordinaryVariation},
		{Name: "noisy", Variation: noisyVariation},
		{Name: "straggler", Variation: ordinaryVariation, Faults: standin.EndpointFaults{Straggle: 5}},
		{Name: "fail-fast", Variation: ordinaryVariation, Faults: standin.EndpointFaults{FailFast: 503}},
	}
}

// work draws the time that a request holds its slot.
func (s Scenario) work(mean time.Duration, rng *rand.Rand) time.Duration {
	variance := math.Log(1 + s.Variation*s.Variation)
	return time.Duration(float64(mean) * math.Exp(math.Sqrt(variance)*rng.NormFloat64()-variance/2))
}
