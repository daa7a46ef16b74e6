package front

import (
	"cmp"
	"time"
)

// Limits are what one caller may take. Zero fields allow nothing more than others do.
type Limits struct {
	// HeaderBytes bounds a head, HeaderTimeout the time from its first byte to its end, Idle the
	// wait for a connection's next request.
	HeaderBytes         int
	HeaderTimeout, Idle time.Duration
}

// maxAllowed bounds what ServerConfig.Allowed may allow: a caller holds memory and a descriptor
// meanwhile.
var maxAllowed = Limits{HeaderBytes: 1 << 20, HeaderTimeout: time.Minute, Idle: 10 * time.Minute}

// wider returns the larger ones of two limits.
func (l Limits) wider(other Limits) Limits {
	return Limits{
		HeaderBytes:   max(l.HeaderBytes, other.HeaderBytes),
		HeaderTimeout: max(l.HeaderTimeout, other.HeaderTimeout),
		Idle:          max(l.Idle, other.Idle),
	}
}

// within returns the smaller ones.
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

// limits returns what callers may take now.
func (c *ServerConfig) limits() Limits {
	if c.Allowed == nil {
		return c.Limits
	}
	return c.Limits.wider(c.Allowed().within(maxAllowed))
}

// extraTime is how much longer than by Limits a caller may take now.
func (c *ServerConfig) extraTime() time.Duration {
	now := c.limits()
	return max(now.Idle-c.Limits.Idle, now.HeaderTimeout-c.Limits.HeaderTimeout)
}
