package front

import (
	"cmp"
	"time"
)

// Limits bounds the resources of one caller's connection. In the result of ServerConfig.Allowed, a
// zero field leaves the configured limit as it is.
type Limits struct {
	// HeaderBytes bounds the size of a head, HeaderTimeout the time from the first byte of a head
	// to its end, and Idle the wait for the next request on a connection.
	HeaderBytes         int
	HeaderTimeout, Idle time.Duration
}

// maxAllowed bounds the result of ServerConfig.Allowed, because a caller's connection occupies
// memory and a file descriptor for that long.
var maxAllowed = Limits{HeaderBytes: 1 << 20, HeaderTimeout: time.Minute, Idle: 10 * time.Minute}

// wider returns the larger value of each field.
func (l Limits) wider(other Limits) Limits {
	return Limits{
		HeaderBytes:   max(l.HeaderBytes, other.HeaderBytes),
		HeaderTimeout: max(l.HeaderTimeout, other.HeaderTimeout),
		Idle:          max(l.Idle, other.Idle),
	}
}

// within returns the smaller value of each field.
func (l Limits) within(other Limits) Limits {
	return Limits{
		HeaderBytes:   min(l.HeaderBytes, other.HeaderBytes),
		HeaderTimeout: min(l.HeaderTimeout, other.HeaderTimeout),
		Idle:          min(l.Idle, other.Idle),
	}
}

func (l Limits) withDefaults() Limits {
	return Limits{
		HeaderBytes:   cmp.Or(l.HeaderBytes, defaultHeaderBytes),
		HeaderTimeout: cmp.Or(l.HeaderTimeout, defaultHeaderTimeout),
		Idle:          cmp.Or(l.Idle, defaultIdle),
	}
}

// limits returns the limits that are in force now.
func (c *ServerConfig) limits() Limits {
	if c.Allowed == nil {
		return c.Limits
	}
	return c.Limits.wider(c.Allowed().within(maxAllowed))
}

// extraTime returns by how much the limits in force now exceed the times of Limits.
func (c *ServerConfig) extraTime() time.Duration {
	now := c.limits()
	return max(now.Idle-c.Limits.Idle, now.HeaderTimeout-c.Limits.HeaderTimeout)
}
