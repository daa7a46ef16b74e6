// Package placement decides where to send a request whose endpoint is chosen by load probes: which
// endpoints to probe, which of the probed endpoints gets the request, whether the request should
// wait instead, how long it may wait and how long it will take.
//
// Endpoints share their VMs with others, and the service time on a VM changes several times a
// second. A load that was reported with an earlier answer is then worth little, while a load probe
// right before dispatch costs a round trip and no slot.
//
// The package is pure. Times are durations since the process started; the PoolState of a pool
// belongs to one goroutine at a time. The package sends nothing itself: package core runs the
// probe rounds and reports their results.
package placement

import (
	"math/rand/v2"
	"time"

	"github.com/tealhall/tealhall/internal/core/balance"
	"github.com/tealhall/tealhall/internal/core/quota"
	"github.com/tealhall/tealhall/internal/core/table"
)

// The maximum ages of a probed load.
const (
	// FreshFor is the largest age of a probed load that counts for a request which did not start
	// the probe itself.
	FreshFor = 2 * time.Millisecond
	// RememberedFor is how long a probed load influences which endpoints are probed first: the
	// time in which the pace of a VM usually changes.
	RememberedFor = 150 * time.Millisecond
	// fullFor is how long an endpoint that reported no room is assumed to have none: several times
	// the service time of a request.
	fullFor = 1500 * time.Millisecond
)

// SlowPace is the pace from which on a VM counts as slow.
const SlowPace = 2.0

// SlightDoubt is the doubt about an endpoint (see table.Endpoint.Doubt) that remains some seconds
// after one failure.
const SlightDoubt = 0.1

// Request is the data of a request that the choice of its endpoint depends on.
type Request struct {
	Arrived, Deadline time.Duration
	// FirstTry is when the caller first tried the request, as far as known.
	FirstTry time.Duration
	// Objective is the latency objective, counted from FirstTry; 0 for none.
	Objective time.Duration
	// Work is the usual time of a request of its service at an endpoint without other work, and
	// Kilobytes the usual size of a request with its answer.
	Work      time.Duration
	Kilobytes float64
	// Late says that the request can no longer be in time.
	Late bool
	// Tried are the endpoints that the request was sent to. Probed are the indexes of the endpoints
	// probed in the probe round that began at RoundStart.
	Tried      balance.Set
	Probed     []int
	RoundStart time.Duration
	// OwnDomainOnly says that only endpoints of the entry's own failure domain may be used.
	OwnDomainOnly bool
	// MaxProbes is the largest number of endpoints that are probed for the request in one probe
	// round.
	MaxProbes int
}

// LatestInTime returns the latest start at which the request would usually be answered within its
// objective.
func (r *Request) LatestInTime() time.Duration { return r.FirstTry + r.Objective - r.Work }

// View is a pool and the request to place, as the entry sees both at one moment.
type View struct {
	Now time.Duration
	// Domain is the entry's own failure domain.
	Domain string
	*table.Pool
	// PoolState is what the entry has learned about the pool.
	PoolState *PoolState
	// SlotTime is the usual time for which requests occupy a slot of a full endpoint.
	SlotTime time.Duration
	// Rand decides between equal endpoints.
	Rand    *rand.Rand
	Request Request
}

// granted reports whether an endpoint may get a request now.
func (v *View) granted(e *table.Endpoint) bool { return quota.Of(v.Now, v.Pool, e) == quota.Granted }

// isNear reports whether an endpoint is in the entry's own failure domain.
func (v *View) isNear(e *table.Endpoint) bool { return e.Domain == v.Domain }

// Pace returns the ratio of the present service time to the usual one, by a probed load; at least
// 1.
func Pace(l *table.ProbedLoad) float64 { return max(1, float64(l.Pace)/100) }

// doubtStep and doubtRecovery adjust the doubt about an endpoint: each attempt without a usable
// answer raises it by doubtStep of its distance to 1, each good answer lowers it by doubtRecovery
// of its value.
const (
	doubtStep     = 0.35
	doubtRecovery = 0.25
)

// NoteOutcome raises the doubt about an endpoint after a failed attempt and lowers it after a good
// answer.
func NoteOutcome(now time.Duration, e *table.Endpoint, failed bool) {
	doubt := e.CurrentDoubt(now)
	if failed {
		doubt += doubtStep * (1 - doubt)
	} else {
		doubt -= doubtRecovery * doubt
	}
	e.Doubt, e.DoubtAt = doubt, now
}
