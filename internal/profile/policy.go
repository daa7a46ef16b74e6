// Package profile parses the document in which operators publish how each kind of traffic is
// treated, both normally and during a close (a calendar period such as month-end). Parse validates
// the whole document and compiles it into an immutable Snapshot. Its result depends only on its
// arguments: it uses no clock and starts no goroutine.
package profile

import "time"

// Kind classifies a service's requests, which determines how they may be treated safely.
type Kind string

// The kinds of traffic.
const (
	// Read requests may run any number of times; their callers wait for the answer.
	Read Kind = "read"
	// Once requests must not run twice.
	Once Kind = "once"
	// Bulk requests are large and may be slow.
	Bulk Kind = "bulk"
	// Urgent requests are idempotent and few, and are served before all others.
	Urgent Kind = "urgent"
)

// Kinds returns all kinds in the order of the reference tables.
func Kinds() []Kind { return []Kind{Read, Once, Bulk, Urgent} }

// QueueOrder determines which waiting request of a service is served first.
type QueueOrder string

// The orders of a queue.
const (
	// ByDeadline serves the request with the nearest deadline.
	ByDeadline QueueOrder = "deadline"
	// ByArrival serves the request that has waited longest.
	ByArrival QueueOrder = "arrival"
)

// Policy holds the effective settings of one service in one mode.
type Policy struct {
	Kind Kind
	// Deadline is the longest time from a request's arrival to its answer.
	Deadline time.Duration
	// Objective is the latency within which an answer has its full value; 0 means no objective.
	Objective time.Duration
	// LoadProbes is the maximum number of endpoints that may be asked for their load right before a
	// request is sent; 0 disables load probes.
	LoadProbes int
	// QueueLimit is the maximum number of the service's requests that may wait at one entry.
	QueueLimit int
	QueueOrder QueueOrder
	// Priority is 0 to 9; higher priorities are served first.
	Priority int
	// SlotShare is the largest share of the pool's slots that the service may use, above 0 and up
	// to 1.
	SlotShare float64
	// CallerShare is the largest share of the queue that one caller may occupy, above 0 and up to
	// 1.
	CallerShare float64
	// RetryBudget bounds retries and hedges together, as a share of successful requests, 0 to 1.
	RetryBudget float64
	// MaxAttempts is the maximum number of attempts per request, 1 to 5, including the first. A
	// request of kind Once is retried only if the previous attempt provably did not run.
	MaxAttempts int
	// HedgeAfter is how long the first attempt may remain unanswered before a hedge starts; 0
	// disables hedging.
	HedgeAfter time.Duration
	// ProbeBudget, in documents watch_budget, is the share of the endpoints' slot time that probes
	// may take, 0 to 0.2.
	ProbeBudget float64
	// EjectMaxShare is the largest share of the pool's endpoints that may be ejected at once, 0 to
	// 0.5.
	EjectMaxShare float64
	// EjectBase is the duration of the first ejection. Consecutive ejections last longer, up to
	// EjectMax.
	EjectBase, EjectMax time.Duration
	// MaxBodyBytes is the size limit of a request body.
	MaxBodyBytes int64
	// RequireKey refuses requests without an idempotency key.
	RequireKey bool
	// EntriesPerDomain is the number of entries in each failure domain to which the service's
	// callers are sent; 0 means one entry in each region.
	EntriesPerDomain int
}

// Mode selects one of the two sets of settings in a profile.
type Mode string

// The modes.
const (
	Ordinary Mode = "ordinary"
	Closing  Mode = "close"
)

// Service is a service with its settings in both modes.
type Service struct {
	Name string
	// Pool is the group of endpoints that serve the service. Several services may share a pool.
	Pool string
	// Profile is the name of the service's profile.
	Profile string
	// Ordinary applies outside closes, Close during a close.
	Ordinary, Close Policy
	// ProbePath is the path at which the pool's endpoints report their load; if empty, the path in
	// the contract with endpoints is used.
	ProbePath string
	// Warmup limits requests to the pool's endpoints after they start.
	Warmup Warmup
}

// Warmup is how long an endpoint of a pool stays cold and how many requests per second a cold
// endpoint can take. It is zero if nothing is published.
type Warmup struct {
	For       time.Duration
	PerSecond float64
}

// Policy returns the settings for the given mode. The result belongs to the snapshot and must not
// be modified.
func (s *Service) Policy(closing bool) *Policy {
	if closing {
		return &s.Close
	}
	return &s.Ordinary
}
