// Package table holds the rows that the decision core's systems work on:
// endpoints grouped in pools. Rows are plain data; the systems in the sibling
// packages own the fields that carry their name. Times are durations since the
// process started, on the monotonic clock that the driver passes in.
package table

import (
	"math"
	"time"
)

// EndpointState is what this entry holds of an endpoint's life.
type EndpointState uint8

// The states of an endpoint. For one incarnation they only move forward.
const (
	EndpointLive EndpointState = iota
	// EndpointLeaving gets no new work; work in flight ends in peace.
	EndpointLeaving
	// EndpointGone is kept only until its last attempt has ended.
	EndpointGone
)

// ReportedLoad is the latest knowledge of load that others put on an endpoint.
type ReportedLoad struct {
	// Foreign is the number of requests in flight or queued at the endpoint
	// that this entry did not place.
	Foreign int32
	// At is when it was true as far as known.
	At time.Duration
	// Seen is false until the first sighting.
	Seen bool
}

// ProbedLoad is what an endpoint itself told of its load when it was last asked, or
// with its last answer.
type ProbedLoad struct {
	// Running and Waiting count the requests of everybody.
	Running, Waiting, Slots int32
	// Pace is how long work takes on the endpoint's VM at that moment, in percent
	// of the usual; 0 if it did not say.
	Pace int32
	At   time.Duration
	Seen bool
	// SentSince counts this entry's dispatches to the endpoint after that.
	SentSince int32
}

// Load returns how many requests the endpoint holds as far as the look tells.
func (l *ProbedLoad) Load() int32 { return l.Running + l.Waiting + l.SentSince }

// Health is owned by the health system.
type Health struct {
	// EjectedUntil: no ordinary work before this time; 0 when not ejected.
	// Trial requests from TrialAt on may end the ejection earlier.
	EjectedUntil time.Duration
	// Ejections counts ejections in a row, for growing times.
	Ejections int32
	// CalmSince is when the endpoint was readmitted or Ejections last fell.
	CalmSince time.Duration
	// TrialAt is when the next trial request may be sent while ejected.
	TrialAt time.Duration
	// JudgeFrom: outcomes of requests sent before this time are not counted.
	JudgeFrom time.Duration
	// SampledAt is when the last outcome was counted.
	SampledAt time.Duration
	// Samples counts outcomes up to a cap, SlowSamples those with a latency.
	Samples, SlowSamples int32
	// FailureRate is a smoothed share of attempts that failed or were refused.
	FailureRate float64
	// Slowness is a smoothed ratio of the time of an answer to the time that
	// its service commonly takes on the pool; 1 is ordinary.
	Slowness float64
	// LatencyNanos is a smoothed time from dispatch to answer, 0 at first.
	LatencyNanos float64
	// ViewWrong is set on all rows of a pool while most of them look bad.
	ViewWrong bool
}

// OwnerQuota is an entry's part of what an endpoint gets, where that is bounded. Owned by package quota.
type OwnerQuota struct {
	// Own says that this entry is one of the few that send to it meanwhile.
	Own bool
	// Tokens is how many requests this entry might send as of At.
	Tokens float64
	At     time.Duration
}

// Limit is what an endpoint says of the requests that it takes. Owned by package quota.
type Limit struct {
	OwnerQuota
	// Rate is how many requests a second it takes from all entries together, 0 for no limit.
	Rate float64
	// Version orders what is known of it in the whole fleet, Period is which entries own it, as of
	// SpreadAt, when the fleet was last told.
	Version, Period uint32
	SpreadAt        time.Duration
	// SentSince is when this entry learned of the rate.
	Since time.Duration
	// Owners is how many entries own it, Each how many requests a second each of them sends.
	Owners    int
	OwnerRate float64
	// InProbes says that it names a limit also to those who look at it.
	InProbes bool
}

// Cold is owned by package quota.
type Cold struct {
	OwnerQuota
	// Until is when the endpoint is warm as far as known; 0 or past for a warm one.
	Until time.Duration
}

// ColdQuota is what an entry may send to the cold endpoints of a pool that it owns.
type ColdQuota struct {
	// Bound is what all entries together may send to one in a second; 0 for no bound.
	Bound float64
	// Owners is how many entries own one, Rate what each of them may send a second.
	Owners int
	Rate   float64
	// Warmup is how long an endpoint commonly stays cold.
	Warmup time.Duration
}

