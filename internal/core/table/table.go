// Package table defines the data that the packages of the decision core work on: endpoints grouped
// in pools. The types are plain data; each of the other packages of the core owns the fields that
// it maintains. Times are durations since the process started, on the monotonic clock that the
// driver passes in.
package table

import (
	"math"
	"time"
)

// EndpointState is the lifecycle state of an endpoint as this entry knows it.
type EndpointState uint8

// The states of an endpoint. For one incarnation they only move forward.
const (
	EndpointLive EndpointState = iota
	// EndpointLeaving gets no new requests; requests in flight run to their end.
	EndpointLeaving
	// EndpointGone is kept only until the last attempt at the endpoint has ended.
	EndpointGone
)

// ReportedLoad is the newest report of the load that others have placed on an endpoint.
type ReportedLoad struct {
	// Foreign is the number of requests in flight or queued at the endpoint
	// that this entry did not place.
	Foreign int32
	// At is the time that the report describes.
	At time.Duration
	// Seen is false until the first report.
	Seen bool
}

// ProbedLoad is the load that the endpoint itself reported in answer to the latest load probe, or
// with its latest answer.
type ProbedLoad struct {
	// Running and Waiting count the requests of all entries.
	Running, Waiting, Slots int32
	// Pace is the service time on the endpoint's VM at that moment, in percent of the usual one; 0
	// if the endpoint did not report it.
	Pace int32
	At   time.Duration
	Seen bool
	// SentSince counts the requests that this entry has sent to the endpoint since At.
	SentSince int32
}

// Load returns the number of requests at the endpoint, as estimated from the probed load.
func (l *ProbedLoad) Load() int32 { return l.Running + l.Waiting + l.SentSince }

// Health holds the measurements of an endpoint and the state of its ejection. It is owned by
// package health.
type Health struct {
	// EjectedUntil is the time before which the endpoint gets only trial requests; 0 when it is
	// not ejected. Trial requests from TrialAt on may end the ejection earlier.
	EjectedUntil time.Duration
	// Ejections counts consecutive ejections; the length of an ejection grows with it.
	Ejections int32
	// CalmSince is when the endpoint was readmitted or Ejections last decreased.
	CalmSince time.Duration
	// TrialAt is when the next trial request may be sent while ejected.
	TrialAt time.Duration
	// JudgeFrom is the time from which requests count: outcomes of requests sent earlier are
	// ignored.
	JudgeFrom time.Duration
	// SampledAt is when the last outcome was counted.
	SampledAt time.Duration
	// Samples counts outcomes up to a limit, SlowSamples the outcomes that have a latency.
	Samples, SlowSamples int32
	// FailureRate is the smoothed share of attempts that failed or were refused.
	FailureRate float64
	// Slowness is the smoothed ratio of an answer's latency to the usual latency of its service on
	// the pool; 1 is normal.
	Slowness float64
	// LatencyNanos is the smoothed time from dispatch to answer; 0 before the first answer.
	LatencyNanos float64
}

// OwnerQuota is this entry's part of the requests that an endpoint may get, where their rate is
// limited. It is owned by package quota.
type OwnerQuota struct {
	// Owned says that this entry is one of the few that may send to the endpoint.
	Owned bool
	// Tokens is the number of requests that this entry could send at the time At.
	Tokens float64
	At     time.Duration
}

// Limit is the rate limit that an endpoint reports for itself. It is owned by package quota.
type Limit struct {
	OwnerQuota
	// Rate is the number of requests per second that the endpoint accepts from all entries
	// together; 0 for no limit.
	Rate float64
	// Version orders the reports of the limit in the whole fleet. Period determines which entries
	// own the endpoint, as of SpreadAt, when the limit was last spread to the fleet.
	Version, Period uint32
	SpreadAt        time.Duration
	// Since is when this entry learned of the rate.
	Since time.Duration
	// Owners is the number of entries that own the endpoint, OwnerRate the requests per second
	// that each of them may send.
	Owners    int
	OwnerRate float64
	// InProbes says that the endpoint reports its limit also in answers to load probes.
	InProbes bool
}

// Cold describes an endpoint that has started a moment ago. It is owned by package quota.
type Cold struct {
	OwnerQuota
	// Until is when the endpoint is expected to be warm; 0 or a past time for a warm endpoint.
	Until time.Duration
}

// ColdQuota is the rate at which an entry may send to each cold endpoint of a pool that it owns.
type ColdQuota struct {
	// Bound is the number of requests per second that all entries together may send to one cold
	// endpoint; 0 for no bound.
	Bound float64
	// Owners is the number of entries that own a cold endpoint, Rate the requests per second that
	// each of them may send.
	Owners int
	Rate   float64
	// Warmup is the time that an endpoint usually stays cold.
	Warmup time.Duration
}

// Backoff is a time for which an endpoint wants no requests from this entry. It is owned by package
// quota.
type Backoff struct {
	// Until is when it ends; 0 or a past time if the endpoint asked for none.
	Until time.Duration
	// HalfOpen is set from its beginning until the endpoint has accepted a request that was sent
	// after its end. The next such request may be sent at NextAt.
	HalfOpen bool
	NextAt   time.Duration
}

