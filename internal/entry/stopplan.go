package entry

import (
	"time"

	"github.com/tealhall/tealhall/internal/settings"
)

const (
	// stoppedMessageTime is how long the last message may take on its way.
	stoppedMessageTime = 500 * time.Millisecond
	// processEndTime is what is left for ending the process itself, on a VM with a sixth of a core.
	processEndTime = 200 * time.Millisecond
	// noDeadline is the end of a stop that nobody puts an end to.
	noDeadline = 365 * 24 * time.Hour
)

// The least shares of the time until the process is killed: what the requests in flight are left
// once new connections are refused, and what the end takes if that is less than its usual time.
const (
	inFlightShare = 0.25
	shutdownShare = 0.125
)

// stopPlan says when the steps of a planned stop begin, as times since its signal, in this order.
// Each step is reckoned from the signal and not from the one before it: what an earlier one does
// not use, or takes beyond its time, is had or lost by the requests in flight alone.
type stopPlan struct {
	// askToClose: callers' answers have run out; each answer asks to close its connection.
	askToClose time.Duration
	// refuseConnections: new connections are refused, idle ones closed.
	refuseConnections time.Duration
	// cutOff: requests that still run are cut off.
	cutOff time.Duration
	// announceStopped: peers are told that this entry has stopped, and keys are no longer handed over.
	announceStopped time.Duration
	// end: the process has to end.
	end time.Duration
}

// planStop plans the stop of an entry whose callers may keep their answers for ttl.
func planStop(ttl time.Duration, t *settings.Timeouts) stopPlan {
	p := stopPlan{askToClose: ttl}
	p.refuseConnections = p.askToClose + min(t.StopServe.Duration, ttl)
	p.cutOff = p.refuseConnections + t.StopUpload.Duration
	within := t.StopWithin.Duration
	if within <= 0 {
		p.announceStopped, p.end = noDeadline, noDeadline
		return p
	}
	share := func(of float64) time.Duration { return time.Duration(float64(within) * of) }
	p.announceStopped = within - min(stoppedMessageTime+processEndTime, share(shutdownShare))
	p.end = within - min(processEndTime, share(shutdownShare)/2)
	p.cutOff = min(p.cutOff, p.announceStopped)
	p.refuseConnections = min(p.refuseConnections, p.cutOff, p.announceStopped-share(inFlightShare))
	p.askToClose = min(p.askToClose, p.refuseConnections)
	return p
}
