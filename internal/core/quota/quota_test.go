package quota

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/tealhall/tealhall/internal/core/table"
	"pgregory.net/rapid"
)

const ms = time.Millisecond

func TestStatus(t *testing.T) {
	coldQuota := NewColdQuota(Warmup{For: 3 * time.Second, PerSecond: 5.8, Over: 1.5, Slack: 8})
	now := 10 * time.Second
	cold := table.Cold{Until: now + ms}
	own := table.Cold{Until: now + ms, OwnerQuota: table.OwnerQuota{Owned: true}}
	spent := table.Cold{Until: now + ms, OwnerQuota: table.OwnerQuota{Owned: true, At: now}}
	for _, c := range []struct {
		name      string
		coldQuota table.ColdQuota
		e         table.Endpoint
		want      Status
	}{
		{"warm", coldQuota, table.Endpoint{}, Granted},
		{"leaving", coldQuota, table.Endpoint{State: table.EndpointLeaving}, Leaving},
		{"gone and in an evacuated domain", coldQuota, table.Endpoint{State: table.EndpointGone, Evacuated: true}, Gone},
		{"evacuated and cold", coldQuota, table.Endpoint{Evacuated: true, Cold: own}, Evacuated},
		{"cold, owned by others", coldQuota, table.Endpoint{Cold: cold}, ColdElsewhere},
		{"cold, owned", coldQuota, table.Endpoint{Cold: own}, Granted},
		{"cold, owned, spent", coldQuota, table.Endpoint{Cold: spent}, ColdSpent},
		{"warm from now on", coldQuota, table.Endpoint{Cold: table.Cold{Until: now}}, Granted},
		{"cold without a published warm-up rate", table.ColdQuota{}, table.Endpoint{Cold: cold}, Granted},
		{"cold with a bound below one request", NewColdQuota(Warmup{PerSecond: 0.5}), table.Endpoint{Cold: own}, Granted},
	} {
		if c.name == "cold with a bound below one request" {
			c.want = ColdSpent // no owner may send: Rate and Owners are 0
			c.e.Cold.At, c.e.Cold.Tokens = now, 0
		}
		p := &table.Pool{Endpoints: []table.Endpoint{c.e}, ColdQuota: c.coldQuota}
		if got := Of(now, p, &p.Endpoints[0]); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}

// The owners of an endpoint together may send at most half of the bound in any second, whatever an
// operator publishes, and there are several owners where the bound allows that.
func TestOwnersTogetherStayWithinHalfTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := Warmup{
			PerSecond: rapid.Float64Range(0.01, 500).Draw(t, "rate"),
			Over:      rapid.Float64Range(1, 4).Draw(t, "over"),
			Slack:     rapid.Float64Range(0, 100).Draw(t, "slack"),
		}
		s := NewColdQuota(w)
		if s.Rate < 0 || float64(s.Owners)*(s.Rate+burst) > s.Bound*ownersShare+1e-9 {
			t.Errorf("%d owners with %v a second each and %v at once, bound %v", s.Owners, s.Rate, burst, s.Bound)
		}
		if s.Bound >= 8 && s.Owners < maxOwners {
			t.Errorf("%d owners where %v requests a second are allowed", s.Owners, s.Bound)
		}
	})
}

// sender is an entry process with one cold endpoint.
type sender struct {
	pool table.Pool
	view Candidates
	id   uint64
}

