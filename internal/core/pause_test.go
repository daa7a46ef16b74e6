package core

import (
	"slices"
	"testing"
	"time"

	"github.com/tealhall/tealhall/internal/core/member"
	"github.com/tealhall/tealhall/internal/core/table"
	"github.com/tealhall/tealhall/internal/published"
)

// sleep pauses an entry's process for d. On waking, either its timers or its sockets run first.
func (h *clusterHarness) sleep(n *node, d time.Duration, timersFirst bool) {
	n.asleep = true
	h.run(d)
	n.asleep = false
	if timersFirst {
		h.do(n, func(now time.Duration, out *Actions) { n.Tick(now, h.wall.Add(h.now), out) })
	}
}

// An entry's VM freezes for 30 s. The entry has bookings and reads that wait, a booking that is
// about to be written, and answers that arrived during the freeze; callers have given up or were
// answered by other entries. On waking, whatever runs first, the entry must send nothing that is
// past its deadline and must not blame the endpoints for the pause. The test runs without other
// faults, and with an endpoint that left, a profile that changed and a configuration service that
// went down meanwhile: within 3 s of waking the entry has to learn that from its peers.
func TestEntryRecoversAfterPause(t *testing.T) {
	for _, timersFirst := range []bool{false, true} {
		for _, otherFaults := range []bool{false, true} {
			h := newServingCluster(t, 3, append([]string{"waste/w1", "shared/s1"}, sixEndpoints...)...)
			n := h.nodes[0]
			h.endpoint = func(string, Arrival) reaction {
				return reaction{after: 100 * ms, head: Head{Load: Load{Known: true, InFlight: 2, Slots: 2}}}
			}
			h.sendTraffic(Arrival{Service: "counts"}, 10*ms, 12*sec)
			h.dial = func() time.Duration { return 5 * sec } // attempts are decided but not written yet
			var bookings, reads []RequestID
			for range 6 {
				bookings = append(bookings, h.sendRequest(n, Arrival{Service: "waste", Key: h.key(n), HasKey: true}))
			}
			for range 30 {
				reads = append(reads, h.sendRequest(n, Arrival{Service: "counts"}))
			}
			batch := h.sendRequest(n, Arrival{Service: "photos"})
			clear(h.written)
			if otherFaults {
				h.publishVMs(2, "waste/w1", "shared/s1", "counts/c1", "counts/c2", "counts/c3", "counts/c4", "counts/c5", "counts/c6,leaving")
				h.republish(2, `deadline = "8s"`, `deadline = "7s"`)
				h.platformDown = func(n *node) bool { return h.now > 15*sec }
			}
			h.sleep(n, 30*sec, timersFirst)
			h.dial = func() time.Duration { return lag }
			woke := h.now - n.started
			if slices.ContainsFunc(n.fleet.entries, func(e member.Entry) bool { return e.Suspected }) {
				t.Error("peers are suspected before they could be heard")
			}
			for open, d := range n.open {
				if open.id != batch && n.MaySend(h.now-n.started, open.id, open.n) {
					t.Errorf("request %d may be sent, its deadline was %v ago", open.id, h.now-n.started-d.Deadline)
				}
			}
			h.run(sec)
			if h.totalWritten("c")+h.totalWritten("w") != 0 || h.written["s1"] != 1 {
				t.Errorf("written after waking: %v", h.written)
			}
			for _, id := range append(bookings, reads...) {
				if got := n.replies[id]; got.Outcome != OutcomeNotRun {
					t.Errorf("request %d: reply %+v", id, got)
				}
			}
			if got := n.replies[batch]; got.Outcome != OutcomeDone {
				t.Errorf("a batch request with time left: reply %+v", got)
			}
			if e := &n.pools["waste"].Endpoints[0]; e.Reported.Seen && e.Reported.At < woke || !n.hasNote("pause") {
				t.Error("a load report from before the pause still counts, or the pause is not in the audit trail")
			}
			h.run(2 * sec)
			if otherFaults && (n.endpointState("c6") != table.EndpointLeaving || n.InForce(published.ProfilesValue).Revision != 2) {
				t.Errorf("c6 is %v, revision %d", n.endpointState("c6"), n.InForce(published.ProfilesValue).Revision)
			}
			h.sendTraffic(Arrival{Service: "counts"}, 10*ms, 3*sec)
			if n.counters.Ejections != 0 || n.UsableEntries() != 3 {
				t.Errorf("%d ejections, %d usable entries", n.counters.Ejections, n.UsableEntries())
			}
		}
	}
}
