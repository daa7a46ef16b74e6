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
	silent                        atomic.Bool
	reads, livenessChecks, leaves atomic.Int64
	// held and brought are what a glance says, renewed counts the watches made anew.
	held, brought atomic.Uint64
	renewed       atomic.Int64
}

func (m *fakePlatform) Read(ctx context.Context, name string) (published.Value, error) {
	m.reads.Add(1)
	if m.silent.Load() {
		<-ctx.Done()
		return published.Value{}, ctx.Err()
	}
	return m.values.Read(ctx, name)
}

func (m *fakePlatform) Watch(ctx context.Context, name string, after uint64) (published.Value, error) {
	v, err := m.values.Watch(ctx, name, after)
	if err != nil {
		m.leaves.Add(1)
	}
	return v, err
}

func (m *fakePlatform) Liveness(context.Context) (published.Liveness, error) {
	m.livenessChecks.Add(1)
	if m.silent.Load() {
		return published.Liveness{}, errors.New("no answer")
	}
	return published.Liveness{Latest: m.held.Load(), Delivered: m.brought.Load()}, nil
}

func (m *fakePlatform) RenewWatch() { m.renewed.Add(1) }

// newReadingEntry starts an entry that glances at a service every 20 ms, and returns how to wait for it.
func newReadingEntry(t *testing.T) (*fakePlatform, *entry.Entry, func(what string, holds func() bool)) {
	t.Helper()
	m := &fakePlatform{values: values{
		published.ProfilesValue: {Name: published.ProfilesValue, Revision: 1, Data: []byte(overheadProfiles)},
		published.VMsValue:      {Name: published.VMsValue, Revision: 1, Data: published.EncodeVMs(published.VMList{})},
	}}
	s := settings.Default()
	s.Name, s.Region, s.FailureDomain = "entry-1", "r", "a"
	s.Addresses.Caller, s.Addresses.Peer = "127.0.0.1:0", "127.0.0.1:0"
	s.Platform.LivenessEvery.Duration = 20 * time.Millisecond
	e, err := entry.New(s, entry.Options{Platform: m})
	if err != nil {
		t.Fatal(err)
	}
	if err := e.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(e.Kill)
	until := func(what string, holds func() bool) {
		t.Helper()
		ticker := time.NewTicker(time.Millisecond)
		defer ticker.Stop()
		late := time.After(20 * time.Second)
		for !holds() {
			select {
			case <-ticker.C:
			case <-late:
				t.Fatalf("waited in vain: %s", what)
			}
		}
	}
	return m, e, until
}

// An operator publishes a profile in the moment in which the service drops its history. The
// watches that wait are forgotten, and the service answers whoever asks: the profile came into
// force when the watches ran out, four seconds later on 126 entries. A glance that shows the
// service further than the watches have brought, a glance later still, has them made anew; a
// service of which the watches bring all that changes is left alone.
func TestForgottenWatchIsMadeAnew(t *testing.T) {
	m, e, until := newReadingEntry(t)
	until("ready", func() bool { ok, _ := e.Ready(); return ok })
	more := func() {
		glances := m.livenessChecks.Load()
		until("five glances", func() bool { return m.livenessChecks.Load() >= glances+5 })
	}
	for range 20 {
		m.brought.Store(m.held.Add(1))
		more()
	}
	if got := m.renewed.Load(); got != 0 {
		t.Errorf("%d watches made anew though they bring all", got)
	}
	m.held.Add(1)
	until("the watch is made anew", func() bool { return m.renewed.Load() > 0 })
	m.brought.Store(m.held.Load())
	more()
	renewed := m.renewed.Load()
	more()
	if got := m.renewed.Load(); got != renewed {
		t.Errorf("%d more watches made anew after they brought all", got-renewed)
	}
}

// The service falls silent while watches wait at it, for longer than they would wait.
// The entry leaves them at once, asks nothing but whether it answers, and reads anew as
// soon as it does.
func TestServiceFallsSilentDuringAWatch(t *testing.T) {
	m, e, until := newReadingEntry(t)
	until("ready", func() bool { ok, _ := e.Ready(); return ok })
	m.silent.Store(true)
	until("both watches are left", func() bool { return m.leaves.Load() >= 2 })
	reads, glances := m.reads.Load(), m.livenessChecks.Load()
	until("ten more glances", func() bool { return m.livenessChecks.Load() >= glances+10 })
	if more := m.reads.Load() - reads; more != 0 {
		t.Errorf("%d reads of a silent service", more)
	}
	m.silent.Store(false)
	until("read again", func() bool { return m.reads.Load() >= reads+2 })
}
