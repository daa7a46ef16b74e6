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

// fakePlatform is a configuration service that can fall silent towards this entry: watches
// that wait then hear nothing, and nothing is answered.
type fakePlatform struct {
	values
	silent                              atomic.Bool
	reads, livenessChecks, endedWatches atomic.Int64
	// latest and brought are what a glance says, renewed counts the watches made anew.
	latest, delivered atomic.Uint64
	renewed           atomic.Int64
}

func (p *fakePlatform) Read(ctx context.Context, name string) (published.Value, error) {
	p.reads.Add(1)
	if p.silent.Load() {
		<-ctx.Done()
		return published.Value{}, ctx.Err()
	}
	return p.values.Read(ctx, name)
}

func (p *fakePlatform) Watch(ctx context.Context, name string, after uint64) (published.Value, error) {
	v, err := p.values.Watch(ctx, name, after)
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

func (p *fakePlatform) RenewWatch() { p.renewed.Add(1) }

// newReadingEntry starts an entry that glances at a service every 20 ms, and returns how to wait for it.
func newReadingEntry(t *testing.T) (*fakePlatform, *entry.Entry, func(what string, holds func() bool)) {
	t.Helper()
	platform := &fakePlatform{values: values{
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
				t.Fatalf("waited in vain: %s", what)
			}
		}
	}
	return platform, e, waitFor
}

// An operator publishes a profile in the moment in which the service drops its history. The
// watches that wait are forgotten, and the service answers whoever asks: the profile came into
// force when the watches ran out, four seconds later on 126 entries. A glance that shows the
// service further than the watches have brought, a glance later still, has them made anew; a
// service of which the watches bring all that changes is left alone.
func TestForgottenWatchIsRenewed(t *testing.T) {
	platform, e, waitFor := newReadingEntry(t)
	waitFor("ready", func() bool { ok, _ := e.Ready(); return ok })
	waitForChecks := func() {
		checks := platform.livenessChecks.Load()
		waitFor("five glances", func() bool { return platform.livenessChecks.Load() >= checks+5 })
	}
	for range 20 {
		platform.delivered.Store(platform.latest.Add(1))
		waitForChecks()
	}
	if got := platform.renewed.Load(); got != 0 {
		t.Errorf("%d watches made anew though they bring all", got)
	}
	platform.latest.Add(1)
	waitFor("the watch is made anew", func() bool { return platform.renewed.Load() > 0 })
	platform.delivered.Store(platform.latest.Load())
	waitForChecks()
	renewed := platform.renewed.Load()
	waitForChecks()
	if got := platform.renewed.Load(); got != renewed {
		t.Errorf("%d more watches made anew after they brought all", got-renewed)
	}
}

// The service falls silent while watches wait at it, for longer than they would wait.
// The entry leaves them at once, asks nothing but whether it answers, and reads anew as
// soon as it does.
func TestSilentServiceIsNotReadUntilItAnswers(t *testing.T) {
	platform, e, waitFor := newReadingEntry(t)
	waitFor("ready", func() bool { ok, _ := e.Ready(); return ok })
	platform.silent.Store(true)
	waitFor("both watches are left", func() bool { return platform.endedWatches.Load() >= 2 })
	reads, checks := platform.reads.Load(), platform.livenessChecks.Load()
	waitFor("ten more glances", func() bool { return platform.livenessChecks.Load() >= checks+10 })
	if more := platform.reads.Load() - reads; more != 0 {
		t.Errorf("%d reads of a silent service", more)
	}
	platform.silent.Store(false)
	waitFor("read again", func() bool { return platform.reads.Load() >= reads+2 })
}
