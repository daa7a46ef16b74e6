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
func (s *ownerStats) observe(d time.Duration) {
	for end := s.now + d; s.now < end; {
		s.run(100 * ms)
		owners := make([]int, len(s.names))
		for _, e := range s.vms {
			if e == nil || e.dead || s.now < e.frozenUntil {
				continue
			}
			e.counters.Arrived += uint64(s.rng.IntN(2 + e.vm%5))
			if !e.fleet.settled {
				continue
			}
			candidates := e.coldCandidates()
			for i, name := range s.names {
				if candidates.Owns(e.fleet.selfAssignID, name, fmt.Sprint("d", i%5), coldQuota.Owners) {
					owners[i]++
				}
			}
		}
		owned := 0
		for _, n := range owners {
			s.maxOwners = max(s.maxOwners, n)
			if n > 0 {
				owned++
			}
		}
		s.minOwnedShare = min(s.minOwnedShare, float64(owned)/float64(len(owners)))
	}
}

// A cold endpoint can take 16 requests in a second from all entries together, and each entry
// computes its quota from its own view of the fleet: which entries exist and to how many of them
// callers are sent. The entries that own an endpoint must never be allowed to send more together
// than it can take: through partitions that last until each side has forgotten the other, the loss
// and return of most entries, and entries that join.
func TestColdEndpointOwnersStayWithinBound(t *testing.T) {
	t.Parallel()
	for _, n := range fleetSizes(t) {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			t.Parallel()
			stats := &ownerStats{largeFleet: newLargeFleet(t, n), minOwnedShare: 1}
			for i := range 30 {
				stats.names = append(stats.names, fmt.Sprint("cold-", i))
			}
			stats.run(5 * sec)
			stats.cut = func(from, to int) bool { return from%2 != to%2 }
			if n < 100 {
				stats.run(65 * sec) // each half forgets the other
			}
			stats.observe(4 * sec)
			stats.cut = func(int, int) bool { return false }
			stats.observe(4 * sec)
			stats.killMany()
			stats.observe(5 * sec)
			for range max(1, n/10) {
				vm := len(stats.vms)
				stats.vms = append(stats.vms, nil)
				stats.start(vm)
			}
			stats.observe(5 * sec)
			t.Logf("at most %d owners, at least %.2f of all endpoints with an owner", stats.maxOwners, stats.minOwnedShare)
			if sent := float64(stats.maxOwners) * (coldQuota.Rate + 1); sent > coldQuota.Bound {
				t.Errorf("%d owners may send %.1f requests in a second, the endpoint can take %.1f", stats.maxOwners, sent, coldQuota.Bound)
			}
			if stats.minOwnedShare < 0.5 {
				t.Errorf("only %.2f of all cold endpoints have an owner", stats.minOwnedShare)
			}
		})
	}
}
