// Command tealhallbench measures tealhall on one machine. It is no part of an
// installation. See docs/MEASUREMENTS.md.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	root := &cobra.Command{
		Use:           "tealhallbench",
		Short:         "Measure tealhall on this machine",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(fleetCommand(), choiceCommand())
	if err := root.ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "tealhallbench:", err)
		stop()
		os.Exit(1)
	}
}
