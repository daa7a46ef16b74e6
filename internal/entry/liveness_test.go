package entry_test

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"github.com/tealhall/tealhall/internal/entry"
	"github.com/tealhall/tealhall/internal/published"
	"github.com/tealhall/tealhall/internal/settings"
)

// fakePlatform is a configuration service that can stop answering the entry: new calls get no
// answer, and waiting watches deliver nothing.
type fakePlatform struct {
	fixedPlatform
	silent                              atomic.Bool
	reads, livenessChecks, endedWatches atomic.Int64
	// latest and delivered are the results of a liveness check, renewed counts the renewed watches.
	latest, delivered atomic.Uint64
	renewed           atomic.Int64
	// receiving says that an answer is arriving.
	receiving atomic.Bool
}

func (p *fakePlatform) Read(ctx context.Context, name string) (published.Value, error) {
	p.reads.Add(1)
	if p.silent.Load() {
		<-ctx.Done()
		return published.Value{}, ctx.Err()
	}
	return p.fixedPlatform.Read(ctx, name)
}

func (p *fakePlatform) Watch(ctx context.Context, name string, after uint64) (published.Value, error) {
	v, err := p.fixedPlatform.Watch(ctx, name, after)
	if err != nil {
		p.endedWatches.Add(1)
	}
	return v, err
}

func (p *fakePlatform) Liveness(context.Context) (published.Liveness, error) {
	p.livenessChecks.Add(1)
	if p.silent.Load() {
		return published.Liveness{}, errors.New("no answer")
	}
	return published.Liveness{Latest: p.latest.Load(), Delivered: p.delivered.Load()}, nil
}

func (p *fakePlatform) Receiving() bool { return p.receiving.Load() }

func (p *fakePlatform) RenewWatch() { p.renewed.Add(1) }

// newReadingEntry starts an entry that makes a liveness check every 20 ms. It returns the entry's
// configuration service, the entry and a function that waits for a condition.
func newReadingEntry(t *testing.T) (*fakePlatform, *entry.Entry, func(what string, holds func() bool)) {
	t.Helper()
	platform := &fakePlatform{fixedPlatform: fixedPlatform{
		published.ProfilesValue: {Name: published.ProfilesValue, Revision: 1, Data: []byte(overheadProfiles)},
		published.VMsValue:      {Name: published.VMsValue, Revision: 1, Data: published.EncodeVMs(published.VMList{})},
	}}
	s := settings.Default()
	s.Name, s.Region, s.FailureDomain = "entry-1", "r", "a"
	s.Addresses.Caller, s.Addresses.Peer = "127.0.0.1:0", "127.0.0.1:0"
	s.Platform.LivenessEvery.Duration = 20 * time.Millisecond
	e, err := entry.New(s, entry.Options{Platform: platform})
	if err != nil {
		t.Fatal(err)
	}
	if err := e.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(e.Kill)
	waitFor := func(what string, holds func() bool) {
		t.Helper()
		ticker := time.NewTicker(time.Millisecond)
		defer ticker.Stop()
		timeout := time.After(20 * time.Second)
		for !holds() {
			select {
			case <-ticker.C:
			case <-timeout:
				t.Fatalf("timed out waiting: %s", what)
			}
		}
	}
	return platform, e, waitFor
}

// An operator publishes a profile at the moment at which the service drops its history. The service
// forgets the waiting watches but answers new calls: the profile came into force only when the
// watches timed out, four seconds later on 126 entries. If the watches still have not delivered a
// revision one check after a check showed it, the watch must be renewed. If the watches deliver all
// changes, they must be left alone.
func TestForgottenWatchIsRenewed(t *testing.T) {
	platform, e, waitFor := newReadingEntry(t)
	waitFor("ready", func() bool { ok, _ := e.Ready(); return ok })
	waitForChecks := func() {
		checks := platform.livenessChecks.Load()
		waitFor("five more checks", func() bool { return platform.livenessChecks.Load() >= checks+5 })
	}
	for range 20 {
		platform.delivered.Store(platform.latest.Add(1))
		waitForChecks()
	}
	if got := platform.renewed.Load(); got != 0 {
		t.Errorf("%d watches renewed though they deliver all changes", got)
	}
	platform.latest.Add(1)
	waitFor("the watch is renewed", func() bool { return platform.renewed.Load() > 0 })
	platform.delivered.Store(platform.latest.Load())
	waitForChecks()
	renewed := platform.renewed.Load()
	waitForChecks()
	if got := platform.renewed.Load(); got != renewed {
		t.Errorf("%d more watches renewed after they delivered all changes", got-renewed)
	}
}

// The service stops answering while watches wait, for longer than a watch lasts. The entry must
// leave the watches at once, make only liveness checks, and read again as soon as a check is
// answered.
func TestSilentServiceIsNotReadUntilItAnswers(t *testing.T) {
	platform, e, waitFor := newReadingEntry(t)
	waitFor("ready", func() bool { ok, _ := e.Ready(); return ok })
	platform.silent.Store(true)
	waitFor("both watches have ended", func() bool { return platform.endedWatches.Load() >= 2 })
	reads, checks := platform.reads.Load(), platform.livenessChecks.Load()
	waitFor("ten more checks", func() bool { return platform.livenessChecks.Load() >= checks+10 })
	if more := platform.reads.Load() - reads; more != 0 {
		t.Errorf("%d reads of a silent service", more)
	}
	platform.silent.Store(false)
	waitFor("read again", func() bool { return platform.reads.Load() >= reads+2 })
}

// Guards against a reader that gives up the watch whose large answer is arriving, because the answers
// to its liveness checks are late behind it.
func TestReaderGoesOnWhileLargeAnswerArrives(t *testing.T) {
	platform, e, waitFor := newReadingEntry(t)
	waitFor("ready", func() bool { ok, _ := e.Ready(); return ok })
	platform.receiving.Store(true)
	platform.silent.Store(true)
	checks := platform.livenessChecks.Load()
	waitFor("ten more checks", func() bool { return platform.livenessChecks.Load() >= checks+10 })
	if ended := platform.endedWatches.Load(); ended != 0 {
		t.Errorf("%d watches ended while an answer was arriving", ended)
	}
	platform.receiving.Store(false)
	waitFor("both watches have ended", func() bool { return platform.endedWatches.Load() >= 2 })
}
