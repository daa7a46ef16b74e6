package entry

import (
	"context"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/tealhall/tealhall/internal/core"
	tables "github.com/tealhall/tealhall/internal/core/table"
	"github.com/tealhall/tealhall/internal/fault"
	"github.com/tealhall/tealhall/internal/message"
	"github.com/tealhall/tealhall/internal/peer"
	"github.com/tealhall/tealhall/internal/profile"
	"github.com/tealhall/tealhall/internal/published"
	"github.com/tealhall/tealhall/internal/settings"
)

// factsWithoutConcerns are an entry that serves, with a peer and two endpoints.
func factsWithoutConcerns() *facts {
	f := &facts{now: time.Hour, settings: settings.Default()}
	f.view.State, f.view.Ready = message.EntryServing, true
	f.view.Profiles = core.PublishedView{InForce: message.Mark{Revision: 7}, Confirmed: true, ConfirmedAt: time.Hour - time.Second}
	f.view.Entries = make([]core.EntryView, 2)
	for i, name := range []string{"entry-1", "entry-2"} {
		e := &f.view.Entries[i]
		e.VM = published.VM{Name: name, PeerAddress: name + ":7070"}
		e.State, e.Self, e.Heard, e.Profiles, e.SeenAt = message.EntryServing, i == 0, i > 0, 7, time.Hour
	}
	f.view.Endpoints = make([]core.EndpointView, 2)
	for i, name := range []string{"hall-1", "hall-2"} {
		f.view.Endpoints[i] = core.EndpointView{Endpoint: tables.Endpoint{Name: name}, Pool: "halls"}
	}
	f.view.Pools = []core.PoolView{{Name: "halls", Live: 2, Services: []core.ServiceView{{Name: "booking", Policy: &profile.Policy{QueueLimit: 10}}}}}
	f.links = []peer.LinkStats{{Address: "entry-2:7070", State: peer.LinkOpen}, {Address: "old-seed:7070", State: peer.LinkWaiting, LastError: "refused"}}
	f.recent.arrived = 1000
	return f
}