// Endpoint is one endpoint VM.
type Endpoint struct {
	Name        string
	Incarnation uint64
	Address     string
	Region      string
	Domain      string
	State       EndpointState
	// Slots is the number of requests that the endpoint runs at a time: the platform's number, or
	// the endpoint's own if that is lower.
	Slots int32
	// Listed is the number of slots in the platform's list.
	Listed int32
	// Outstanding counts this entry's own attempts in flight; the count is exact.
	Outstanding int32
	// Reported is the load that other entries have placed on the endpoint, as last reported.
	Reported ReportedLoad
	// Probed is the load that the endpoint itself reported last.
	Probed ProbedLoad
	// Evacuated is set while the operator has evacuated the endpoint's failure domain; the
	// endpoint then gets no requests.
	Evacuated bool
	// Cold is the bound on requests to the endpoint after its start.
	Cold Cold
	// Limit is the rate limit that the endpoint reports.
	Limit Limit
	// Backoff is the time for which the endpoint asked this entry to send it nothing.
	Backoff Backoff
	// Missing says that the platform's list no longer has the endpoint. It is used only because no
	// other endpoint is left.
	Missing bool
	// AvoidUntil is the time before which requests go to other endpoints where possible.
	AvoidUntil time.Duration
	// Doubt is the smoothed share of attempts that brought no usable answer, as of DoubtAt; it
	// decays with time.
	Doubt   float64
	DoubtAt time.Duration
	// SlowUntil is when the slow start of a new endpoint ends; 0 without a slow start. Until then
	// Slots is lower than Listed.
	SlowUntil time.Duration
	// AdmittedAt is when this entry learned of the endpoint.
	AdmittedAt time.Duration
	// ProbedAt is when this entry last probed the endpoint.
	ProbedAt time.Duration
	// ServiceNanos is the smoothed service time of one request at the endpoint.
	ServiceNanos float64
	Health       Health
	// active says that the pool's list of active endpoints has this one.
	active bool
}

// TakesWork reports whether the endpoint serves the pool's requests: it is live and not evacuated.
// Package quota decides whether it may get a request now.
func (e *Endpoint) TakesWork() bool { return e.State == EndpointLive && !e.Evacuated }

// doubtHalfLife is the time in which a doubt halves if no further failure confirms it, so that an
// endpoint that failed for some seconds is tried again soon afterwards.
const doubtHalfLife = 4 * time.Second

// CurrentDoubt returns Doubt as it has decayed between DoubtAt and now.
func (e *Endpoint) CurrentDoubt(now time.Duration) float64 {
	if e.Doubt == 0 || now <= e.DoubtAt {
		return e.Doubt
	}
	return e.Doubt * math.Exp2(-float64(now-e.DoubtAt)/float64(doubtHalfLife))
}

// NoteProbed records the load that the endpoint reported.
func (e *Endpoint) NoteProbed(l ProbedLoad) { e.Probed = l }

// HasRoom reports whether the endpoint has a slot for one more request, by its probed load.
func (e *Endpoint) HasRoom() bool { return e.Probed.Load() < max(1, e.Probed.Slots) }

// queueAtEndpoint is the number of requests that may wait at an endpoint: one, so that a slot that
// becomes free is not idle until an entry notices. Endpoints queue only a few requests, and a full
// endpoint may hang.
const queueAtEndpoint = 1

// MayQueue reports whether one more request would get a slot or be the first to wait for one.
func (e *Endpoint) MayQueue() bool { return e.Probed.Load() < max(1, e.Probed.Slots)+queueAtEndpoint }

// Pool is a group of endpoints that serve the same requests. Services of the same pool compete for
// its slots.
type Pool struct {
	Name string
	// Endpoints are in a stable order; an index is valid until the next membership change.
	Endpoints []Endpoint
	// ColdQuota is the rate at which this entry may send to cold endpoints.
	ColdQuota ColdQuota
	// ViewWrong is set while most endpoints look bad, which means that this entry's own view is
	// probably wrong. It is owned by package health.
	ViewWrong bool
	// active lists the indexes of the endpoints whose state changes as time passes, so that an entry of a
	// large fleet need not look at the others.
	active []int32
}

// Activate adds the endpoint at index to the active ones.
func (p *Pool) Activate(index int) {
	if e := &p.Endpoints[index]; !e.active {
		e.active = true
		p.active = append(p.active, int32(index))
	}
}

// Active calls f for each active endpoint.
func (p *Pool) Active(f func(index int, e *Endpoint)) {
	for _, i := range p.active {
		f(int(i), &p.Endpoints[i])
	}
}

// HasActive reports whether any endpoint is active.
func (p *Pool) HasActive() bool { return len(p.active) > 0 }

// Deactivate removes the endpoints for which settled returns true from the active ones.
func (p *Pool) Deactivate(settled func(e *Endpoint) bool) {
	kept := p.active[:0]
	for _, i := range p.active {
		if e := &p.Endpoints[i]; settled(e) {
			e.active = false
		} else {
			kept = append(kept, i)
		}
	}
	p.active = kept
}

// Replace puts another endpoint into the row at index.
func (p *Pool) Replace(index int, e Endpoint) {
	e.active = p.Endpoints[index].active
	p.Endpoints[index] = e
}

// Slots returns the total number of slots of the endpoints that take work.
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
