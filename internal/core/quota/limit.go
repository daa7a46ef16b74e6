package quota

import (
	"strconv"
	"time"

	"github.com/tealhall/tealhall/internal/core/table"
)

// An endpoint may report in its answers a limit: the number of requests per second that it accepts
// from all entries together, which may be a fraction of one. The entries that own the endpoint
// share the limit and spread it to the fleet; the other entries send the endpoint nothing. In any
// limitWindow the endpoint accepts
//
//	limitOver × limit × limitWindow + limitSlack
//
// requests. As for cold endpoints, the owners use ownersShare of that, and the rest is for entries
// that own the endpoint by another view of the fleet.
const (
	limitOver   = 1.5
	limitSlack  = 5.0
	limitWindow = 4 * time.Second
)

const (
	// ownerPeriodLength is how long the owners of a limited endpoint keep it without spreading
	// again that the limit holds; then other entries become its owners. It guards against an
	// endpoint that gets no requests, so that its limit never ends, because its owners are down or
	// have no callers.
	ownerPeriodLength = 10 * time.Second
	// renewAfter is the time after which an owner spreads again that the limit holds.
	renewAfter = ownerPeriodLength / 2
	// limitSettleTime is how long after a change of a limit an answer that withdraws it is
	// ignored, since the answer may be older than the change.
	limitSettleTime = 200 * time.Millisecond
)

// OwnerPeriod returns the current owner period of an endpoint that reports a limit, and when it
// ends.
func OwnerPeriod(now time.Duration, e *table.Endpoint) (period uint32, ends time.Duration) {
	passed := max(0, now-e.Limit.SpreadAt) / ownerPeriodLength
	return e.Limit.Period + uint32(passed), e.Limit.SpreadAt + (passed+1)*ownerPeriodLength
}

// limitKey returns the key of an endpoint in an owner period in the assignment to entries.
func limitKey(name string, period uint32) string {
	return name + "#" + strconv.FormatUint(uint64(period), 10)
}

// OwnsLimited reports whether the entry with the ID self is among the owners of an endpoint in an
// owner period.
func (c *Candidates) OwnsLimited(self uint64, e *table.Endpoint, period uint32) bool {
	return c.Owns(self, limitKey(e.Name, period), e.Domain, e.Limit.Owners)
}

// SetOwner records whether this entry owns an endpoint that reports a limit. A new owner earns its
// first request from now on, since the previous owner may have sent the requests saved up before.
func SetOwner(now time.Duration, e *table.Endpoint, own bool) {
	if own && !e.Limit.Owned {
		e.Limit.Tokens, e.Limit.At = 0, now
	}
	e.Limit.Owned = own
}

// SetLimit sets the limit of an endpoint, 0 for none.
func SetLimit(now time.Duration, e *table.Endpoint, rate float64) {
	l := &e.Limit
	if rate != l.Rate {
		l.Since = now
	}
	if l.Rate == 0 {
		l.Owned = false
	}
	l.Rate = rate
	l.Owners, l.OwnerRate = limitQuota(rate)
}

// limitQuota divides a limit among as many owners as get at least minOwnerRate each, but at least
// one.
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

// Settled reports whether the endpoint's limit last changed so long ago that an answer that raises
// or withdraws it is newer than that change. An earlier answer may be older and is ignored.
func Settled(now time.Duration, e *table.Endpoint) bool { return now-e.Limit.Since >= limitSettleTime }

// RenewalDue reports whether this entry is an owner that should spread again that the limit holds.
func RenewalDue(now time.Duration, e *table.Endpoint) bool {
	return e.Limit.Owned && now-e.Limit.SpreadAt >= renewAfter
}
