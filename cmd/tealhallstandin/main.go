// Command tealhallstandin simulates the environment of tealhall in separate processes, for trials:
// the platform's configuration service and application endpoints. It is not part of an
// installation.
package main

import (
	"os"

	"github.com/spf13/cobra"

	"github.com/tealhall/tealhall/internal/program"
)

func main() {
	root := &cobra.Command{
		Use:   "tealhallstandin",
		Short: "Simulate the platform's configuration service or an application endpoint",
	}
	root.AddCommand(platformCommand(), endpointCommand())
	os.Exit(program.Run(root, program.Failure))
}
