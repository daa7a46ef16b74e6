package quota

import (
	"strconv"
	"time"

	"github.com/tealhall/tealhall/internal/core/table"
)

// An endpoint in need names in its answers how many requests a second it takes from all entries
// together, which may be a fraction of one. The entries that own it have that among them, and tell
// the fleet what it says; the others leave it alone. It takes limitOver times its limit and limitSlack
// more in any limitWindow; as with cold endpoints reserve of that is used, and the rest is for entries
// that own it by another view of the fleet.
const (
	limitOver   = 1.5
	limitSlack  = 5.0
	limitWindow = 4 * time.Second
)

const (
	// ownerPeriodLength is how long the owners of a limited endpoint keep it without telling the fleet that
	// the limit holds still; then others take their turn. Guards against an endpoint that gets
	// nothing for good, and whose limit never ends, because its owners are down or have no callers.
	ownerPeriodLength = 10 * time.Second
	// renewAfter is after how long an owner tells the fleet that the limit holds still.
	renewAfter = ownerPeriodLength / 2
	// limitSettleTime is how long after news of a limit an answer that takes it back is not believed:
	// it may have been given before.
	limitSettleTime = 200 * time.Millisecond
)

// OwnerPeriod returns which turn it is to own an endpoint that names a limit, and when it ends.
func OwnerPeriod(now time.Duration, e *table.Endpoint) (period uint32, ends time.Duration) {
	passed := max(0, now-e.Limit.SpreadAt) / ownerPeriodLength
	return e.Limit.Period + uint32(passed), e.Limit.SpreadAt + (passed+1)*ownerPeriodLength
}

// limitKey names an endpoint in the division among entries.
func limitKey(name string, period uint32) string {
	return name + "#" + strconv.FormatUint(uint64(period), 10)
}

// OwnsLimited reports whether the entry of number self is among the owners of an endpoint in a turn.
func (c *Candidates) OwnsLimited(self uint64, e *table.Endpoint, period uint32) bool {
	return c.Owns(self, limitKey(e.Name, period), e.Domain, e.Limit.Owners)
}

// SetOwner notes whether this entry owns an endpoint that names a limit. One that becomes an owner earns
// its first request from now on, since the owner before has sent what was saved up.
func SetOwner(now time.Duration, e *table.Endpoint, own bool) {
	if own && !e.Limit.Own {
		e.Limit.Tokens, e.Limit.At = 0, now
	}
	e.Limit.Own = own
}

// SetLimit puts a limit in force, 0 for none.
func SetLimit(now time.Duration, e *table.Endpoint, rate float64) {
	l := &e.Limit
	if rate != l.Rate {
		l.Since = now
	}
	if l.Rate == 0 {
		l.Own = false
	}
	l.Rate = rate
	l.Owners, l.OwnerRate = limitQuota(rate)
}

// limitQuota divides a limit among as many owners as have minOwnerRate, one at least.
func limitQuota(rate float64) (owners int, ownerRate float64) {
	if rate <= 0 {
		return 0, 0
	}
	window := limitWindow.Seconds()
	owners = max(1, min(maxOwners, int(rate/minOwnerRate)))
	usable := (limitOver*rate*window + limitSlack) * ownersShare
	total := (usable - burst*float64(owners)) / window
	return owners, min(rate, total) / float64(owners)
}

// Settled reports whether an answer that names another limit, or none, may be believed.
func Settled(now time.Duration, e *table.Endpoint) bool { return now-e.Limit.Since >= limitSettleTime }

// RenewalDue reports whether an owner is to tell the fleet that the limit holds still.
func RenewalDue(now time.Duration, e *table.Endpoint) bool {
	return e.Limit.Own && now-e.Limit.SpreadAt >= renewAfter
}
