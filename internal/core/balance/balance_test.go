package balance

import (
	"math/rand/v2"
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
			req := Request{Tried: Set(rapid.Uint64().Draw(t, "tried")), Trial: rapid.Bool().Draw(t, "may")}
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
				t.Fatalf("chose %+v, tried %b", e, req.Tried)
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
