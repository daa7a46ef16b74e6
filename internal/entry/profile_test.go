package entry_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/tealhall/tealhall/internal/demo"
	"github.com/tealhall/tealhall/internal/published"
	"github.com/tealhall/tealhall/internal/settings"
	"github.com/tealhall/tealhall/internal/standin"
)

// inForce returns the revision of the profiles in force at an entry and when it came into force.
func (f *fleet) inForce(name string) (revision uint64, since time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range f.records[name] {
		if r.Subject == "profiles" && r.Action == "in-force" {
			revision, since = r.Revision, r.Wall
		}
	}
	return revision, since
}

func (f *fleet) awaitInForce(t *testing.T, revision uint64) {
	t.Helper()
	f.awaitEveryEntry(t, fmt.Sprintf("revision %d is in force", revision), func(name string) bool {
		at, _ := f.inForce(name)
		return at == revision
	})
}

// Entries keep the revision in force while the configuration service is down, and an entry that
// starts meanwhile gets it from its peers and serves. When the service is back, the revision
// published meanwhile comes into force on all entries, a lagging replica changes nothing, and all
// entries refuse an invalid document.
func TestConfigurationServiceDownStaleOrInvalid(t *testing.T) {
	t.Parallel() // it mostly waits
	f := newFleet(t, 4)
	l := startBoundedTraffic(t, f)
	f.Platform.SetFaults(standin.PlatformFaults{Down: true})
	f.Server.Kill()
	f.replace(t, "entry-5", 1)
	newEntry := f.Entries[len(f.Entries)-1]
	if got := (booking{key: "none", id: "x"}).send(t.Context(), newEntry); got.reason != "key-bad" {
		t.Errorf("the new entry does not serve: %+v", got)
	}
	l.awaitReplies(t, 100)

	newer := f.Publish([]byte(fleetProfiles + "# as changed while the service was down\n"))
	f.Platform.SetFaults(standin.PlatformFaults{})
	if err := f.Server.Start(); err != nil {
		t.Fatal(err)
	}
	f.awaitInForce(t, newer)

	f.Platform.SetFaults(standin.PlatformFaults{OlderReplica: true})
	await(t, "an entry ignored the older replica's revision", func() bool {
		return f.anyEntry(func(name string) bool { return f.auditCount(name, published.ProfilesValue, "ignored") > 0 })
	})
	f.awaitInForce(t, newer)
	f.Platform.SetFaults(standin.PlatformFaults{})

	f.Publish([]byte(strings.Replace(fleetProfiles, `deadline = "3s"`, `deadline = "soon"`, 1)))
	f.awaitEveryEntry(t, "the invalid document is refused", func(name string) bool {
		return f.auditCount(name, published.ProfilesValue, "refused") > 0
	})
	f.awaitInForce(t, newer)
	l.awaitReplies(t, 100)
	l.finishWithoutLoss(t, f)
}

// A published revision comes into force on all fifteen entries, both while all of them reach the
// configuration service and while only one does, whichever that is. The test logs the times.
func TestProfileChangeReachesFifteenEntries(t *testing.T) {
	proxies := &proxySet{t: t}
	f := newFleet(t, 15, func(cfg *demo.FleetConfig) {
		adjust := cfg.Adjust
		cfg.Adjust = func(s *settings.Settings) {
			adjust(s)
			s.Platform.URL = "http://" + proxies.newProxy(strings.TrimPrefix(s.Platform.URL, "http://"))
		}
	})
	for range 5 {
		f.measureChange(t, "service up")
	}
	for i, only := range proxies.all[:6] {
		for _, one := range proxies.all {
			one.setBlocked(one != only)
		}
		f.measureChange(t, "only "+f.Entries[i].Name()+" reaches the service")
	}
}

func (f *fleet) measureChange(t *testing.T, when string) {
	t.Helper()
	published := time.Now()
	f.awaitInForce(t, f.Publish([]byte(fleetProfiles)))
	var took []time.Duration
	for _, e := range f.Entries {
		_, since := f.inForce(e.Name())
		took = append(took, since.Sub(published).Round(time.Millisecond))
	}
	slices.Sort(took)
	t.Logf("%s: in force on %d entries, median %v, last %v", when, len(took), took[len(took)/2], took[len(took)-1])
}
