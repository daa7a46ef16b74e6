package core

import (
	"testing"
	"time"

	"github.com/tealhall/tealhall/internal/route"
)

// publishWarmup publishes that the endpoints of pool p are cold for three seconds after their start and
// bear 5.8 requests a second then.
func (h *entryHarness) publishWarmup(revision uint64) {
	d := harnessRoutes()
	d.Services[0].Warmup, d.Services[0].WarmupRate = 3000, 5.8
	h.publish(revision, d)
}

// peakPerSecond returns the most attempts that an endpoint got in any second.
func (h *entryHarness) peakPerSecond(name string) (most int) {
	for i, from := range h.sentAt {
		n := 0
		for j := i; j < len(h.sent) && h.sentAt[j] <= from+sec; j++ {
			if h.sent[j] == name {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// sendReads asks for reads for a while, and endpoints answer each after 40 ms.
func (h *entryHarness) sendReads(every, d time.Duration) {
	h.serviceTime = 40 * ms
	for end := h.now + d; h.now < end; {
		h.sendRequest(route.Idempotent, 3*sec)
		h.run(every)
	}
	h.serviceTime = 0
}

// An endpoint has become cold. It is idle and all reads would go there: 17 in a second crash it, and
// take those along that it holds. Whoever looks at it learns that it is cold before the first one is
// sent, sends no more than its part, and sends the rest elsewhere; once it is warm it is used as
// before.
func TestColdEndpointStaysWithinItsQuota(t *testing.T) {
	h := newEntryHarness(t, idleEndpoints(3, "d0")...)
	h.publishWarmup(2)
	h.learnServiceTime(8)
	h.run(2 * sec)
	cold := h.endpoint("d0-1")
	cold.coldUntil = h.now + 3*sec
	h.sendReads(20*ms, 3*sec)
	if most := h.peakPerSecond("d0-1"); most > 4 || most < 2 {
		t.Errorf("it gets %d in a second, an owner may send 3 and 1 more at once", most)
	}
	h.run(200 * ms)
	h.sent, h.sentAt = nil, nil
	h.sendReads(20*ms, sec)
	if warm := h.peakPerSecond("d0-1"); warm < 10 {
		t.Errorf("it gets %d in a second once it is warm", warm)
	}
}

// Nobody has room but a cold endpoint, and it has got what it bears: reads wait for it or for the
// others, and none is sent there nevertheless.
func TestColdEndpointGetsNoOverflowTraffic(t *testing.T) {
	h := newEntryHarness(t, idleEndpoints(2, "d0")...)
	h.publishWarmup(2)
	h.learnServiceTime(8)
	h.run(2 * sec)
	h.endpoint("d0-0").running = 4
	h.endpoint("d0-1").coldUntil = h.now + 3*sec
	h.sendReads(10*ms, 2*sec)
	if most := h.peakPerSecond("d0-1"); most > 4 || most == 0 {
		t.Errorf("it gets %d in a second", most)
	}
	if n := h.peakPerSecond("d0-0"); n > 2 {
		t.Errorf("the full one gets %d", n)
	}
}

// An entry has just begun to serve and knows no other entry: all endpoints that come back would
// seem to be its own. It leaves cold ones alone until it has served for a while.
func TestStartingEntryAvoidsColdEndpoints(t *testing.T) {
	h := newEntryHarness(t, idleEndpoints(2, "d0")...)
	h.publishWarmup(2)
	h.endpoint("d0-1").coldUntil = h.now + 30*sec
	for h.now < h.servesSince+settling-200*ms {
		h.sendReads(20*ms, 20*ms)
	}
	if n := h.peakPerSecond("d0-1"); n > 0 {
		t.Errorf("it got %d within %v of the start", n, settling)
	}
	h.sendReads(20*ms, 2*sec)
	if n := h.peakPerSecond("d0-1"); n == 0 {
		t.Error("it gets nothing later on")
	}
}

// The list says that an endpoint is cold, and one that is taken back after an evacuation may be
// cold although nobody says so yet. Nothing is sent there without a look that says more, also where
// looks are not to be had.
func TestEndpointIsColdUntilItReportsWarm(t *testing.T) {
	for _, c := range []struct {
		name   string
		happen func(h *entryHarness)
	}{
		{"the list says so", func(h *entryHarness) { h.publishCold("d0-0") }},
		{"its failure domain is taken back", func(h *entryHarness) {
			h.publishList(8, "d0")
			h.publishList(9)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newEntryHarness(t, idleEndpoints(1, "d0")...)
			h.publishWarmup(2)
			h.learnServiceTime(8)
			h.run(2 * sec)
			c.happen(h)
			h.endpoint("d0-0").silent = true
			for range 12 {
				h.sendRequest(route.NonIdempotent, 3*sec)
				h.run(20 * ms)
			}
			if n := h.peakPerSecond("d0-0"); n > 2 {
				t.Errorf("%d are sent blindly in 240 ms", n)
			}
			h.endpoint("d0-0").silent = false
			h.run(4 * sec) // those that waited are told, and the silence is forgotten
			h.endpoint("d0-0").running = 0
			h.sent, h.sentAt = nil, nil
			h.sendReads(20*ms, sec)
			if n := h.peakPerSecond("d0-0"); n < 10 {
				t.Errorf("it says that it is warm and gets %d in a second", n)
			}
		})
	}
}

// publishCold publishes the boxes with one of them cold.
func (h *entryHarness) publishCold(name string) {
	list := h.vmList(8)
	for i := range list.VMs {
		list.VMs[i].Cold = list.VMs[i].Name == name
	}
	h.offerList(list)
}