// Endpoint is one endpoint VM.
type Endpoint struct {
	Name        string
	Incarnation uint64
	Address     string
	Region      string
	Domain      string
	State       EndpointState
	// Slots is how many requests the endpoint works on at a time, by its own
	// report if it is lower than what the platform lists.
	Slots int32
	// Listed is the number of slots in the platform's list.
	Listed int32
	// Outstanding counts this entry's own attempts in flight; exact.
	Outstanding int32
	// Reported is what others are known to have placed there.
	Reported ReportedLoad
	// Probed is what the endpoint last told of its load.
	Probed ProbedLoad
	// Evacuated: its failure domain is to get nothing until the operator takes it back.
	Evacuated bool
	// Cold is what it bears after its start.
	Cold Cold
	// Limit is what it says that it takes.
	Limit Limit
	// Missing: the platform's list has lost the endpoint, and it is used only since
	// no other is left.
	Missing bool
	// AvoidUntil: work goes elsewhere before this time as long as it can.
	AvoidUntil time.Duration
	// Doubt is a smoothed share of attempts without an answer of use, as of
	// DoubtAt; it fades with time.
	Doubt   float64
	DoubtAt time.Duration
	// SlowUntil is when the slow start of a new endpoint ends; 0 without one.
	// Until then Slots is lower than Listed.
	SlowUntil time.Duration
	// AdmittedAt is when the endpoint became known, for slow start.
	AdmittedAt time.Duration
	// ProbedAt is when this entry last probed the endpoint.
	ProbedAt time.Duration
	// ServiceNanos is a smoothed time of one request at the endpoint.
	ServiceNanos float64
	Health       Health
}

// TakesWork reports whether the endpoint is one of those that do a pool's work. Whether it may get
// a request now is for package quota to say.
func (e *Endpoint) TakesWork() bool { return e.State == EndpointLive && !e.Evacuated }

// doubtHalfLife is the time in which a doubt that nothing confirms halves: an
// endpoint that was bad for some seconds is tried again soon after.
const doubtHalfLife = 4 * time.Second

// CurrentDoubt returns the doubt as it has faded by now.
func (e *Endpoint) CurrentDoubt(now time.Duration) float64 {
	if e.Doubt == 0 || now <= e.DoubtAt {
		return e.Doubt
	}
	return e.Doubt * math.Exp2(-float64(now-e.DoubtAt)/float64(doubtHalfLife))
}

// NoteProbed takes in what the endpoint told of its load.
func (e *Endpoint) NoteProbed(l ProbedLoad) { e.Probed = l }

// HasRoom reports whether by its last look the endpoint has a slot for one more
// request.
func (e *Endpoint) HasRoom() bool { return e.Probed.Load() < max(1, e.Probed.Slots) }

// queueAtEndpoint is how many requests may wait at an endpoint when they are sent
// there: one, so that a slot that comes free is not idle until an entry sees it.
// Endpoints queue a few only, and one that is full may hang.
const queueAtEndpoint = 1

// MayQueue reports whether one more request would have a slot or be the next.
func (e *Endpoint) MayQueue() bool { return e.Probed.Load() < max(1, e.Probed.Slots)+queueAtEndpoint }

// Pool is a group of endpoints that share their work. Services of the same
// pool compete for its slots.
type Pool struct {
	Name string
	// Endpoints are in a stable order; an index is valid until the next
	// membership change.
	Endpoints []Endpoint
	// ColdQuota is what this entry may send to cold ones.
	ColdQuota ColdQuota
}

// Slots returns the slots of all endpoints that take work.
func (p *Pool) Slots() int {
	total := 0
	for i := range p.Endpoints {
		if p.Endpoints[i].TakesWork() {
			total += int(p.Endpoints[i].Slots)
		}
	}
	return total
}

// Outstanding returns this entry's own attempts in flight over all endpoints.
func (p *Pool) Outstanding() int {
	total := 0
	for i := range p.Endpoints {
		total += int(p.Endpoints[i].Outstanding)
	}
	return total
}
