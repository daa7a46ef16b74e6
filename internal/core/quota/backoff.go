package quota

import (
	"time"

	"github.com/tealhall/tealhall/internal/core/table"
)

// An endpoint that refuses a request may ask the entry that sent it for a time without requests.
// Nothing is sent to it in that time, not even probes. Afterwards the endpoint gets one request at
// a time until it has accepted one, as a circuit breaker does when it is half open: otherwise all
// requests that wait in the entry would be sent to an endpoint that still refuses everything.
const (
	// maxBackoff is the longest time for which an endpoint is left alone. A wrong value in its
	// answer then costs an hour and does not take it out of use for good.
	maxBackoff = time.Hour
	// halfOpenGap is the time between two requests to a half-open endpoint if the first is not
	// answered sooner.
	halfOpenGap = 250 * time.Millisecond
)

// BeginBackoff records that the endpoint wants no requests from this entry for the given time. A
// shorter time does not end an earlier, longer one.
func BeginBackoff(now time.Duration, e *table.Endpoint, wait time.Duration) {
	e.Backoff.Until = max(e.Backoff.Until, now+min(wait, maxBackoff))
	e.Backoff.HalfOpen = true
}

// InBackoff reports whether the endpoint wants no requests from this entry now.
func InBackoff(now time.Duration, e *table.Endpoint) bool { return now < e.Backoff.Until }

// NoteAccepted records that the endpoint accepted a request that was sent at the given time. A
// request sent before or during a backoff does not show that the endpoint accepts others after it.
func NoteAccepted(e *table.Endpoint, sentAt time.Duration) {
	if sentAt >= e.Backoff.Until {
		e.Backoff.HalfOpen = false
	}
}

// isBackingOff reports whether the endpoint gets no request now because of a backoff.
func isBackingOff(now time.Duration, e *table.Endpoint) bool {
	return InBackoff(now, e) || e.Backoff.HalfOpen && now < e.Backoff.NextAt
}
