// Package bench measures the policies of package balance over real HTTP on the
// loopback interface: N deciders, each with its own picker, queue and
// connections, share a pool of endpoints with few slots, under open-loop
// arrivals. The yardstick is one decider that gets the whole load and therefore
// sees every slot. It is a load bench of the decision, not a model of a fleet.
package bench

import (
	"time"

	"github.com/tealhall/tealhall/internal/core/balance"
)

// Variant is one way to decide that is measured side by side with others.
type Variant struct {
	// Name labels the variant in the report.
	Name string
	// Policy is a name known to balance.New.
	Policy string
	// Balance tunes the policy; Self is filled in.
	Balance balance.Config
	// Deciders is how many entries get the pool's load; 0 means all of them.
	Deciders int
	// PeerInterval is the time between two updates to each other decider; 0
	// for none.
	PeerInterval time.Duration
	// ProbeShare is the share of the pool's slot time that the deciders
	// together may spend on probes; 0 for none.
	ProbeShare float64
	// IdleShare bounds the refusals of requests that asked for an idle slot to
	// a share of the requests, and each request's to idleRefusals; 0 leaves
	// both unbounded. Beyond the bound a request queues.
	IdleShare float64
	// Perfect tells the decider which endpoints are faulty. Only the yardsticks
	// are told: ratios are to the lowest figure among them.
	Perfect bool
}

// Faults describes what is wrong in a scenario.
type Faults struct {
	// Name labels the scenario.
	Name string
	// StragglerFactor slows endpoint 0 by this factor if above 1.
	StragglerFactor float64
	// FailFast makes endpoint 0 answer 503 at once.
	FailFast bool
	// Variation is the coefficient of variation of service times.
	Variation float64
}

// Config is one benchmark. All counts and times are bounds.
type Config struct {
	Endpoints int
	Slots     int
	// EndpointQueue is how many requests an endpoint holds beyond its slots
	// before it refuses.
	EndpointQueue int
	// Entries is the number of entries that Variant.Deciders == 0 stands for.
	Entries int
	// Fleet is the largest fleet that probe budgets are divided by.
	Fleet   int
	Service time.Duration
	// RoundTrip is added to the time between an entry and an endpoint, half of
	// it each way; 0 leaves the loopback's.
	RoundTrip time.Duration
	// IgnoreIdleOnly makes the endpoints queue requests that ask to be refused.
	IgnoreIdleOnly bool
	// PeerDelay is the one-way time of a message between entries.
	PeerDelay time.Duration
	// Attempts bounds the tries of one request.
	Attempts  int
	Loads     []float64
	Scenarios []Faults
	Variants  []Variant
	// Rounds repeats every cell with another trace; all cells of a round share
	// the trace, and their order rotates from round to round.
	Rounds int
	// Warmup is cut from the start of each cell.
	Warmup   time.Duration
	Duration time.Duration
	// Parallel cells run at the same time, each with endpoints of its own.
	Parallel int
	Seed     uint64
}

// Oracles are the yardsticks: one decider that sees every slot and knows which
// endpoints are faulty. The first holds each request until a slot is idle; the
// second may also queue requests at endpoints, which does better where the way
// to the endpoint takes time, because a slot need not idle for a round trip.
func Oracles() []Variant {
	return []Variant{
		{Name: "oracle", Policy: balance.CentralQueue, Deciders: 1, Perfect: true},
		{Name: "oracle-queueing", Policy: balance.Claims, Deciders: 1, Perfect: true},
	}
}

// DefaultConfig is the benchmark of the design note: a pool of Mermaconteo's
// live counts under the loads that the goal names.
func DefaultConfig() Config {
	return Config{
		Endpoints:     16,
		Slots:         2,
		EndpointQueue: 200,
		Entries:       14,
		Fleet:         16,
		Service:       20 * time.Millisecond,
		PeerDelay:     500 * time.Microsecond,
		Attempts:      4,
		Loads:         []float64{0.50, 0.70, 0.85, 0.95},
		Scenarios:     []Faults{{Name: "healthy", Variation: 0.3}},
		Rounds:        2,
		Warmup:        time.Second,
		Duration:      6 * time.Second,
		Parallel:      2,
		Seed:          1,
	}
}

// AllScenarios are the healthy pool and the faults that the goal names.
func AllScenarios() []Faults {
	return []Faults{
		{Name: "healthy", Variation: 0.3},
		{Name: "noisy", Variation: 1.0},
		{Name: "straggler", Variation: 0.3, StragglerFactor: 5},
		{Name: "fail-fast", Variation: 0.3, FailFast: true},
	}
}
