// Command tealhallstandin plays what surrounds tealhall, to try it out with
// separate processes: the platform's configuration service and application
// endpoints. It is no part of an installation.
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
		Use:           "tealhallstandin",
		Short:         "Stand-ins for the platform and for endpoints",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(platformCommand(), endpointCommand())
	if err := root.ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "tealhallstandin:", err)
		stop()
		os.Exit(1)
	}
}
