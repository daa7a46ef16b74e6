// Package profile reads the document in which operators publish how each kind
// of traffic is treated on ordinary days and during a close. Parse checks the
// whole document and compiles it into an immutable Snapshot. The outcome of
// Parse depends on its arguments alone: there is no clock, and no goroutine.
package profile

import "time"

// Kind says what a service's requests are, and so which treatment is safe.
type Kind string

// The kinds of traffic.
const (
	// Read requests may run any number of times, and their callers wait.
	Read Kind = "read"
	// Once requests must not run twice.
	Once Kind = "once"
	// Bulk requests are large and may be slow.
	Bulk Kind = "bulk"
	// Urgent requests are idempotent, few, and come before everything else.
	Urgent Kind = "urgent"
)

// Kinds returns every kind, in the order of the reference tables.
func Kinds() []Kind { return []Kind{Read, Once, Bulk, Urgent} }

// QueueOrder says which waiting request of a service goes first.
type QueueOrder string

// The orders of a queue.
const (
	// ByDeadline serves the request whose deadline is nearest.
	ByDeadline QueueOrder = "deadline"
	// ByArrival serves the request that has waited longest.
	ByArrival QueueOrder = "arrival"
)

// Policy is the effective treatment of one service in one mode.
type Policy struct {
	Kind Kind
	// Deadline is the longest time from a request's arrival to its answer.
	Deadline time.Duration
	// Objective is the latency within which an answer has its full value; 0 where
	// nobody named one.
	Objective time.Duration
	// LoadProbes is how many endpoints may be asked for their load right before a
	// request is sent; 0 for none.
	LoadProbes int
	// QueueLimit is how many requests of the service may wait at one entry.
	QueueLimit int
	QueueOrder QueueOrder
	// Priority is 0 to 9; a higher one is served first.
	Priority int
	// SlotShare is the largest share of the pool's slots that the service may
	// hold, above 0 and up to 1.
	SlotShare float64
	// CallerShare is the largest share of the queue that one caller may hold,
	// above 0 and up to 1.
	CallerShare float64
	// RetryBudget bounds retries and hedges together as a share of successful
	// requests, 0 to 1.
	RetryBudget float64
	// MaxAttempts counts all tries of one request, 1 to 5. For kind Once a
	// further try is made only where the one before provably did not run.
	MaxAttempts int
	// HedgeAfter is how long the first attempt may stay unanswered before a
	// second one starts; 0 means that there is no second one.
	HedgeAfter time.Duration
	// WatchBudget is the share of the endpoints' slot time that probes may
	// take, 0 to 0.2.
	WatchBudget float64
	// EjectMaxShare is the largest share of the pool's endpoints that may be
	// ejected at once, 0 to 0.5.
	EjectMaxShare float64
	// EjectBase is the time of a first ejection; later ones in a row grow up
	// to EjectMax.
	EjectBase, EjectMax time.Duration
	// MaxBodyBytes is the largest request body.
	MaxBodyBytes int64
	// RequireKey refuses requests that carry no idempotency key.
	RequireKey bool
	// EntriesPerDomain is how many entries of each failure domain the callers
	// of the service are sent to; 0 means one entry in each region.
	EntriesPerDomain int
}

// Mode names one of the two treatments that a profile describes.
type Mode string

// The modes.
const (
	Ordinary Mode = "ordinary"
	Closing  Mode = "close"
)

// Service is one service with its treatment in both modes.
type Service struct {
	Name string
	// Pool is the group of endpoints that serve the service. Several services
	// may share one.
	Pool string
	// Profile is the name of the profile that the service picked.
	Profile string
	// Ordinary holds outside closes, Close during one.
	Ordinary, Close Policy
	// ProbePath is where the pool's endpoints tell their load; empty for that of
	// the contract with endpoints.
	ProbePath string
	// Warmup is what the pool's endpoints bear after their start.
	Warmup Warmup
}

// Warmup says how long the endpoints of a pool are cold, and how many requests a second a cold one
// bears; zero where nothing is published.
type Warmup struct {
	For       time.Duration
	PerSecond float64
}

// Policy returns the treatment in force. The result belongs to the snapshot
// and must not be changed.
func (s *Service) Policy(closing bool) *Policy {
	if closing {
		return &s.Close
	}
	return &s.Ordinary
}
