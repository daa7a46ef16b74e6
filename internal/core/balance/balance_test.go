package balance

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/tealhall/tealhall/internal/core/table"
)

const testNow = time.Hour

func newPicker(t interface{ Fatal(...any) }, policy string) Picker {
	p, err := New(policy, Config{Self: "b"}, rand.New(rand.NewPCG(1, 2)))
	if err != nil {
		t.Fatal(err)
	}
	return p
}

func drawPool(t *rapid.T) *table.Pool {
	p := &table.Pool{Endpoints: make([]table.Endpoint, rapid.IntRange(0, 20).Draw(t, "size"))}
	for i := range p.Endpoints {
		e := &p.Endpoints[i]
		e.Name = string(rune('a' + i))
		e.Slots = 2
		e.State = table.EndpointState(rapid.IntRange(0, 2).Draw(t, "state"))
		e.Outstanding = int32(rapid.IntRange(0, 4).Draw(t, "own"))
		e.Reported = table.ReportedLoad{
			Seen:    rapid.Bool().Draw(t, "seen"),
			Foreign: int32(rapid.IntRange(0, 4).Draw(t, "foreign")),
			At:      testNow - time.Duration(rapid.IntRange(0, 100).Draw(t, "age"))*time.Millisecond,
		}
		if rapid.Bool().Draw(t, "ejected") {
			e.Health.EjectedUntil = testNow + time.Second
			e.Health.TrialAt = testNow + time.Duration(rapid.IntRange(-1, 1).Draw(t, "trial"))
		}
	}
	return p
}

func TestPickChoosesEligibleEndpoint(t *testing.T) {
	for _, policy := range Policies() {
		t.Run(policy, rapid.MakeCheck(func(t *rapid.T) {
			p := drawPool(t)
			picker := newPicker(t, policy)
			picker.Changed(testNow, p, []string{"a", "b", "c"})
			var tried Set
			for _, i := range rapid.SliceOfN(rapid.IntRange(0, len(p.Endpoints)), 0, MaxSetSize).Draw(t, "tried") {
				tried = tried.With(i)
			}
			req := Request{Tried: tried, Trial: rapid.Bool().Draw(t, "may")}
			c := picker.Pick(testNow, p, req, 0)
			if !c.OK {
				if c.Wait <= 0 {
					t.Fatal("neither a choice nor a time to wait")
				}
				return
			}
			if c.Index < 0 || c.Index >= len(p.Endpoints) {
				t.Fatalf("index %d outside the pool of %d", c.Index, len(p.Endpoints))
			}
			e := &p.Endpoints[c.Index]
			if e.State != table.EndpointLive || req.Tried.Has(c.Index) {
				t.Fatalf("chose %+v, tried %v", e, req.Tried)
			}
			if !c.Trial && !usable(testNow, p, e) && requiredEligibility(testNow, p, req.Tried) == notEjected {
				t.Fatal("chose an ejected endpoint although others are not ejected")
			}
			if c.Trial && (!req.Trial || e.Health.TrialAt > testNow) {
				t.Fatal("chose a trial that was not due or not allowed")
			}
		}))
	}
}

// Guards against requests that wait forever in the entry: no answer arrives any more, and by the
// last reports every endpoint has a long queue. A waiting request must be sent in the end, since
// only an answer could show that the queues are gone.
func TestStaleFullViewDoesNotBlockRequests(t *testing.T) {
	for _, policy := range Policies() {
		picker, p := newPicker(t, policy), benchPool(6)
		picker.Changed(testNow, p, []string{"a", "b", "c"})
		for i := range p.Endpoints {
			p.Endpoints[i].Outstanding = 0
			for range 100 {
				picker.LoadReported(testNow, p, i, table.ReportedLoad{Seen: true, Foreign: 50, At: testNow})
			}
			picker.PeerReported(testNow, p, i, PeerLoad{From: 0, Attempts: 20, At: testNow})
		}
		if c := picker.Pick(testNow+time.Second, p, Request{}, time.Second); !c.OK {
			t.Errorf("%s: the request still waits after a second without a report", policy)
		}
	}
}

// benchPool returns a pool of n endpoints, each with some load; 60 is the largest size that one
// service is expected to have.
func benchPool(n int) *table.Pool {
	p := &table.Pool{Endpoints: make([]table.Endpoint, n)}
	for i := range p.Endpoints {
		p.Endpoints[i] = table.Endpoint{Name: "e" + string(rune('0'+i)), Slots: 2, ServiceNanos: 15e6,
			Outstanding: int32(i % 3), Reported: table.ReportedLoad{Seen: true, Foreign: int32(i % 2), At: testNow}}
	}
	return p
}

func TestPickAllocatesNothing(t *testing.T) {
	for _, policy := range Policies() {
		picker, p := newPicker(t, policy), benchPool(60)
		picker.Changed(testNow, p, []string{"a", "b", "c"})
		allocs := testing.AllocsPerRun(100, func() {
			c := picker.Pick(testNow, p, Request{LocalDomain: "x"}, 0)
			if c.OK {
				picker.Dispatched(testNow, p, c.Index)
				picker.Answered(testNow, p, c.Index, Observation{Latency: time.Millisecond, HasLoad: true, Slots: 2})
			}
			picker.PeerReported(testNow, p, 0, PeerLoad{From: 0, Attempts: 1, At: testNow})
		})
		if allocs != 0 {
			t.Errorf("%s: %v allocations per Pick", policy, allocs)
		}
	}
}

func TestUnknownPolicyIsRejected(t *testing.T) {
	if _, err := New("fastest", Config{}, nil); err == nil {
		t.Fatal("accepted an unknown policy")
	}
}

func BenchmarkPick(b *testing.B) {
	for _, policy := range Policies() {
		for _, size := range []struct {
			name string
			n    int
		}{{"6", 6}, {"60", 60}} {
			b.Run(policy+"/"+size.name, func(b *testing.B) {
				picker, p := newPicker(b, policy), benchPool(size.n)
				picker.Changed(testNow, p, []string{"a", "b", "c"})
				b.ReportAllocs()
				for b.Loop() {
					picker.Pick(testNow, p, Request{}, 0)
				}
			})
		}
	}
}

// Guards against a request that is sent again to the endpoint that has just refused it, in a pool of
// more endpoints than the set of those that were tried could hold.
func TestTriedEndpointsOfLargePoolsAreRemembered(t *testing.T) {
	var tried Set
	indexes := []int{5998, 0, 63, 64, 2000, 100, 1, 4711}
	for _, i := range indexes {
		tried = tried.With(i).With(i)
	}
	for _, i := range indexes {
		if !tried.Has(i) {
			t.Errorf("endpoint %d was tried and is not in the set", i)
		}
	}
	if tried.Has(2) || tried.Has(5997) {
		t.Error("the set has an endpoint that was not tried")
	}
	for _, policy := range Policies() {
		p := &table.Pool{Endpoints: make([]table.Endpoint, 200)}
		for i := range p.Endpoints {
			p.Endpoints[i] = table.Endpoint{Name: strconv.Itoa(i), Slots: 2, State: table.EndpointGone}
		}
		p.Endpoints[150].State, p.Endpoints[151].State = table.EndpointLive, table.EndpointLive
		picker := newPicker(t, policy)
		picker.Changed(testNow, p, []string{"b"})
		for range 20 {
			if c := picker.Pick(testNow, p, Request{Tried: Set{}.With(150)}, 0); c.OK && c.Index != 151 {
				t.Fatalf("%s chose %d, which was tried", policy, c.Index)
			}
		}
	}
}
