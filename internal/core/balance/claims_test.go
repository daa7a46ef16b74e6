package balance

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/tealhall/tealhall/internal/core/table"
)

const testService = 20 * time.Millisecond

// newPair returns a pool of two idle endpoints that answered in the same time, and a picker for it
// with three deciders that prefers endpoint 0.
func newPair(t *testing.T) (Picker, *table.Pool) {
	p := benchPool(2)
	for i := range p.Endpoints {
		p.Endpoints[i].Name = []string{"second", "first"}[i]
		p.Endpoints[i].Outstanding = 0
		p.Endpoints[i].Reported = table.ReportedLoad{}
	}
	picker := newPicker(t, Claims)
	picker.Changed(testNow, p, []string{"a", "b", "c"})
	return picker, p
}

// send dispatches one request to endpoint i and answers it.
func send(picker Picker, p *table.Pool, at time.Duration, i int, obs Observation) {
	p.Endpoints[i].Outstanding++
	picker.Dispatched(at, p, i)
	p.Endpoints[i].Outstanding--
	picker.Answered(at+obs.Latency, p, i, obs)
}

// Guards against an endpoint that attracts traffic because its reports look better than it is.
// Callers would see errors or slow answers while endpoint 1 is idle. In each case endpoint 0
// misleads in another way, and the picker must choose endpoint 1.
func TestMisleadingEndpointIsPassedOver(t *testing.T) {
	idle := Observation{Latency: testService, HasLoad: true, Slots: 2}
	cases := []struct {
		name    string
		mislead func(picker Picker, p *table.Pool)
	}{
		{"fails every request at once", func(picker Picker, p *table.Pool) {
			send(picker, p, testNow, 0, Observation{Latency: time.Millisecond, HasLoad: true, Slots: 2, Failed: true})
		}},
		{"refuses although it reports idle slots", func(picker Picker, p *table.Pool) {
			send(picker, p, testNow, 0, Observation{Latency: time.Millisecond, HasLoad: true, Slots: 2, Refused: true})
		}},
		{"reports idle slots and is slow", func(picker Picker, p *table.Pool) {
			for range 2 * medianEvery {
				send(picker, p, testNow-time.Second, 1, idle)
				send(picker, p, testNow-time.Second, 0, Observation{Latency: 10 * testService, HasLoad: true, Slots: 2})
			}
		}},
		{"has its slots used by a peer", func(picker Picker, p *table.Pool) {
			picker.PeerReported(testNow, p, 0, PeerLoad{From: 0, Attempts: 2, At: testNow})
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			picker, p := newPair(t)
			if got := picker.Pick(testNow-2*time.Second, p, Request{}, 0); got.Index != 0 {
				t.Fatalf("chose %+v, want endpoint 0, which is still equal", got)
			}
			c.mislead(picker, p)
			for range 2 {
				got := picker.Pick(testNow+time.Millisecond, p, Request{}, 0)
				if !got.OK || got.Index != 1 {
					t.Fatalf("chose %+v, want endpoint 1", got)
				}
				p.Endpoints[1].Outstanding++
				picker.Dispatched(testNow+time.Millisecond, p, 1)
			}
		})
	}
}

// Guards against slots that count as used by a peer that is partitioned away or paused and cannot
// report that they are free again: requests would wait or queue for as long as the peer is away.
// An update without changes keeps the peer's counts; silence drops them.
func TestSilentPeerUsesNoSlots(t *testing.T) {
	picker, p := newPair(t)
	for i := range p.Endpoints {
		picker.PeerReported(testNow, p, i, PeerLoad{From: 0, Attempts: 2, At: testNow})
	}
	heard := testNow + 90*time.Millisecond
	picker.PeerHeard(0, heard)
	if c := picker.Pick(heard, p, Request{}, 0); c.OK {
		t.Fatalf("chose %+v although the peer still uses all slots", c)
	}
	if c := picker.Pick(heard+minSilence+1, p, Request{}, 0); !c.OK || !c.IdleOnly {
		t.Fatalf("got %+v, want an idle slot since the peer is silent", c)
	}
}

// Guards against starvation: all slots look busy for good because two other entries reuse theirs
// for their own requests. After the idle wait the request queues at the endpoint whose own attempt
// ends first.
func TestRequestQueuesAtEndpointAfterIdleWait(t *testing.T) {
	picker, p := newPair(t)
	for i := range p.Endpoints {
		p.Endpoints[i].Outstanding = 2
	}
	picker.Dispatched(testNow-testService/2, p, 0)
	picker.Dispatched(testNow, p, 1)
	if c := picker.Pick(testNow, p, Request{}, 0); c.OK || c.Wait <= 0 {
		t.Fatalf("got %+v, want a wait first", c)
	}
	if c := picker.Pick(testNow, p, Request{}, testService); !c.OK || c.IdleOnly || c.Index != 0 {
		t.Fatalf("got %+v, want endpoint 0 and a wait in its queue", c)
	}
}

// The entry's own count is exact: a slot that this entry uses itself is never taken for idle,
// whatever reports and peers say.
func TestOwnAttemptsNeverCountAsIdleSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := drawPool(t)
		picker := newPicker(t, Claims)
		picker.Changed(testNow, p, []string{"a", "b", "c"})
		for i := range p.Endpoints {
			picker.LoadReported(testNow, p, i, table.ReportedLoad{Seen: true, At: testNow, Foreign: int32(rapid.IntRange(-2, 2).Draw(t, "reported"))})
			picker.PeerReported(testNow, p, i, PeerLoad{From: rapid.IntRange(-1, 3).Draw(t, "from"), Attempts: 1, At: testNow})
		}
		c := picker.Pick(testNow, p, Request{}, time.Duration(rapid.IntRange(0, 100).Draw(t, "waited"))*time.Millisecond)
		if c.OK && c.IdleOnly && p.Endpoints[c.Index].Outstanding >= p.Endpoints[c.Index].Slots {
			t.Fatalf("asked endpoint %d for an idle slot that this entry uses itself", c.Index)
		}
	})
}
