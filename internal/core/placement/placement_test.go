package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/tealhall/tealhall/internal/core/table"
)

const ms = time.Millisecond

// viewOf returns a view of endpoints for an entry in domain "a": a request of 130 ms with an
// objective of 400 ms, at time 10 s.
func viewOf(endpoints ...table.Endpoint) *View {
	now := 10 * time.Second
	pool := NewPoolState()
	return &View{Now: now, Domain: "a", Pool: &table.Pool{Endpoints: endpoints}, PoolState: &pool, SlotTime: 150 * ms, Rand: rand.New(rand.NewPCG(1, 2)),
		Request: Request{Arrived: now, FirstTry: now, Deadline: now + 1500*ms, Objective: 400 * ms, Work: 130 * ms, Kilobytes: 0.8, RoundStart: now}}
}

// endpoint returns an endpoint that reported its load the given time ago; a negative time means
// that it never did.
func endpoint(domain string, running, slots, pace int32, ago time.Duration) table.Endpoint {
	e := table.Endpoint{Name: domain, Incarnation: 1, Domain: domain, Slots: slots, Listed: slots}
	if ago >= 0 {
		e.Probed = table.ProbedLoad{Running: running, Slots: slots, Pace: pace, At: 10*time.Second - ago, Seen: true}
	}
	return e
}

// Guards against needless probes and requests across failure domains, where bytes are expensive.
// Endpoints with six slots are never idle, so that a request made six probes, a fifth of them in
// other domains, and one request in nine was sent there while the entry's own domain had room. That
// domain is probed first and used as long as it can answer in time; requests leave it at once when
// its last reported loads show no room.
func TestOwnDomainIsProbedFirst(t *testing.T) {
	for _, c := range []struct {
		name      string
		endpoints []table.Endpoint
		probe     string
		choose    string
	}{
		{"room in the own domain, idle elsewhere", []table.Endpoint{endpoint("a", 3, 6, 100, 0), endpoint("b", 0, 6, 100, 0)}, "a", "a"},
		{"nothing known", []table.Endpoint{endpoint("a", 0, 6, 0, -1), endpoint("b", 0, 6, 0, -1)}, "a", ""},
		{"own domain full a moment ago", []table.Endpoint{endpoint("a", 6, 6, 100, 10*ms), endpoint("b", 0, 6, 100, -1)}, "b", ""},
		{"own domain full a while ago", []table.Endpoint{endpoint("a", 6, 6, 100, 60*ms), endpoint("b", 0, 6, 100, -1)}, "a", ""},
		{"one slot, own domain full 60 ms ago", []table.Endpoint{endpoint("a", 1, 1, 100, 60*ms), endpoint("b", 0, 1, 100, -1)}, "b", ""},
		{"own domain slow", []table.Endpoint{endpoint("a", 0, 6, 500, 0), endpoint("b", 3, 6, 100, 0)}, "b", "b"},
		{"own domain in time only by chance", []table.Endpoint{endpoint("a", 0, 6, 250, 0), endpoint("b", 2, 6, 100, 0)}, "b", "b"},
		{"no endpoint in the own domain", []table.Endpoint{endpoint("b", 0, 6, 0, -1), endpoint("c", 6, 6, 100, 10*ms)}, "b", ""},
		{"twelve slots, two thirds in use", []table.Endpoint{endpoint("a", 8, 12, 100, 0), endpoint("b", 0, 12, 100, 0)}, "a", "a"},
	} {
		t.Run(c.name, func(t *testing.T) {
			v := viewOf(c.endpoints...)
			if i := v.NextToProbe(); i < 0 || v.Endpoints[i].Name != c.probe {
				t.Errorf("probes endpoint %d first, want %s", i, c.probe)
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

// Guards against long probe rounds: only an idle endpoint ended a round, so that a read probed
// nine endpoints that had room but were working on other requests. Now an endpoint with headroom
// ends it; with two slots that is an idle endpoint.
func TestHeadroomEndsProbeRound(t *testing.T) {
	for _, c := range []struct {
		running, slots, pace int32
		headroom             bool
	}{
		{0, 1, 100, true}, {1, 1, 100, false},
		{0, 2, 100, true}, {1, 2, 100, false}, {0, 2, 500, false},
		{3, 6, 100, true}, {4, 6, 100, false}, {3, 6, 200, false},
		{8, 12, 100, true}, {9, 12, 100, false},
	} {
		t.Run(fmt.Sprintf("%d of %d at %d", c.running, c.slots, c.pace), func(t *testing.T) {
			e := endpoint("a", c.running, c.slots, c.pace, 0)
			if got := viewOf(e).IsOptimal(&e); got != c.headroom {
				t.Errorf("ends the probe round: %v", got)
			}
		})
	}
}

// Guards against a fixed number of parallel probes. On a quiet day three of four endpoints have
// headroom, and three probes at a time made three and a half probes per request, of which two
// were not needed. When most endpoints are busy, one probe at a time would take many round trips.
// The number of parallel probes follows the results of earlier ones.
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
			t.Errorf("%d in ten probes find room: %d probed at a time, want %d", c.found, got, c.want)
		}
	}
}

// Guards against overfilled endpoints. A burst fills every slot of every endpoint, work takes 1.7
// times as long there, and the endpoints stay full at a load that they could serve: of the same
// traffic 59 in 100 requests were in time in one run and 80 in another. A slot that slows the
// other requests down by more than it gains is left free; where full use increases the throughput,
// as with two slots, it is used.
func TestEndpointsAreNotOverfilled(t *testing.T) {
	for _, c := range []struct {
		name           string
		running, slots int32
		times          float64 // how many times as long work takes at nearly full endpoints
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
				v.PoolState.NoteSlowdown(time.Duration(c.times*float64(v.Request.Work)), v.Request.Work)
			}
			if got := v.Best().Worthwhile; got != c.want {
				t.Errorf("sent there: %v", got)
			}
		})
	}
}

