package balance

import (
	"math"
	"time"

	"github.com/tealhall/tealhall/internal/core/table"
)

const (
	// minSilence and silenceFactor (times the service time) bound how long a peer's counts stay
	// valid without an update from the peer: several update intervals and several service times,
	// since a peer sends only changes. After that, the slots that a partitioned or paused peer used
	// look idle to this entry.
	minSilence    = 100 * time.Millisecond
	silenceFactor = 4
	// minIdleShare is the least part of a slot that must look idle for the slot to be tried.
	minIdleShare = 0.5
	// pickInterval is the longest time until the next Pick for a waiting request. Even if no load
	// is reported, the estimated loads decay in that time, so that a slot may look idle.
	pickInterval = 2 * time.Millisecond
	// preferredBonus ranks an idle slot of a preferred endpoint before all others. rankCost
	// decides between endpoints with the same score.
	preferredBonus = 10
	// longWaitFactor is the number of idle waits after which a request queues at an endpoint
	// however full that looks.
	longWaitFactor = 20
	rankCost       = 1e-3
)

// claims keeps a request in the entry's queue until a slot looks idle, by the entry's own count, by
// its peers' counts and by the loads that answers report. Each entry takes the slots in another
// order, so that entries choose the same slot as seldom as possible. The request asks the endpoint
// to refuse rather than queue it, so that a wrong view costs one round trip instead of a service
// time. A request that has waited longer than the idle wait may queue at an endpoint: it gets the
// next free slot there, whichever entry used it before. Otherwise an entry would starve while
// others reuse their slots for their own requests.
type claims struct {
	basePolicy
	order   order
	peers   peerLoads
	records []endpointRecord
	// medianService is the pool's median service time in nanoseconds, updated after every
	// medianEvery answers.
	medianService float64
	answers       int
	// lastIdleOnly says whether the last choice asked for an idle slot.
	lastIdleOnly bool
}

// Changed implements Picker.
func (c *claims) Changed(_ time.Duration, p *table.Pool, deciders []string) {
	c.order.invalidate(deciders)
	c.peers.reset(len(p.Endpoints), len(deciders))
	c.records = cleared(c.records, len(p.Endpoints))
	c.medianService = median(p)
}

// Dispatched implements Picker.
func (c *claims) Dispatched(now time.Duration, _ *table.Pool, i int) {
	c.records[i].attempts.add(now, !c.lastIdleOnly)
}

// Answered implements Picker.
func (c *claims) Answered(now time.Duration, p *table.Pool, i int, obs Observation) {
	r, e := &c.records[i], &p.Endpoints[i]
	served := r.attempts.remove(now - obs.Latency)
	c.noteLoad(now, e, obs)
	switch {
	case obs.Failed:
		r.noteFailure(now)
		return
	case obs.Refused:
		// The refusal itself proves that no slot is idle, whatever load the endpoint reports.
		c.peers.setReported(now, i, max(e.Reported.Foreign, e.Slots-e.Outstanding))
		return
	}
	if obs.HasLoad {
		c.peers.setReported(now, i, e.Reported.Foreign)
	}
	r.failures, r.avoidUntil = 0, 0
	if served {
		c.measure(e, obs.Latency)
		r.noteMeasurement(now, c.slow(e))
	}
	c.answers++
	if c.answers%medianEvery == 0 {
		c.medianService = median(p)
	}
}

// LoadReported implements Picker.
func (c *claims) LoadReported(now time.Duration, p *table.Pool, i int, s table.ReportedLoad) {
	c.basePolicy.LoadReported(now, p, i, s)
	if s.Seen {
		c.peers.setReported(s.At, i, s.Foreign)
	}
}

// PeerReported implements Picker.
func (c *claims) PeerReported(_ time.Duration, _ *table.Pool, i int, load PeerLoad) {
	c.peers.setPeerCount(i, load)
}

// PeerHeard implements Picker.
func (c *claims) PeerHeard(from int, at time.Duration) { c.peers.noteHeard(from, at) }

