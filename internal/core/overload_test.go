package core

import (
	"testing"
	"time"

	"github.com/tealhall/tealhall/internal/route"
)

// overload asks for half as much again as the boxes can do, for a time, and returns the share
// of the requests that were answered within their objective. How long work takes varies.
func overload(t *testing.T) float64 {
	y := newEntryHarness(t, idleEndpoints(3, "d0")...)
	works := []time.Duration{70 * ms, 130 * ms, 100 * ms, 85 * ms, 115 * ms}
	y.serviceTime, y.endpointsQueue = works[2], true
	for range 20 {
		y.sendRequest(route.Idempotent, 3*sec)
		y.run(100 * ms)
	}
	y.traces = nil
	const asked, every = 300, 11 * ms
	for i := range asked {
		y.serviceTime = works[i%len(works)]
		y.sendRequest(route.Idempotent, 3*sec)
		y.run(every)
	}
	y.run(sec)
	return 1 - float64(len(y.traces))/asked
}

// For some seconds callers ask for half as much again as endpoints can do. The entry serves
// whoever has waited for longest, so each request begins at the last moment at which it is
// commonly in time, and half of them take a little longer: two in three could be served well,
// and most of these are late. Whoever came last has time left for that.
func TestOverloadServesWhatItCanInTime(t *testing.T) {
	if share := overload(t); share < 0.6 {
		t.Errorf("in time: %.2f of what was asked, want 0.6 where 0.67 can be served", share)
	}
}
