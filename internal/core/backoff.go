package core

import (
	"time"

	"github.com/tealhall/tealhall/internal/core/quota"
	"github.com/tealhall/tealhall/internal/core/table"
)

// noteRetryAfter records for how long an endpoint that refused a request or a probe wants no
// requests from this entry, 0 if it did not say so.
func (c *Core) noteRetryAfter(now time.Duration, e *table.Endpoint, wait time.Duration) {
	if wait <= 0 {
		return
	}
	c.counters.Backoffs++
	quota.BeginBackoff(now, e, wait)
}
