package core

import (
	"testing"
	"time"

	"github.com/tealhall/tealhall/internal/route"
)

// shareInTime sends 1.5 times the requests that the endpoints can run, for some seconds, and
// returns the share of them that were answered within their objective. The work of a request
// varies.
func shareInTime(t *testing.T) float64 {
	h := newEntryHarness(t, idleEndpoints(3, "d0")...)
	works := []time.Duration{70 * ms, 130 * ms, 100 * ms, 85 * ms, 115 * ms}
	h.serviceTime, h.endpointsQueue = works[2], true
	for range 20 {
		h.sendRequest(route.Idempotent, 3*sec)
		h.run(100 * ms)
	}
	h.traces = nil
	const requests, every = 300, 11 * ms
	for i := range requests {
		h.serviceTime = works[i%len(works)]
		h.sendRequest(route.Idempotent, 3*sec)
		h.run(every)
	}
	h.run(sec)
	return 1 - float64(len(h.traces))/requests
}

// For some seconds callers send 1.5 times the requests that the endpoints can run, so two in three
// can be answered in time. If the entry served the longest waiting request first, each request
// would begin at the last moment at which it is typically in time, and since half of them take a
// little longer, most would be late. The newest requests still have time left if they take longer.
func TestOverloadedEntryAnswersMostInTime(t *testing.T) {
	if share := shareInTime(t); share < 0.6 {
		t.Errorf("%.2f of the requests were answered in time, want 0.6 where 0.67 is possible", share)
	}
}
