package placement

import (
	"time"

	"github.com/tealhall/tealhall/internal/core/quota"
	"github.com/tealhall/tealhall/internal/core/table"
)

// slowStartTime is how long an endpoint that joins a working pool gets fewer requests than it has
// slots for.
const slowStartTime = 5 * time.Second

// BeginSlowStart limits a new endpoint if other endpoints of its pool have been working for longer.
// The pool got its first endpoint at the time since.
// It guards against a cold endpoint that looks best because it is idle: it would get a full share
// at once and answer all of it slowly. In a pool that starts as a whole no endpoint is limited,
// since no warm endpoint could be used instead.
func BeginSlowStart(now, since time.Duration, others []table.Endpoint, joining *table.Endpoint) {
	if now-since < slowStartTime {
		return
	}
	for i := range others {
		e := &others[i]
		if e.State == table.EndpointLive && !quota.InBackoff(now, e) && e.SlowUntil == 0 && now-e.AdmittedAt >= slowStartTime {
			joining.SlowUntil = now + slowStartTime
			joining.Slots = AllowedSlots(now, joining)
			return
		}
	}
}

// AllowedSlots returns how many of its slots an endpoint may use: one at first, rising linearly to
// all that the platform lists.
func AllowedSlots(now time.Duration, e *table.Endpoint) int32 {
	left := e.SlowUntil - now
	if e.SlowUntil == 0 || left <= 0 {
		return e.Listed
	}
	share := float64(slowStartTime-left) / float64(slowStartTime)
	return max(1, int32(share*float64(e.Listed)))
}

// AdvanceSlowStart sets the slots that an endpoint in slow start may use by now.
func AdvanceSlowStart(now time.Duration, e *table.Endpoint) {
	if e.SlowUntil == 0 {
		return
	}
	e.Slots = AllowedSlots(now, e)
	if now >= e.SlowUntil {
		e.SlowUntil = 0
	}
}
