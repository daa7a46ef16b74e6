// Command tealhallstandin plays what surrounds tealhall, to try it out with
// separate processes: the platform's configuration service and application
// endpoints. It is no part of an installation.
package main

import (
	"os"

	"github.com/spf13/cobra"

	"github.com/tealhall/tealhall/internal/program"
)

func main() {
	root := &cobra.Command{
		Use:   "tealhallstandin",
		Short: "Stand-ins for the platform and for endpoints",
	}
	root.AddCommand(platformCommand(), endpointCommand())
	os.Exit(program.Run(root, program.Failure))
}
