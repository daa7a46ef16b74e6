// Package quota decides whether an endpoint may get a request now, and how many: the one place
// for all reasons why it may get none or few, whoever chooses it.
//
// Most reasons hold for everybody alike: an endpoint that leaves, has gone, or lies in an
// evacuated failure domain gets nothing. A cold endpoint, started or emptied a moment ago, bears a
// few requests a second from all entries together and crashes well above that, with the requests
// that it holds. Each entry sees it idle and would send to it; that it is cold is known late; and
// entries can't count together. So a few entries own each cold endpoint (see Owners) and have the
// bound among them, and the others leave it alone while it is cold. The same holds for an endpoint
// that names a limit of its own (limit.go).
//
// The package is pure. Times are durations since the process started.
package quota

import (
	"time"

	"github.com/tealhall/tealhall/internal/core/table"
)

// Status is whether an endpoint may get a request, and if not why.
type Status uint8

// The verdicts.
const (
	Granted Status = iota
	// Leaving and Gone: its own end, which is final.
	Leaving
	Gone
	// Evacuated: its failure domain is to get nothing until the operator takes it back.
	Evacuated
	// ColdElsewhere: it is cold, and other entries send what it bears.
	ColdElsewhere
	// ColdSpent: it is cold, and this entry has sent its part of what it bears.
	ColdSpent
	// LimitElsewhere: it names a limit, and other entries send what it takes.
	LimitElsewhere
	// LimitSpent: it names a limit, and this entry has sent its part of what it takes.
	LimitSpent
)

var statusNames = [...]string{"granted", "leaving", "gone", "evacuated", "cold-elsewhere", "cold-spent", "limit-elsewhere", "limit-spent"}

// String returns the verdict as the log shows it.
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
	case IsCold(now, p, e) && !e.Cold.Own:
		return ColdElsewhere
	case IsCold(now, p, e) && tokens(now, &e.Cold.OwnerQuota, p.ColdQuota.Rate) < 1:
		return ColdSpent
	case !IsLimited(e):
		return Granted
	case !e.Limit.Own:
		return LimitElsewhere
	case tokens(now, &e.Limit.OwnerQuota, e.Limit.OwnerRate) < 1:
		return LimitSpent
	}
	return Granted
}

// IsLimited reports whether the endpoint names a limit of the requests that it takes.
func IsLimited(e *table.Endpoint) bool { return e.Limit.Rate > 0 }

// IsCold reports whether the endpoint is cold, in a pool where that binds.
func IsCold(now time.Duration, p *table.Pool, e *table.Endpoint) bool {
	return now < e.Cold.Until && p.ColdQuota.Bound > 0
}

// Spend takes a request that is sent to e into account.
func Spend(now time.Duration, p *table.Pool, e *table.Endpoint) {
	if IsCold(now, p, e) {
		e.Cold.Tokens, e.Cold.At = tokens(now, &e.Cold.OwnerQuota, p.ColdQuota.Rate)-1, now
	}
	if IsLimited(e) {
		e.Limit.Tokens, e.Limit.At = tokens(now, &e.Limit.OwnerQuota, e.Limit.OwnerRate)-1, now
	}
}

// tokens is how many requests this entry may send now of a part with a rate. One that was not bounded
// for a while has all that may be saved.
func tokens(now time.Duration, q *table.OwnerQuota, rate float64) float64 {
	return min(burst, q.Tokens+(now-q.At).Seconds()*rate)
}

// SetCold takes in how much longer the endpoint says that it stays cold; 0 says that it is warm.
func SetCold(now time.Duration, e *table.Endpoint, left time.Duration) {
	e.Cold.Until = 0
	if left > 0 {
		e.Cold.Until = now + left
	}
}

// BecameCold notes that the endpoint is cold as far as others say, for as long as that commonly
// takes in its pool, or until it tells more.
func BecameCold(now time.Duration, p *table.Pool, e *table.Endpoint) {
	e.Cold.Until = max(e.Cold.Until, now+p.ColdQuota.Warmup)
}
