// Package program runs the command line of a program of tealhall's.
package program

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
)

// Run executes the command with the process's arguments. SIGINT and SIGTERM end
// its context. An error is printed to standard error; the result is the exit
// code that code gives for it, 0 for nil.
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

// Failure is the exit code of programs that don't tell errors apart.
func Failure(error) int { return 1 }
