package core

import (
	"testing"
	"time"
)

// simulateSlots gives every endpoint two slots and a queue of its own; work returns how long a
// request takes.
func (h *clusterHarness) simulateSlots(work func(a Arrival) time.Duration) {
	free := map[string]*[2]time.Duration{}
	h.endpoint = func(name string, a Arrival) reaction {
		f := free[name]
		if f == nil {
			f = new([2]time.Duration)
			free[name] = f
		}
		busy := 0
		for _, at := range f {
			if at > h.now {
				busy++
			}
		}
		slot := 0
		if f[1] < f[0] {
			slot = 1
		}
		f[slot] = max(f[slot], h.now) + work(a)
		return reaction{after: f[slot] - h.now, head: Head{Load: Load{Known: true, InFlight: busy, Slots: 2}}}
	}
}

// One caller sends two hundred requests at once and would fill the queue. Requests above its share
// are refused at once, as not run and with a Retry-After; the other callers are all served, also
// while one of the two endpoints drains.
func TestOneCallerCannotTakeTheQueue(t *testing.T) {
	for _, drains := range []bool{false, true} {
		h := newServingCluster(t, 1, "counts/c1", "counts/c2")
		n := h.nodes[0]
		h.simulateSlots(func(Arrival) time.Duration { return 25 * ms })
		h.sendTraffic(Arrival{Service: "counts"}, 50*ms, sec)
		if drains {
			h.publishVMs(2, "counts/c1", "counts/c2,leaving")
			h.run(200 * ms)
		}
		refused := map[Reason]int{}
		for range 200 {
			id := h.sendRequest(n, Arrival{Service: "counts", Caller: 7})
			got, at := n.replies[id]
			if !at {
				continue
			}
			refused[got.Reason]++
			if got.Outcome != OutcomeNotRun || got.after < minRetryAfter || got.Reason.Status()/100 == 2 {
				t.Fatalf("wrong refusal: %+v", got)
			}
		}
		if refused[ReasonCallerShare] < 150 {
			t.Errorf("one caller: refusals by reason %v of 200 requests", refused)
		}
		var others []RequestID
		for caller := range uint64(8) {
			others = append(others, h.sendRequest(n, Arrival{Service: "counts", Caller: 100 + caller}))
		}
		shortDeadline := h.sendRequest(n, Arrival{Service: "counts", Caller: 200, Timeout: 30 * ms})
		if got := n.replies[shortDeadline]; got.Reason != ReasonTooLate || got.Outcome != OutcomeNotRun {
			t.Errorf("a request that cannot be answered in time got %+v", got)
		}
		h.run(sec)
		for _, id := range others {
			if got := n.replies[id]; got.Outcome != OutcomeDone {
				t.Errorf("another caller got %+v", got)
			}
		}
		for text, times := range h.ran {
			if times != 1 {
				t.Errorf("%s ran %d times", text, times)
			}
		}
	}
}

// Bulk uploads that take a second each arrive at every entry, and urgent checks would wait for
// whole uploads. Bulk requests must leave slots to urgent ones, as measured by the latency of the
// checks, and every upload must still be answered. Runs with six endpoints and with four.
func TestBulkLeavesSlotsToUrgentChecks(t *testing.T) {
	for _, endpoints := range [][]string{
		{"shared/s1", "shared/s2", "shared/s3", "shared/s4", "shared/s5", "shared/s6"},
		{"shared/s1", "shared/s2", "shared/s3", "shared/s4"},
	} {
		h := newServingCluster(t, 3, endpoints...)
		h.tick = 5 * ms
		h.simulateSlots(func(a Arrival) time.Duration {
			if a.Service == "photos" {
				return sec
			}
			return 10 * ms
		})
		var uploads []RequestID
		late, checks := 0, 0
		for i := range 1500 {
			if i%10 == 0 && i < 500 {
				for _, n := range h.nodes {
					uploads = append(uploads, h.sendRequest(n, Arrival{Service: "photos", Caller: uint64(i)}))
				}
			}
			n := h.nodes[i%3]
			id, began := h.sendRequest(n, Arrival{Service: "checks", Caller: uint64(i)}), h.now
			h.run(10 * ms)
			if i > 200 && i < 1400 {
				checks++
				h.post(300*ms, n, func() {
					if got := n.replies[id]; got.Outcome != OutcomeDone || got.at-began > 200*ms {
						late++
					}
				})
			}
		}
		h.run(60 * sec)
		done := 0
		for i, id := range uploads {
			if h.nodes[i%3].replies[id].Outcome == OutcomeDone {
				done++
			}
		}
		if late > checks*3/100 || done != len(uploads) {
			t.Errorf("%d endpoints: %d of %d checks were late, %d of %d uploads were answered", len(endpoints), late, checks, done, len(uploads))
		}
	}
}
