// Package placement decides where a request goes whose endpoint is chosen by looks: whom
// to ask for its load, which of those that answered gets the request, whether it had better
// wait, how long it may wait and how long it will take.
//
// The load that this answers: endpoints share their VMs with others, and how long work
// takes there changes several times a second. Whatever was reported with an earlier answer
// is then worth little, while a question right before the request is sent costs a round
// trip and no slot.
//
// The package is pure. Times are durations since the process started; what is learned of a
// pool belongs to one goroutine at a time. It asks nobody and sends nothing: package core
// runs the rounds of looks and tells how they ended.
package placement

import (
	"math/rand/v2"
	"time"

	"github.com/tealhall/tealhall/internal/core/balance"
	"github.com/tealhall/tealhall/internal/core/quota"
	"github.com/tealhall/tealhall/internal/core/table"
)

// The ages up to which what an endpoint told counts.
const (
	// FreshFor is how old a look may be to count for a request that did not ask for it.
	FreshFor = 2 * time.Millisecond
	// RememberedFor is for how long an earlier look says whom to ask first: the time in which
	// the pace of a VM commonly changes.
	RememberedFor = 150 * time.Millisecond
	// fullFor is for how long an endpoint without room is taken to have none: some
	// times what a request takes there.
	fullFor = 1500 * time.Millisecond
)

// SlowPace is from when on a VM counts as slow.
const SlowPace = 2.0

// SlightDoubt is the doubt that one failure leaves after some seconds.
const SlightDoubt = 0.1

// Request is a request as the choice of its endpoint sees it.
type Request struct {
	Arrived, Deadline time.Duration
	// FirstTry is when its caller tried first, as far as known.
	FirstTry time.Duration
	// Objective is its latency objective from FirstTry on, 0 for none.
	Objective time.Duration
	// Work is how long one of its service commonly takes at an endpoint with nothing else
	// to do, and Kilobytes the size of one with its answer.
	Work      time.Duration
	Kilobytes float64
	// Late says that it can't be in time any more.
	Late bool
	// Tried are the endpoints that it was sent to, Asked those looked at in the round of
	// looks that began at Began.
	Tried      balance.Set
	Probed     []int
	RoundStart time.Duration
	// OwnDomainOnly says that only endpoints of the own failure domain are of use.
	OwnDomainOnly bool
	// MaxProbes is how many endpoints are asked for it in a round at most.
	MaxProbes int
}

// LatestInTime is the latest start at which the request would commonly be answered within
// its objective.
func (r *Request) LatestInTime() time.Duration { return r.FirstTry + r.Objective - r.Work }

// View is a pool with the request to place, as an entry sees both at a moment.
type View struct {
	Now time.Duration
	// Domain is the entry's own failure domain.
	Domain string
	*table.Pool
	// Learned is what is learned of the pool.
	Learned *PoolState
	// SlotTime is what the requests that a full endpoint holds commonly take there.
	SlotTime time.Duration
	// Rand decides between endpoints that are alike.
	Rand    *rand.Rand
	Request Request
}

// granted reports whether an endpoint may get a request now.
func (v *View) granted(e *table.Endpoint) bool { return quota.Of(v.Now, v.Pool, e) == quota.Granted }

// isNear reports whether an endpoint lies in the entry's own failure domain.
func (v *View) isNear(e *table.Endpoint) bool { return e.Domain == v.Domain }

// Pace is how many times as long as usual work takes by a look.
func Pace(l *table.ProbedLoad) float64 { return max(1, float64(l.Pace)/100) }

// doubtStep and doubtRecovery move the doubt about an endpoint: each attempt without an answer
// of use raises it by doubtStep of what is missing to 1, each good answer lowers it.
const (
	doubtStep     = 0.35
	doubtRecovery = 0.25
)

// NoteOutcome takes in how an attempt at an endpoint ended.
func NoteOutcome(now time.Duration, e *table.Endpoint, failed bool) {
	doubt := e.CurrentDoubt(now)
	if failed {
		doubt += doubtStep * (1 - doubt)
	} else {
		doubt -= doubtRecovery * doubt
	}
	e.Doubt, e.DoubtAt = doubt, now
}
