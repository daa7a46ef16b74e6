package bench

import (
	"math"
	"math/rand/v2"
	"time"
)

// arrival is one request of a trace. Every variant of a round gets the same
// arrivals with the same demands, so that only the decisions differ.
type arrival struct {
	at     time.Duration
	demand time.Duration
	// entry is a number from which the receiving decider is derived.
	entry uint32
}

// capacity is the number of requests a second that the pool can serve.
func capacity(cfg Config, faults Faults) float64 {
	slots := float64((cfg.Endpoints - 1) * cfg.Slots)
	if !faults.FailFast {
		slots += float64(cfg.Slots) / max(1, faults.StragglerFactor)
	}
	return slots / cfg.Service.Seconds()
}

// makeTrace draws Poisson arrivals with log-normal demands.
func makeTrace(cfg Config, faults Faults, load float64, round int) []arrival {
	rng := rand.New(rand.NewPCG(cfg.Seed, uint64(round)))
	rate := load * capacity(cfg, faults)
	sigma2 := math.Log(1 + faults.Variation*faults.Variation)
	mu := math.Log(float64(cfg.Service)) - sigma2/2
	var trace []arrival
	at, end := 0.0, (cfg.Warmup + cfg.Duration).Seconds()
	for {
		at += rng.ExpFloat64() / rate
		if at > end {
			return trace
		}
		trace = append(trace, arrival{
			at:     time.Duration(at * float64(time.Second)),
			demand: time.Duration(math.Exp(mu + math.Sqrt(sigma2)*rng.NormFloat64())),
			entry:  rng.Uint32(),
		})
	}
}
