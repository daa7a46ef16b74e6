package balance

import (
	"time"

	"github.com/tealhall/tealhall/internal/core/table"
)

const (
	// peerSilence is how long a peer's counts are believed without news. It
	// spans several updates; a peer that is partitioned away or has paused
	// then stops holding slots in this entry's view.
	peerSilence = 100 * time.Millisecond
	// idleShare is how much of a slot must look idle to try it.
	idleShare = 0.5
	// askAgain is how soon a waiting request asks again without news, as the
	// estimates fade.
	askAgain = 2 * time.Millisecond
)

// claims keeps a request in the entry's queue until a slot looks idle, by the
// entry's own count, its peers' counts and the reports on answers, and takes the
// slots in an order in which the deciders meet as late as possible. The request
// asks the endpoint to refuse rather than queue it, so that a wrong view costs
// one round trip instead of a service time.
type claims struct {
	view
	order order
	peers peerLoads
}

// Changed implements Picker.
func (c *claims) Changed(_ time.Duration, p *table.Pool, deciders []string) {
	c.order.rebuild(p, deciders, c.cfg.Self)
	c.peers.reset(len(p.Endpoints), len(deciders))
}

// Answered implements Picker.
func (c *claims) Answered(now time.Duration, p *table.Pool, i int, obs Observation) {
	c.view.Answered(now, p, i, obs)
	if obs.HasLoad {
		c.peers.sighted(now, i, p.Endpoints[i].Sighting.Foreign)
	}
}

// Told implements Picker.
func (c *claims) Told(now time.Duration, p *table.Pool, i int, s table.Sighting) {
	c.view.Told(now, p, i, s)
	if s.Seen {
		c.peers.sighted(s.At, i, s.Foreign)
	}
}

// PeerTold implements Picker.
func (c *claims) PeerTold(_ time.Duration, _ *table.Pool, i int, load PeerLoad) {
	c.peers.told(i, load)
}

// Pick implements Picker.
func (c *claims) Pick(now time.Duration, p *table.Pool, ask Ask, waited time.Duration) Choice {
	s, choice, done := c.begin(now, p, ask)
	if done {
		return choice
	}
	c.peers.expire(now)
	best, bestScore := -1, 0.0
	for i := range p.Endpoints {
		e := &p.Endpoints[i]
		slots := max(1, e.Slots)
		if e.Outstanding >= slots || !eligible(now, p, i, ask.Tried, s) {
			continue
		}
		free := float64(slots-e.Outstanding) - c.peers.foreign(now, i, c.service(e))
		if free < idleShare {
			continue
		}
		score := c.score(i, free, float64(slots))
		if best < 0 || score > bestScore {
			best, bestScore = i, score
		}
	}
	if best >= 0 {
		return Choice{Index: best, OK: true, IdleOnly: true}
	}
	if waited >= c.cfg.Patience {
		if i, ok := c.queueAt(now, p, ask, s); ok {
			return Choice{Index: i, OK: true}
		}
		return Choice{Wait: askAgain}
	}
	return Choice{Wait: min(askAgain, c.cfg.Patience-waited)}
}

// queueAt returns the endpoint where a queued request is served soonest.
func (c *claims) queueAt(now time.Duration, p *table.Pool, ask Ask, s standing) (int, bool) {
	best, bestTime := -1, 0.0
	for i := range p.Endpoints {
		if !eligible(now, p, i, ask.Tried, s) {
			continue
		}
		e := &p.Endpoints[i]
		load := float64(e.Outstanding) + c.peers.foreign(now, i, c.service(e))
		if load >= float64(int(e.Slots)+c.cfg.QueueAtEndpoint)-idleShare {
			continue
		}
		t := load + float64(c.order.rank[i])*1e-3
		if best < 0 || t < bestTime {
			best, bestTime = i, t
		}
	}
	return best, best >= 0
}

// score prefers endpoints of the own share, then emptier ones, then the order.
func (c *claims) score(i int, free, slots float64) float64 {
	score := free/slots - float64(c.order.rank[i])*1e-3
	if c.order.home[i] {
		score += 10
	}
	return score
}

func (v *view) service(e *table.Endpoint) float64 {
	if e.ServiceNanos > 0 {
		return e.ServiceNanos
	}
	return float64(v.cfg.Service)
}
