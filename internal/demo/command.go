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
		Short: "Run a whole fleet in this process, send it requests and print what came of them",
		Long: `Run the platform's stand-in, three entries and ten endpoints in this process on
loopback, send them a bounded mix of reads, once-only writes and uploads while
profiles change and VMs leave, and print a table. It takes about 16 seconds and
exits with 5 if a promise was broken.`,
		Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			quietLog()
			opts.Out = command.OutOrStdout()
			return Run(command.Context(), opts)
		},
	}
	command.Flags().BoolVar(&opts.Stay, "stay", false, "keep the fleet running after the table and print curl lines to try")
	command.Flags().Uint64Var(&opts.Seed, "seed", 1, "varies the service times")
	return command
}

// quietLog lets only errors of the entries through to standard error.
func quietLog() {
	set := flag.NewFlagSet("log", flag.ContinueOnError)
	klog.InitFlags(set)
	// These names and values are klog's own; they are always accepted.
	_ = set.Set("logtostderr", "false")
	_ = set.Set("stderrthreshold", "ERROR")
	klog.SetOutput(io.Discard)
}
