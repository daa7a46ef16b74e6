package core

import (
	"fmt"
	"testing"
	"time"

	"github.com/tealhall/tealhall/internal/core/quota"
)

var coldQuota = quota.NewColdQuota(quota.Warmup{For: 3 * sec, PerSecond: 5.8, Over: 1.5, Slack: 8})

// ownerStats counts over time how many entries of a fleet take themselves for an owner of each cold
// endpoint.
type ownerStats struct {
	*largeFleet
	names []string
	// maxOwners is the largest number of owners that an endpoint had at a time, and minOwnedShare
	// the smallest share of all endpoints that had an owner.
	maxOwners     int
	minOwnedShare float64
}

// observe lets time pass. Each entry sees a few requests a second, more in some failure domains.
func (w *ownerStats) observe(d time.Duration) {
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
				if candidates.Owns(e.fleet.selfAssignID, name, fmt.Sprint("d", i%5), coldQuota.Owners) {
					owners[i]++
				}
			}
		}
		owned := 0
		for _, n := range owners {
			w.maxOwners = max(w.maxOwners, n)
			if n > 0 {
				owned++
			}
		}
		w.minOwnedShare = min(w.minOwnedShare, float64(owned)/float64(len(owners)))
	}
}

// A cold endpoint can take 16 requests in a second from all entries together, and each entry
// computes its quota from its own view of the fleet: which entries exist and how many of them
// callers are sent to. The entries that own an endpoint must never be allowed to send more together
// than it can take: through partitions that last until each side has forgotten the other, the loss
// and return of most entries, and entries that join.
func TestColdEndpointOwnersStayWithinBound(t *testing.T) {
	t.Parallel()
	for _, n := range fleetSizes(t) {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			t.Parallel()
			w := &ownerStats{largeFleet: newLargeFleet(t, n), minOwnedShare: 1}
			for i := range 30 {
				w.names = append(w.names, fmt.Sprint("cold-", i))
			}
			w.run(5 * sec)
			w.cut = func(from, to int) bool { return from%2 != to%2 }
			if n < 100 {
				w.run(65 * sec) // each half forgets the other
			}
			w.observe(4 * sec)
			w.cut = func(int, int) bool { return false }
			w.observe(4 * sec)
			w.killMany()
			w.observe(5 * sec)
			for range max(1, n/10) {
				vm := len(w.vms)
				w.vms = append(w.vms, nil)
				w.start(vm)
			}
			w.observe(5 * sec)
			t.Logf("at most %d owners, at least %.2f of all endpoints with an owner", w.maxOwners, w.minOwnedShare)
			if sent := float64(w.maxOwners) * (coldQuota.Rate + 1); sent > coldQuota.Bound {
				t.Errorf("%d owners may send %.1f requests in a second, the endpoint can take %.1f", w.maxOwners, sent, coldQuota.Bound)
			}
			if w.minOwnedShare < 0.5 {
				t.Errorf("only %.2f of all cold endpoints have an owner", w.minOwnedShare)
			}
		})
	}
}
