// Package balance chooses the endpoint of a request, or decides that the request should wait in
// this entry's queue. The package is pure: the caller passes in time, randomness and every
// observation. A Picker must not be used concurrently. A choice scans one pool and allocates
// nothing.
//
// A Picker serves one pool. What it knows of other entries' load is approximate and ages: a wrong
// view costs latency, but breaks no guarantee.
package balance

import (
	"math/rand/v2"
	"strings"
	"time"

	"github.com/tealhall/tealhall/internal/core/table"
	"github.com/tealhall/tealhall/internal/fault"
)

// Set is a set of the indexes of a few endpoints, of a pool of any size. The zero value is empty.
type Set struct {
	// members has each index plus one, the latest first; 0 is a free place.
	members [MaxSetSize]int32
}

// MaxSetSize is the largest number of indexes in a Set, the endpoints to which one request is sent
// at most. Beyond it, the earliest index is dropped.
const MaxSetSize = 8

// With returns s and index i.
func (s Set) With(i int) Set {
	if i < 0 || s.Has(i) {
		return s
	}
	copy(s.members[1:], s.members[:])
	s.members[0] = int32(i) + 1
	return s
}

// Has reports whether i is in s.
func (s Set) Has(i int) bool {
	for _, member := range s.members {
		if member == 0 {
			return false
		}
		if member == int32(i)+1 {
			return true
		}
	}
	return false
}

// Request describes the request that needs an endpoint.
type Request struct {
	// Tried has the endpoints that already refused or failed the request.
	Tried Set
	// Trial says that the request may be used for the trial of an ejected endpoint whose next
	// trial is due: it is idempotent and not urgent.
	Trial bool
	// MustQueue says that the request may not ask an endpoint to refuse it, so that the choice of
	// a busy endpoint costs a wait there.
	MustQueue bool
	// LocalDomain is the entry's own failure domain, or empty. No policy uses it at present.
	LocalDomain string
}

// Choice is the result of Picker.Pick.
type Choice struct {
	// Index is the index of the endpoint in the pool; it is valid if OK is set.
	Index int
	// OK is false when waiting in the entry's queue is better than any endpoint now, or when no
	// endpoint may be used.
	OK bool
	// IdleOnly asks the endpoint to refuse the request at once rather than
	// queue it when no slot is idle. An endpoint that ignores this queues it.
	IdleOnly bool
	// Trial marks a choice of an ejected endpoint.
	Trial bool
	// Wait is the longest time to wait before the next Pick, if OK is not set. An answer, a peer's
	// load report or a membership change is a reason to call Pick earlier.
	Wait time.Duration
}

// Observation describes the answer or the failure that ended an attempt.
type Observation struct {
	// Latency is the time from dispatch to the answer's head.
	Latency time.Duration
	// HasLoad says that the answer reported InFlight, Queued and Slots. The counts do not include
	// the request that was answered.
	HasLoad  bool
	InFlight int
	Queued   int
	Slots    int
	// Refused says that the endpoint did not run the request and said so.
	Refused bool
	// Failed says that the attempt ended without a usable answer.
	Failed bool
}

// PeerLoad is another entry's count of its own attempts at one endpoint.
type PeerLoad struct {
	// From is the index of the peer among the deciders given to Picker.Changed.
	From int
	// Attempts is the number of attempts that the peer has in flight at the endpoint.
	Attempts int32
	// At is when the count was true, on this entry's clock.
	At time.Duration
}

