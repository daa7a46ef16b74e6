package peer

import (
	"time"

	"golang.org/x/time/rate"
)

// What an update costs, in bytes on the network. The figures are those of
// BenchmarkUpdateBytes, rounded up; docs/design/peer-links.md has the table.
const (
	// packetBytes are the IP and TCP headers of one packet.
	packetBytes = 52
	// exchangeBytes is an update without sightings: its packet, and the packet
	// that acknowledges the reply.
	exchangeBytes = 2*packetBytes + 60
	// sightingBytes is one sighting of an endpoint that the link has named.
	sightingBytes = 6
)

// budgetSeconds is how many seconds' worth of unused budget a link may save.
const budgetSeconds = 2

// budget bounds the bytes that one link spends on updates. Every link of an
// entry has the same part of the entry's bound, so that no link can use up
// another's and the sum holds by construction. Updates wait for the budget,
// sightings are left out; claims may run into debt up to what could be saved.
type budget struct{ limiter *rate.Limiter }

func newBudget(bytesPerSecond float64) *budget {
	return &budget{limiter: rate.NewLimiter(rate.Limit(bytesPerSecond), burst(bytesPerSecond))}
}

// set changes the bound.
func (b *budget) set(bytesPerSecond float64) {
	b.limiter.SetLimit(rate.Limit(bytesPerSecond))
	b.limiter.SetBurst(burst(bytesPerSecond))
}

func burst(bytesPerSecond float64) int {
	return int(max(budgetSeconds*bytesPerSecond, 2*exchangeBytes))
}

// wait returns how long an update has to wait at now.
func (b *budget) wait(now time.Time, urgent bool) time.Duration {
	floor := float64(exchangeBytes)
	if urgent {
		floor -= float64(b.limiter.Burst())
	}
	missing := floor - b.limiter.TokensAt(now)
	if missing <= 0 {
		return 0
	}
	seconds := missing / float64(b.limiter.Limit())
	return time.Duration(seconds*float64(time.Second)) + 1
}

// sightings returns how many sightings the budget allows beside an update.
func (b *budget) sightings(now time.Time) int {
	return int((b.limiter.TokensAt(now) - exchangeBytes) / sightingBytes)
}

// spend takes the cost of a message that was sent off the budget.
func (b *budget) spend(now time.Time, bytes int) {
	b.limiter.ReserveN(now, min(bytes, b.limiter.Burst()))
}
