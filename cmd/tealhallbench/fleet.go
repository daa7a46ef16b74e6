package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"runtime"
	"runtime/pprof"
	"time"

	"github.com/spf13/cobra"
	"k8s.io/klog/v2"

	"github.com/tealhall/tealhall/internal/fleetload"
)

// defaultProcs leaves half of a 12-core machine to other work.
const defaultProcs = 6

// fleetFlags holds the flags that are not part of fleetload.Config.
type fleetFlags struct {
	procs    int
	json     bool
	markdown bool
	profile  string
	limit    time.Duration
}

func fleetCommand() *cobra.Command {
	config := fleetload.DefaultConfig()
	flags := fleetFlags{procs: defaultProcs, limit: 10 * time.Minute}
	c := &cobra.Command{
		Use:   "fleet",
		Short: "Measure what a fleet costs and how fast changes spread in it, by its size",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return runFleet(c, config, flags)
		},
	}
	f := c.Flags()
	f.IntSliceVar(&config.Entries, "entries", config.Entries, "numbers of entries of the series over entries")
	f.IntVar(&config.EntriesEndpoints, "entries-endpoints", config.EntriesEndpoints, "endpoints of each fleet in the series over entries")
	f.IntSliceVar(&config.Endpoints, "endpoints", config.Endpoints, "numbers of endpoints of the series over endpoints")
	f.IntVar(&config.EndpointsEntries, "endpoints-entries", config.EndpointsEntries, "entries of each fleet in the series over endpoints")
	f.IntVar(&config.Target.Entries, "target-entries", config.Target.Entries, "entries of the largest fleet; 0 leaves it out")
	f.IntVar(&config.Target.Endpoints, "target-endpoints", config.Target.Endpoints, "endpoints of the largest fleet")
	f.IntVar(&config.Target.Regions, "target-regions", config.Target.Regions, "regions of the largest fleet")
	f.IntVar(&config.Target.Domains, "target-domains", config.Target.Domains, "failure domains of the largest fleet")
	f.IntVar(&config.IdleRounds, "rounds", config.IdleRounds, "rounds in which an idle fleet is measured")
	f.DurationVar(&config.IdleWindow, "window", config.IdleWindow, "duration of each of these rounds")
	f.DurationVar(&config.PlatformWindow, "platform-window", config.PlatformWindow, "time for which calls to the configuration service are counted, at least 30s for a reliable rate; 0 for none")
	f.IntVar(&config.Publications, "publications", config.Publications, "documents published while every entry reaches the configuration service")
	f.IntVar(&config.FaultPublications, "fault-publications", config.FaultPublications, "documents published while the configuration service is slow, and again while only one reader reaches it")
	f.DurationVar(&config.CallWindow, "call-window", config.CallWindow, "duration of the calls at each rate")
	f.IntVar(&config.NonReaderPublications, "other-publications", config.NonReaderPublications, "documents published while only an entry that does not watch the configuration service reaches it")
	f.IntVar(&config.LeavingEndpoints, "leavings", config.LeavingEndpoints, "endpoints that leave, one after the other")
	f.IntSliceVar(&config.Rates, "rates", config.Rates, "rates at which calls are measured, in calls a second")
	f.IntVar(&config.CallRounds, "call-rounds", config.CallRounds, "rounds over all rates; 0 leaves calls out")
	f.IntVar(&flags.procs, "procs", flags.procs, "cores to use at most")
	f.BoolVar(&flags.json, "json", false, "print JSON")
	f.BoolVar(&flags.markdown, "markdown", false, "print the tables of docs/measurements/fleet.md")
	f.StringVar(&flags.profile, "cpu-profile", "", "write a CPU profile of the whole run to this file")
	f.DurationVar(&flags.limit, "limit", flags.limit, "end the run after this time")
	c.MarkFlagsMutuallyExclusive("json", "markdown")
	return c
}

func runFleet(c *cobra.Command, config fleetload.Config, flags fleetFlags) error {
	klog.LogToStderr(false)
	klog.SetOutput(io.Discard)
	runtime.GOMAXPROCS(flags.procs)
	config.Log = func(format string, args ...any) { fmt.Fprintf(c.ErrOrStderr(), format+"\n", args...) }
	stop, err := startProfile(flags.profile)
	if err != nil {
		return err
	}
	defer stop()
	ctx, cancel := context.WithTimeout(c.Context(), flags.limit)
	defer cancel()
	result, err := fleetload.Run(ctx, config)
	if err != nil {
		return err
	}
	switch {
	case flags.json:
		encoder := json.NewEncoder(c.OutOrStdout())
		encoder.SetIndent("", "  ")
		return encoder.Encode(result)
	case flags.markdown:
		result.Markdown(c.OutOrStdout())
	default:
		result.Print(c.OutOrStdout())
	}
	return nil
}

// startProfile starts a CPU profile if name is not empty; stop ends it.
func startProfile(name string) (stop func(), err error) {
	if name == "" {
		return func() {}, nil
	}
	file, err := os.Create(name)
	if err != nil {
		return nil, err
	}
	if err := pprof.StartCPUProfile(file); err != nil {
		_ = file.Close()
		return nil, err
	}
	return func() {
		pprof.StopCPUProfile()
		_ = file.Close()
	}, nil
}
