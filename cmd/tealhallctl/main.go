// Command tealhallctl is the operators' tool. See docs/OPERATIONS.md.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/tealhall/tealhall/internal/ctl"
	"github.com/tealhall/tealhall/internal/demo"
	"github.com/tealhall/tealhall/internal/program"
)

// exitBroken is the exit code of a demo in which a promise was broken. It follows the exit codes of
// package ctl.
const exitBroken = 5

func main() {
	root := ctl.NewCommand(os.Stdout, os.Stderr)
	root.Long += fmt.Sprintf("\n  %d  demo: a promise was broken", exitBroken)
	root.AddCommand(demo.NewCommand())
	os.Exit(program.Run(root, exitCode))
}

func exitCode(err error) int {
	var broken *demo.ViolationError
	if errors.As(err, &broken) {
		return exitBroken
	}
	return ctl.ExitCode(err)
}
