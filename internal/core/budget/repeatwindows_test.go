package budget_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/tealhall/tealhall/internal/core/budget"
	"github.com/tealhall/tealhall/internal/core/budget/budgettest"
)

// repeatsFleet is a fleet whose entries know nothing of each other.
type repeatsFleet struct {
	bound   budget.RepeatBound
	largest int
	entries []*budget.Repeats
	log     budgettest.Log
	now     time.Duration
}

func newRepeatsFleet(bound budget.RepeatBound, entries, largest int) *repeatsFleet {
	f := &repeatsFleet{bound: bound, largest: largest, entries: make([]*budget.Repeats, entries)}
	for i := range f.entries {
		f.restart(i)
	}
	return f
}

func (f *repeatsFleet) restart(entry int) {
	f.entries[entry] = budget.NewRepeats(f.bound, f.largest, f.now)
}

// send sends requests to an entry, and as many repeats of them as it may.
func (f *repeatsFleet) send(entry, requests, wanted int) {
	for range requests {
		f.entries[entry].Request(f.now)
		f.log.Request(f.now)
	}
	for range wanted {
		if f.entries[entry].TrySpend(f.now, 0) {
			f.log.Repeat(f.now)
		}
	}
}

const repeatsStep = 50 * time.Millisecond

// Guards against repeats that stay within the bound in the trailing window of each entry and exceed it
// in a window that begins earlier or later: traffic begins, grows, ends or moves to other entries,
// and entries restart, while endpoints fail.
func TestRepeatsStayWithinTheBoundInEveryWindow(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		bound := budget.RepeatBound{Share: rapid.Float64Range(0.05, 0.5).Draw(rt, "share"), Window: 10 * time.Second, Slack: rapid.Float64Range(5, 60).Draw(rt, "slack")}
		const largest = 8
		f := newRepeatsFleet(bound, rapid.IntRange(1, largest).Draw(rt, "entries"), largest)
		for range rapid.IntRange(1, 8).Draw(rt, "phases") {
			steps := rapid.IntRange(5, 240).Draw(rt, "steps")
			wanted := rapid.SampledFrom([]int{0, 0, 1, 8}).Draw(rt, "wanted")
			rates := make([]int, len(f.entries))
			for i := range rates {
				rates[i] = rapid.SampledFrom([]int{0, 1, 4}).Draw(rt, "rate")
				if rapid.IntRange(0, 4).Draw(rt, "restart") == 0 {
					f.restart(i)
				}
			}
			for range steps {
				f.now += repeatsStep
				for i, rate := range rates {
					f.send(i, rate, wanted)
				}
			}
		}
		if w := f.log.Worst(bound); w.Exceeded() {
			rt.Fatal(w)
		}
	})
}

// Guards against a bound that is kept by sending few repeats: amid steady traffic a fault of all
// endpoints gets nearly all repeats that the bound allows, and at once at least half of them.
func TestSteadyTrafficUsesTheBoundOnRepeats(t *testing.T) {
	bound := budget.RepeatBound{Share: 0.2, Window: 10 * time.Second, Slack: 64}
	f := newRepeatsFleet(bound, 8, 8)
	play := func(length time.Duration, wanted int) {
		for end := f.now + length; f.now < end; f.now += repeatsStep {
			for i := range f.entries {
				f.send(i, 2, wanted)
			}
		}
	}
	play(30*time.Second, 0)
	began, allowed := f.now, bound.Share*float64(2*len(f.entries))*float64(bound.Window/repeatsStep)
	play(repeatsStep, 200)
	if at := f.log.Repeats(began); float64(at) < 0.5*allowed {
		t.Errorf("%d repeats at once, %.0f allowed in ten seconds", at, allowed)
	}
	play(20*time.Second, 4)
	if sent := f.log.Repeats(f.now - bound.Window); float64(sent) < 0.8*allowed {
		t.Errorf("%d repeats in ten seconds of a long fault, %.0f allowed", sent, allowed)
	}
	if w := f.log.Worst(bound); w.Exceeded() {
		t.Error(w)
	}
}
