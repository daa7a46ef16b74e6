package fleetload

import (
	"context"
	"fmt"
	"time"
)

// FleetResult holds the measurements of one fleet.
type FleetResult struct {
	Size     Size `json:"size"`
	Services int  `json:"services"`
	// Ready is the number of seconds until the fleet was ready.
	Ready        float64      `json:"ready_s"`
	Idle         IdleCosts    `json:"idle"`
	Propagations Propagations `json:"spreads"`
}

// Result holds the measurements of one run.
type Result struct {
	Machine          Machine          `json:"machine"`
	Took             time.Duration    `json:"took_ns"`
	Fleets           []FleetResult    `json:"fleets"`
	Calls            []CallCosts      `json:"calls"`
	ConnectionMemory ConnectionMemory `json:"held"`
	Slopes           Slopes           `json:"slopes"`
	// EntriesEndpoints is the number of endpoints in the series over entries, EndpointsEntries the
	// number of entries in the series over endpoints.
	EntriesEndpoints int `json:"entries_series_endpoints"`
	EndpointsEntries int `json:"endpoints_series_entries"`

	platformCallsCounted bool
}

// Run measures all fleets, one after the other, and then calls through the fleets of
// Config.CallSizes.
func Run(ctx context.Context, c Config) (*Result, error) {
	began := time.Now()
	r := &Result{Machine: describeMachine(), EntriesEndpoints: c.EntriesEndpoints, EndpointsEntries: c.EndpointsEntries, platformCallsCounted: c.PlatformWindow > 0}
	for _, size := range c.sizes() {
		f, err := runFleet(ctx, c, size)
		if err != nil {
			return r, fmt.Errorf("%s: %w", size, err)
		}
		r.Fleets = append(r.Fleets, f)
	}
	for i, size := range c.CallSizes {
		if c.CallRounds == 0 {
			break
		}
		if err := r.runCalls(ctx, c, size, i == 0); err != nil {
			return r, fmt.Errorf("calls, %s: %w", size, err)
		}
	}
	r.Slopes = r.slopes()
	r.Machine.LoadAfter = loadAverage()
	r.Took = time.Since(began)
	return r, nil
}

// startLimit bounds the time until all entries of a fleet are ready.
const startLimit = 30 * time.Second

// startFleet starts a fleet and waits for Config.Settle after the entries are ready. heap and
// stacks are the memory in use before the entries start, that is, the memory of the simulated
// endpoints and of the simulated configuration service. Close the fleet also after an error.
func startFleet(ctx context.Context, c Config, size Size) (f *fleet, ready time.Duration, heap, stacks uint64, err error) {
	f, err = newFleet(size)
	if err != nil {
		return f, 0, 0, 0, err
	}
	heap, stacks = memoryInUse()
	if err := f.startEntries(); err != nil {
		return f, 0, heap, stacks, err
	}
	limited, cancel := context.WithTimeout(ctx, startLimit)
	defer cancel()
	ready, err = f.awaitReady(limited)
	sleep(ctx, c.Settle)
	return f, ready, heap, stacks, err
}

func runFleet(ctx context.Context, c Config, size Size) (FleetResult, error) {
	f, ready, heap, stacks, err := startFleet(ctx, c, size)
	defer f.close()
	result := FleetResult{Size: size, Services: f.services, Ready: ready.Seconds()}
	if err != nil {
		return result, err
	}
	result.Idle = f.measureIdle(ctx, c, heap, stacks)
	c.logf("%s: ready after %.1f s, %.2f %% of a core per entry", size, result.Ready, 100*result.Idle.Processor)
	result.Propagations, err = f.measurePropagations(ctx, c)
	c.logf("  document in force at every entry after %.2f s, leaving endpoint known after %.2f s", result.Propagations.Published.Last, result.Propagations.Leaving.Last)
	return result, err
}

// runCalls measures calls through one fleet. If detailed is set, as for the first and smallest
// fleet, it also measures calls with keys and the memory of connections.
func (r *Result) runCalls(ctx context.Context, c Config, size Size, detailed bool) error {
	f, _, _, _, err := startFleet(ctx, c, size)
	defer f.close()
	if err != nil {
		return err
	}
	for _, keyed := range []bool{false, true} {
		if keyed && !detailed {
			continue
		}
		calls, err := f.measureCalls(ctx, c, keyed)
		if err != nil {
			return err
		}
		c.logf("calls, %s, keyed %t: %.0f us of processor time of the entry per call", size, keyed, calls.PerCall)
		r.Calls = append(r.Calls, calls)
	}
	if !detailed {
		return nil
	}
	memory, err := f.measureConnectionMemory(ctx, c)
	r.ConnectionMemory = memory
	return err
}
