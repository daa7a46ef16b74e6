package soak

import (
	"errors"
	"slices"
	"testing"
	"time"
)

// Guards against a check that passes whatever happens: each promise has a breach that only its check
// reports.
func TestEachPromiseCanFail(t *testing.T) {
	for _, c := range []struct {
		promise Promise
		breach  func(c *Checks, pass func(time.Duration))
	}{
		{WholeAnswers, func(c *Checks, _ func(time.Duration)) {
			c.Finished("read-1")
			c.Answered("read-1", true, false, errors.New("the answer to another request"))
		}},
		{DoneRan, func(c *Checks, _ func(time.Duration)) { c.Answered("read-1", true, false, nil) }},
		{NotRunIsTrue, func(c *Checks, _ func(time.Duration)) {
			c.Answered("read-1", false, true, nil)
			c.Ran("read-1")
		}},
		{AtMostOnce, func(c *Checks, _ func(time.Duration)) {
			c.Ran("booking-1")
			c.Ran("booking-1")
		}},
		{LeavingIsLeft, func(c *Checks, pass func(time.Duration)) {
			c.Leaving("endpoint-1/1")
			pass(leavingWithin + time.Millisecond)
			c.Sent("read-2", false)
			c.Arrived("endpoint-1/1", "read-2")
		}},
		{StopsCutNone, func(c *Checks, _ func(time.Duration)) { c.Stopped("entry-1", 3, true) }},
		{ChangesInForce, func(c *Checks, pass func(time.Duration)) {
			c.Revision("entry-1", 1)
			c.Published(2)
			pass(inForceWithin + time.Millisecond)
			c.Revision("entry-1", 1)
		}},
		{NeverBack, func(c *Checks, _ func(time.Duration)) {
			c.Revision("entry-1", 2)
			c.Revision("entry-1", 1)
		}},
		{StaysUp, func(c *Checks, _ func(time.Duration)) { c.Ended("entry-1", false) }},
		{Recovery, func(c *Checks, pass func(time.Duration)) {
			pass(time.Minute)
			for range 50 {
				c.Sent("read-lost", false)
			}
		}},
	} {
		t.Run(string(c.promise), func(t *testing.T) {
			now := time.Unix(0, 0)
			checks := NewChecks(func() time.Time { return now })
			checks.Sent("read-1", false)
			checks.Sent("booking-1", true)
			c.breach(checks, func(d time.Duration) { now = now.Add(d) })
			recovered := now
			if c.promise != Recovery {
				recovered = now.Add(time.Second)
				now = recovered
				checks.Sent("read-last", false)
				checks.Finished("read-last")
				checks.Answered("read-last", true, false, nil)
			}
			for promise, result := range checks.Finish(recovered) {
				if broken := len(result.Violations) > 0; broken != (promise == c.promise) {
					t.Errorf("%s: %v", promise, result.Violations)
				}
			}
		})
	}
}

// Guards against violations that are the work of the faults themselves: a change that an entry can't
// have heard of, and work that an entry chose before it was paused.
func TestDisturbedProcessesAreExcused(t *testing.T) {
	now := time.Unix(0, 0)
	checks := NewChecks(func() time.Time { return now })
	checks.Revision("entry-1", 1)
	checks.Published(2)
	now = now.Add(inForceWithin)
	checks.PlatformDisturbed()
	now = now.Add(time.Second)
	checks.Revision("entry-1", 1)
	checks.Leaving("endpoint-1/1")
	now = now.Add(leavingWithin + time.Second)
	checks.EntryDisturbed("entry-1")
	checks.Sent("read-1", false)
	checks.Arrived("endpoint-1/1", "read-1")
	for promise, result := range checks.Finish(now) {
		if promise != Recovery && len(result.Violations) > 0 {
			t.Errorf("%s: %v", promise, result.Violations)
		}
	}
}

// Guards against a seed that can't be played again.
func TestSeedDrawsTheSameFaults(t *testing.T) {
	cfg := DefaultConfig()
	first := Draw(cfg)
	if len(first) < cfg.Faults || !slices.Equal(first, Draw(cfg)) {
		t.Errorf("%d faults: %v", len(first), first)
	}
	cfg.Seed++
	if slices.Equal(first, Draw(cfg)) {
		t.Error("two seeds draw the same faults")
	}
	seen := map[Kind]bool{}
	for cfg.Seed = 1; cfg.Seed <= 50; cfg.Seed++ {
		for _, f := range Draw(cfg) {
			seen[f.Kind] = true
		}
	}
	if len(seen) != len(limits) {
		t.Errorf("50 seeds draw %d of %d kinds", len(seen), len(limits))
	}
}
