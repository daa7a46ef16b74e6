package quota

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/tealhall/tealhall/internal/core/table"
	"pgregory.net/rapid"
)

func limitedAt(now time.Duration, rate float64, own bool) table.Endpoint {
	e := table.Endpoint{Name: "e", Domain: "0"}
	SetLimit(now, &e, rate)
	SetOwner(now, &e, own)
	e.Limit.SpreadAt = now
	return e
}

func TestStatusOfLimitedEndpoints(t *testing.T) {
	now := 10 * time.Second
	cold := limitedAt(now, 10, true)
	cold.Cold.Until = now + ms
	for _, c := range []struct {
		name string
		at   time.Duration
		e    table.Endpoint
		want Status
	}{
		{"owned by others", now + time.Hour, limitedAt(now, 10, false), LimitElsewhere},
		{"owned, just reported", now, limitedAt(now, 10, true), LimitSpent},
		{"owned, request earned", now + time.Second, limitedAt(now, 10, true), Granted},
		{"owned, limit below one, request not earned yet", now + 2*time.Second, limitedAt(now, 0.4, true), LimitSpent},
		{"owned, limit below one, request earned", now + 2501*ms, limitedAt(now, 0.4, true), Granted},
		{"no limit any more", now, limitedAt(now, 0, false), Granted},
		{"cold as well", now, cold, ColdElsewhere},
	} {
		p := &table.Pool{Endpoints: []table.Endpoint{c.e}, ColdQuota: NewColdQuota(Warmup{PerSecond: 5})}
		if got := Of(c.at, p, &p.Endpoints[0]); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}

// limitView is one view of the fleet, from which an endpoint's owners are determined.
type limitView struct {
	candidates Candidates
	offset     time.Duration
}

// Guards against an endpoint that gets more requests than it accepts: entries own it by two
// different views of the fleet and send as much as they may, while their owner periods are offset
// and the owners change.
func TestLimitHoldsInEveryWindow(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		rate := rapid.Float64Range(0.05, 40).Draw(rt, "rate")
		n := rapid.SampledFrom([]int{1, 2, 14, 141}).Draw(rt, "entries")
		var all []Entry
		for i := range n {
			all = append(all, Entry{ID: uint64(i), Domain: fmt.Sprint(i % 3)})
		}
		cut := rapid.IntRange(0, n).Draw(rt, "cut")
		views := []limitView{{candidates: NewCandidates(slices.Clone(all[:cut]))}, {candidates: NewCandidates(slices.Clone(all[cut:]))}}
		if rapid.Bool().Draw(rt, "joined") {
			views[1].candidates = NewCandidates(slices.Clone(all))
		}
		views[1].offset = time.Duration(rapid.IntRange(0, 1000).Draw(rt, "apart")) * ms
		type owner struct {
			view int
			pool table.Pool
			id   uint64
		}
		var senders []*owner
		for v := range views {
			for i := range n {
				if side := i >= cut; side == (v == 1) {
					e := limitedAt(0, rate, false)
					senders = append(senders, &owner{v, table.Pool{Endpoints: []table.Endpoint{e}}, uint64(i)})
				}
			}
		}
		var sent []time.Duration
		for now := time.Duration(0); now < 24*time.Second; now += 50 * ms {
			for _, s := range senders {
				e := &s.pool.Endpoints[0]
				if now%(500*ms) == 0 {
					view := &views[s.view]
					period, _ := OwnerPeriod(now+view.offset, e)
					SetOwner(now, e, view.candidates.OwnsLimited(s.id, e, period))
				}
				for Of(now, &s.pool, e) == Granted {
					Spend(now, &s.pool, e)
					sent = append(sent, now)
				}
			}
		}
		allowed := limitOver*rate*limitWindow.Seconds() + limitSlack
		for i, from := range sent {
			end, _ := slices.BinarySearch(sent, from+limitWindow+1)
			if got := end - i; float64(got) > allowed {
				rt.Fatalf("%d requests in four seconds from %v on, %.1f allowed at %.2f a second", got, from, allowed, rate)
			}
		}
	})
}

// Guards against a limited endpoint that gets far fewer requests than it accepts although all
// entries know each other.
func TestLimitedEndpointIsUsed(t *testing.T) {
	for _, rate := range []float64{0.4, 1, 1.1, 3, 10, 40} {
		owners, ownerRate := limitQuota(rate)
		if total := float64(owners) * ownerRate; total > rate+1e-9 || total < 0.7*rate {
			t.Errorf("limit %v: %d owners with %.2f a second each", rate, owners, ownerRate)
		}
	}
	if owners, ownerRate := limitQuota(0); owners != 0 || ownerRate != 0 {
		t.Error("owners without a limit")
	}
}

// Guards against an endpoint that never gets a request because the entry that owns it has no
// callers or is down: other entries become owners unless the owner spreads that the limit holds.
func TestOwnersChangeEachPeriod(t *testing.T) {
	var all []Entry
	for i := range 14 {
		all = append(all, Entry{ID: uint64(1 + i), Domain: fmt.Sprint(i % 3)})
	}
	candidates := NewCandidates(all)
	e := limitedAt(0, 1, false)
	e.Domain = "1"
	owners := map[uint64]bool{}
	for k := range 30 {
		now := time.Duration(k) * ownerPeriodLength
		period, ends := OwnerPeriod(now, &e)
		if period != uint32(k) || ends != now+ownerPeriodLength {
			t.Fatalf("at %v period %d until %v", now, period, ends)
		}
		had := 0
		for _, o := range all {
			if candidates.OwnsLimited(o.ID, &e, period) {
				owners[o.ID] = true
				had++
			}
		}
		if had != 1 {
			t.Errorf("period %d has %d owners", period, had)
		}
	}
	if len(owners) < 4 {
		t.Errorf("only %d entries became owners", len(owners))
	}
	e.Limit.Owned = true
	if RenewalDue(renewAfter-ms, &e) || !RenewalDue(renewAfter, &e) {
		t.Error("the renewal of a limit is due too early or too late")
	}
}
