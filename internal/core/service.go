package core

import (
	"strconv"
	"time"

	"github.com/tealhall/tealhall/internal/core/balance"
	"github.com/tealhall/tealhall/internal/core/budget"
	"github.com/tealhall/tealhall/internal/core/health"
	"github.com/tealhall/tealhall/internal/core/placement"
	"github.com/tealhall/tealhall/internal/core/queue"
	"github.com/tealhall/tealhall/internal/core/reach"
	"github.com/tealhall/tealhall/internal/core/table"
	"github.com/tealhall/tealhall/internal/profile"
	"github.com/tealhall/tealhall/internal/published"
)

const (
	// defaultPolicy is the balance policy if the settings name no valid one.
	defaultPolicy = balance.Default
	// minRetriesPerSecond is the retry rate of all entries together for a service that has too
	// little traffic to earn retries.
	minRetriesPerSecond = 1
	// initialServiceTime is the service time assumed before one is measured.
	initialServiceTime = 15 * time.Millisecond
)

// service is one service of the profiles in force.
type service struct {
	name  string
	index int32
	spec  *profile.Service
	// policy is the policy of the mode in force, ordinary or close.
	policy *profile.Policy
	pool   *pool
	retry  *budget.Retry
	// idleRetry is the budget for retries after refusals by endpoints that had no idle slot.
	idleRetry *budget.Retry
	// silentRetry is the budget for retries after attempts whose connection went silent.
	silentRetry *budget.Retry
	// inUse counts this entry's attempts in flight for the service.
	inUse int
	// entries is the number of entries to which callers of the service are sent.
	entries int
	// chosen are these entries, as of chosenVersion of the fleet's entries and for chosenPerDomain
	// entries of each failure domain; nil before they were needed.
	chosen          []uint64
	chosenVersion   uint64
	chosenPerDomain int
	// demand is how many slots the service's traffic occupies.
	demand queue.Demand
	// typical is the typical latency of the service's answers on the pool.
	typical health.Typical
	// hedges are the requests that may still be hedged, oldest first.
	hedges []pendingHedge
	// longest is the longest of the service's recent attempts.
	longest longestAttempt
	// work is the median time that requests of the service take at idle endpoints.
	work placement.Median
	// kilobytes is the smoothed size of a request with its answer.
	kilobytes float64
	// callerTimeout is the median deadline that callers of the service give.
	callerTimeout placement.Median
	// arrived counts the requests since the last sample of the rate.
	arrived uint64
}

// pool is a group of endpoints with the queue of requests that wait for them.
type pool struct {
	table.Pool
	picker       balance.Picker
	queue        *queue.Queue
	healthProbes *budget.HealthProbes
	services     []*service
	slotUsers    []queue.SlotUser
	peerSlots    peerSlots
	// deciders are the entries to which callers of the services are sent, in the order in which the
	// picker knows them. serving is true if this entry is one of them.
	deciders     []uint64
	deciderNames []string
	// since is when the pool got its first endpoint, and gone the number of rows whose endpoints are
	// gone.
	since time.Duration
	gone  int
	// newRows is true if the policy has not been notified yet of endpoints that were added.
	newRows bool
	serving bool
	// probeAssigned is true for each endpoint that this entry has to probe, as of
	// probeAssignedVersion of the member table.
	probeAssigned        []bool
	probeAssignedVersion uint64
	// serviceNanos is the smoothed time for which a request occupies a slot.
	serviceNanos float64
	// repeats bounds the attempts beyond the first of each request; nil means no bound.
	repeats *budget.Repeats
	// loadProbes is the budget for load probes. probingFor is the request at the head of the queue
	// whose probe round is under way, and probeAgainAt is when the next round may start.
	loadProbes   *budget.LoadProbes
	probingFor   RequestID
	probeAgainAt time.Duration
	// loadless counts the successive load probes that were answered without a load.
	loadless int
	// probePath is the path at which the endpoints report their load, "" for contract.ProbePath.
	probePath string
	// placementState is what package placement has learned about the endpoints.
	placementState placement.PoolState
	cold           coldOwners
	// reach records whether this entry reaches the endpoints.
	reach reach.Tracker
	// dials records whether new connections to the endpoints can be opened, and knownUnconnected says
	// that none could and that requests use open connections only. nextDialProbe is when the next
	// new connection is tried.
	dials            reach.Tracker
	knownUnconnected bool
	nextDialProbe    time.Duration
	// knownLost says that the pool is lost and its requests were relayed. nextReachProbe and
	// lastReachProbe are the time of the next probe of a lost pool and the row of the latest one;
	// nextTrial is when a request may next be tried at a lost pool.
	knownLost                 bool
	nextReachProbe, nextTrial time.Duration
	lastReachProbe            int
	// cutHelpersUntil is until when helpers that served a request are preferred, since others did not
	// reach the pool either.
	cutHelpersUntil time.Duration
	// unserved counts the requests for a lost pool that nobody served since one was last tried.
	unserved int
	// limited counts the endpoints with a rate limit.
	limited int
}

