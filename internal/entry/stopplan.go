package entry

import (
	"time"

	"github.com/tealhall/tealhall/internal/settings"
)

const (
	// stoppedMessageTime is how long the last message to peers may take to be sent.
	stoppedMessageTime = 500 * time.Millisecond
	// processEndTime is the time left for ending the process itself, on a VM with a sixth of a
	// core.
	processEndTime = 200 * time.Millisecond
	// noDeadline is the end of a stop that has no time limit.
	noDeadline = 365 * 24 * time.Hour
)

// Shares of the time until the process is killed: inFlightShare is the least for the requests in
// flight once new connections are refused, shutdownShare the most for the last steps, if that is
// less than their usual time.
const (
	inFlightShare = 0.25
	shutdownShare = 0.125
)

// stopPlan has the times at which the steps of a planned stop begin, counted from its signal, in
// this order. Each step is timed from the signal and not from the step before it: time that an
// earlier step saves or overruns changes only the time of the requests in flight.
type stopPlan struct {
	// askToClose: callers' directory answers have expired; each answer asks its caller to close the
	// connection.
	askToClose time.Duration
	// refuseConnections: new connections are refused, idle ones closed.
	refuseConnections time.Duration
	// cutOff: requests that still run are cut off.
	cutOff time.Duration
	// announceStopped: peers are told that this entry has stopped, and keys are no longer handed
	// over.
	announceStopped time.Duration
	// end: the process must end.
	end time.Duration
}

// planStop plans the stop of an entry whose callers may use their directory answers for ttl.
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