// Guards against a cold endpoint that gets more requests than it can serve. Three hundred entries
// saw an endpoint cold and idle, and each of them sent requests at once: 17 reached it in a
// second, where it can serve 16.7. The entries have at most two different views of the fleet: two
// sides of a partition that have forgotten each other, or entries that know of new entries and
// entries that do not. The requests of any second must stay within the bound, even when processes
// restart, each of which begins with a full quota, and callers send as much as they can.
func TestColdBoundHoldsInEverySecond(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		coldQuota := NewColdQuota(Warmup{For: 3 * time.Second, PerSecond: rapid.Float64Range(0.5, 30).Draw(rt, "rate"),
			Over: 1.5, Slack: rapid.Float64Range(0, 20).Draw(rt, "slack")})
		n := rapid.SampledFrom([]int{1, 2, 15, 141, 472}).Draw(rt, "entries")
		var all []Entry
		for i := range n {
			all = append(all, Entry{ID: uint64(i), Domain: fmt.Sprint(i % rapid.IntRange(1, 5).Draw(rt, "domains"))})
		}
		cut := rapid.IntRange(0, n).Draw(rt, "cut")
		var views [2][]Entry
		switch rapid.IntRange(0, 2).Draw(rt, "views") {
		case 0: // every entry knows all entries
			views = [2][]Entry{all, all}
		case 1: // two sides of a partition that have forgotten each other
			views = [2][]Entry{all[:cut], all[cut:]}
		case 2: // only some entries know of new entries
			views = [2][]Entry{all[:cut], all}
		}
		newSender := func(i int) *sender {
			side := 0
			if i >= cut {
				side = 1
			}
			s := &sender{id: uint64(i), view: NewCandidates(slices.Clone(views[side])), pool: table.Pool{ColdQuota: coldQuota, Endpoints: []table.Endpoint{{Name: "e", Domain: "0"}}}}
			s.pool.Endpoints[0].Cold = table.Cold{Until: time.Hour, OwnerQuota: table.OwnerQuota{Owned: s.view.Owns(s.id, "e", "0", coldQuota.Owners)}}
			return s
		}
		var owners []*sender
		for i := range n {
			if s := newSender(i); s.pool.Endpoints[0].Cold.Owned {
				owners = append(owners, s)
			}
		}
		// An entry that restarts owns no endpoint until it has served for a while.
		quietUntil := make([]time.Duration, len(owners))
		var sent []time.Duration
		for now := 10 * time.Second; now < 16*time.Second; now += 20 * ms {
			for i, s := range owners {
				if rapid.IntRange(0, 200).Draw(rt, "restart") == 0 {
					owners[i] = newSender(int(s.id))
					quietUntil[i] = now + 1500*ms
					continue
				}
				e := &s.pool.Endpoints[0]
				for now >= quietUntil[i] && Of(now, &s.pool, e) == Granted {
					Spend(now, &s.pool, e)
					sent = append(sent, now)
				}
			}
		}
		for i, from := range sent {
			end, _ := slices.BinarySearch(sent, from+time.Second+1)
			if got := end - i; float64(got) > coldQuota.Bound {
				rt.Fatalf("%d requests in the second from %v on, %v allowed; %d owners", got, from, coldQuota.Bound, len(owners))
			}
		}
	})
}

// Guards against a cold endpoint whose owners all restart with it: a failure domain restarts cold
// and most callers are in it. Each endpoint has owners in its own domain and one in another domain
// that stayed up; the owned endpoints are spread evenly.
func TestOwnersAreInDomainAndOneElsewhere(t *testing.T) {
	var all []Entry
	for i := range 60 {
		all = append(all, Entry{ID: uint64(1000 + i), Domain: string(rune('a' + i%3))})
	}
	candidates := NewCandidates(slices.Clone(all))
	owned := make(map[uint64]int)
	const endpoints = 200
	for n := range endpoints {
		domains := make(map[string]int)
		for _, e := range all {
			if candidates.Owns(e.ID, fmt.Sprint("e", n), "b", 3) {
				domains[e.Domain]++
				owned[e.ID]++
			}
		}
		if domains["b"] != 2 || domains["a"]+domains["c"] != 1 {
			t.Fatalf("owners of endpoint %d: %v", n, domains)
		}
	}
	for _, e := range all {
		if e.Domain == "b" && owned[e.ID] > 3*2*endpoints/20 {
			t.Errorf("entry %d owns %d of %d", e.ID, owned[e.ID], endpoints)
		}
	}
}

// Most callers are sent to the strongest entries of a failure domain. Those own most endpoints,
// but a weak entry that gets some calls owns some as well.
func TestStrongEntriesOwnMost(t *testing.T) {
	var all []Entry
	for i := range 49 {
		all = append(all, Entry{ID: uint64(i), Domain: "a", Capacity: map[bool]uint32{true: 800, false: 160}[i%25 == 7]})
	}
	candidates := NewCandidates(slices.Clone(all))
	byStrength := candidates.entries
	owned := make([]int, len(all))
	const endpoints = 400
	for n := range endpoints {
		for i, e := range byStrength {
			if candidates.Owns(e.ID, fmt.Sprint("e", n), "a", 3) {
				owned[i]++
			}
		}
	}
	first, rest := 0, 0
	for i, n := range owned {
		if i < 20 {
			first += n
		} else {
			rest += n
		}
	}
	if byStrength[0].Capacity != 800 || byStrength[1].Capacity != 800 || first+rest != 2*endpoints || first*10 < 6*(first+rest) || rest == 0 {
		t.Errorf("the strongest 20 own %d, the others %d", first, rest)
	}
}
