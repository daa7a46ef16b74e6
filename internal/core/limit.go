package core

import (
	"maps"
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/tealhall/tealhall/internal/core/quota"
	"github.com/tealhall/tealhall/internal/core/table"
	"github.com/tealhall/tealhall/internal/message"
)

// endpointID identifies one incarnation of an endpoint.
type endpointID struct {
	name        string
	incarnation uint64
}

// knownLimit is the last known rate limit of an endpoint, and when the endpoint reported it.
type knownLimit struct {
	message.Limit
	at time.Duration
}

const (
	// maxLimits bounds the number of rate limits kept.
	maxLimits = 4096
	// limitRetention is how long the limit of an endpoint that is not on the VM list is kept.
	limitRetention = 5 * time.Minute
	// smallLimitChange is the relative change up to which a new limit is not spread at once.
	// Entries that send requests to the endpoint see the new limit in its answers in any case.
	smallLimitChange = 0.25
)

// noteReportedLimit records the rate limit that an endpoint reports in an answer, 0 for none.
func (c *Core) noteReportedLimit(now time.Duration, p *pool, e *table.Endpoint, rate float64, out *Actions) {
	limit := &e.Limit
	from, owners, renew := limit.Rate, limit.Owners, quota.RenewalDue(now, e)
	rises := from > 0 && (rate == 0 || rate > from)
	if rate == from && !(rate > 0 && renew) || rises && !quota.Settled(now, e) {
		return
	}
	quota.SetLimit(now, e, rate)
	if rate != from && limit.Owners == owners && isSmallChange(from, rate) && !renew {
		return
	}
	c.spreadLimit(now, e)
	p.recountLimits()
	if rate != from {
		c.auditLimit(e, from, "reported in its answer", out)
	}
}

// spreadLimit spreads the endpoint's rate limit to the fleet.
func (c *Core) spreadLimit(now time.Duration, e *table.Endpoint) {
	limit := &e.Limit
	limit.Period, _ = quota.OwnerPeriod(now, e)
	limit.SpreadAt = now
	limit.Version++
	current := message.Limit{Rate: limit.Rate, Version: limit.Version, Period: limit.Period}
	c.limits[endpointID{e.Name, e.Incarnation}] = knownLimit{current, now}
	c.fleet.gossip.Spread(now, []message.Evidence{{VM: limitSubject + e.Name, Incarnation: e.Incarnation, Kind: message.EvidenceLimit, Limit: current}})
}

// noteProbedLimit is noteReportedLimit for the answer to a load probe. An answer without a limit
// counts only if the endpoint has reported a limit in such answers before.
func (c *Core) noteProbedLimit(now time.Duration, p *pool, e *table.Endpoint, rate float64, out *Actions) {
	if rate > 0 {
		e.Limit.InProbes = true
	}
	if e.Limit.InProbes {
		c.noteReportedLimit(now, p, e, rate, out)
	}
}

func isSmallChange(a, b float64) bool {
	return a > 0 && b > 0 && max(a, b)-min(a, b) <= smallLimitChange*min(a, b)
}

// limitSubject is the prefix of the subject of evidence about limits. The subject is not the name
// of a VM, since entries of earlier releases treat evidence of an unknown kind as the end of the
// VM.
const limitSubject = "limit of "

// processLimits processes evidence about the rate limits of endpoints.
func (c *Core) processLimits(now time.Duration, evidence []message.Evidence, out *Actions) {
	for i := range evidence {
		ev := &evidence[i]
		name, named := strings.CutPrefix(ev.VM, limitSubject)
		if ev.Kind != message.EvidenceLimit || !named || !(ev.Rate >= 0) || math.IsInf(ev.Rate, 1) {
			continue
		}
		id := endpointID{name, ev.Incarnation}
		last, found := c.limits[id]
		received := knownLimit{ev.Limit, now - time.Duration(ev.AgeMillis)*time.Millisecond}
		if found && !received.Newer(last.Limit) || !found && len(c.limits) >= maxLimits {
			continue
		}
		c.limits[id] = received
		if ref, ok := c.fleet.rows[name]; ok {
			c.applyLimit(now, ref.pool, ref.index, "a peer", out)
		}
	}
}

// applyLimit copies the known limit of an endpoint into its row.
func (c *Core) applyLimit(now time.Duration, p *pool, index int, actor string, out *Actions) {
	e := &p.Endpoints[index]
	known, found := c.limits[endpointID{e.Name, e.Incarnation}]
	if !found {
		return
	}
	from := e.Limit.Rate
	quota.SetLimit(now, e, known.Rate)
	e.Limit.Version, e.Limit.Period, e.Limit.SpreadAt = known.Version, known.Period, known.at
	p.recountLimits()
	if from != known.Rate {
		c.auditLimit(e, from, "reported by "+actor, out)
	}
}

// recountLimits counts the pool's endpoints with a rate limit and has refreshOwnership compute the
// owners again.
func (p *pool) recountLimits() {
	p.cold.at, p.limited = 0, 0
	for i := range p.Endpoints {
		if e := &p.Endpoints[i]; e.State == table.EndpointLive && quota.IsLimited(e) {
			p.limited++
		}
	}
}

// forgetLimits drops the limits of endpoints that are no longer listed.
func (c *Core) forgetLimits(now time.Duration) {
	maps.DeleteFunc(c.limits, func(id endpointID, k knownLimit) bool {
		ref, listed := c.fleet.rows[id.name]
		return now-k.at >= limitRetention && (!listed || ref.pool.endpointAt(ref.index, id.incarnation) == nil)
	})
}

func (c *Core) auditLimit(e *table.Endpoint, from float64, why string, out *Actions) {
	out.note(Note{Subject: "endpoint " + e.Name, Action: "limited", From: limitText(from), To: limitText(e.Limit.Rate), Why: why})
}

func limitText(rate float64) string {
	if rate == 0 {
		return "no limit"
	}
	return strconv.FormatFloat(rate, 'g', 4, 64) + " requests a second from all entries"
}
