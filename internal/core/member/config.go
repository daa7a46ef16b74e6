// Package member tracks this entry's view of every VM from three kinds of evidence: the platform's
// list, which lags and may be wrong; messages from peers; and the incarnation and state that
// endpoints give in their own answers. Evidence that a VM is live becomes stale with time.
//
// Two rules hold for any order of evidence. For one incarnation, leaving never changes back to
// live. And absence from a list does not prove that a VM is gone: a VM that answers stays, and a
// list that loses a large part of the fleet at once is held back.
//
// The package is pure: time is passed in as the duration since the process started. A Table is not
// safe for concurrent use.
package member

import "time"

// Config sets the bounds of a Table. Zero fields take defaults.
type Config struct {
	// Self is this entry's incarnation. It is never suspected.
	Self uint64
	// Region is this entry's region. Entries of other regions are reached only through a few links,
	// so silence does not make them suspected either.
	Region string
	// HoldShare is the largest share of the live VMs that may be missing from a new list. If more
	// are missing, the list is held: the missing VMs still count as listed.
	HoldShare float64
	// HoldFor is how long a list is held. VMs that are still missing from the list after that count
	// as missing.
	HoldFor time.Duration
	// MissingAfter is how long an endpoint that is missing from the list and does not answer still
	// gets requests.
	MissingAfter time.Duration
	// KeepLast is how long the endpoints of a pool are kept when all of them are missing.
	KeepLast time.Duration
	// ListIsFinal says that the list follows the VMs closely and is never truncated: a VM that it
	// does not name has ended or is about to end. No list is held then, and a missing endpoint is
	// used only if no other endpoint can be used. It is dropped after MissingAfter or KeepLast,
	// whether it answers or not; after an outage of the configuration service, the list may name it
	// again within that time.
	ListIsFinal bool
	// HeartbeatInterval returns the time between heartbeats to each watched entry, each of which is
	// answered.
	HeartbeatInterval func() time.Duration
	// GoneAfter is how long an entry that is not listed may be silent before it counts as gone.
	GoneAfter time.Duration
	// RememberFor is how long a departure is remembered after a list or evidence last named its
	// incarnation.
	RememberFor time.Duration
	// MaxDepartures bounds the number of remembered departures, unless the list names more VMs than
	// half of it.
	MaxDepartures int
}

// Defaults of Config.
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

// minHeldLosses is the fewest lost VMs for which a list is held: in a fleet of a few VMs a single
// replacement is already a large share.
const minHeldLosses = 3

// suspectHeartbeats is how many heartbeats may be missed before an entry is suspected. The entry
// answers each heartbeat and sends its own as often, so twice as many messages are missing by then.
// minSuspectTime is the least silence for which an entry is suspected, however frequent heartbeats
// are: an entry on a sixth of a core may be that late. suspectSlack is added for network delays.
const (
	suspectHeartbeats = 2
	minSuspectTime    = 1500 * time.Millisecond
	suspectSlack      = 500 * time.Millisecond
)

// unreachableSlack is the time beyond one heartbeat interval after which an unreachable entry is
// suspected.
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
