// Package program runs the command line of a tealhall program.
package program

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
)

// Run executes the command with the process's arguments. SIGINT and SIGTERM cancel its context. Run
// prints an error to standard error and returns the exit code that exitCode gives for it, or 0 for
// no error.
func Run(root *cobra.Command, exitCode func(error) int) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	root.SilenceUsage = true
	root.SilenceErrors = true
	err := root.ExecuteContext(ctx)
	if err == nil {
		return 0
	}
	fmt.Fprintf(os.Stderr, "%s: %v\n", root.Name(), err)
	return exitCode(err)
}

// Failure returns the exit code 1 for every error, for programs that do not distinguish errors.
func Failure(error) int { return 1 }
