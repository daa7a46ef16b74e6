package fleetload

import (
	"context"
	"fmt"
)

// CallRound is what one rate of calls cost.
type CallRound struct {
	// Rate is calls a second as made, Cores what the whole process used.
	Rate  float64 `json:"rate"`
	Cores float64 `json:"cores"`
	// P50 and P99 are percentiles of the time of a call, in microseconds.
	P50 float64 `json:"p50_us"`
	P99 float64 `json:"p99_us"`
}

// CallCosts are the costs of calls through a fleet and, by the same callers,
// directly to the endpoints. The difference is the entry's.
type CallCosts struct {
	Size Size `json:"size"`
	// Keyed says that each call carried an idempotency key of its own.
	Keyed   bool        `json:"keyed"`
	Through []CallRound `json:"through"`
	Direct  []CallRound `json:"direct"`
	// ThroughLine and DirectLine are cores against calls a second.
	ThroughLine Line `json:"through_line"`
	DirectLine  Line `json:"direct_line"`
	// PerCall is the entry's processor time for one call, in microseconds.
	PerCall float64 `json:"entry_us_per_call"`
	// AddedP50 and AddedP99 are differences of the percentiles at the highest
	// rate, in microseconds.
	AddedP50 float64 `json:"added_p50_us"`
	AddedP99 float64 `json:"added_p99_us"`
}

// callersPerService is how many callers each service has.
const callersPerService = 8

// The services that are called: those of the kind are every len(kinds)-th.
const (
	firstReadService = 0
	firstOnceService = 1
)

// measureCalls runs all rates through the fleet and directly, in turn.
func (f *fleet) measureCalls(ctx context.Context, c Config, keyed bool) (CallCosts, error) {
	result := CallCosts{Size: f.size, Keyed: keyed}
	through, direct, err := f.connectCallers(ctx, keyed)
	defer through.close()
	defer direct.close()
	if err != nil {
		return result, err
	}
	for range c.CallRounds {
		for _, rate := range c.Rates {
			t, err := through.run(ctx, rate, c.CallWindow)
			if err != nil {
				return result, fmt.Errorf("calls through the fleet: %w", err)
			}
			d, err := direct.run(ctx, rate, c.CallWindow)
			if err != nil {
				return result, fmt.Errorf("calls to endpoints: %w", err)
			}
			result.Through, result.Direct = append(result.Through, t), append(result.Direct, d)
		}
	}
	result.summarize()
	return result, nil
}

// summarize works out the slopes and differences.
func (c *CallCosts) summarize() {
	c.ThroughLine, c.DirectLine = fitCores(c.Through), fitCores(c.Direct)
	c.PerCall = (c.ThroughLine.Slope - c.DirectLine.Slope) * 1e6
	t, d := c.Through[len(c.Through)-1], c.Direct[len(c.Direct)-1]
	c.AddedP50, c.AddedP99 = t.P50-d.P50, t.P99-d.P99
}

func fitCores(rounds []CallRound) Line {
	var rates, cores []float64
	for _, r := range rounds {
		rates, cores = append(rates, r.Rate), append(cores, r.Cores)
	}
	return Fit(rates, cores)
}

// connectCallers connects callers of the services of one kind: to the entries that
// the fleet names, and the same number to the endpoints. Close both also after
// an error.
func (f *fleet) connectCallers(ctx context.Context, keyed bool) (through, direct callers, err error) {
	first := firstReadService
	if keyed {
		first = firstOnceService
	}
	for service := first; service < f.services; service += len(profileKinds) {
		for i := range callersPerService {
			_, domain := f.size.location(i)
			address := f.entries[service%len(f.entries)].CallerAddress()
			entries, err := entriesFor(ctx, address, serviceName(service), domain)
			if err != nil {
				return through, direct, err
			}
			prefix := ""
			if keyed {
				prefix = entries[0].KeyPrefix
			}
			t, err := newCaller(entries[0].Address, serviceName(service), prefix)
			if err != nil {
				return through, direct, err
			}
			through = append(through, t)
			endpoints := f.endpointsOf(service)
			d, err := newCaller(endpoints[i%len(endpoints)].vm.Address, serviceName(service), prefix)
			if err != nil {
				return through, direct, err
			}
			direct = append(direct, d)
		}
	}
	return through, direct, nil
}
