package daemon

import (
	"context"
	"os"
	"syscall"
	"time"

	"k8s.io/klog/v2"

	"github.com/tealhall/tealhall/internal/entry"
	"github.com/tealhall/tealhall/internal/fault"
	"github.com/tealhall/tealhall/internal/profile"
	"github.com/tealhall/tealhall/internal/published"
	"github.com/tealhall/tealhall/internal/settings"
	"github.com/tealhall/tealhall/platform"
)

// serve runs an entry until a signal arrives or one of the entry's servers fails, then stops it.
func serve(path string, s *settings.Settings, stores *certStores, signals <-chan os.Signal) error {
	stores.logPlainText()
	defer stores.watch(s.TLS.Poll.Duration)()
	options, err := entryOptions(s, stores)
	if err != nil {
		return err
	}
	e, err := entry.New(s, options)
	if err != nil {
		return err
	}
	adminInterface, err := startAdmin(s, e.AdminHandler(), serverConfig(stores.admin))
	if err != nil {
		return err
	}
	defer adminInterface.close()
	aux, err := startAuxServers(s, e)
	if err != nil {
		return err
	}
	defer aux.close()
	if err := e.Start(); err != nil {
		return err
	}
	klog.InfoS("serving", "failureDomain", s.FailureDomain, "callers", e.CallerAddress(), "peers", e.PeerAddress())
	return runUntilStopped(e, newReloader(path, e, s), signals)
}

// runUntilStopped reloads the settings when they change, and stops the entry on a signal or when a
// server of the entry fails. A failed server comes back only with a new process; the planned stop
// lets the requests in flight finish.
func runUntilStopped(e stopper, r *reloader, signals <-chan os.Signal) error {
	poll := time.NewTicker(settingsPoll)
	defer poll.Stop()
	for {
		select {
		case sig := <-signals:
			if sig == syscall.SIGHUP {
				r.reload(sig.String())
				continue
			}
			return stop(e, sig.String(), signals)
		case <-poll.C:
			r.poll()
		case failure := <-e.Failed():
			klog.ErrorS(failure, "a server of the entry failed; stopping the entry")
			// errRequestsCutOff is ignored: stop logs the number of cut requests, and the failure
			// decides the exit code.
			_ = stop(e, "failure", signals)
			return failure
		}
	}
}

// entryOptions returns the options of the entry: TLS, the client of the platform's configuration
// service and, for the store protocol, the dialect and the route profiles.
func entryOptions(s *settings.Settings, stores *certStores) (entry.Options, error) {
	options := entry.Options{TLS: stores.entryTLS(&s.TLS)}
	if s.Platform.Protocol != settings.StoreProtocol {
		options.Platform = published.NewClient(published.ClientConfig{
			BaseURL:        s.Platform.URL,
			Timeout:        s.Platform.Timeout.Duration,
			WatchWait:      s.Platform.Watch.Duration,
			CallsPerSecond: s.Platform.CallsPerSecond,
		})
		return options, nil
	}
	profiles, err := readProfiles(s.Routes.Profiles)
	if err != nil {
		return options, err
	}
	options.RouteProfiles = profiles
	options.Dialect = platform.Dialect{}
	options.Platform = platform.NewService(platform.ServiceConfig{
		BaseURL:   s.Platform.URL,
		Timeout:   s.Platform.Timeout.Duration,
		WatchWait: s.Platform.Watch.Duration,
	})
	return options, nil
}

// readProfiles reads the file with the profiles of routes.
func readProfiles(path string) (*profile.Snapshot, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fault.Wrap(err, fault.BadSettings, "name a readable file in routes.profiles", "cannot read the profiles")
	}
	profiles, err := profile.Parse(data, profilesRevision)
	return profiles, fault.Wrap(err, fault.BadSettings, "correct the file that routes.profiles names", "%s is invalid", path)
}

// profilesRevision is the revision of profiles from a file, which do not change while the process
// runs.
const profilesRevision = 1

// stopper is the part of an entry that runUntilStopped and stop use.
type stopper interface {
	Name() string
	Failed() <-chan error
	Stop(ctx context.Context) entry.StopSummary
}

// stop performs a planned stop of the entry. The next signal other than SIGHUP ends it early.
func stop(e stopper, cause string, signals <-chan os.Signal) error {
	klog.InfoS("planned stop started; another signal ends it early", "entry", e.Name(), "cause", cause)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		for {
			select {
			case second := <-signals:
				if second == syscall.SIGHUP {
					continue // a stopping entry needs no new settings
				}
				klog.InfoS("ending the planned stop early", "entry", e.Name(), "signal", second.String())
				cancel()
			case <-ctx.Done():
			}
			return
		}
	}()
	summary := e.Stop(ctx)
	klog.InfoS("stopped", "entry", e.Name(), "took", summary.Took.String(), "requestsCut", summary.Cut,
		"keysHandedOver", summary.HandedOver, "successors", summary.Successors)
	if summary.Cut > 0 {
		return errRequestsCutOff
	}
	return nil
}
