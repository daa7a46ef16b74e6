package core

import (
	"fmt"
	"testing"
	"time"

	"github.com/tealhall/tealhall/internal/core/quota"
)

var share = quota.NewColdQuota(quota.Warmup{For: 3 * sec, PerSecond: 5.8, Over: 1.5, Slack: 8})

// coldWatch counts, as time passes, what the entries of a fleet take to be theirs of endpoints that
// are cold.
type coldWatch struct {
	*largeFleet
	names []string
	// most is the largest number of owners that an endpoint had at a time, least the smallest
	// part of all endpoints that had any.
	most  int
	least float64
}

// watch lets time pass. Each entry sees a few calls a second, more in some failure domains.
func (w *coldWatch) watch(d time.Duration) {
	for end := w.now + d; w.now < end; {
		w.run(100 * ms)
		owners := make([]int, len(w.names))
		for _, e := range w.vms {
			if e == nil || e.dead || w.now < e.frozenUntil {
				continue
			}
			e.counters.Arrived += uint64(w.rng.IntN(2 + e.vm%5))
			if !e.fleet.settled {
				continue
			}
			candidates := e.coldCandidates()
			for i, name := range w.names {
				if candidates.Owns(e.fleet.selfAssignID, name, fmt.Sprint("d", i%5), share.Owners) {
					owners[i]++
				}
			}
		}
		owned := 0
		for _, n := range owners {
			w.most = max(w.most, n)
			if n > 0 {
				owned++
			}
		}
		w.least = min(w.least, float64(owned)/float64(len(owners)))
	}
}

// A cold endpoint bears 16 requests in a second from all entries together, and each of them goes by
// its own view of the fleet: of who is there, and how many callers are sent to. Through partitions
// that last until each side has forgotten the other, the loss and return of most entries, a failure
// domain that stops and others that join, the entries that take an endpoint for theirs may never
// send more together than it bears.
func TestOwnersOfColdEndpointsStayWithinTheBound(t *testing.T) {
	t.Parallel()
	for _, n := range sizes(t) {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			t.Parallel()
			w := &coldWatch{largeFleet: newLargeFleet(t, n), least: 1}
			for i := range 30 {
				w.names = append(w.names, fmt.Sprint("cold-", i))
			}
			w.run(5 * sec)
			w.cut = func(from, to int) bool { return from%2 != to%2 }
			if n < 100 {
				w.run(65 * sec) // each half forgets the other
			}
			w.watch(4 * sec)
			w.cut = func(int, int) bool { return false }
			w.watch(4 * sec)
			w.killMany()
			w.watch(5 * sec)
			for range max(1, n/10) {
				vm := len(w.vms)
				w.vms = append(w.vms, nil)
				w.start(vm)
			}
			w.watch(5 * sec)
			t.Logf("at most %d owners, at least %.2f of all endpoints with some", w.most, w.least)
			if sent := float64(w.most) * (share.Rate + 1); sent > share.Bound {
				t.Errorf("%d owners may send %.1f in a second, %.1f are borne", w.most, sent, share.Bound)
			}
			if w.least < 0.5 {
				t.Errorf("only %.2f of all cold endpoints have an owner", w.least)
			}
		})
	}
}