// expectedWork is how long a request of the service is expected to occupy a slot.
func (sv *service) expectedWork() time.Duration {
	if typical := sv.typical.Latency(); typical > 0 {
		return typical
	}
	return time.Duration(sv.pool.serviceNanos)
}

// resetAfterPause drops what the entry knew of the endpoints' load before its process paused for
// gap.
func (p *pool) resetAfterPause(now, gap time.Duration) {
	for i := range p.Endpoints {
		p.Endpoints[i].Reported = table.ReportedLoad{}
	}
	p.peerSlots = peerSlots{}
	p.reach.Reset()
	p.dials.Reset()
	health.Pause(now, gap, &p.Pool)
}

// countLive counts the endpoints that take work. Rows of endpoints that are gone stay for a while;
// if they counted for the bound on load probes, the remaining endpoints would be probed more often
// than the bound allows.
func (p *pool) countLive() (n int) {
	for i := range p.Endpoints {
		if p.Endpoints[i].TakesWork() {
			n++
		}
	}
	return n
}

// endpointAt returns the row at index if it still belongs to the given incarnation, or nil.
func (p *pool) endpointAt(index int, incarnation uint64) *table.Endpoint {
	if index < 0 || index >= len(p.Endpoints) {
		return nil
	}
	e := &p.Endpoints[index]
	if e.Incarnation != incarnation {
		return nil
	}
	return e
}

// find returns the index of the endpoint of that name and incarnation, or -1.
// Incarnation 0 matches any incarnation that is not gone.
func (p *pool) find(name string, incarnation uint64) int {
	for i := range p.Endpoints {
		e := &p.Endpoints[i]
		if e.Name != name || e.State == table.EndpointGone {
			continue
		}
		if incarnation == 0 || e.Incarnation == incarnation {
			return i
		}
	}
	return -1
}

// add adds an endpoint to the pool. It reuses the row of an endpoint that is gone only if no
// attempt refers to the row any more, so that an index stays valid as long as an attempt uses it.
func (p *pool) add(now time.Duration, vm published.VM) (index int) {
	row := table.Endpoint{
		Name:        vm.Name,
		Incarnation: vm.Incarnation,
		Address:     vm.Address,
		Region:      vm.Region,
		Domain:      vm.Domain,
		Slots:       int32(vm.Slots),
		Listed:      int32(vm.Slots),
		AdmittedAt:  now,
	}
	if len(p.Endpoints) == 0 {
		p.since = now
	}
	placement.BeginSlowStart(now, p.since, p.Endpoints, &row)
	for i := 0; p.gone > 0 && i < len(p.Endpoints); i++ {
		e := &p.Endpoints[i]
		if e.State == table.EndpointGone && e.Outstanding == 0 {
			p.Replace(i, row)
			p.gone--
			p.peerSlots.forgetRow(i)
			p.recountLimits()
			p.activateJoined(i)
			return i
		}
	}
	p.Endpoints = append(p.Endpoints, row)
	p.activateJoined(len(p.Endpoints) - 1)
	return len(p.Endpoints) - 1
}

// activateJoined makes a new endpoint active if it is in slow start.
func (p *pool) activateJoined(index int) {
	if p.Endpoints[index].SlowUntil != 0 {
		p.Activate(index)
	}
}

// poolNamed returns the pool of that name and creates it if necessary.
func (c *Core) poolNamed(name string) *pool {
	if p, ok := c.pools[name]; ok {
		return p
	}
	config := balance.Config{Self: c.cfg.Self.Name}
	picker, err := balance.New(c.cfg.Policy, config, c.rng)
	if err != nil {
		picker, _ = balance.New(defaultPolicy, config, c.rng)
	}
	p := &pool{
		Pool:   table.Pool{Name: name},
		picker: picker,
		queue:  queue.New(),
		healthProbes: budget.NewHealthProbes(budget.HealthProbeConfig{
			ProbeCost:    c.cfg.ProbeCost,
			LargestFleet: c.cfg.LargestFleet,
		}),
		serviceNanos:   float64(initialServiceTime),
		repeats:        budget.NewRepeats(c.cfg.Repeats, c.cfg.LargestFleet, 0),
		loadProbes:     budget.NewLoadProbes(c.cfg.LoadProbesPerEndpoint),
		placementState: placement.NewPoolState(),
	}
	p.repeats.SetFleet(c.fleet.maxEntriesSeen)
	c.pools[name] = p
	c.poolRows = append(c.poolRows, p)
	return p
}

