package fleetload

import (
	"context"
	"fmt"
)

// CallRound is the cost of calls at one rate.
type CallRound struct {
	// Rate is the number of calls a second that were made, Cores the number of cores that the whole
	// process used.
	Rate  float64 `json:"rate"`
	Cores float64 `json:"cores"`
	// P50 and P99 are percentiles of the latency of a call, in microseconds.
	P50 float64 `json:"p50_us"`
	P99 float64 `json:"p99_us"`
}

// CallCosts are the costs of calls that the entries of a fleet forward to endpoints, and of the
// same calls sent directly to the endpoints. The difference is the cost of the entry.
type CallCosts struct {
	Size Size `json:"size"`
	// Keyed says whether each call carried an idempotency key of its own.
	Keyed bool `json:"keyed"`
	// ViaEntries are the rounds of calls sent to entries, Direct those of calls sent to endpoints.
	ViaEntries []CallRound `json:"through"`
	Direct     []CallRound `json:"direct"`
	// ViaEntriesLine and DirectLine are straight lines fitted to the cores used as a function of
	// the calls a second.
	ViaEntriesLine Line `json:"through_line"`
	DirectLine     Line `json:"direct_line"`
	// PerCall is the entry's processor time for one call, in microseconds.
	PerCall float64 `json:"entry_us_per_call"`
	// AddedP50 and AddedP99 are the latency that the entry adds at the highest rate: the
	// differences of the percentiles, in microseconds.
	AddedP50 float64 `json:"added_p50_us"`
	AddedP99 float64 `json:"added_p99_us"`
}

// callersPerService is the number of callers of each service that is called.
const callersPerService = 8

// The index of the first service that is called without keys, and of the first service that is
// called with keys. Every len(profileKinds)-th service after the first one has the same kind and is
// called too.
const (
	firstReadService = 0
	firstOnceService = 1
)

// measureCalls measures each rate first through the fleet and then directly to the endpoints.
func (f *fleet) measureCalls(ctx context.Context, c Config, keyed bool) (CallCosts, error) {
	result := CallCosts{Size: f.size, Keyed: keyed}
	viaEntries, direct, err := f.connectCallers(ctx, keyed)
	defer viaEntries.close()
	defer direct.close()
	if err != nil {
		return result, err
	}
	for range c.CallRounds {
		for _, rate := range c.Rates {
			t, err := viaEntries.run(ctx, rate, c.CallWindow)
			if err != nil {
				return result, fmt.Errorf("calls through the fleet: %w", err)
			}
			d, err := direct.run(ctx, rate, c.CallWindow)
			if err != nil {
				return result, fmt.Errorf("calls to endpoints: %w", err)
			}
			result.ViaEntries, result.Direct = append(result.ViaEntries, t), append(result.Direct, d)
		}
	}
	result.summarize()
	return result, nil
}

// summarize computes the fitted lines and the costs that the entry adds.
func (c *CallCosts) summarize() {
	c.ViaEntriesLine, c.DirectLine = fitCores(c.ViaEntries), fitCores(c.Direct)
	c.PerCall = (c.ViaEntriesLine.Slope - c.DirectLine.Slope) * 1e6
	t, d := c.ViaEntries[len(c.ViaEntries)-1], c.Direct[len(c.Direct)-1]
	c.AddedP50, c.AddedP99 = t.P50-d.P50, t.P99-d.P99
}

func fitCores(rounds []CallRound) Line {
	var rates, cores []float64
	for _, r := range rounds {
		rates, cores = append(rates, r.Rate), append(cores, r.Cores)
	}
	return Fit(rates, cores)
}

// connectCallers connects callers of the services that are called with keys or without keys. It
// returns the callers that are connected to the entries that the fleet names for them, and the same
// number of callers that are connected directly to the endpoints. Close both groups also after an
// error.
func (f *fleet) connectCallers(ctx context.Context, keyed bool) (viaEntries, direct callers, err error) {
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
				return viaEntries, direct, err
			}
			prefix := ""
			if keyed {
				prefix = entries[0].KeyPrefix
			}
			t, err := newCaller(entries[0].Address, serviceName(service), prefix)
			if err != nil {
				return viaEntries, direct, err
			}
			viaEntries = append(viaEntries, t)
			endpoints := f.endpointsOf(service)
			d, err := newCaller(endpoints[i%len(endpoints)].vm.Address, serviceName(service), prefix)
			if err != nil {
				return viaEntries, direct, err
			}
			direct = append(direct, d)
		}
	}
	return viaEntries, direct, nil
}
