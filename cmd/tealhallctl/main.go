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

// exitViolation is the exit code of a demo that violated a guarantee. It follows the exit codes of
// package ctl.
const exitViolation = 5

func main() {
	root := ctl.NewCommand(os.Stdout, os.Stderr)
	root.Long += fmt.Sprintf("\n  %d  demo: a guarantee was violated", exitViolation)
	root.AddCommand(demo.NewCommand())
	os.Exit(program.Run(root, exitCode))
}

func exitCode(err error) int {
	var violation *demo.ViolationError
	if errors.As(err, &violation) {
		return exitViolation
	}
	return ctl.ExitCode(err)
}
