package core

import (
	"testing"
	"time"

	"github.com/tealhall/tealhall/internal/route"
)

// publishWarmup publishes that the endpoints of pool p are cold for three seconds after their start
// and can take 5.8 requests a second during that time.
func (h *entryHarness) publishWarmup(revision uint64) {
	d := harnessRoutes()
	d.Services[0].Warmup, d.Services[0].WarmupRate = 3000, 5.8
	h.publish(revision, d)
}

// peakPerSecond returns the largest number of attempts that an endpoint got within any second.
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

// sendReads sends a read every interval for d; endpoints answer each after 40 ms.
func (h *entryHarness) sendReads(every, d time.Duration) {
	h.serviceTime = 40 * ms
	for end := h.now + d; h.now < end; {
		h.sendRequest(route.Idempotent, 3*sec)
		h.run(every)
	}
	h.serviceTime = 0
}

// Guards against overloading a cold endpoint. It is idle, so all reads would go there; 17 in one
// second crash it together with the requests that it is running. A load probe shows that it is cold
// before the first request is sent. The entry then sends no more than its own quota and sends the
// rest elsewhere; once the endpoint is warm it is used as before.
func TestColdEndpointStaysWithinItsQuota(t *testing.T) {
	h := newEntryHarness(t, idleEndpoints(3, "d0")...)
	h.publishWarmup(2)
	h.learnServiceTime(8)
	h.run(2 * sec)
	cold := h.endpoint("d0-1")
	cold.coldUntil = h.now + 3*sec
	h.sendReads(20*ms, 3*sec)
	if most := h.peakPerSecond("d0-1"); most > 4 || most < 2 {
		t.Errorf("the cold endpoint got %d requests in a second, an owner may send 3 and 1 more at once", most)
	}
	h.run(200 * ms)
	h.sent, h.sentAt = nil, nil
	h.sendReads(20*ms, sec)
	if warm := h.peakPerSecond("d0-1"); warm < 10 {
		t.Errorf("the warm endpoint got only %d requests in a second", warm)
	}
}

// Guards against sending a cold endpoint more than its quota because no other endpoint has room.
// Reads wait for a slot instead.
func TestColdEndpointGetsNoOverflowTraffic(t *testing.T) {
	h := newEntryHarness(t, idleEndpoints(2, "d0")...)
	h.publishWarmup(2)
	h.learnServiceTime(8)
	h.run(2 * sec)
	h.endpoint("d0-0").running = 4
	h.endpoint("d0-1").coldUntil = h.now + 3*sec
	h.sendReads(10*ms, 2*sec)
	if most := h.peakPerSecond("d0-1"); most > 4 || most == 0 {
		t.Errorf("the cold endpoint got %d requests in a second", most)
	}
	if n := h.peakPerSecond("d0-0"); n > 2 {
		t.Errorf("the full endpoint got %d requests in a second", n)
	}
}

// Guards against a starting entry that knows no other entries and takes itself for the owner of all
// cold endpoints. It sends them nothing until it has served for a while.
func TestStartingEntryAvoidsColdEndpoints(t *testing.T) {
	h := newEntryHarness(t, idleEndpoints(2, "d0")...)
	h.publishWarmup(2)
	h.endpoint("d0-1").coldUntil = h.now + 30*sec
	for h.now < h.servingSince+settlingTime-200*ms {
		h.sendReads(20*ms, 20*ms)
	}
	if n := h.peakPerSecond("d0-1"); n > 0 {
		t.Errorf("the cold endpoint got %d requests within %v of the entry's start", n, settlingTime)
	}
	h.sendReads(20*ms, 2*sec)
	if n := h.peakPerSecond("d0-1"); n == 0 {
		t.Error("the cold endpoint got no requests after that")
	}
}

// Guards against full load on an endpoint that the VM list marks as cold, or that may be cold since
// its failure domain was evacuated before. It gets almost nothing until a load probe shows that it
// is warm, even if it does not answer load probes.
func TestEndpointIsColdUntilItReportsWarm(t *testing.T) {
	for _, c := range []struct {
		name       string
		becomeCold func(h *entryHarness)
	}{
		{"the list marks it as cold", func(h *entryHarness) { h.publishCold("d0-0") }},
		{"its failure domain returns from evacuation", func(h *entryHarness) {
			h.publishList(8, "d0")
			h.publishList(9)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newEntryHarness(t, idleEndpoints(1, "d0")...)
			h.publishWarmup(2)
			h.learnServiceTime(8)
			h.run(2 * sec)
			c.becomeCold(h)
			h.endpoint("d0-0").silent = true
			for range 12 {
				h.sendRequest(route.NonIdempotent, 3*sec)
				h.run(20 * ms)
			}
			if n := h.peakPerSecond("d0-0"); n > 2 {
				t.Errorf("%d requests were sent without a probed load in 240 ms", n)
			}
			h.endpoint("d0-0").silent = false
			h.run(4 * sec) // waiting requests get their replies, and the pause after the silence ends
			h.endpoint("d0-0").running = 0
			h.sent, h.sentAt = nil, nil
			h.sendReads(20*ms, sec)
			if n := h.peakPerSecond("d0-0"); n < 10 {
				t.Errorf("the endpoint reports that it is warm and got only %d requests in a second", n)
			}
		})
	}
}

// publishCold publishes the endpoints with one of them marked as cold.
func (h *entryHarness) publishCold(name string) {
	list := h.vmList(8)
	for i := range list.VMs {
		list.VMs[i].Cold = list.VMs[i].Name == name
	}
	h.offerList(list)
}
