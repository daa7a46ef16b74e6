package demo

import (
	"bytes"
	"context"
	_ "embed" // for the profiles
	"fmt"
	"io"
	"time"

	"github.com/tealhall/tealhall/internal/standin"
)

// Options say how Run runs.
type Options struct {
	// Out gets the progress and the table.
	Out io.Writer
	// Stay keeps the fleet running after the table until the context ends.
	Stay bool
	// Seed varies service times and the order of requests; any value will do.
	Seed uint64
}

// The services of the demo.
const (
	readService   = "live-counts"
	onceService   = "waste-entries"
	uploadService = "photo-batches"
	pairedService = "paired-calls"
)

// firstHedge and changedHedge are the two values of the setting that the
// profile change on the way is about.
const (
	firstHedge   = `hedge_after = "150ms"`
	changedHedge = `hedge_after = "120ms"`
)

//go:embed profiles.toml
var firstProfiles []byte

// changedProfiles returns the document that is published on the way.
func changedProfiles() []byte {
	return bytes.Replace(firstProfiles, []byte(firstHedge), []byte(changedHedge), 1)
}

// startTimeout bounds the start of the fleet.
const startTimeout = 20 * time.Second

// Run starts a whole fleet in this process, sends it a bounded mix of requests
// while profiles change and VMs leave, and prints what came of it. The error is
// a *BrokenError if a promise was broken.
func Run(ctx context.Context, opts Options) error {
	fmt.Fprintln(opts.Out, "starting the platform's stand-in, 3 entries in 2 failure domains and", totalEndpoints(), "endpoints on loopback")
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
	if opts.Stay {
		fmt.Fprint(opts.Out, curlExamples(fleet))
		<-ctx.Done()
	}
	return report.Check()
}

// pools are the endpoints of the demo.
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
	// serviceSigma spreads the service times (standard deviation of the logarithm).
	serviceSigma = 0.5
	// pairedTime is the service time of the paired calls.
	pairedTime = 2 * time.Millisecond
	// demoEntries is how many entries run.
	demoEntries = 3
)

func totalEndpoints() int {
	total := 0
	for _, p := range pools(0) {
		total += p.Endpoints
	}
	return total
}
