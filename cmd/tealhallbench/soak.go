package main

import (
	"fmt"
	"os"
	"os/exec"

	"github.com/spf13/cobra"

	"github.com/tealhall/tealhall/internal/fault"
	"github.com/tealhall/tealhall/internal/soak"
)

func soakCommand() *cobra.Command {
	config := soak.DefaultConfig()
	runs := 1
	c := &cobra.Command{
		Use:   "soak",
		Short: "Run entry processes under random faults and check the promises of the product",
		Args:  cobra.NoArgs,
		RunE:  func(c *cobra.Command, _ []string) error { return runSoak(c, config, runs) },
	}
	f := c.Flags()
	f.Uint64Var(&config.Seed, "seed", config.Seed, "seed of the faults; the first of several runs")
	f.IntVar(&runs, "runs", runs, "runs, with seeds that follow each other")
	f.IntVar(&config.Entries, "entries", config.Entries, "entry processes")
	f.IntVar(&config.Endpoints, "endpoints", config.Endpoints, "endpoint processes")
	f.DurationVar(&config.Length, "length", config.Length, "time in which faults begin")
	f.IntVar(&config.Faults, "faults", config.Faults, "series of faults")
	f.StringVar(&config.Programs, "programs", "", "directory of tealhalld and tealhallstandin; by default they are built")
	f.StringVar(&config.Logs, "logs", "", "directory for logs; by default a temporary one, kept after a violation")
	return c
}

// runSoak plays the runs and fails if a promise was broken in any.
func runSoak(c *cobra.Command, config soak.Config, runs int) error {
	work, err := os.MkdirTemp("", "soak-")
	if err != nil {
		return err
	}
	keep := false
	defer func() {
		if !keep {
			_ = os.RemoveAll(work)
		}
	}()
	if config.Programs == "" {
		config.Programs = work
		build := exec.CommandContext(c.Context(), "go", "build", "-o", work, "./cmd/tealhalld", "./cmd/tealhallstandin")
		if out, err := build.CombinedOutput(); err != nil {
			return fault.Wrap(err, fault.BadSettings, "run it in the module's directory, or name the programs with --programs", "cannot build the programs: %s", out)
		}
	}
	logs, violations := config.Logs, 0
	for range runs {
		if logs == "" {
			config.Logs = work
		}
		report, err := soak.Run(c.Context(), config)
		if err != nil {
			keep = true
			return err
		}
		report.Print(c.OutOrStdout())
		violations += report.Violations()
		config.Seed++
	}
	if violations > 0 {
		keep = true
		return fault.New(fault.Unavailable, fmt.Sprint("read the report above and the logs in ", config.Logs), "%d violations", violations)
	}
	return nil
}
