// Command loadbench measures the balancing policies side by side over HTTP on
// the loopback interface and prints a Markdown table; with --plot it also draws
// the ratios to the oracle.
package main

import (
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"github.com/tealhall/tealhall/internal/bench"
)

func main() {
	if err := command().Execute(); err != nil {
		os.Exit(1)
	}
}

func command() *cobra.Command {
	cfg := bench.DefaultConfig()
	var variants, scenarios, plotted []string
	var plot string
	cmd := &cobra.Command{
		Use:          "loadbench",
		Short:        "Measure balancing policies against one queue with perfect knowledge",
		SilenceUsage: true,
		Args:         cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			var err error
			if cfg.Variants, err = bench.PickVariants(variants); err != nil {
				return err
			}
			if cfg.Scenarios, err = bench.PickScenarios(scenarios); err != nil {
				return err
			}
			begun := time.Now()
			report, err := bench.Run(cfg)
			if err != nil {
				return err
			}
			if err := report.WriteTable(cmd.OutOrStdout()); err != nil {
				return err
			}
			fmt.Fprintln(cmd.ErrOrStderr(), "took", time.Since(begun).Round(time.Second))
			if plot == "" {
				return nil
			}
			return report.Plot(plot, plotted)
		},
	}
	flags := cmd.Flags()
	flags.StringSliceVar(&variants, "variants", nil, "variants to measure beside the oracle, of "+strings.Join(bench.VariantNames(), ", ")+"; all by default")
	flags.StringSliceVar(&scenarios, "scenarios", []string{"healthy"}, "scenarios, or all")
	flags.Float64SliceVar(&cfg.Loads, "loads", cfg.Loads, "loads as shares of slot capacity")
	flags.IntVar(&cfg.Endpoints, "endpoints", cfg.Endpoints, "endpoints of the pool")
	flags.IntVar(&cfg.EndpointQueue, "endpoint-queue", cfg.EndpointQueue, "requests that an endpoint queues before it refuses")
	flags.DurationVar(&cfg.RoundTrip, "round-trip", cfg.RoundTrip, "time added between an entry and an endpoint and back")
	flags.BoolVar(&cfg.IgnoreIdleOnly, "ignore-idle-only", cfg.IgnoreIdleOnly, "endpoints queue requests that ask to be refused")
	flags.IntVar(&cfg.Rounds, "rounds", cfg.Rounds, "rounds, each with another trace")
	flags.IntVar(&cfg.Parallel, "parallel", cfg.Parallel, "cells that run at the same time")
	flags.DurationVar(&cfg.Duration, "duration", cfg.Duration, "measured time of each cell")
	flags.DurationVar(&cfg.Service, "service", cfg.Service, "mean service time")
	flags.Uint64Var(&cfg.Seed, "seed", cfg.Seed, "seed of the traces")
	flags.StringVar(&plot, "plot", "", "SVG file to draw the p99 ratios into")
	flags.StringSliceVar(&plotted, "plotted", nil, "variants to draw; all by default")
	return cmd
}
