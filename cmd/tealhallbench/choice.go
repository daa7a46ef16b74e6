package main

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/spf13/cobra"
	"k8s.io/klog/v2"

	"github.com/tealhall/tealhall/internal/choicebench"
	"github.com/tealhall/tealhall/internal/fault"
)

// choiceFlags are the flags that are no part of the configuration.
type choiceFlags struct {
	variants  []string
	scenarios []string
	plot      string
	limit     time.Duration
}

func choiceCommand() *cobra.Command {
	config := choicebench.DefaultConfig()
	flags := choiceFlags{scenarios: []string{"healthy"}, limit: time.Hour}
	c := &cobra.Command{
		Use:   "choice",
		Short: "Latency of endpoint choice through real entries against one entry that sees every slot",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return runChoice(c, config, flags)
		},
	}
	f := c.Flags()
	f.IntVar(&config.Endpoints, "endpoints", config.Endpoints, "endpoints of the service")
	f.IntVar(&config.Slots, "slots", config.Slots, "slots of each")
	f.DurationVar(&config.Service, "service", config.Service, "mean time of a request at an endpoint")
	f.Float64SliceVar(&config.Loads, "loads", config.Loads, "shares of the slots in use")
	f.IntVar(&config.Rounds, "rounds", config.Rounds, "rounds over everything")
	f.DurationVar(&config.Window, "window", config.Window, "time measured in each round")
	f.Uint64Var(&config.Seed, "seed", config.Seed, "seed of arrivals and service times")
	f.StringSliceVar(&flags.variants, "variants", nil, "variants by name, besides the oracles; all if none is named")
	f.StringSliceVar(&flags.scenarios, "scenarios", flags.scenarios, "healthy, noisy, straggler, fail-fast or all")
	f.StringVar(&flags.plot, "plot", "", "SVG file to draw the p99 ratios into")
	f.DurationVar(&flags.limit, "limit", flags.limit, "end the run after this time")
	return c
}

func runChoice(c *cobra.Command, config choicebench.Config, flags choiceFlags) error {
	klog.LogToStderr(false)
	klog.SetOutput(io.Discard)
	if err := pick(&config, flags); err != nil {
		return err
	}
	config.Log = func(format string, args ...any) { fmt.Fprintf(c.ErrOrStderr(), format+"\n", args...) }
	ctx, cancel := context.WithTimeout(c.Context(), flags.limit)
	defer cancel()
	report, err := choicebench.Run(ctx, config)
	if err != nil {
		return err
	}
	if flags.plot != "" {
		if err := report.Plot(flags.plot); err != nil {
			return err
		}
	}
	return report.WriteTable(c.OutOrStdout())
}

// pick keeps the variants and scenarios that were named.
func pick(config *choicebench.Config, flags choiceFlags) error {
	if len(flags.variants) > 0 {
		config.Variants = slices.DeleteFunc(choicebench.Variants(), func(v choicebench.Variant) bool {
			return !v.Oracle && !slices.Contains(flags.variants, v.Name)
		})
	}
	if slices.Contains(flags.scenarios, "all") {
		config.Scenarios = choicebench.Scenarios()
		return nil
	}
	config.Scenarios = slices.DeleteFunc(choicebench.Scenarios(), func(s choicebench.Scenario) bool {
		return !slices.Contains(flags.scenarios, s.Name)
	})
	if len(config.Scenarios) == 0 {
		return fault.New(fault.BadSettings, "use healthy, noisy, straggler, fail-fast or all", "no such scenario: %s", strings.Join(flags.scenarios, ", "))
	}
	return nil
}
