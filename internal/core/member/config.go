// Package member holds what this entry believes of every VM, from three kinds
// of evidence: the platform's list, which lags and may be wrong; messages of
// peers; and what endpoints say on their own answers. Each kind ages.
//
// Two rules hold whatever the order of evidence. For one incarnation, leaving
// never goes back to live. And missing from a list is not proof of death: a VM
// that answers stays, and a list that loses a large part of the fleet at once
// is held back.
//
// The package is pure: time is passed in as the duration since the process
// started. A Table is not safe for concurrent use.
package member

import "time"

// Config sets the bounds of a Table. Zero fields take defaults.
type Config struct {
	// Self is this entry's incarnation. Silence is never held against it.
	Self uint64
	// Region is this entry's region. Entries of other regions are heard only
	// through a few links, so silence is not held against them either.
	Region string
	// HoldShare: a list that loses more than this share of the VMs is held.
	HoldShare float64
	// HoldFor is how long a held list must last before its losses count.
	HoldFor time.Duration
	// MissingAfter: an endpoint that is missing from the list and has not
	// answered for so long gets no more work.
	MissingAfter time.Duration
	// KeepLast: so long the endpoints of a pool are kept when all are missing.
	KeepLast time.Duration
	// ListIsFinal says that the list follows the VMs closely and is never cut short:
	// what it does not name has ended or is about to. Such an endpoint is used for
	// MissingAfter, or KeepLast, only where no other can be, whether it answers or
	// not, and no list is held. Its VMs may be back within that time after the
	// platform's service itself was away.
	ListIsFinal bool
	// HeartbeatInterval returns how often each entry that is watched is told something, and answers.
	HeartbeatInterval func() time.Duration
	// GoneAfter: an entry that is not listed and silent for so long is gone.
	GoneAfter time.Duration
	// RememberFor is how long the end of an incarnation is remembered after it
	// was last mentioned.
	RememberFor time.Duration
	// MaxDepartures bounds how many of them are remembered.
	MaxDepartures int
}

// The defaults of Config.
const (
	defaultHoldShare         = 0.25
	defaultHoldFor           = time.Minute
	defaultMissingAfter      = 30 * time.Second
	defaultKeepLast          = 24 * time.Hour
	defaultHeartbeatInterval = time.Second
	defaultGoneAfter         = time.Minute
	defaultRememberFor       = 2 * time.Hour
	defaultMaxDepartures     = 4096
)

// minHeldLosses is the fewest lost VMs for which a list is held: in a fleet of a few
// VMs a single replacement is already a large share.
const minHeldLosses = 3

// suspectHeartbeats is how many heartbeats may be missed before an entry is suspected. Each is
// answered, and the entry sends its own as often, so that twice as many signs of it are missing
// by then. minSuspectTime is the least time where heartbeats are frequent, since an entry with a
// sixth of a core may be late by as much. suspectSlack is added for delays on the way.
const (
	suspectHeartbeats = 2
	minSuspectTime    = 1500 * time.Millisecond
	suspectSlack      = 500 * time.Millisecond
)

// unreachableSlack is what an entry has beyond one heartbeat that could not be reached either.
const unreachableSlack = suspectSlack / 3

func (c Config) withDefaults() Config {
	if c.HoldShare <= 0 {
		c.HoldShare = defaultHoldShare
	}
	c.HoldFor = orDefault(c.HoldFor, defaultHoldFor)
	c.MissingAfter = orDefault(c.MissingAfter, defaultMissingAfter)
	c.KeepLast = orDefault(c.KeepLast, defaultKeepLast)
	c.GoneAfter = orDefault(c.GoneAfter, defaultGoneAfter)
	c.RememberFor = orDefault(c.RememberFor, defaultRememberFor)
	if c.MaxDepartures <= 0 {
		c.MaxDepartures = defaultMaxDepartures
	}
	if c.HeartbeatInterval == nil {
		c.HeartbeatInterval = func() time.Duration { return defaultHeartbeatInterval }
	}
	return c
}

func orDefault(d, byDefault time.Duration) time.Duration {
	if d <= 0 {
		return byDefault
	}
	return d
}
