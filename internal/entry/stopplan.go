package entry

import (
	"time"

	"github.com/tealhall/tealhall/internal/settings"
)

const (
	// farewell is how long the last message may take on its way.
	farewell = 500 * time.Millisecond
	// closing is what is left for ending the process itself, on a VM with a sixth of a core.
	closing = 200 * time.Millisecond
	// unlimited is the end of a stop that nobody puts an end to.
	unlimited = 365 * 24 * time.Hour
)

// The least shares of the time until the process is killed: what the requests in flight are left
// once new connections are refused, and what the end takes if that is less than its usual time.
const (
	finishShare = 0.25
	endShare    = 0.125
)

// stopPlan says when the steps of a planned stop begin, as times since its signal, in this order.
// Each step is reckoned from the signal and not from the one before it: what an earlier one does
// not use, or takes beyond its time, is had or lost by the requests in flight alone.
type stopPlan struct {
	// turnAway: callers' answers have run out; each answer asks to close its connection.
	turnAway time.Duration
	// refuse: new connections are refused, idle ones closed.
	refuse time.Duration
	// cut: requests that still run are cut off.
	cut time.Duration
	// sayGoodbye: peers are told that this entry has stopped, and keys are no longer handed over.
	sayGoodbye time.Duration
	// end: the process has to end.
	end time.Duration
}

// planStop plans the stop of an entry whose callers may keep their answers for ttl.
func planStop(ttl time.Duration, t *settings.Timeouts) stopPlan {
	p := stopPlan{turnAway: ttl}
	p.refuse = p.turnAway + min(t.StopServe.Duration, ttl)
	p.cut = p.refuse + t.StopUpload.Duration
	within := t.StopWithin.Duration
	if within <= 0 {
		p.sayGoodbye, p.end = unlimited, unlimited
		return p
	}
	share := func(of float64) time.Duration { return time.Duration(float64(within) * of) }
	p.sayGoodbye = within - min(farewell+closing, share(endShare))
	p.end = within - min(closing, share(endShare)/2)
	p.cut = min(p.cut, p.sayGoodbye)
	p.refuse = min(p.refuse, p.cut, p.sayGoodbye-share(finishShare))
	p.turnAway = min(p.turnAway, p.refuse)
	return p
}
