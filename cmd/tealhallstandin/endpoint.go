package main

import (
	"context"
	"os"
	"time"

	"github.com/spf13/cobra"
	"k8s.io/klog/v2"

	"github.com/tealhall/tealhall/internal/fault"
	"github.com/tealhall/tealhall/internal/standin"
)

// endpointFlags holds the flags of the endpoint stand-in.
type endpointFlags struct {
	config       standin.EndpointConfig
	control      string
	journal      bool
	distribution string
	serviceTime  time.Duration
	sigma        float64
	seed         uint64
	linger       time.Duration
	stopTimeout  time.Duration
}

func endpointCommand() *cobra.Command {
	var flags endpointFlags
	command := &cobra.Command{
		Use:   "endpoint",
		Short: "Serve as one application endpoint; SIGTERM drains it",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			return runEndpoint(command.Context(), flags)
		},
	}
	set := command.Flags()
	config := &flags.config
	set.StringVar(&config.Listen, "listen", standin.DefaultListen, "IP:port to serve on")
	set.StringVar(&config.Name, "name", "endpoint", "name of the VM in the platform's list")
	set.Uint64Var(&config.Incarnation, "incarnation", standin.DefaultIncarnation, "incarnation of the VM")
	set.IntVar(&config.Slots, "slots", standin.DefaultSlots, "requests processed at the same time")
	set.IntVar(&config.QueueLimit, "queue", standin.DefaultQueueLimit, "longest queue; -1 for none")
	set.DurationVar(&config.ProbeTime, "probe-time", standin.DefaultProbeTime, "slot time of a probe")
	set.Float64Var(&config.ColdFactor, "cold-factor", 1, "factor on the slot times of requests and probes at the start")
	set.DurationVar(&config.ColdTime, "cold-time", 0, "time over which the factor of --cold-factor falls to 1")
	set.DurationVar(&config.ConnectTime, "connect-time", 0, "delay of the first byte of each new connection")
	set.DurationVar(&flags.serviceTime, "service-time", standin.DefaultServiceTime, "mean service time")
	set.StringVar(&flags.distribution, "distribution", "constant", "constant, exponential or log-normal")
	set.Float64Var(&flags.sigma, "sigma", 0.5, "standard deviation of the logarithm of log-normal service times")
	set.Uint64Var(&flags.seed, "seed", 1, "seed of the distribution")
	set.StringVar(&flags.control, "control", "", "IP:port of the control interface; none by default")
	set.BoolVar(&flags.journal, "journal", false, "print a line for each request that arrives, runs and finishes")
	set.DurationVar(&flags.linger, "linger", 5*time.Second, "how long to keep refusing new requests after the drain began")
	set.DurationVar(&flags.stopTimeout, "stop-timeout", time.Minute, "longest time to wait for requests in flight before stopping")
	return command
}

// serviceTimeOf returns the distribution of service times that the flags select.
func serviceTimeOf(flags endpointFlags) (standin.ServiceTime, error) {
	switch flags.distribution {
	case "constant":
		return standin.Constant(flags.serviceTime), nil
	case "exponential":
		return standin.Exponential(flags.serviceTime, flags.seed), nil
	case "log-normal":
		return standin.LogNormal(flags.serviceTime, flags.sigma, flags.seed), nil
	}
	return nil, fault.New(fault.BadSettings, "choose constant, exponential or log-normal",
		"distribution %q is unknown", flags.distribution)
}

func runEndpoint(ctx context.Context, flags endpointFlags) error {
	serviceTime, err := serviceTimeOf(flags)
	if err != nil {
		return err
	}
	flags.config.ServiceTime = serviceTime
	if flags.journal {
		flags.config.Ledger = standin.NewJournaledLedger(os.Stdout)
	}
	endpoint, err := standin.NewEndpoint(flags.config)
	if err != nil {
		return err
	}
	if flags.control != "" {
		control, err := standin.NewServer(flags.control, standin.EndpointControl(endpoint), standin.RealClock(), 0)
		if err != nil {
			return err
		}
		defer control.Kill()
	}
	klog.InfoS("Serving", "name", flags.config.Name, "address", endpoint.Server().Address(), "control", flags.control)
	<-ctx.Done()
	return drain(endpoint, flags)
}

// drain refuses new requests for the linger time, so that entries that have not heard of the drain
// learn of it from the refusals, and then stops once the last request has finished.
func drain(endpoint *standin.Endpoint, flags endpointFlags) error {
	endpoint.Drain()
	klog.InfoS("Draining", "name", flags.config.Name, "load", endpoint.Load().String())
	time.Sleep(flags.linger)
	ctx, cancel := context.WithTimeout(context.Background(), flags.stopTimeout)
	defer cancel()
	if err := endpoint.Close(ctx); err != nil {
		return fault.Wrap(err, fault.Unavailable, "allow more time with --stop-timeout", "requests in flight were cut off")
	}
	stats := endpoint.Stats()
	klog.InfoS("Stopped", "name", flags.config.Name, "requests", stats.Requests, "finished", stats.Finished)
	return nil
}
