package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/tealhall/tealhall/internal/core/table"
)

const ms = time.Millisecond

// viewOf returns a view of endpoints from domain "a": a request of 130 ms with an objective
// of 400, at time 10 s.
func viewOf(endpoints ...table.Endpoint) *View {
	now := 10 * time.Second
	pool := NewPoolState()
	return &View{Now: now, Domain: "a", Pool: &table.Pool{Endpoints: endpoints}, Learned: &pool, SlotTime: 150 * ms, Rand: rand.New(rand.NewPCG(1, 2)),
		Request: Request{Arrived: now, FirstTry: now, Deadline: now + 1500*ms, Objective: 400 * ms, Work: 130 * ms, Kilobytes: 0.8, RoundStart: now}}
}

// endpoint is one that told its load a while ago; a negative time says that it never did.
func endpoint(domain string, running, slots, pace int32, ago time.Duration) table.Endpoint {
	e := table.Endpoint{Name: domain, Incarnation: 1, Domain: domain, Slots: slots, Listed: slots}
	if ago >= 0 {
		e.Probed = table.ProbedLoad{Running: running, Slots: slots, Pace: pace, At: 10*time.Second - ago, Seen: true}
	}
	return e
}

// Endpoints with six slots are never idle, and bytes between domains are dear. Six looks a
// request were made, a fifth of them in other domains, and one request in nine went there,
// while the own domain had room. The own domain is asked first and used as long as it can
// answer in time; it is left as soon as it is short by what was seen, at once.
func TestOwnDomainIsProbedFirst(t *testing.T) {
	for _, c := range []struct {
		name      string
		endpoints []table.Endpoint
		ask       string
		choose    string
	}{
		{"room at home, idle elsewhere", []table.Endpoint{endpoint("a", 3, 6, 100, 0), endpoint("b", 0, 6, 100, 0)}, "a", "a"},
		{"nothing known", []table.Endpoint{endpoint("a", 0, 6, 0, -1), endpoint("b", 0, 6, 0, -1)}, "a", ""},
		{"full at home a moment ago", []table.Endpoint{endpoint("a", 6, 6, 100, 10*ms), endpoint("b", 0, 6, 100, -1)}, "b", ""},
		{"full at home a while ago", []table.Endpoint{endpoint("a", 6, 6, 100, 60*ms), endpoint("b", 0, 6, 100, -1)}, "a", ""},
		{"one slot, full at home 60 ms ago", []table.Endpoint{endpoint("a", 1, 1, 100, 60*ms), endpoint("b", 0, 1, 100, -1)}, "b", ""},
		{"slow at home", []table.Endpoint{endpoint("a", 0, 6, 500, 0), endpoint("b", 3, 6, 100, 0)}, "b", "b"},
		{"home would be in time by luck", []table.Endpoint{endpoint("a", 0, 6, 250, 0), endpoint("b", 2, 6, 100, 0)}, "b", "b"},
		{"nobody at home", []table.Endpoint{endpoint("b", 0, 6, 0, -1), endpoint("c", 6, 6, 100, 10*ms)}, "b", ""},
		{"twelve slots, three quarters taken", []table.Endpoint{endpoint("a", 8, 12, 100, 0), endpoint("b", 0, 12, 100, 0)}, "a", "a"},
	} {
		t.Run(c.name, func(t *testing.T) {
			v := viewOf(c.endpoints...)
			if i := v.NextToProbe(); i < 0 || v.Endpoints[i].Name != c.ask {
				t.Errorf("asks %d, want %s", i, c.ask)
			}
			got := ""
			if best := v.Best(); best.Worthwhile {
				got = v.Endpoints[best.Index].Name
			}
			if got != c.choose {
				t.Errorf("chooses %q, want %q", got, c.choose)
			}
		})
	}
}

// A read meets endpoints that work on other requests but have room. Only an idle one ended
// the round of looks, so that it asked nine; now one with easy room does, which is an idle
// one where there are two slots.
func TestEasyRoomEndsProbeRound(t *testing.T) {
	for _, c := range []struct {
		running, slots, pace int32
		easy                 bool
	}{
		{0, 1, 100, true}, {1, 1, 100, false},
		{0, 2, 100, true}, {1, 2, 100, false}, {0, 2, 500, false},
		{3, 6, 100, true}, {4, 6, 100, false}, {3, 6, 200, false},
		{8, 12, 100, true}, {9, 12, 100, false},
	} {
		t.Run(fmt.Sprintf("%d of %d at %d", c.running, c.slots, c.pace), func(t *testing.T) {
			e := endpoint("a", c.running, c.slots, c.pace, 0)
			if got := viewOf(e).Perfect(&e); got != c.easy {
				t.Errorf("ends the round: %v", got)
			}
		})
	}
}

// On a quiet day three of four endpoints have easy room, and asking three at a time made
// three and a half looks a request, of which two were not needed. When most are busy, one
// at a time would take many round trips. How many are asked follows what looks find.
func TestBatchSizeFollowsProbeResults(t *testing.T) {
	p := NewPoolState()
	free, full := endpoint("a", 1, 6, 100, 0), endpoint("a", 6, 6, 100, 0)
	learn := func(found int) int {
		for i := range 200 {
			if i%10 < found {
				p.NoteProbe(&free)
			} else {
				p.NoteProbe(&full)
			}
		}
		return p.Batch()
	}
	for _, c := range []struct{ found, want int }{{10, 1}, {8, 1}, {5, 2}, {3, 3}, {0, 3}, {9, 1}} {
		if got := learn(c.found); got != c.want {
			t.Errorf("%d in ten looks find room: %d asked at a time, want %d", c.found, got, c.want)
		}
	}
}

