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

// factsWithoutConcerns returns the facts of a serving entry with one peer and two endpoints.
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

// Guards against concerns that are missing or raised without need. Operators set an alert on the
// number of concerns, so callers' mistakes, ordinary drains and seed addresses that nobody uses any
// more must not raise one.
func TestConcerns(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(f *facts)
		// want has a part of the concern's What and of its Clears; it is empty if no concern is
		// expected.
		want [2]string
	}{
		{"no concern", func(*facts) {}, [2]string{}},
		{"callers send invalid keys", func(f *facts) { f.recent.refused[core.ReasonKeyBad] = 500 }, [2]string{}},
		{"few refusals", func(f *facts) { f.recent.refused[core.ReasonQueueFull] = 9 }, [2]string{}},
		{"idle endpoint is leaving", func(f *facts) { f.view.Endpoints[0].State = tables.EndpointLeaving }, [2]string{}},
		{"starting entry has no revision yet", func(f *facts) { f.view.Entries[1].State, f.view.Entries[1].Profiles = message.EntryStarting, 0 }, [2]string{}},
		{"entry known only from others", func(f *facts) { f.view.Entries[1].Profiles = 0 }, [2]string{}},
		{"stale replica more than a minute ago", func(f *facts) { f.view.Profiles.Stale = true }, [2]string{}},
		{"one failure domain of several is evacuated", func(f *facts) { f.view.Pools[0].Evacuated = 1 }, [2]string{}},
		{"all failure domains are evacuated", func(f *facts) { f.view.Pools[0].Evacuated = 2 }, [2]string{"all endpoints of pool halls of booking are evacuated", "taken back"}},
		{"one failed call", func(f *facts) {
			f.platform.values = map[string]valueCalls{published.VMsValue: {failing: 1, cause: "reset"}}
		}, [2]string{}},
		{"not ready", func(f *facts) { f.view.Ready, f.view.NotReadyWhy = false, "profiles: none" }, [2]string{"not ready: profiles: none", "peers.seeds"}},
		{"leaving", func(f *facts) { f.view.State = message.EntryLeaving }, [2]string{"this entry is leaving", "when its requests have ended"}},
		{"process was paused", func(f *facts) { f.recent.pauses = 1 }, [2]string{"was paused 1 time(s)", "after a minute"}},
		{"this entry is behind", func(f *facts) { f.view.Profiles.Wanted = 9 }, [2]string{"revision 9 exists, 7 is in force", "within seconds"}},
		{"unreadable value", func(f *facts) { f.view.Profiles.Unreadable = "the config is not readable" },
			[2]string{"profiles: the value that the platform has now cannot be used: the config is not readable", "publish it again"}},
		{"routes with problems", func(f *facts) { f.view.Profiles.Problems = []string{`route "r" leads to no service and is left out`} },
			[2]string{`profiles: revision 7 is in force, except for the parts that cannot be used: route "r" leads to no service`, "corrected"}},
		{"refused revision", func(f *facts) { f.view.Profiles.Refused, f.view.Profiles.RefusedWhy = 8, "line 3\nline 9" },
			[2]string{"revision 8 was refused: line 3 (and 1 more", "corrected"}},
		{"stale replica", func(f *facts) { f.view.VMs.Stale, f.view.VMs.StaleAt = true, time.Hour-time.Second },
			[2]string{"VM list: an older revision than 0, which is in force, was offered 1s ago", "never goes back"}},
		{"configuration service is down", func(f *facts) {
			f.platform.values = map[string]valueCalls{published.ProfilesValue: {failing: 12, answered: true, answeredAt: 50 * time.Minute, cause: "timed out"}}
		}, [2]string{"failed 12 times in a row for tealhall/profiles, the last answer came 10m0s ago: timed out", "keep the revisions in force"}},
		{"VM list is held", func(f *facts) { f.view.ListHeld = true }, [2]string{"lost many VMs", "correct the list"}},
		{"suspected entry", func(f *facts) { f.view.Entries[1].Suspected, f.view.Entries[1].SeenAt = true, 59*time.Minute },
			[2]string{"entry-2 has not been heard for 1m0s", "check the VM"}},
		{"another entry is leaving", func(f *facts) { f.view.Entries[1].State = message.EntryLeaving }, [2]string{"entry-2 is leaving", "has stopped"}},
		{"another entry is behind", func(f *facts) { f.view.Entries[1].Profiles = 6 }, [2]string{"entry-2 has revision 6", "within seconds"}},
		{"link down", func(f *facts) { f.links[0].State, f.links[0].LastError = peer.LinkWaiting, "no route" },
			[2]string{"link to entry entry-2 at entry-2:7070 is down: no route", "check the network"}},
		{"ejected endpoint", func(f *facts) {
			f.view.Endpoints[1].Ejection = &core.EjectionView{Why: "took 4.0 times the pool's median", Clears: "3 good trials"}
		}, [2]string{"hall-2 of pool halls is ejected: took 4.0 times", "3 good trials"}},
		{"busy endpoint is leaving", func(f *facts) {
			f.view.Endpoints[0].State, f.view.Endpoints[0].Outstanding = tables.EndpointLeaving, 2
		}, [2]string{"leaving with 2 request(s)", "no new requests are sent"}},
		{"missing endpoint", func(f *facts) { f.view.Endpoints[0].Missing = true }, [2]string{"hall-1 of pool halls is missing", "correct the list"}},
		{"most endpoints look unhealthy", func(f *facts) { f.view.Pools[0].ViewWrong = true }, [2]string{"most endpoints of pool halls", "the service itself"}},
		{"no live endpoint", func(f *facts) { f.view.Pools[0].Live = 0 }, [2]string{"pool halls of booking has no live endpoint", "start endpoints"}},
		{"refusals", func(f *facts) { f.recent.refused[core.ReasonQueueFull], f.recent.refused[core.ReasonTooLate] = 20, 5 },
			[2]string{"25 of 1000 requests were refused in the last minute, 20 of them for queue-full", "add endpoints"}},
		{"unknown outcome", func(f *facts) { f.recent.unknown = 1 }, [2]string{"unknown outcome", "check in the application"}},
		{"retry budget exhausted", func(f *facts) { f.recent.retriesDenied = 3 }, [2]string{"denied 3 retries", "earns retries"}},
		{"full queue", func(f *facts) { f.view.Pools[0].Services[0].Waiting = 9 }, [2]string{"9 of 10 requests that may wait for booking", "queue_limit"}},
		{"full key table", func(f *facts) { f.view.Keys.Keys = 99_000 }, [2]string{"99000 of 100000 allowed idempotency keys", "limits.keys"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := factsWithoutConcerns()
			c.change(f)
			concerns := f.concerns()
			if c.want == [2]string{} {
				if len(concerns) != 0 {
					t.Errorf("concerns: %+v, want none", concerns)
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
		t.Errorf("30 missing endpoints: %+v", concerns)
	}
}

// failingService is a configuration service whose calls return err.
type failingService struct{ err error }

func (s failingService) Read(context.Context, string) (published.Value, error) {
	return published.Value{}, s.err
}

func (s failingService) Watch(context.Context, string, uint64) (published.Value, error) {
	return published.Value{}, s.err
}

// Guards against calls that the entry itself stopped being counted as failures of the configuration
// service: calls over the entry's rate limit, and calls that it cancelled because other entries
// read the service on its behalf.
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
		t.Errorf("got counts %+v", got)
	}
}