// Pick implements Picker.
func (c *claims) Pick(now time.Duration, p *table.Pool, req Request, waited time.Duration) Choice {
	s, choice, done := c.begin(now, p, req)
	if done {
		c.lastIdleOnly = false
		return choice
	}
	c.order.refresh(p, c.cfg.Self)
	c.peers.expire(now, max(minSilence, time.Duration(silenceFactor*c.typicalService())))
	if i, ok := c.pickIdle(now, p, req, s, waited); ok {
		c.lastIdleOnly = !req.MustQueue
		return Choice{Index: i, OK: true, IdleOnly: !req.MustQueue}
	}
	if idleLimit := c.idleWait(); waited < idleLimit {
		return Choice{Wait: min(pickInterval, idleLimit-waited)}
	}
	if i, ok := c.pickQueue(now, p, req, s, waited); ok {
		c.lastIdleOnly = false
		return Choice{Index: i, OK: true}
	}
	return Choice{Wait: pickInterval}
}

// idleWait returns how long a request waits only for an idle slot.
func (c *claims) idleWait() time.Duration {
	return time.Duration(c.cfg.IdleWait * c.typicalService())
}

// typicalService returns the pool's service time in nanoseconds, measured or assumed.
func (c *claims) typicalService() float64 {
	if c.medianService > 0 {
		return c.medianService
	}
	return float64(c.cfg.ServiceTime)
}

// pickIdle returns the best endpoint that seems to have an idle slot.
func (c *claims) pickIdle(now time.Duration, p *table.Pool, req Request, s eligibility, waited time.Duration) (int, bool) {
	best, bestScore := -1, 0.0
	for i := range p.Endpoints {
		e := &p.Endpoints[i]
		slots := max(1, e.Slots)
		if e.Outstanding >= slots || !eligible(now, p, i, req.Tried, s) {
			continue
		}
		free := float64(slots-e.Outstanding) - c.foreign(now, i, e, req)
		if free < minIdleShare || c.passOver(now, e, i, req, waited) {
			continue
		}
		score := free/float64(slots) - float64(c.order.rank[i])*rankCost
		if c.order.preferred[i] {
			score += preferredBonus
		}
		if best < 0 || score > bestScore {
			best, bestScore = i, score
		}
	}
	return best, best >= 0
}

// foreign returns the estimate of the foreign load. Which estimate is used depends on what a wrong
// one costs: a round trip, or a wait in the endpoint's queue.
func (c *claims) foreign(now time.Duration, i int, e *table.Endpoint, req Request) float64 {
	if req.MustQueue {
		return c.peers.expected(now, i, c.serviceTime(e))
	}
	return c.peers.foreign(now, i, c.serviceTime(e))
}

// passOver reports whether an endpoint should not be used now: it failed a moment ago, or is so
// slow that the request would end earlier by waiting for another endpoint.
func (c *claims) passOver(now time.Duration, e *table.Endpoint, i int, req Request, waited time.Duration) bool {
	r := &c.records[i]
	if now < r.avoidUntil {
		return true
	}
	if !c.slow(e) {
		return false
	}
	if req.Trial && e.Outstanding == 0 && now >= r.retryAt {
		return false
	}
	return float64(waited) < e.ServiceNanos-c.medianService
}

func (c *claims) slow(e *table.Endpoint) bool {
	return c.medianService > 0 && e.ServiceNanos > slowFactor*c.medianService
}

// pickQueue returns the endpoint where a queued request is served soonest. The limit on the
// endpoint's queue does not apply after a long wait, nor while this entry has no attempt in
// flight: no answer would then correct a view in which every queue is full.
func (c *claims) pickQueue(now time.Duration, p *table.Pool, req Request, s eligibility, waited time.Duration) (int, bool) {
	limit := float64(c.cfg.QueueAtEndpoint) - minIdleShare
	if waited > longWaitFactor*c.idleWait() || p.Outstanding() == 0 {
		limit = math.Inf(1)
	}
	best, bestTime := -1, 0.0
	for i := range p.Endpoints {
		if !eligible(now, p, i, req.Tried, s) {
			continue
		}
		e, r := &p.Endpoints[i], &c.records[i]
		service, slots := c.serviceTime(e), float64(max(1, e.Slots))
		foreign := c.peers.expected(now, i, service)
		load := float64(e.Outstanding) + foreign
		ahead := max(0, load-slots)
		if now < r.avoidUntil || ahead >= limit {
			continue
		}
		// Only the number of the foreign attempts is known: the first of them ends on average
		// after this part of a service time.
		end := min(r.attempts.nextEnd(now, service), service/(min(foreign, slots)+1))
		ready := end + ahead*service/slots + service
		if best < 0 || ready < bestTime {
			best, bestTime = i, ready
		}
	}
	return best, best >= 0
}
