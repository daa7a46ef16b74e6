// Command tealhallbench measures tealhall on one machine. It is not part of an installation. See
// docs/MEASUREMENTS.md.
package main

import (
	"os"

	"github.com/spf13/cobra"

	"github.com/tealhall/tealhall/internal/program"
)

func main() {
	root := &cobra.Command{
		Use:   "tealhallbench",
		Short: "Measure tealhall on this machine",
	}
	root.AddCommand(fleetCommand(), soakCommand())
	os.Exit(program.Run(root, program.Failure))
}
