package demo

import (
	"flag"
	"io"

	"github.com/spf13/cobra"
	"k8s.io/klog/v2"
)

// NewCommand returns the command "demo".
func NewCommand() *cobra.Command {
	var opts Options
	command := &cobra.Command{
		Use:   "demo",
		Short: "Run a complete fleet in this process, send it requests and print the results",
		Long: `Run a simulated platform, three entries and ten endpoints in this process on
loopback, send them a bounded mix of reads, once-only writes and uploads while
profiles change and VMs leave, and print tables of the results. It takes about
16 seconds and exits with 5 if a guarantee was violated.`,
		Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			quietLog()
			opts.Out = command.OutOrStdout()
			return Run(command.Context(), opts)
		},
	}
	command.Flags().BoolVar(&opts.KeepRunning, "stay", false, "keep the fleet running after the report and print example curl commands")
	command.Flags().Uint64Var(&opts.Seed, "seed", 1, "seed of the random service times")
	return command
}

// quietLog limits the log of the entries to errors, on standard error.
func quietLog() {
	set := flag.NewFlagSet("log", flag.ContinueOnError)
	klog.InitFlags(set)
	// Set cannot fail: klog defines these flags and accepts these values.
	_ = set.Set("logtostderr", "false")
	_ = set.Set("stderrthreshold", "ERROR")
	klog.SetOutput(io.Discard)
}
