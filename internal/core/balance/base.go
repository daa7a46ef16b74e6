package balance

import (
	"math/rand/v2"
	"time"

	"github.com/tealhall/tealhall/internal/core/quota"
	"github.com/tealhall/tealhall/internal/core/table"
)

const (
	// serviceWeight is the weight of a new measurement in Endpoint.ServiceNanos.
	serviceWeight = 0.1
	// maxSampleFactor bounds a measurement to a multiple of the present value, so that a few very
	// long requests do not make an endpoint look slow.
	maxSampleFactor = 4
	// noEndpointWait is how long to wait when no endpoint may be used at all.
	noEndpointWait = 5 * time.Millisecond
)

// basePolicy is the part that all policies share: which endpoints are eligible, and the update of
// the fields of table.Endpoint that this package owns (Reported, ServiceNanos).
type basePolicy struct {
	cfg Config
	rng *rand.Rand
}

func (b *basePolicy) Changed(time.Duration, *table.Pool, []string)           {}
func (b *basePolicy) PeerHeard(int, time.Duration)                           {}
func (b *basePolicy) Dispatched(time.Duration, *table.Pool, int)             {}
func (b *basePolicy) PeerReported(time.Duration, *table.Pool, int, PeerLoad) {}

func (b *basePolicy) LoadReported(_ time.Duration, p *table.Pool, i int, s table.ReportedLoad) {
	e := &p.Endpoints[i]
	if s.Seen && (!e.Reported.Seen || s.At > e.Reported.At) {
		e.Reported = s
	}
}

func (b *basePolicy) Answered(now time.Duration, p *table.Pool, i int, obs Observation) {
	e := &p.Endpoints[i]
	b.noteLoad(now, e, obs)
	// A refusal or failure is quick; counting it as service time would make an endpoint that
	// refuses everything look fast.
	if !obs.Refused && !obs.Failed {
		b.measure(e, obs.Latency)
	}
}

// noteLoad records the load that an answer reported.
func (b *basePolicy) noteLoad(now time.Duration, e *table.Endpoint, obs Observation) {
	if !obs.HasLoad {
		return
	}
	e.Reported = table.ReportedLoad{
		Foreign: max(0, int32(obs.InFlight+obs.Queued)-e.Outstanding),
		At:      now,
		Seen:    true,
	}
	if obs.Slots > 0 {
		e.Slots = int32(obs.Slots)
	}
}

// measure records a service time.
func (b *basePolicy) measure(e *table.Endpoint, latency time.Duration) {
	if e.ServiceNanos == 0 {
		e.ServiceNanos = float64(latency)
		return
	}
	sample := min(float64(latency), maxSampleFactor*e.ServiceNanos)
	e.ServiceNanos += serviceWeight * (sample - e.ServiceNanos)
}

// serviceTime returns the endpoint's service time in nanoseconds, or the assumed one.
func (b *basePolicy) serviceTime(e *table.Endpoint) float64 {
	if e.ServiceNanos > 0 {
		return e.ServiceNanos
	}
	return float64(b.cfg.ServiceTime)
}

// usable reports whether e may get a request and is not ejected.
func usable(now time.Duration, p *table.Pool, e *table.Endpoint) bool {
	return quota.Of(now, p, e) == quota.Granted && now >= e.Health.EjectedUntil
}

// eligibility says which endpoints may be chosen, depending on the state of all endpoints of the
// pool.
type eligibility uint8

const (
	// notEjected allows the endpoints that may get a request and are not ejected.
	notEjected eligibility = iota
	// ejectedToo allows ejected endpoints as well. It applies when every endpoint that may get a
	// request is ejected: then either this entry's view is wrong or nothing is lost by trying.
	ejectedToo
	// noneUsable says that no endpoint may be used.
	noneUsable
)

// requiredEligibility returns which endpoints may be chosen for this request.
func requiredEligibility(now time.Duration, p *table.Pool, tried Set) eligibility {
	found := noneUsable
	for i := range p.Endpoints {
		e := &p.Endpoints[i]
		if quota.Of(now, p, e) != quota.Granted || tried.Has(i) {
			continue
		}
		if now >= e.Health.EjectedUntil {
			return notEjected
		}
		found = ejectedToo
	}
	return found
}

// eligible reports whether endpoint i may get the request under the eligibility s.
func eligible(now time.Duration, p *table.Pool, i int, tried Set, s eligibility) bool {
	e := &p.Endpoints[i]
	if quota.Of(now, p, e) != quota.Granted || tried.Has(i) {
		return false
	}
	return s == ejectedToo || now >= e.Health.EjectedUntil
}

// trial returns an ejected endpoint whose next trial is due.
func trial(now time.Duration, p *table.Pool, req Request) (Choice, bool) {
	if !req.Trial {
		return Choice{}, false
	}
	for i := range p.Endpoints {
		e := &p.Endpoints[i]
		if quota.Of(now, p, e) == quota.Granted && e.Health.EjectedUntil > now && e.Health.TrialAt > 0 &&
			now >= e.Health.TrialAt && e.Outstanding == 0 && !req.Tried.Has(i) {
			return Choice{Index: i, OK: true, Trial: true}, true
		}
	}
	return Choice{}, false
}

// begin does the first steps of every policy. It returns the eligibility for the choice, or a
// finished choice.
func (b *basePolicy) begin(now time.Duration, p *table.Pool, req Request) (eligibility, Choice, bool) {
	if c, ok := trial(now, p, req); ok {
		return notEjected, c, true
	}
	s := requiredEligibility(now, p, req.Tried)
	if s == noneUsable {
		return s, Choice{Wait: noEndpointWait}, true
	}
	return s, Choice{}, false
}

// pickRandom returns a random eligible endpoint other than not.
func (b *basePolicy) pickRandom(now time.Duration, p *table.Pool, tried Set, s eligibility, not int) (int, bool) {
	count, chosen := 0, -1
	for i := range p.Endpoints {
		if i == not || !eligible(now, p, i, tried, s) {
			continue
		}
		count++
		if b.rng.IntN(count) == 0 {
			chosen = i
		}
	}
	return chosen, chosen >= 0
}
