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
	users "github.com/tealhall/tealhall/platform"
)

// serve runs an entry until a signal comes or a server of it ends, then stops it.
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
	operators, err := startAdmin(s, e.AdminHandler(), serverConfig(stores.admin))
	if err != nil {
		return err
	}
	defer operators.close()
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

// runUntilStopped waits for a reason to stop and stops, and reads the settings again when
// they change. A server that ended can't be had back without a new process; the
// planned stop still saves what is in flight.
func runUntilStopped(e stopper, settings *reloader, signals <-chan os.Signal) error {
	poll := time.NewTicker(settingsPoll)
	defer poll.Stop()
	for {
		select {
		case sig := <-signals:
			if sig == syscall.SIGHUP {
				settings.reload(sig.String())
				continue
			}
			return stop(e, sig.String(), signals)
		case <-poll.C:
			settings.poll()
		case failure := <-e.Failed():
			klog.ErrorS(failure, "the entry can't go on")
			// That requests were cut is in the log; the failure is the graver news.
			_ = stop(e, "failure", signals)
			return failure
		}
	}
}

// entryOptions returns what the entry is built from: the dialect of its
// surroundings and the service that publishes to it.
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
	options.Dialect = users.Dialect{}
	options.Platform = users.NewService(users.ServiceConfig{
		BaseURL: s.Platform.URL,
		Timeout: s.Platform.Timeout.Duration,
		Watch:   s.Platform.Watch.Duration,
	})
	return options, nil
}

// readProfiles reads the profiles that treat the requests of routes.
func readProfiles(path string) (*profile.Snapshot, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fault.Wrap(err, fault.BadSettings, "name a readable file in routes.profiles", "the profiles can't be read")
	}
	profiles, err := profile.Parse(data, profilesRevision)
	return profiles, fault.Wrap(err, fault.BadSettings, "correct the file that routes.profiles names", "%s is unusable", path)
}

// profilesRevision is that of profiles from a file, which don't change while the
// process runs.
const profilesRevision = 1

// stopper is what stop needs of an entry.
type stopper interface {
	Name() string
	Failed() <-chan error
	Stop(ctx context.Context) entry.StopSummary
}

// stop makes a planned stop, which ends early at the next signal.
func stop(e stopper, cause string, signals <-chan os.Signal) error {
	klog.InfoS("a planned stop begins; the next signal makes it quick", "entry", e.Name(), "cause", cause)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		for {
			select {
			case second := <-signals:
				if second == syscall.SIGHUP {
					continue // settings no longer matter
				}
				klog.InfoS("the stop is quick from now on", "entry", e.Name(), "signal", second.String())
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
		return errCut
	}
	return nil
}
