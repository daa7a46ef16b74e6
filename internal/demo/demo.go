package demo

import (
	"bytes"
	"context"
	_ "embed" // for profiles.toml
	"fmt"
	"io"
	"time"

	"github.com/tealhall/tealhall/internal/standin"
)

// Options configure Run.
type Options struct {
	// Out receives the progress lines and the report.
	Out io.Writer
	// KeepRunning keeps the fleet running after the report until the context ends.
	KeepRunning bool
	// Seed is the seed of the random service times.
	Seed uint64
}

// The services of the demo.
const (
	readService   = "live-counts"
	onceService   = "waste-entries"
	uploadService = "photo-batches"
	pairedService = "paired-calls"
)

// firstHedge and changedHedge are the hedge delay of the reads before and after the profile change
// during the run.
const (
	firstHedge   = `hedge_after = "150ms"`
	changedHedge = `hedge_after = "120ms"`
)

//go:embed profiles.toml
var firstProfiles []byte

// changedProfiles returns the profile document that is published during the run.
func changedProfiles() []byte {
	return bytes.Replace(firstProfiles, []byte(firstHedge), []byte(changedHedge), 1)
}

// startTimeout limits how long the fleet may take to become ready.
const startTimeout = 20 * time.Second

// Run starts a complete fleet in this process, sends it a bounded mix of requests while profiles
// change and VMs leave, and prints a report. The error is a *ViolationError if a guarantee was
// violated.
func Run(ctx context.Context, opts Options) error {
	fmt.Fprintln(opts.Out, "starting a simulated platform, 3 entries in 2 failure domains and", totalEndpoints(), "endpoints on loopback")
	changes := newChangeLog()
	fleet, err := NewFleet(FleetConfig{
		Profiles: firstProfiles,
		Domains:  []string{"domain-a", "domain-b"},
		Entries:  demoEntries,
		Pools:    pools(opts.Seed),
		Adjust:   adjustSettings,
		Audit:    changes.add,
	})
	if err != nil {
		fleet.Close()
		return err
	}
	defer fleet.Close()
	starting, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := fleet.Ready(starting); err != nil {
		return err
	}
	session, err := newSession(fleet, changes, opts)
	if err != nil {
		return err
	}
	report, err := session.run(ctx)
	if err != nil {
		return err
	}
	report.Print(opts.Out)
	if opts.KeepRunning {
		fmt.Fprint(opts.Out, curlExamples(fleet))
		<-ctx.Done()
	}
	return report.Check()
}

// pools returns the endpoint pools of the demo.
func pools(seed uint64) []PoolConfig {
	pool := func(name string, endpoints int, mean time.Duration) PoolConfig {
		return PoolConfig{
			Name:      name,
			Endpoints: endpoints,
			ServiceTime: func(i int) standin.ServiceTime {
				return standin.LogNormal(mean, serviceSigma, seed+uint64(i))
			},
		}
	}
	paired := PoolConfig{
		Name:      pairedService,
		Endpoints: 1,
		Endpoint:  standin.EndpointConfig{ServiceTime: standin.Constant(pairedTime)},
	}
	return []PoolConfig{
		pool(readService, 4, 8*time.Millisecond),
		pool(onceService, 3, 12*time.Millisecond),
		pool(uploadService, 2, 40*time.Millisecond),
		paired,
	}
}

const (
	// serviceSigma is the standard deviation of the logarithm of the service times.
	serviceSigma = 0.5
	// pairedTime is the service time of the paired calls.
	pairedTime = 2 * time.Millisecond
	// demoEntries is the number of entries.
	demoEntries = 3
)

func totalEndpoints() int {
	total := 0
	for _, p := range pools(0) {
		total += p.Endpoints
	}
	return total
}
