// Package quota decides whether an endpoint may get a request now, and how many requests an entry
// may send to it. All rules by which an endpoint gets no or few requests are in this package, so
// that they hold for every policy that chooses endpoints.
//
// Most of these rules are the same for every entry: an endpoint that is leaving, gone or in an
// evacuated failure domain gets no requests. A cold endpoint, one that was started or emptied a
// moment ago, can serve a few requests per second from all entries together and crashes at a much
// higher rate, losing the requests that it is running. Each entry would see it as idle and send
// requests to it; entries learn late that it is cold, and they cannot count requests together. So
// a few entries own each cold endpoint (see Candidates.Owns) and share the bound, and the others
// send it nothing while it is cold. The same holds for an endpoint that reports a limit of its own
// (limit.go).
//
// The package is pure. Times are durations since the process started.
package quota

import (
	"time"

	"github.com/tealhall/tealhall/internal/core/table"
)

// Status says whether an endpoint may get a request, and if not, why.
type Status uint8

// The statuses of an endpoint.
const (
	Granted Status = iota
	// Leaving and Gone: the endpoint is leaving or gone, which is final.
	Leaving
	Gone
	// Evacuated: the operator has evacuated the endpoint's failure domain.
	Evacuated
	// BackingOff: the endpoint has asked this entry for a time without requests.
	BackingOff
	// ColdElsewhere: the endpoint is cold and owned by other entries.
	ColdElsewhere
	// ColdSpent: the endpoint is cold, and this entry has spent its quota for it.
	ColdSpent
	// LimitElsewhere: the endpoint reports a limit and is owned by other entries.
	LimitElsewhere
	// LimitSpent: the endpoint reports a limit, and this entry has spent its quota for it.
	LimitSpent
)

var statusNames = [...]string{"granted", "leaving", "gone", "evacuated", "backing-off", "cold-elsewhere", "cold-spent", "limit-elsewhere", "limit-spent"}

// String returns the status as the log shows it.
func (s Status) String() string { return statusNames[s] }

// Of returns whether endpoint e of pool p may get a request now.
func Of(now time.Duration, p *table.Pool, e *table.Endpoint) Status {
	switch {
	case e.State == table.EndpointLeaving:
		return Leaving
	case e.State == table.EndpointGone:
		return Gone
	case e.Evacuated:
		return Evacuated
	case isBackingOff(now, e):
		return BackingOff
	case IsCold(now, p, e) && !e.Cold.Owned:
		return ColdElsewhere
	case IsCold(now, p, e) && tokens(now, &e.Cold.OwnerQuota, p.ColdQuota.Rate) < 1:
		return ColdSpent
	case !IsLimited(e):
		return Granted
	case !e.Limit.Owned:
		return LimitElsewhere
	case tokens(now, &e.Limit.OwnerQuota, e.Limit.OwnerRate) < 1:
		return LimitSpent
	}
	return Granted
}

// IsLimited reports whether the endpoint reports a limit on the requests that it accepts.
func IsLimited(e *table.Endpoint) bool { return e.Limit.Rate > 0 }

// IsThrottled reports whether the endpoint gets fewer requests than it has free slots, so that its
// load does not show how much room it has.
func IsThrottled(e *table.Endpoint) bool { return IsLimited(e) || e.Backoff.HalfOpen }

// IsCold reports whether the endpoint is cold and its pool has a bound for cold endpoints.
func IsCold(now time.Duration, p *table.Pool, e *table.Endpoint) bool {
	return now < e.Cold.Until && p.ColdQuota.Bound > 0
}

// Spend counts a request that is sent to e.
func Spend(now time.Duration, p *table.Pool, e *table.Endpoint) {
	if IsCold(now, p, e) {
		e.Cold.Tokens, e.Cold.At = tokens(now, &e.Cold.OwnerQuota, p.ColdQuota.Rate)-1, now
	}
	if IsLimited(e) {
		e.Limit.Tokens, e.Limit.At = tokens(now, &e.Limit.OwnerQuota, e.Limit.OwnerRate)-1, now
	}
	if e.Backoff.HalfOpen {
		e.Backoff.NextAt = now + halfOpenGap
	}
}

// tokens returns how many requests this entry may send now under a quota with the given rate. An
// endpoint that was not limited for a while has the largest number that can be saved.
func tokens(now time.Duration, q *table.OwnerQuota, rate float64) float64 {
	return min(burst, q.Tokens+(now-q.At).Seconds()*rate)
}

// SetCold records how much longer the endpoint stays cold by its own report; 0 means that it is
// warm.
func SetCold(now time.Duration, e *table.Endpoint, left time.Duration) {
	e.Cold.Until = 0
	if left > 0 {
		e.Cold.Until = now + left
	}
}

// BecameCold records that the endpoint is cold by the report of others, for the usual warm-up time
// of its pool or until the endpoint reports otherwise.
func BecameCold(now time.Duration, p *table.Pool, e *table.Endpoint) {
	e.Cold.Until = max(e.Cold.Until, now+p.ColdQuota.Warmup)
}
