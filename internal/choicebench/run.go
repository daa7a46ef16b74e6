package choicebench

import (
	"context"
	"fmt"
	"time"

	"github.com/tealhall/tealhall/internal/demo"
	"github.com/tealhall/tealhall/internal/settings"
	"github.com/tealhall/tealhall/internal/standin"
)

const service = "live"

// document is the profile of the measured service: long waits are allowed, so
// that a bad choice shows as latency and not as a refusal.
const document = `
format = 1
[profile.live]
kind = "read"
deadline = "10s"
queue_limit = 5000
caller_share = 1.0
max_attempts = 3
retry_budget = 0.1
watch_budget = 0.01
entries_per_domain = %d
[service.live]
profile = "live"
[calendar]
time_zone = "UTC"
`

// startTimeout bounds the start of a fleet.
const startTimeout = 30 * time.Second

// Run measures every variant at every load in every scenario, in turn in each
// round, so that the machine's noise meets all alike.
func Run(ctx context.Context, cfg Config) (*Report, error) {
	report := newReport(cfg)
	for round := range cfg.Rounds {
		for s := range cfg.Scenarios {
			for l, load := range cfg.Loads {
				for v := range cfg.Variants {
					cell := report.at(s, l, v)
					if err := measure(ctx, cfg, cell, uint64(round)); err != nil {
						return report, err
					}
					cfg.logf("round %d, %s, %.0f %%, %s: p99 %.1f ms", round+1, cell.Scenario.Name, 100*load, cell.Variant.Name, cell.quantile(99))
				}
			}
		}
	}
	report.finish()
	return report, nil
}

func (c *Config) logf(format string, args ...any) {
	if c.Log != nil {
		c.Log(format, args...)
	}
}

// measure runs one fleet for one window and adds to the cell.
func measure(ctx context.Context, cfg Config, cell *Cell, round uint64) error {
	f, err := startFleet(ctx, cfg, cell)
	if err != nil {
		return err
	}
	defer f.Close()
	f.Endpoints[0].SetFaults(cell.Scenario.Faults)
	t, err := newTraffic(ctx, f, cfg, cell)
	if err != nil {
		return err
	}
	t.run(ctx, cfg.Warmup, cfg.Seed+2*round, nil)
	before := countsOf(f)
	t.run(ctx, cfg.Window, cfg.Seed+2*round+1, cell)
	cell.add(countsOf(f).minus(before), cfg, len(f.Entries))
	return ctx.Err()
}

func startFleet(ctx context.Context, cfg Config, cell *Cell) (*demo.Fleet, error) {
	f, err := demo.NewFleet(demo.FleetConfig{
		Profiles: fmt.Appendf(nil, document, cell.Variant.PerDomain),
		Domains:  cfg.Domains,
		Entries:  cell.Variant.Entries,
		Pools: []demo.PoolConfig{{
			Name:      service,
			Endpoints: cfg.Endpoints,
			Endpoint:  standin.EndpointConfig{Slots: cfg.Slots, QueueLimit: 1000},
		}},
		Adjust: func(s *settings.Settings) {
			s.Balance.Policy = cell.Variant.Policy
			s.Limits.ConnectionsPerEndpoint = max(s.Limits.ConnectionsPerEndpoint, connections/cell.Variant.Entries)
		},
	})
	if err == nil {
		err = awaitReady(ctx, f)
	}
	if err != nil {
		f.Close() // what it has started so far
		return nil, err
	}
	return f, nil
}

func awaitReady(ctx context.Context, f *demo.Fleet) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	return f.Ready(ctx)
}

// connections is how many connections an endpoint takes from all entries.
const connections = 240

// counts is what endpoints and entries counted.
type counts struct {
	arrivals, refused, failed int64
	probeTime, connections    int64
	peerBytes                 uint64
}

func countsOf(f *demo.Fleet) counts {
	var c counts
	for _, e := range f.Endpoints {
		s := e.Stats()
		c.arrivals += s.Requests
		for _, n := range s.NotRun {
			c.refused += n
		}
		c.failed += s.Failed
		c.probeTime += int64(s.ProbeSlotTime)
		c.connections += s.Connections
	}
	for _, e := range f.Entries {
		for _, link := range e.Status().Links {
			c.peerBytes += link.BytesOut
		}
	}
	return c
}

func (c counts) minus(d counts) counts {
	return counts{
		arrivals:    c.arrivals - d.arrivals,
		refused:     c.refused - d.refused,
		failed:      c.failed - d.failed,
		probeTime:   c.probeTime - d.probeTime,
		connections: c.connections - d.connections,
		peerBytes:   c.peerBytes - d.peerBytes,
	}
}