// Guards against late requests that use scarce slots. In a peak one request in ten got a slot when
// it was already late, and the slot was then missing for a request that arrived a moment later and
// could have been in time. A late request is served only while there is no shortage for timely
// requests.
func TestLateRequestsLeaveSlotsToTimelyRequests(t *testing.T) {
	for _, c := range []struct {
		ago        time.Duration
		late, want bool
	}{{50 * ms, true, false}, {50 * ms, false, true}, {300 * ms, true, true}} {
		v := viewOf(endpoint("a", 1, 6, 100, 0))
		v.PoolState.NoteShortage(v.Now - c.ago)
		v.Request.Late = c.late
		if got := v.Best().Worthwhile; got != c.want {
			t.Errorf("short %v ago, late %v: sent there %v", c.ago, c.late, got)
		}
	}
}

// Guards against a shortage that is forgotten too soon. An entry has three requests per second for
// a service that is short of room for seconds; after 200 ms it had forgotten that other requests
// found no room, and late ones used the slots.
func TestShortageLastsForSeveralArrivals(t *testing.T) {
	for _, c := range []struct{ every, lasts time.Duration }{{10 * ms, 200 * ms}, {300 * ms, 1200 * ms}, {5 * time.Second, 2 * time.Second}} {
		p := NewPoolState()
		now := 10 * time.Second
		for range 80 {
			now += c.every
			p.NoteArrival(now)
		}
		p.NoteShortage(now)
		if !p.IsShort(now+c.lasts*9/10) || p.IsShort(now+c.lasts*11/10) {
			t.Errorf("a request every %v: short for %v, want %v", c.every, p.shortFor(), c.lasts)
		}
	}
}

// Guards against log records that contradict placement: the reason for a refusal read "full 0 of
// 26", while placement took each of these endpoints for full because one more request would have
// slowed it down. Fullness counts the endpoints that placement takes for full.
func TestFullnessMatchesPlacement(t *testing.T) {
	v := viewOf(endpoint("a", 4, 6, 100, ms), endpoint("a", 3, 6, 100, ms), endpoint("a", 6, 6, 100, ms), endpoint("a", 6, 6, 100, 2*time.Second))
	for range 50 {
		v.PoolState.NoteSlowdown(2*v.Request.Work, v.Request.Work)
	}
	live, known, full := v.PoolState.Fullness(v.Now, v.Endpoints)
	if live != 4 || known != 3 || full != 2 || !v.MostlyFull() {
		t.Errorf("%d live, %d known, %d full, mostly full %v", live, known, full, v.MostlyFull())
	}
}

// Guards against entries that all fill endpoints at once to measure the slowdown. A burst met
// endpoints with six slots before any entry had learned that work takes 1.7 times as long at five
// requests. Each of 57 entries filled them at the start of the burst, and they stayed full for as
// long as the load lasted. One request per fillTrialEvery tries a nearly full endpoint until there
// are enough measurements; then the measured slowdown decides, even if there is none.
func TestSlowdownIsMeasuredBeforeEndpointsAreFilled(t *testing.T) {
	for _, c := range []struct {
		name  string
		times float64
		used  bool
	}{{"no slowdown", 1, true}, {"slowdown costs more than the slot gains", 1.7, false}} {
		t.Run(c.name, func(t *testing.T) {
			p := NewPoolState()
			e := endpoint("a", 4, 6, 100, 0)
			now := 10 * time.Second
			for tried := range enoughSlowdownSamples {
				if p.overfills(now, &e) {
					t.Fatalf("the endpoint is not tried after %d measurements", tried)
				}
				p.NoteFill(now)
				if c.times > 1.5 && !p.overfills(now+fillTrialEvery/2, &e) {
					t.Fatal("the endpoint is filled before the slowdown was measured")
				}
				now += fillTrialEvery
				p.NoteSlowdown(time.Duration(c.times*float64(100*ms)), 100*ms)
			}
			if p.overfills(now, &e) == c.used {
				t.Errorf("filled afterwards: %v, want %v (measured slowdown %.2f)", !c.used, c.used, p.Slowdown())
			}
		})
	}
}
