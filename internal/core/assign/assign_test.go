package assign

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func members(n, domains int) []Member {
	list := make([]Member, n)
	for i := range list {
		list[i] = Member{ID: uint64(100 + i), Domain: fmt.Sprint("domain-", i%domains)}
	}
	return list
}

func without(list []Member, at int) []Member {
	return slices.Delete(slices.Clone(list), at, at+1)
}

// Guards against connections and idempotency tables that move all over the fleet whenever one entry
// is replaced. When an entry leaves, only its own work may move; the order in which entries are
// known does not matter.
func TestOnlyWorkOfRemovedEntryMoves(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(2, 60).Draw(rt, "entries")
		all := members(n, rapid.IntRange(1, 8).Draw(rt, "domains"))
		gone := rapid.IntRange(0, n-1).Draw(rt, "gone")
		left := without(all, gone)
		rand.New(rand.NewPCG(uint64(n), 1)).Shuffle(len(left), func(i, j int) { left[i], left[j] = left[j], left[i] })
		per := rapid.IntRange(1, 3).Draw(rt, "per domain")
		for i := range 40 {
			name := fmt.Sprint("name-", i)
			before, after := ProbeOwner(all, name), ProbeOwner(left, name)
			if before != all[gone].ID && before != after {
				rt.Fatalf("probing of %s moved from entry %d to entry %d", name, before, after)
			}
			was, is := ServiceEntries(name, all, per), ServiceEntries(name, left, per)
			for _, id := range was {
				if id != all[gone].ID && !slices.Contains(is, id) {
					rt.Fatalf("%s lost entry %d", name, id)
				}
			}
			added := 0
			for _, id := range is {
				if !slices.Contains(was, id) {
					added++
				}
			}
			if added > 1 {
				rt.Fatalf("%s got %d new entries, want at most 1", name, added)
			}
		}
	})
}

func TestAssignmentsAreSpread(t *testing.T) {
	all := members(60, 8)
	probes, served := map[uint64]int{}, map[uint64]int{}
	for i := range 560 {
		probes[ProbeOwner(all, fmt.Sprint("endpoint-", i))]++
	}
	for i := range 46 {
		for _, id := range ServiceEntries(fmt.Sprint("service-", i), all, 1) {
			served[id]++
		}
	}
	most := func(m map[uint64]int) (most int) {
		for _, n := range m {
			most = max(most, n)
		}
		return most
	}
	t.Logf("560 probed endpoints on 60 entries: at most %d per entry; 368 service assignments: at most %d per entry", most(probes), most(served))
	if most(probes) > 25 || most(served) > 16 {
		t.Error("want at most 25 and 16 per entry")
	}
	readers := 0
	for _, m := range all {
		if IsReader(m.ID, all, 2) {
			readers++
		}
	}
	if readers != 16 {
		t.Errorf("%d readers in 8 failure domains, want 16", readers)
	}
	if !IsReader(7, all, 1) || !IsReader(100, all[:1], 1) {
		t.Error("an entry that does not know enough of the fleet must read the platform")
	}
}

// Guards against too many calls to the configuration service by a fleet that grows, or by a fleet
// whose entries know no other entry and each assume that they are alone.
func TestCheckRateIsBounded(t *testing.T) {
	limits := DefaultCheckLimits()
	for _, c := range []struct{ known, fleet int }{{15, 15}, {60, 60}, {1, 60}, {600, 600}, {0, 600}} {
		period := CheckPeriod(c.known, limits)
		rate := float64(c.fleet*limits.Values) / period.Seconds()
		t.Logf("%d entries that know %d entries: each checks every %v, %.0f calls/s", c.fleet, c.known, period, rate)
		if rate > 120 || period < limits.Shortest || period > limits.Longest {
			t.Errorf("check period %v, fleet rate %.0f calls/s", period, rate)
		}
	}
	rng := rand.New(rand.NewPCG(1, 2))
	for range 100 {
		if at := NextCheck(time.Minute, 20*time.Second, rng); at < 75*time.Second || at > 85*time.Second {
			t.Errorf("next check at %v", at)
		}
	}
}

// With perDomain 0 one entry of each region serves a service, and when an entry leaves only the
// services that it had move.
func TestOneEntryPerRegionServesService(t *testing.T) {
	var all []Member
	for i := range uint64(12) {
		all = append(all, Member{ID: i + 1, Region: fmt.Sprint("r", i%2), Domain: fmt.Sprint("d", i%6)})
	}
	left := all[1:]
	for i := range 40 {
		service := fmt.Sprint("service-", i)
		was, is := ServiceEntries(service, all, 0), ServiceEntries(service, left, 0)
		if len(was) != 2 || len(is) != 2 {
			t.Fatalf("%s is served by %v, then by %v", service, was, is)
		}
		if was[0] != all[0].ID && was[0] != is[0] || was[1] != is[1] {
			t.Errorf("%s moved from %v to %v although its entries stayed", service, was, is)
		}
	}
}
