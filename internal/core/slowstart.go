package core

import (
	"time"

	"github.com/tealhall/tealhall/internal/core/table"
)

// slowStart is how long an endpoint that joins a pool at work gets fewer
// requests than it has slots for.
const slowStart = 5 * time.Second

// beginSlowStart limits a new endpoint if the others have been at work for
// longer. It guards against a cold endpoint that looks best because it is idle:
// it would get a full share at once and answer all of it slowly. In a pool that
// starts as a whole nobody is limited, since there is nobody else to turn to.
func (p *pool) beginSlowStart(now time.Duration, row *table.Endpoint) {
	for i := range p.Endpoints {
		e := &p.Endpoints[i]
		if e.State == table.EndpointLive && e.SlowUntil == 0 && now-e.AdmittedAt >= slowStart {
			row.SlowUntil = now + slowStart
			row.Slots = allowedSlots(now, row)
			return
		}
	}
}

// allowedSlots is how many of its slots an endpoint may be given: at first one,
// rising in a straight line to all that the platform's list gives it.
func allowedSlots(now time.Duration, e *table.Endpoint) int32 {
	left := e.SlowUntil - now
	if e.SlowUntil == 0 || left <= 0 {
		return e.Listed
	}
	part := float64(slowStart-left) / float64(slowStart)
	return max(1, int32(part*float64(e.Listed)))
}

// riseFromSlowStart gives endpoints the slots that they may have by now.
func (p *pool) riseFromSlowStart(now time.Duration) {
	for i := range p.Endpoints {
		e := &p.Endpoints[i]
		if e.SlowUntil == 0 {
			continue
		}
		e.Slots = allowedSlots(now, e)
		if now >= e.SlowUntil {
			e.SlowUntil = 0
		}
	}
}
