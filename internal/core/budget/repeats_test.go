package budget

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// sentRequest is a request or, if repeat is set, a repeat of one entry.
type sentRequest struct {
	at     time.Duration
	repeat bool
}

// Guards against repeats that keep slow endpoints slow by their extra load. Entries know nothing of
// each other, and some restart. Still the repeats of all of them together must stay within the
// share of the requests plus the slack in every window, wherever it begins.
func TestRepeatsOfAFleetStayWithinTheBound(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		bound := RepeatBound{Share: rapid.Float64Range(0.05, 0.5).Draw(rt, "share"), Window: 10 * time.Second, Slack: 58}
		const largest = 12
		entries := rapid.IntRange(1, largest).Draw(rt, "entries")
		var log []sentRequest
		fleet := make([]*Repeats, entries)
		now := time.Duration(0)
		for i := range fleet {
			fleet[i] = NewRepeats(bound, largest, now)
		}
		for range rapid.IntRange(100, 500).Draw(rt, "events") {
			now += time.Duration(rapid.IntRange(0, 60).Draw(rt, "gap")) * time.Millisecond
			i := rapid.IntRange(0, entries-1).Draw(rt, "entry")
			if rapid.IntRange(0, 200).Draw(rt, "restart") == 0 {
				fleet[i] = NewRepeats(bound, largest, now)
			}
			if rapid.Bool().Draw(rt, "request") {
				fleet[i].Request(now)
				log = append(log, sentRequest{now, false})
			}
			for rank := range rapid.IntRange(0, 3).Draw(rt, "wanted") {
				if fleet[i].TrySpend(now, rank) {
					log = append(log, sentRequest{now, true})
				}
			}
		}
		for _, last := range log {
			repeats, requests := 0, 0
			for _, s := range log {
				if s.at <= last.at && s.at > last.at-bound.Window {
					if s.repeat {
						repeats++
					} else {
						requests++
					}
				}
			}
			if float64(repeats) > bound.Share*float64(requests)+bound.Slack {
				rt.Fatalf("%d repeats for %d requests in the window that ends at %v", repeats, requests, last.at)
			}
		}
	})
}

func TestRepeatsWithoutBoundAreAllowed(t *testing.T) {
	var none *Repeats
	none.Request(0)
	if NewRepeats(RepeatBound{}, 1, 0) != nil || !none.MaySpend(0, 0) || !none.TrySpend(0, 0) || none.Denied() != 0 {
		t.Error("a repeat was denied although there is no bound")
	}
}

// Guards against load probes that grow without limit with a service's traffic. The bound per
// endpoint must hold over ten seconds for all entries together, even right after a restart of the
// whole fleet, and each entry must get its share of it.
func TestLoadProbesOfAFleetStayWithinTheBound(t *testing.T) {
	const perEndpoint, endpoints, window = 60.0, 8, 10 * time.Second
	shares := []float64{0.4, 0.3, 0.2, 0.1}
	fleet := make([]*LoadProbes, len(shares))
	for i := range fleet {
		fleet[i] = NewLoadProbes(perEndpoint)
	}
	spent := make([]int, len(shares))
	for now := time.Duration(0); now < window; now += time.Millisecond {
		for i, b := range fleet {
			b.Request(18)
			for b.TrySpend(now, endpoints, shares[i]) {
				spent[i]++
			}
		}
	}
	all := 0
	for i, n := range spent {
		all += n
		if want := shares[i] * perEndpoint * endpoints * window.Seconds() * usableLoadProbeShare; float64(n) < 0.9*want {
			t.Errorf("entry %d got %d load probes, its share is %.0f", i, n, want)
		}
	}
	if limit := perEndpoint * endpoints * window.Seconds(); float64(all) > limit {
		t.Errorf("%d load probes in %v, the bound is %.0f", all, window, limit)
	}
	idle := NewLoadProbes(perEndpoint)
	if idle.TrySpend(time.Hour, endpoints, 1) {
		t.Error("a load probe was allowed without a request")
	}
}

// Guards against an entry of a large fleet that finds its load probes used up in the first moments of
// a peak, after seconds in which it needed few, and against probes above the bound over longer times.
func TestLoadProbesAreSavedUpInLargeFleets(t *testing.T) {
	const perEndpoint, endpoints, entries, calm = 42.0, 124, 135, 10 * time.Second
	b := NewLoadProbes(perEndpoint)
	spend := func(now time.Duration, requests int) (spent int) {
		for range requests {
			b.Request(18)
			for range 18 {
				if b.TrySpend(now, endpoints, 1.0/entries) {
					spent++
				}
			}
		}
		return spent
	}
	all := spend(calm, 1)
	peak := spend(calm+time.Millisecond, 10)
	if peak < 100 {
		t.Errorf("%d load probes for ten requests at the begin of a peak, want 100", peak)
	}
	const window = 40 * time.Second
	for now := calm; now < calm+window; now += 100 * time.Millisecond {
		all += spend(now, 2)
	}
	if limit := perEndpoint * endpoints / entries * window.Seconds(); float64(all+peak) > limit {
		t.Errorf("%d load probes in %v, the entry's part of the bound is %.0f", all+peak, window, limit)
	}
}

// Guards against repeats that go to frequent requests of a low rank while requests of a higher rank
// are denied theirs: endpoints shed half of their requests, and the bound covers only a part of the
// repeats. Requests of the higher rank must get their repeats first, and when they ask for none,
// the lower rank may use the whole bound.
func TestRepeatsGoToHigherRanksFirst(t *testing.T) {
	b := NewRepeats(RepeatBound{Share: 0.2, Window: 10 * time.Second}, 1, 0)
	var granted, asked [2]int
	try := func(now time.Duration, rank int) {
		asked[rank]++
		if b.TrySpend(now, rank) {
			granted[rank]++
		}
	}
	now := time.Duration(0)
	step := func(withHigher bool) {
		now += 10 * time.Millisecond
		for range 4 {
			b.Request(now)
		}
		try(now, 1)
		if withHigher && now%(20*time.Millisecond) == 0 {
			try(now, 0)
		}
		try(now, 1)
	}
	for range 4000 {
		step(true)
	}
	if granted[0] < asked[0]*8/10 || granted[1] == 0 {
		t.Errorf("repeats granted by rank: %v of %v", granted, asked)
	}
	granted, asked = [2]int{}, [2]int{}
	for range 4000 {
		step(false)
	}
	if most := 4000 * 4 * 0.2 * usableRepeatShare; float64(granted[1]) < 0.8*most {
		t.Errorf("without requests of the higher rank, the lower rank got %d of %v repeats", granted[1], most)
	}
}