// A burst fills every endpoint to the last slot, work takes 1.7 times as long there, and
// so they stay full at a load that they could bear: of the same traffic 59 in 100 were in
// time in one run and 80 in another. A slot that takes more from the requests beside it
// than it brings is left free; where filling up gets more done, as with two slots, it goes on.
func TestEndpointsAreNotOverfilled(t *testing.T) {
	for _, c := range []struct {
		name           string
		running, slots int32
		times          float64 // by which work takes longer at nearly full ones
		want           bool
	}{
		{"six slots, one to spare", 3, 6, 1.7, true},
		{"six slots, nearly full, slower", 4, 6, 1.7, false},
		{"six slots, nearly full, as fast", 4, 6, 1, true},
		{"two slots, slower", 1, 2, 1.7, true},
		{"one slot", 0, 1, 1.7, true},
		{"twelve slots, nearly full, slower", 9, 12, 1.7, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			v := viewOf(endpoint("a", c.running, c.slots, 100, 0))
			for range 50 {
				v.Learned.NoteSlowdown(time.Duration(c.times*float64(v.Request.Work)), v.Request.Work)
			}
			if got := v.Best().Worthwhile; got != c.want {
				t.Errorf("sent there: %v", got)
			}
		})
	}
}

// In a peak one request in ten got a slot when it was late already, and each of these slots
// was missing to one that came a moment later and could have been in time. A late request
// is served while nobody in time is short.
func TestLateRequestsLeaveSlotsToTimelyRequests(t *testing.T) {
	for _, c := range []struct {
		ago        time.Duration
		late, want bool
	}{{50 * ms, true, false}, {50 * ms, false, true}, {300 * ms, true, true}} {
		v := viewOf(endpoint("a", 1, 6, 100, 0))
		v.Learned.NoteShort(v.Now - c.ago)
		v.Request.Late = c.late
		if got := v.Best().Worthwhile; got != c.want {
			t.Errorf("short %v ago, late %v: sent there %v", c.ago, c.late, got)
		}
	}
}

// An entry sees three requests a second for a service that is short for seconds. After 200
// ms it had forgotten that others found no room, and late ones took the slots.
func TestShortageLastsForSeveralArrivals(t *testing.T) {
	for _, c := range []struct{ every, lasts time.Duration }{{10 * ms, 200 * ms}, {300 * ms, 1200 * ms}, {5 * time.Second, 2 * time.Second}} {
		p := NewPoolState()
		now := 10 * time.Second
		for range 80 {
			now += c.every
			p.NoteArrival(now)
		}
		p.NoteShort(now)
		if !p.isShort(now+c.lasts*9/10) || p.isShort(now+c.lasts*11/10) {
			t.Errorf("a request every %v: short for %v, want %v", c.every, p.shortFor(), c.lasts)
		}
	}
}

// An operator reads in the log why requests were refused: "full 0 of 26", while placement
// took each of these endpoints for full, since one more request would have made it slower.
// The log counts what placement counts.
func TestFullnessMatchesPlacement(t *testing.T) {
	v := viewOf(endpoint("a", 4, 6, 100, ms), endpoint("a", 3, 6, 100, ms), endpoint("a", 6, 6, 100, ms), endpoint("a", 6, 6, 100, 2*time.Second))
	for range 50 {
		v.Learned.NoteSlowdown(2*v.Request.Work, v.Request.Work)
	}
	live, told, full := v.Learned.Fullness(v.Now, v.Endpoints)
	if live != 4 || told != 3 || full != 2 || !v.Crowded() {
		t.Errorf("%d live, %d told, %d full, crowded %v", live, told, full, v.Crowded())
	}
}

// A burst meets endpoints with six slots of which nobody has learned yet that work takes 1.7 times as
// long at five. Each of 57 entries filled them at its beginning to find that out, and they stayed
// full for as long as callers pressed. One request a second tries until a few are measured; then what
// was measured counts, also where it costs nothing.
func TestFillingIsMeasuredBeforeItIsUsed(t *testing.T) {
	for _, c := range []struct {
		name  string
		times float64
		used  bool
	}{{"it costs nothing", 1, true}, {"it costs more than it brings", 1.7, false}} {
		t.Run(c.name, func(t *testing.T) {
			p := NewPoolState()
			e := endpoint("a", 4, 6, 100, 0)
			now := 10 * time.Second
			for tried := range enoughSlowdownSamples {
				if p.overfills(now, &e) {
					t.Fatalf("it is not tried after %d measurements", tried)
				}
				p.NoteFill(now)
				if c.times > 1.5 && !p.overfills(now+fillTrialEvery/2, &e) {
					t.Fatal("it is used before it was measured")
				}
				now += fillTrialEvery
				p.NoteSlowdown(time.Duration(c.times*float64(100*ms)), 100*ms)
			}
			if p.overfills(now, &e) == c.used {
				t.Errorf("used afterwards: %v, want %v (measured %.2f)", !c.used, c.used, p.Slowdown())
			}
		})
	}
}
