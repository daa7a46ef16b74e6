package core

import (
	"strconv"
	"time"

	"github.com/tealhall/tealhall/internal/core/balance"
	"github.com/tealhall/tealhall/internal/core/budget"
	"github.com/tealhall/tealhall/internal/core/health"
	"github.com/tealhall/tealhall/internal/core/placement"
	"github.com/tealhall/tealhall/internal/core/queue"
	"github.com/tealhall/tealhall/internal/core/table"
	"github.com/tealhall/tealhall/internal/profile"
	"github.com/tealhall/tealhall/internal/published"
)

const (
	// defaultPolicy is the choice policy where the settings name none.
	defaultPolicy = balance.Default
	// minRetriesPerSecond is what all entries together may retry for a service
	// that has too little traffic to earn retries.
	minRetriesPerSecond = 1
	// firstService is the service time assumed before any was measured.
	firstService = 15 * time.Millisecond
)

// service is one service of the profiles in force.
type service struct {
	name  string
	index int32
	spec  *profile.Service
	// policy is the one of the mode in force, ordinary or close.
	policy *profile.Policy
	pool   *pool
	retry  *budget.Retry
	// idle pays for refusals by endpoints that had no idle slot.
	idle *budget.Retry
	// silent pays for another attempt after one whose connection went silent.
	silent *budget.Retry
	// inUse counts this entry's attempts in flight for the service.
	inUse int
	// entries is how many entries callers of the service are sent to.
	entries int
	// demand is how many slots the service's traffic keeps busy.
	demand queue.Demand
	// typical is how long its answers commonly take on the pool.
	typical health.Typical
	// hedges are the requests that may still be hedged, oldest first.
	hedges []hedgeDue
	// work is how long its requests take at endpoints that were idle.
	work placement.Median
	// kilobytes is a smoothed size of a request with its answer.
	kilobytes float64
	// callerTimeout is for how long callers commonly say that they wait.
	callerTimeout placement.Median
	// arrived counts requests since the last rate sample.
	arrived uint64
}

// pool is a group of endpoints with the queue that waits for them.
type pool struct {
	table.Pool
	picker       balance.Picker
	queue        *queue.Queue
	healthProbes *budget.HealthProbes
	services     []*service
	slotUsers    []queue.SlotUser
	peerSlots    peerSlots
	// deciders are the entries to which callers of the services are sent, in
	// the order in which the picker knows them; serving says that this is one.
	deciders     []uint64
	deciderNames []string
	// newRows says that the policy has not been told of endpoints that were added.
	newRows bool
	serving bool
	// probed says for each endpoint whether this entry probes it, as of
	// probedVersion of the member table.
	probed        []bool
	probedVersion uint64
	// serviceNanos is a smoothed time that a request holds a slot.
	serviceNanos float64
	// repeats bounds attempts beyond the first of each request, nil for no bound.
	repeats *budget.Repeats
	// loadProbes pays for load probes; probingFor is the request at the head of
	// the queue for which a round is under way, probeAgainAt when the next may be.
	loadProbes   *budget.LoadProbes
	probingFor   RequestID
	probeAgainAt time.Duration
	// loadless counts load probes in a row that were answered without a load.
	loadless int
	// probePath is where the endpoints tell their load, "" for the contract's.
	probePath string
	// learned is what placement learned of the endpoints.
	learned placement.Pool
	cold    coldOwners
	// limited counts the endpoints that name a limit.
	limited int
}

// expectedWork is how long a request of the service is taken to hold a slot.
func (sv *service) expectedWork() time.Duration {
	if typical := sv.typical.Latency(); typical > 0 {
		return typical
	}
	return time.Duration(sv.pool.serviceNanos)
}

// forgetBeliefs drops what a process that slept for gap believed of endpoints.
func (p *pool) forgetBeliefs(now, gap time.Duration) {
	for i := range p.Endpoints {
		p.Endpoints[i].Reported = table.ReportedLoad{}
	}
	p.peerSlots = peerSlots{}
	health.Pause(now, gap, &p.Pool)
}

// live counts the endpoints that take work. Rows of those that are gone stay for a while;
// counted for the bound on looks, they let the others be asked more often than it allows.
func (p *pool) live() (n int) {
	for i := range p.Endpoints {
		if p.Endpoints[i].TakesWork() {
			n++
		}
	}
	return n
}

// endpointAt returns the row at index if it still is the given incarnation.
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
// An incarnation of 0 matches any that has not gone.
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

// add puts an endpoint into the pool. Rows of endpoints that are gone and have
// no attempt left are used again, so that an index stays valid as long as an
// attempt refers to it.
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
	placement.BeginSlowStart(now, p.Endpoints, &row)
	for i := range p.Endpoints {
		e := &p.Endpoints[i]
		if e.State == table.EndpointGone && e.Outstanding == 0 {
			*e = row
			p.peerSlots.forgetRow(i)
			p.noteLimits()
			return i
		}
	}
	p.Endpoints = append(p.Endpoints, row)
	return len(p.Endpoints) - 1
}

// poolNamed returns the pool of that name and creates it if need be.
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
		serviceNanos: float64(firstService),
		repeats:      budget.NewRepeats(c.cfg.Repeats, c.cfg.LargestFleet, 0),
		loadProbes:   budget.NewLoadProbes(c.cfg.LoadProbesPerEndpoint),
		learned:      placement.NewPool(),
	}
	p.repeats.SetFleet(c.fleet.maxEntriesSeen)
	c.pools[name] = p
	c.poolRows = append(c.poolRows, p)
	return p
}

// applySnapshot puts the services of s in force, whole.
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
		sv = c.rowOf(spec.Name)
		c.services[spec.Name] = sv
	}
	sv.spec = spec
	sv.pool = c.poolNamed(spec.Pool)
	sv.pool.probePath = spec.ProbePath
	c.setWarmup(sv.pool, spec.Warmup)
	c.applyMode(sv)
}

// rowOf returns the service's old row if it had one, else a new one.
func (c *Core) rowOf(name string) *service {
	for _, sv := range c.serviceRows {
		if sv.name == name {
			return sv
		}
	}
	sv := &service{name: name, index: int32(len(c.serviceRows))}
	c.serviceRows = append(c.serviceRows, sv)
	return sv
}

// applyMode switches a service to the policy of the mode in force.
func (c *Core) applyMode(sv *service) {
	sv.policy = sv.spec.Policy(c.closing)
	if sv.retry == nil {
		sv.idle = budget.NewRetry(budget.RetryConfig{Share: idleRefusalShare, LargestFleet: 1})
		sv.silent = budget.NewRetry(budget.RetryConfig{Share: silentShare, LargestFleet: 1, Cap: silentCap})
		sv.retry = budget.NewRetry(budget.RetryConfig{
			Share:        sv.policy.RetryBudget,
			MinPerSecond: minRetriesPerSecond,
			LargestFleet: c.cfg.LargestFleet,
		})
		return
	}
	sv.retry.SetShare(sv.policy.RetryBudget)
}

// regroupPools lists each pool's services anew.
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
		p.healthProbes.SetShare(limits.WatchBudget)
	}
}

// applyCalendar starts and ends a close by the local calendar, so that it
// happens also while the configuration service is down.
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
		Why: closeWhy(cl, closing)})
}

func modeName(closing bool) string {
	if closing {
		return "close"
	}
	return "ordinary"
}

func closeWhy(cl profile.Close, closing bool) string {
	if closing {
		return "calendar: close " + cl.Name + " began"
	}
	return "calendar: the close ended"
}
