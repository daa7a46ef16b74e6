// Package ctl implements the commands of tealhallctl, the operators' tool. It checks and compares
// profile documents and shows the state of an entry. It changes nothing in a fleet: operators make
// changes by publishing profiles.
package ctl

import (
	"io"
	"strings"
	"time"

	"github.com/spf13/cobra"
)

const (
	defaultAdmin   = "127.0.0.1:9090"
	defaultTimeout = 5 * time.Second
)

// options holds the flags that all commands share.
type options struct {
	admin       string
	authorities string
	output      string
	timeout     time.Duration

	out io.Writer
}

// NewCommand returns the root command. Results and requested help go to out, other usage texts to
// errOut. The command prints no errors: the caller prints them and exits with ExitCode.
func NewCommand(out, errOut io.Writer) *cobra.Command {
	o := &options{out: out}
	root := &cobra.Command{
		Use:   "tealhallctl",
		Short: "Inspect tealhall and check documents before they are published",
		Long: "tealhallctl checks and compares profile documents and shows the state of an entry.\n" +
			"It changes nothing in a fleet: changes are made by publishing profiles.\n\n" + exitCodesText,
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.SetOut(out)
	root.SetErr(errOut)
	flags := root.PersistentFlags()
	flags.StringVar(&o.admin, "admin", defaultAdmin, "address of an entry's admin interface, IP:port or https://HOST:port")
	flags.StringVar(&o.authorities, "authorities", "", "PEM file with the authorities to trust for an https address")
	flags.StringVarP(&o.output, "output", "o", outputTable, "output format: table or json")
	flags.DurationVar(&o.timeout, "timeout", defaultTimeout, "longest time to wait for a response")
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return asUsageError(err) })
	root.PersistentPreRunE = func(*cobra.Command, []string) error { return o.check() }
	// The registration fails only for a flag that does not exist.
	_ = root.RegisterFlagCompletionFunc("output", cobra.FixedCompletions([]string{outputTable, outputJSON}, cobra.ShellCompDirectiveNoFileComp))
	makeGroup(root)
	root.AddCommand(
		profileCommand(o),
		statusCommand(o),
		entriesCommand(o),
		endpointsCommand(o),
		profilesCommand(o),
		routesCommand(o),
		auditCommand(o),
		metricsCommand(o),
	)
	return root
}

func (o *options) check() error {
	if o.output != outputTable && o.output != outputJSON {
		return usageErrorf("--output is %q; give table or json", o.output)
	}
	if o.timeout <= 0 {
		return usageErrorf("--timeout is %s; give a duration above 0", o.timeout)
	}
	return nil
}

// makeGroup turns cmd into a command that only groups subcommands: without a subcommand it prints
// its help, and the name of an unknown subcommand is a usage error.
func makeGroup(cmd *cobra.Command) {
	cmd.SuggestionsMinimumDistance = 2
	cmd.Args = func(cmd *cobra.Command, args []string) error {
		if len(args) == 0 {
			return nil
		}
		text := ""
		if similar := cmd.SuggestionsFor(args[0]); len(similar) > 0 {
			text = "; did you mean " + strings.Join(similar, " or ") + "?"
		}
		return usageErrorf("%s has no command %q%s", cmd.CommandPath(), args[0], text)
	}
	cmd.RunE = func(cmd *cobra.Command, _ []string) error { return cmd.Help() }
}

// exactArgs requires n arguments; any other number is a usage error.
func exactArgs(n int) cobra.PositionalArgs {
	return func(cmd *cobra.Command, args []string) error { return asUsageError(cobra.ExactArgs(n)(cmd, args)) }
}
