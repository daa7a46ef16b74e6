// Command tealhallctl is the operators' tool. See docs/OPERATORS.md.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"github.com/tealhall/tealhall/internal/demo"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	root := &cobra.Command{
		Use:           "tealhallctl",
		Short:         "Look into tealhall and check what is to be published",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(demo.NewCommand())
	if err := root.ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "tealhallctl:", err)
		stop()
		os.Exit(1)
	}
}
