// Package daemon implements the program tealhalld: it reads the settings, runs one entry and stops
// it on a signal. The process starts no other process and writes no file. Logs go to standard
// error, or to standard output in JSON format.
package daemon

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strconv"
	"syscall"

	"github.com/spf13/cobra"
	"k8s.io/klog/v2"

	"github.com/tealhall/tealhall/internal/entry"
	"github.com/tealhall/tealhall/internal/fault"
	"github.com/tealhall/tealhall/internal/logging"
	"github.com/tealhall/tealhall/internal/settings"
	"github.com/tealhall/tealhall/platform"
)

// Exit codes of the daemon. docs/RUNNING.md lists them for operators.
const (
	// ExitOK means that the settings are valid, or that a planned stop cut off no request.
	ExitOK = 0
	// ExitFailure means that the entry could not start or that one of its servers failed.
	ExitFailure = 1
	// ExitSettings means that the command line or the settings are invalid.
	ExitSettings = 2
	// ExitRequestsCutOff means that a stop cut off requests in flight.
	ExitRequestsCutOff = 3
)

// signalBuffer is the capacity of the signal channel: one signal begins a planned stop, a second
// one ends it early, and the remaining capacity is for signals that reload the settings.
const signalBuffer = 16

// Main runs the daemon with the arguments after the program's name and returns the exit code. The
// first SIGTERM or SIGINT begins a planned stop, the second ends it early; SIGHUP reloads the
// settings.
func Main(args []string, out, errOut io.Writer) int {
	signals := make(chan os.Signal, signalBuffer)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	defer signal.Stop(signals)
	return run(args, out, errOut, signals)
}

// flags holds the parsed command-line flags.
type flags struct {
	config string
	check  bool
}

// errRequestsCutOff reports that a stop cut off requests; the log has their number.
var errRequestsCutOff = errors.New("requests in flight were cut off")

func run(args []string, out, errOut io.Writer, signals <-chan os.Signal) int {
	command := newCommand(signals)
	command.SetArgs(args)
	command.SetOut(out)
	command.SetErr(errOut)
	err := command.Execute()
	if err != nil {
		fmt.Fprintln(errOut, "tealhalld:", err)
	}
	return exitCode(err)
}

func exitCode(err error) int {
	switch {
	case err == nil:
		return ExitOK
	case errors.Is(err, errRequestsCutOff):
		return ExitRequestsCutOff
	case fault.KindOf(err) == fault.BadSettings:
		return ExitSettings
	default:
		return ExitFailure
	}
}

func newCommand(signals <-chan os.Signal) *cobra.Command {
	var f flags
	command := &cobra.Command{
		Use:           "tealhalld --config FILE",
		Short:         "Run one entry of tealhall",
		Args:          badCommandLine(cobra.NoArgs),
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(command *cobra.Command, _ []string) error {
			return runFlags(command, f, signals)
		},
	}
	command.SetFlagErrorFunc(func(_ *cobra.Command, err error) error {
		return fault.Wrap(err, fault.BadSettings, "see tealhalld --help", "invalid command line")
	})
	set := command.Flags()
	set.StringVar(&f.config, "config", "", "file with the settings (TOML, see docs/SETTINGS.md)")
	set.BoolVar(&f.check, "check", false, "check the settings and exit: 0 if they are valid, else 2")
	return command
}

// badCommandLine wraps the errors of check with the kind fault.BadSettings.
func badCommandLine(check cobra.PositionalArgs) cobra.PositionalArgs {
	return func(command *cobra.Command, args []string) error {
		return fault.Wrap(check(command, args), fault.BadSettings, "see tealhalld --help", "invalid command line")
	}
}

func runFlags(command *cobra.Command, f flags, signals <-chan os.Signal) error {
	s, err := readSettings(f.config)
	if err != nil {
		return err
	}
	stores, err := openTLS(&s.TLS)
	if err != nil {
		return err
	}
	if f.check {
		if err := checkProfiles(s); err != nil {
			return err
		}
		fmt.Fprintf(command.OutOrStdout(), "%s: the settings of %s are valid\n", f.config, s.Name)
		return nil
	}
	entry.TuneMemory(&s.Limits)
	logTo(command.ErrOrStderr(), s.Log.Verbosity)
	defer klog.Flush()
	if s.Log.Format == settings.JSONLog {
		w := logging.NewWriter(command.OutOrStdout(), logging.Config{LinesPerSecond: s.Log.LinesPerSecond, BytesPerSecond: s.Log.BytesPerSecond})
		logging.RedirectKlog(w, "entry", s.Name)
		defer klog.ClearLogger()
		defer w.Close()
	}
	return serve(f.config, s, stores, signals)
}

func readSettings(path string) (*settings.Settings, error) {
	if path == "" {
		return nil, fault.New(fault.BadSettings, "name the settings file with --config FILE", "no settings")
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fault.Wrap(err, fault.BadSettings, "name a readable file with --config", "cannot read the settings")
	}
	s, err := settings.Load(data)
	if err != nil {
		return nil, err
	}
	terms, err := platform.ParseTerms(s.Platform.Terms)
	if err != nil {
		// The error lists the problems of platform.terms and of the profiles together.
		return nil, errors.Join(err, checkProfiles(s))
	}
	terms.Apply(s)
	return s, nil
}

// checkProfiles checks the profiles file if the settings use the store protocol; other protocols
// have none.
func checkProfiles(s *settings.Settings) error {
	if s.Platform.Protocol != settings.StoreProtocol {
		return nil
	}
	_, err := readProfiles(s.Routes.Profiles)
	return err
}

// logTo sends the log to w and writes each line only once, whatever its severity.
func logTo(w io.Writer, verbosity int) {
	set := flag.NewFlagSet("log", flag.ContinueOnError)
	klog.InitFlags(set)
	for name, value := range map[string]string{
		"logtostderr":     "false",
		"alsologtostderr": "false",
		"stderrthreshold": "FATAL",
		"one_output":      "true",
		"v":               strconv.Itoa(verbosity),
	} {
		// Set cannot fail: klog defines these names and accepts these values.
		_ = set.Set(name, value)
	}
	klog.SetOutput(w)
}

// setVerbosity changes the verbosity of the log.
func setVerbosity(level int) {
	var v klog.Level
	// Set cannot fail: klog accepts any number.
	_ = v.Set(strconv.Itoa(level))
}