// applySnapshot puts all services of s in force together.
func (c *Core) applySnapshot(s *profile.Snapshot, out *Actions) {
	old := c.snapshot
	c.snapshot = s
	_, c.closing = s.CloseAt(c.wall)
	wanted := make(map[string]bool, len(s.Services()))
	for _, spec := range s.Services() {
		wanted[spec.Name] = true
		c.applyService(spec)
	}
	for _, sv := range c.serviceRows {
		if !wanted[sv.name] {
			delete(c.services, sv.name)
		}
	}
	c.splits = splitsOf(s, c.splits, c.rng)
	c.regroupPools()
	from := revisionText(0)
	if old != nil {
		from = revisionText(old.Revision())
	}
	out.note(Note{Subject: "profiles", Action: "in-force", From: from, To: revisionText(s.Revision()), Revision: s.Revision(),
		Why: strconv.Itoa(len(s.Services())) + " services"})
}

func (c *Core) applyService(spec *profile.Service) {
	sv, ok := c.services[spec.Name]
	if !ok {
		sv = c.serviceRow(spec.Name)
		c.services[spec.Name] = sv
	}
	sv.spec = spec
	sv.pool = c.poolNamed(spec.Pool)
	sv.pool.probePath = spec.ProbePath
	c.setWarmup(sv.pool, spec.Warmup)
	c.applyMode(sv)
}

// serviceRow returns the existing row of the service, or a new one.
func (c *Core) serviceRow(name string) *service {
	if sv, ok := c.rowsByService[name]; ok {
		return sv
	}
	sv := &service{name: name, index: int32(len(c.serviceRows))}
	c.serviceRows = append(c.serviceRows, sv)
	c.rowsByService[name] = sv
	return sv
}

// applyMode switches a service to the policy of the mode in force.
func (c *Core) applyMode(sv *service) {
	sv.policy = sv.spec.Policy(c.closing)
	if sv.retry == nil {
		sv.idleRetry = budget.NewRetry(budget.RetryConfig{Share: idleRefusalShare, LargestFleet: 1})
		sv.silentRetry = budget.NewRetry(budget.RetryConfig{Share: silentShare, LargestFleet: 1, Cap: silentCap})
		sv.retry = budget.NewRetry(budget.RetryConfig{
			Share:        sv.policy.RetryBudget,
			MinPerSecond: minRetriesPerSecond,
			LargestFleet: c.cfg.LargestFleet,
		})
		return
	}
	sv.retry.SetShare(sv.policy.RetryBudget)
}

// regroupPools rebuilds the list of services of each pool.
func (c *Core) regroupPools() {
	for _, p := range c.poolRows {
		p.services = p.services[:0]
	}
	for _, sv := range c.serviceRows {
		if c.services[sv.name] != sv {
			continue
		}
		sv.pool.services = append(sv.pool.services, sv)
	}
	for _, p := range c.poolRows {
		p.slotUsers = make([]queue.SlotUser, len(p.services))
		limits, _ := c.snapshot.PoolLimits(p.Name, c.closing)
		p.healthProbes.SetShare(limits.ProbeBudget)
	}
}

// applyCalendar starts and ends a close by the local calendar, so that the mode also changes while
// the configuration service is down.
func (c *Core) applyCalendar(now time.Duration, out *Actions) {
	if c.snapshot == nil {
		return
	}
	cl, closing := c.snapshot.CloseAt(c.wall)
	if closing == c.closing {
		return
	}
	c.closing = closing
	for _, sv := range c.services {
		c.applyMode(sv)
	}
	c.regroupPools()
	c.assignServices(now)
	mode := modeName(closing)
	out.note(Note{Subject: "mode", Action: "switch", From: modeName(!closing), To: mode, Revision: c.snapshot.Revision(),
		Why: closeReason(cl, closing)})
}

func modeName(closing bool) string {
	if closing {
		return "close"
	}
	return "ordinary"
}

func closeReason(cl profile.Close, closing bool) string {
	if closing {
		return "calendar: close " + cl.Name + " began"
	}
	return "calendar: the close ended"
}
