package quota

import (
	"time"

	"github.com/tealhall/tealhall/internal/core/table"
)

// maxBackoff is the longest time for which an endpoint that refused a request is left alone. A
// wrong value in its answer then costs an hour and does not take it out of use for good.
const maxBackoff = time.Hour

// BeginBackoff records that the endpoint wants no requests from this entry for the given time. A
// shorter time does not end an earlier, longer one.
func BeginBackoff(now time.Duration, e *table.Endpoint, wait time.Duration) {
	e.Backoff.Until = max(e.Backoff.Until, now+min(wait, maxBackoff))
}

// IsBackingOff reports whether the endpoint wants no requests from this entry now.
func IsBackingOff(now time.Duration, e *table.Endpoint) bool { return now < e.Backoff.Until }