// Whoever is on call sees what is not as it should be and what ends it, and
// nothing when all is well: an alert on the number of concerns must not ring for
// what callers do wrong, for ordinary drains, or for a seed that is long gone.
func TestConcerns(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(f *facts)
		// want is a part of what and of what clears it; none for calm.
		want [2]string
	}{
		{"all is well", func(*facts) {}, [2]string{}},
		{"callers send keys that are bad", func(f *facts) { f.recent.refused[core.ReasonKeyBad] = 500 }, [2]string{}},
		{"a few refusals", func(f *facts) { f.recent.refused[core.ReasonQueueFull] = 9 }, [2]string{}},
		{"an idle endpoint leaves", func(f *facts) { f.view.Endpoints[0].State = tables.EndpointLeaving }, [2]string{}},
		{"an entry that starts has no revision yet", func(f *facts) { f.view.Entries[1].State, f.view.Entries[1].Profiles = message.EntryStarting, 0 }, [2]string{}},
		{"an entry of which others told", func(f *facts) { f.view.Entries[1].Profiles = 0 }, [2]string{}},
		{"a stale replica long ago", func(f *facts) { f.view.Profiles.Stale = true }, [2]string{}},
		{"one failure domain of several is evacuated", func(f *facts) { f.view.Pools[0].Evacuated = 1 }, [2]string{}},
		{"all are evacuated", func(f *facts) { f.view.Pools[0].Evacuated = 2 }, [2]string{"all endpoints of pool halls of booking are evacuated", "taken back"}},
		{"one failed call", func(f *facts) {
			f.platform.values = map[string]valueCalls{published.VMsValue: {failing: 1, cause: "reset"}}
		}, [2]string{}},
		{"not ready", func(f *facts) { f.view.Ready, f.view.NotReadyWhy = false, "profiles: none" }, [2]string{"not ready: profiles: none", "peers.seeds"}},
		{"leaving", func(f *facts) { f.view.State = message.EntryLeaving }, [2]string{"this entry is leaving", "when its requests have ended"}},
		{"paused", func(f *facts) { f.recent.pauses = 1 }, [2]string{"did not run 1 time(s)", "after a minute"}},
		{"behind", func(f *facts) { f.view.Profiles.Wanted = 9 }, [2]string{"revision 9 exists, 7 is in force", "within seconds"}},
		{"unreadable", func(f *facts) { f.view.Profiles.Unreadable = "the config is not readable" },
			[2]string{"profiles: what the platform holds now can't be used: the config is not readable", "publish it again"}},
		{"odd routes", func(f *facts) { f.view.Profiles.Problems = []string{`route "r" leads to no service and is left out`} },
			[2]string{`profiles: revision 7 is in force, but for what can't be used of it: route "r" leads to no service`, "corrected"}},
		{"refused", func(f *facts) { f.view.Profiles.Refused, f.view.Profiles.RefusedWhy = 8, "line 3\nline 9" },
			[2]string{"revision 8 was refused: line 3 (and 1 more", "corrected"}},
		{"a stale replica", func(f *facts) { f.view.VMs.Stale, f.view.VMs.StaleAt = true, time.Hour-time.Second },
			[2]string{"VM list: an older revision than 0, which is in force, was offered 1s ago", "never goes back"}},
		{"the service is down", func(f *facts) {
			f.platform.values = map[string]valueCalls{published.ProfilesValue: {failing: 12, answered: true, answeredAt: 50 * time.Minute, cause: "timed out"}}
		}, [2]string{"failed 12 times in a row for tealhall/profiles, the last answer came 10m0s ago: timed out", "go on with what is in force"}},
		{"the list is held", func(f *facts) { f.view.ListHeld = true }, [2]string{"loses many VMs", "correct the list"}},
		{"suspected", func(f *facts) { f.view.Entries[1].Suspected, f.view.Entries[1].SeenAt = true, 59*time.Minute },
			[2]string{"entry-2 has not been heard for 1m0s", "check the VM"}},
		{"another leaves", func(f *facts) { f.view.Entries[1].State = message.EntryLeaving }, [2]string{"entry-2 is leaving", "has stopped"}},
		{"another is behind", func(f *facts) { f.view.Entries[1].Profiles = 6 }, [2]string{"entry-2 has revision 6", "within seconds"}},
		{"link down", func(f *facts) { f.links[0].State, f.links[0].LastError = peer.LinkWaiting, "no route" },
			[2]string{"link to entry entry-2 at entry-2:7070 is down: no route", "check the network"}},
		{"ejected", func(f *facts) {
			f.view.Endpoints[1].Ejection = &core.EjectionView{Why: "took 4.0 times the pool's median", Clears: "3 good trials"}
		}, [2]string{"hall-2 of pool halls is ejected: took 4.0 times", "3 good trials"}},
		{"a busy endpoint leaves", func(f *facts) {
			f.view.Endpoints[0].State, f.view.Endpoints[0].Outstanding = tables.EndpointLeaving, 2
		}, [2]string{"leaving with 2 request(s)", "nothing new is sent"}},
		{"missing", func(f *facts) { f.view.Endpoints[0].Missing = true }, [2]string{"hall-1 of pool halls is missing", "correct the list"}},
		{"most look bad", func(f *facts) { f.view.Pools[0].ViewWrong = true }, [2]string{"most endpoints of pool halls", "the service itself"}},
		{"no endpoint", func(f *facts) { f.view.Pools[0].Live = 0 }, [2]string{"pool halls of booking has no live endpoint", "start endpoints"}},
		{"refusals", func(f *facts) { f.recent.refused[core.ReasonQueueFull], f.recent.refused[core.ReasonTooLate] = 20, 5 },
			[2]string{"25 of 1000 requests were refused in the last minute, 20 of them for queue-full", "add endpoints"}},
		{"unknown", func(f *facts) { f.recent.unknown = 1 }, [2]string{"unknown outcome", "check in the application"}},
		{"no budget", func(f *facts) { f.recent.retriesDenied = 3 }, [2]string{"3 retries were not allowed", "earns retries"}},
		{"full queue", func(f *facts) { f.view.Pools[0].Services[0].Waiting = 9 }, [2]string{"9 of 10 requests to booking", "queue_limit"}},
		{"full key table", func(f *facts) { f.view.Keys.Keys = 99_000 }, [2]string{"99000 of 100000 idempotency keys", "limits.keys"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := factsWithoutConcerns()
			c.change(f)
			concerns := f.concerns()
			if c.want == [2]string{} {
				if len(concerns) != 0 {
					t.Errorf("concerns: %+v", concerns)
				}
				return
			}
			if len(concerns) != 1 || !strings.Contains(concerns[0].What, c.want[0]) || !strings.Contains(concerns[0].Clears, c.want[1]) {
				t.Errorf("concerns: %+v, want one with %q", concerns, c.want)
			}
		})
	}
	f := factsWithoutConcerns()
	f.view.Endpoints = make([]core.EndpointView, 30)
	for i := range f.view.Endpoints {
		f.view.Endpoints[i].Missing = true
	}
	if concerns := f.concerns(); len(concerns) != maxConcernsPerKind+1 || !strings.Contains(concerns[maxConcernsPerKind].What, "25 more endpoints") {
		t.Errorf("30 of a kind: %+v", concerns)
	}
}

// failingService is a configuration service whose calls end with an error.
type failingService struct{ err error }

func (s failingService) Read(context.Context, string) (published.Value, error) {
	return published.Value{}, s.err
}

func (s failingService) Watch(context.Context, string, uint64) (published.Value, error) {
	return published.Value{}, s.err
}

// An operator judges the configuration service by the calls that failed. Those
// that the entry stopped itself, by its bound or because others read for it,
// must not make a service look bad that is well.
func TestPlatformCallsAreCounted(t *testing.T) {
	down := errors.New("connection refused")
	cancelled, cancel := context.WithCancel(t.Context())
	cancel()
	p := newCountedPlatform(failingService{}, func() time.Duration { return time.Second })
	for _, call := range []struct {
		ctx context.Context
		err error
	}{{t.Context(), down}, {t.Context(), nil}, {t.Context(), down}, {t.Context(), down}, {cancelled, down}, {t.Context(), fault.New(fault.RateLimited, "wait", "too many")}} {
		p.service = failingService{call.err}
		_, _ = p.Watch(call.ctx, "a", 0)
	}
	got := p.snapshot()
	if v := got.values["a"]; got.calls != 5 || got.failures != 3 || v.failing != 2 || !v.answered || got.lastError != down.Error() {
		t.Errorf("counted %+v", got)
	}
}