// Picker is a balancing policy with its view of one pool.
type Picker interface {
	// Changed is called first, and after each change of the pool's endpoints or of the entries that
	// serve the pool's callers. deciders holds the names of these entries, including this one; it
	// may be empty while they are unknown.
	Changed(now time.Duration, p *table.Pool, deciders []string)
	// Pick chooses an endpoint for a request that has waited in this entry's queue for the given
	// time.
	Pick(now time.Duration, p *table.Pool, req Request, waited time.Duration) Choice
	// Dispatched is called after an attempt was sent to endpoint i; the endpoint's Outstanding
	// already counts it.
	Dispatched(now time.Duration, p *table.Pool, i int)
	// Answered is called after an attempt has ended; Outstanding no longer counts it.
	Answered(now time.Duration, p *table.Pool, i int, obs Observation)
	// LoadReported passes on another entry's report of the endpoint's whole foreign load, which is
	// the load that this entry did not place.
	LoadReported(now time.Duration, p *table.Pool, i int, s table.ReportedLoad)
	// PeerHeard is called after an update from another entry. from is the peer's index as in
	// PeerLoad.From. Counts that the update did not change were still true at the given time.
	PeerHeard(from int, at time.Duration)
	// PeerReported passes on another entry's count of its own attempts.
	PeerReported(now time.Duration, p *table.Pool, i int, load PeerLoad)
}

// Config tunes the policies. A field that is zero has its default value.
type Config struct {
	// Self is this entry's name, as it appears among the deciders.
	Self string
	// ServiceTime is the service time that is assumed until one has been measured.
	ServiceTime time.Duration
	// QueueAtEndpoint is how many requests beyond its slots the claims policy may send to an
	// endpoint; negative for none.
	QueueAtEndpoint int
	// IdleWait is how long a request waits in the entry for an idle slot before it may queue at an
	// endpoint, as a share of the pool's service time; negative for no wait.
	IdleWait float64
}

// Defaults of Config.
const (
	DefaultServiceTime     = 15 * time.Millisecond
	DefaultQueueAtEndpoint = 4
	DefaultIdleWait        = 0.25
)

func (c Config) withDefaults() Config {
	if c.ServiceTime <= 0 {
		c.ServiceTime = DefaultServiceTime
	}
	if c.QueueAtEndpoint == 0 {
		c.QueueAtEndpoint = DefaultQueueAtEndpoint
	}
	c.QueueAtEndpoint = max(0, c.QueueAtEndpoint)
	if c.IdleWait == 0 {
		c.IdleWait = DefaultIdleWait
	}
	c.IdleWait = max(0, c.IdleWait)
	return c
}

// The names of the policies.
const (
	Random           = "random"
	RoundRobin       = "round-robin"
	LeastOutstanding = "least-outstanding"
	P2COwn           = "p2c-own"
	P2CReports       = "p2c-reports"
	Prequal          = "prequal"
	// LeastLoad keeps the older name "sightings" in settings.
	LeastLoad    = "sightings"
	Shares       = "shares"
	CentralQueue = "central-queue"
	Claims       = "claims"
)

// Default is the policy that is used if the settings name no valid one.
const Default = Claims

// Policies returns the names that New accepts.
func Policies() []string {
	return []string{
		Random, RoundRobin, LeastOutstanding, P2COwn, P2CReports,
		Prequal, LeastLoad, Shares, CentralQueue, Claims,
	}
}

// New returns a picker for one pool. The picker owns rng.
func New(policy string, cfg Config, rng *rand.Rand) (Picker, error) {
	cfg = cfg.withDefaults()
	base := basePolicy{cfg: cfg, rng: rng}
	switch policy {
	case Random:
		return &random{basePolicy: base}, nil
	case RoundRobin:
		return &roundRobin{basePolicy: base, next: rng.IntN(1 << 16)}, nil
	case LeastOutstanding:
		return &leastOutstanding{basePolicy: base}, nil
	case P2COwn:
		return &twoChoices{basePolicy: base}, nil
	case P2CReports:
		return &twoChoices{basePolicy: base, reports: true}, nil
	case Prequal:
		return &prequal{basePolicy: base}, nil
	case LeastLoad:
		return &leastLoad{basePolicy: base}, nil
	case Shares:
		return &shares{basePolicy: base}, nil
	case CentralQueue:
		return &centralQueue{basePolicy: base}, nil
	case Claims:
		return &claims{basePolicy: base}, nil
	}
	return nil, fault.New(fault.BadSettings,
		"use one of "+strings.Join(Policies(), ", "),
		"unknown balancing policy %q", policy)
}
