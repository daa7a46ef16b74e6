// Command tealhallctl is the operators' tool. See docs/OPERATORS.md.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/tealhall/tealhall/internal/ctl"
	"github.com/tealhall/tealhall/internal/demo"
)

// exitBroken is the exit code of a demo that broke a promise. It follows those
// of package ctl.
const exitBroken = 5

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	root := ctl.NewCommand(os.Stdout, os.Stderr)
	root.Long += fmt.Sprintf("\n  %d  demo: a promise was broken", exitBroken)
	root.AddCommand(demo.NewCommand())
	err := root.ExecuteContext(ctx)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, "tealhallctl:", err)
	}
	os.Exit(exitCode(err))
}

func exitCode(err error) int {
	var broken *demo.BrokenError
	if errors.As(err, &broken) {
		return exitBroken
	}
	return ctl.ExitCode(err)
}
