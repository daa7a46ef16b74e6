package core

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/tealhall/tealhall/internal/core/assign"
	"github.com/tealhall/tealhall/internal/core/gossip"
	"github.com/tealhall/tealhall/internal/core/health"
	"github.com/tealhall/tealhall/internal/core/member"
	"github.com/tealhall/tealhall/internal/core/quarantine"
	"github.com/tealhall/tealhall/internal/core/quota"
	"github.com/tealhall/tealhall/internal/core/table"
	"github.com/tealhall/tealhall/internal/idem"
	"github.com/tealhall/tealhall/internal/message"
	"github.com/tealhall/tealhall/internal/profile"
	"github.com/tealhall/tealhall/internal/published"
)

// View is a copy of the core's state for operators. It shares only immutable memory with the core,
// such as the snapshot.
type View struct {
	State message.EntryState
	// Ready and NotReadyWhy are the results of ReadyReason.
	Ready       bool
	NotReadyWhy string
	// Policy is the balance policy in use.
	Policy   string
	Counters Counters
	// InFlight counts the requests in the core, and Rate the arrivals per second.
	InFlight int
	Rate     uint32
	// Reader says that this entry reads the configuration service itself.
	Reader bool
	// Snapshot is the document in force, nil before the first one.
	Snapshot *profile.Snapshot
	// Closing says that a close is under way.
	Closing       bool
	Profiles, VMs PublishedView
	// ListHeld says that the VMs missing from the latest VM list still count as listed.
	ListHeld bool
	// Evidence describes how evidence spreads through the fleet.
	Evidence   gossip.Stats
	Keys       idem.Stats
	KeysSealed bool
	// Suspects counts the request contents under which endpoints crashed; Quarantined lists the
	// requests that are not sent.
	Suspects    int
	Quarantined []quarantine.Request
	// Entries are ordered by name. Pools and Endpoints have no defined order before Sort.
	Pools     []PoolView
	Evacuated []Evacuation
	Entries   []EntryView
	Endpoints []EndpointView
}

// PublishedView describes a published value.
type PublishedView struct {
	InForce message.Mark
	// Wanted is a later revision that is known to exist, or 0; Search describes the search for it,
	// if there is one.
	Wanted uint64
	Search assign.Search
	// Refused is the latest revision that was found invalid, or 0, and RefusedWhy the reason.
	Refused    uint64
	RefusedWhy string
	// ConfirmedAt is when the configuration service last confirmed that the revision in force is
	// the latest; valid if Confirmed.
	ConfirmedAt time.Duration
	Confirmed   bool
	// StaleAt is when an older revision than the one in force was last offered;
	// valid if Stale.
	StaleAt time.Duration
	Stale   bool
	// Problems lists what was corrected in the document in force or left out of it.
	Problems []string
	// Unreadable says why the configuration service's current value cannot be read, "" if it can.
	Unreadable string
}

// PoolView describes a pool with its queue and budgets.
type PoolView struct {
	Name string
	// Services are the services in force that use the pool, by name.
	Services []ServiceView
	// Slots counts the slots of live endpoints, Outstanding this entry's attempts.
	Slots, Outstanding int
	// Waiting is the length of this entry's queue.
	Waiting int
	// Live, Leaving, Ejected and Evacuated count endpoints; ejected and evacuated endpoints also
	// count as live.
	Live, Leaving, Ejected, Evacuated int
	// Cold counts the cold endpoints, Owned those of them to which this entry may send.
	Cold, Owned int
	// Limited counts the endpoints that report a rate limit, BackingOff those that want no requests
	// from this entry now.
	Limited, BackingOff int
	// WindowRequests and WindowRepeats are what the bound on repeats counted at this entry in the
	// latest window, 0 without a bound.
	WindowRequests, WindowRepeats int
	// Unanswered counts the endpoints that failed to answer this entry after the last answer of any
	// of them.
	Unanswered int
	// Unreachable says that this entry reaches no endpoint and relays the requests for the pool;
	// UnreachableSince is when that began.
	Unreachable      bool
	UnreachableSince time.Duration
	// Short says that a request that could be in time found no room a moment ago, so that late ones
	// get none. Headroom is the smoothed share of load probes that found headroom.
	Short    bool
	Headroom float64
	// Unconnected says that no new connection to an endpoint can be opened, so that this entry uses
	// open connections only and relays other requests; UnconnectedSince is when that began.
	Unconnected      bool
	UnconnectedSince time.Duration
	// ViewWrong says that most endpoints look bad, so that none is ejected.
	ViewWrong bool
	// HealthProbeShare is the share of slot time that all entries may spend on health probes.
	HealthProbeShare float64
	// ProbesLeft is how many health probes the budget allows at once.
	ProbesLeft float64
	// Probes counts the health probes, and ProbeTime is the slot time that they have used.
	// ProbesDenied counts the probes that the budget did not allow.
	Probes, ProbesDenied uint64
	ProbeTime            time.Duration
}

// ServiceView describes a service with its policy in the mode in force.
type ServiceView struct {
	Name string
	// Policy must not be changed.
	Policy *profile.Policy
	// InUse counts the slots in use by attempts, Waiting the requests in the queue.
	InUse, Waiting int
	// RetriesLeft is the retry budget left, in attempts. Retries counts the attempts spent from it,
	// and RetriesDenied the attempts that it did not allow.
	RetriesLeft            float64
	Retries, RetriesDenied uint64
}

// EndpointView describes an endpoint.
type EndpointView struct {
	table.Endpoint
	Pool string
	// Quota says whether this entry may send a request to the endpoint now.
	Quota quota.Status
	// Missing says that the endpoint is no longer on the platform's list.
	Missing bool
	// Ejection is nil unless the endpoint is ejected.
	Ejection *EjectionView
}

// Evacuation is a failure domain whose endpoints get no new work.
type Evacuation struct {
	Domain string
	// Since is when this entry learned of the evacuation.
	Since time.Duration
}

// EjectionView says why an endpoint is ejected and what ends the ejection.
type EjectionView struct {
	Why, Clears string
	// Remaining is how much longer no ordinary work is sent, TrialIn the time until the next trial
	// request is allowed.
	Remaining, TrialIn time.Duration
	// Consecutive is the number of consecutive ejections, this one included.
	Consecutive int
}

// EntryView describes an entry with its last reported state.
type EntryView struct {
	member.Entry
	Self   bool
	Reader bool
	// Profiles and VMs are the revisions in force at the entry and Rate its calls per second, as
	// last reported. HeardAt is when the entry was last heard; valid if Heard.
	Profiles, VMs uint64
	Rate          uint32
	HeardAt       time.Duration
	Heard         bool
}

// explanations are kept only for views; no decision depends on them.
type explanations struct {
	// ejections has, for the row of each ejected endpoint, the event of its ejection.
	ejections map[poolRow]health.Event
	// refused says what is wrong with the latest invalid text of a value, and staleAt is when a
	// revision older than the one in force was last offered. Both are by the value's name.
	refused map[string]string
	staleAt map[string]time.Duration
	// unreadable says why the configuration service's current value cannot be read, by the value's
	// name.
	unreadable map[string]string
}

type poolRow struct {
	pool  *pool
	index int
}

func newExplanations() explanations {
	return explanations{
		ejections:  make(map[poolRow]health.Event),
		refused:    make(map[string]string),
		staleAt:    make(map[string]time.Duration),
		unreadable: make(map[string]string),
	}
}

// View returns a copy of the core's tables. Its cost is proportional to the number of endpoints and
// entries, so it must not be called on a request path.
func (c *Core) View(now time.Duration) View {
	v := View{
		State:      c.state,
		Policy:     c.cfg.Policy,
		Counters:   c.counters,
		InFlight:   len(c.requests),
		Rate:       c.fleet.rate,
		Reader:     c.Reader(),
		Snapshot:   c.snapshot,
		Closing:    c.closing,
		Profiles:   c.viewPublished(published.ProfilesValue),
		VMs:        c.viewPublished(published.VMsValue),
		Evidence:   c.fleet.gossip.Stats(),
		Keys:       c.keys.Stats(),
		KeysSealed: c.keys.Sealed(),
		Entries:    c.viewEntries(),
		Evacuated:  slices.Clone(c.fleet.evacuated),

		Suspects:    c.quarantine.Suspects(),
		Quarantined: c.quarantine.Quarantined(now, nil),
	}
	v.Ready, v.NotReadyWhy = c.ReadyReason(now)
	_, _, v.ListHeld, _ = c.fleet.members.ListRevision()
	v.Endpoints = c.viewEndpoints(now)
	for _, p := range c.poolRows {
		if len(p.services)+len(p.Endpoints) > 0 {
			v.Pools = append(v.Pools, c.viewPool(now, p))
		}
	}
	return v
}

// Sort orders pools by name and endpoints by pool and name. It is separate from Core.View so that a
// driver need not lock the core while sorting.
func (v *View) Sort() {
	slices.SortFunc(v.Pools, func(a, b PoolView) int { return strings.Compare(a.Name, b.Name) })
	slices.SortFunc(v.Endpoints, func(a, b EndpointView) int {
		return cmp.Or(strings.Compare(a.Pool, b.Pool), strings.Compare(a.Name, b.Name))
	})
}

func (c *Core) viewPublished(name string) PublishedView {
	t := c.tracker(name)
	v := PublishedView{
		InForce:    t.InForce(),
		Wanted:     t.Wanted(),
		Refused:    t.LastRefused().Revision,
		RefusedWhy: c.explained.refused[name],
		Unreadable: c.explained.unreadable[name],
	}
	if name == published.ProfilesValue && c.Routed() {
		v.Problems = c.snapshot.Routes().Problems()
	}
	if search, searching := t.Search(); searching {
		v.Search = search
	}
	v.ConfirmedAt, v.Confirmed = t.ConfirmedAt()
	v.StaleAt, v.Stale = c.explained.staleAt[name]
	return v
}

func (c *Core) viewPool(now time.Duration, p *pool) PoolView {
	spent := p.healthProbes.Spent()
	v := PoolView{
		Name:             p.Name,
		Slots:            p.Slots(),
		Outstanding:      p.Outstanding(),
		Waiting:          p.queue.Len(),
		HealthProbeShare: p.healthProbes.Share(),
		ProbesLeft:       p.healthProbes.Left(),
		Probes:           spent.Probes,
		ProbesDenied:     spent.Denied,
		ProbeTime:        spent.SlotTime,
		BackingOff:       p.backingOff(now),
		Unanswered:       p.reach.Unanswered(),
		Unreachable:      p.reach.Lost(),
		UnreachableSince: p.reach.LostAt(),
		Short:            p.placementState.IsShort(now),
		Headroom:         p.placementState.HeadroomShare(),
		Unconnected:      p.dials.Lost(),
		UnconnectedSince: p.dials.LostAt(),
		ViewWrong:        p.ViewWrong,
	}
	v.WindowRequests, v.WindowRepeats = p.repeats.Counted(now)
	for i := range p.Endpoints {
		v.count(&p.Endpoints[i], quota.IsCold(now, &p.Pool, &p.Endpoints[i]))
	}
	for _, sv := range p.services {
		v.Services = append(v.Services, viewService(sv))
	}
	slices.SortFunc(v.Services, func(a, b ServiceView) int { return strings.Compare(a.Name, b.Name) })
	return v
}

func (v *PoolView) count(e *table.Endpoint, cold bool) {
	switch e.State {
	case table.EndpointLive:
		v.Live++
		if cold {
			v.Cold++
		}
		if cold && e.Cold.Owned {
			v.Owned++
		}
		if e.Evacuated {
			v.Evacuated++
		}
		if e.Limit.Rate > 0 {
			v.Limited++
		}
		if e.Health.EjectedUntil != 0 {
			v.Ejected++
		}
	case table.EndpointLeaving:
		v.Leaving++
	}
}

func viewService(sv *service) ServiceView {
	spent, denied := sv.retry.Spent()
	return ServiceView{
		Name:          sv.name,
		Policy:        sv.policy,
		InUse:         sv.inUse,
		Waiting:       sv.pool.queue.LenOf(sv.index),
		RetriesLeft:   sv.retry.Level(),
		Retries:       spent,
		RetriesDenied: denied,
	}
}

func (c *Core) viewEndpoints(now time.Duration) []EndpointView {
	missing := make(map[string]bool)
	rows := len(c.fleet.rows)
	for _, e := range c.fleet.members.Endpoints(make([]member.Endpoint, 0, rows)) {
		if e.Missing {
			missing[e.VM.Name] = true
		}
	}
	views := make([]EndpointView, 0, rows)
	for _, p := range c.poolRows {
		for i := range p.Endpoints {
			e := &p.Endpoints[i]
			if e.State == table.EndpointGone && e.Outstanding == 0 {
				continue // the row is free
			}
			views = append(views, EndpointView{
				Endpoint: *e,
				Pool:     p.Name,
				Quota:    quota.Of(now, &p.Pool, e),
				Missing:  missing[e.Name],
				Ejection: c.viewEjection(now, p, i),
			})
		}
	}
	return views
}

func (c *Core) viewEjection(now time.Duration, p *pool, index int) *EjectionView {
	e := &p.Endpoints[index]
	if e.State != table.EndpointLive || e.Health.EjectedUntil == 0 {
		return nil
	}
	why := c.explained.ejections[poolRow{p, index}]
	return &EjectionView{
		Why:         why.Why,
		Clears:      why.Clears,
		Remaining:   max(0, e.Health.EjectedUntil-now),
		TrialIn:     max(0, e.Health.TrialAt-now),
		Consecutive: max(1, int(e.Health.Ejections)),
	}
}

// explainEjection keeps the reason of an ejection for as long as it lasts.
func (c *Core) explainEjection(p *pool, ev health.Event) {
	switch ev.Kind {
	case health.Ejection:
		c.explained.ejections[poolRow{p, ev.Endpoint}] = ev
	case health.Readmission:
		delete(c.explained.ejections, poolRow{p, ev.Endpoint})
	}
}

func (c *Core) viewEntries() []EntryView {
	views := make([]EntryView, 0, len(c.fleet.entries))
	for _, e := range c.fleet.entries {
		v := EntryView{Entry: e}
		if e.VM.Incarnation == c.cfg.Self.Incarnation {
			v.Self, v.State, v.Reader, v.Rate = true, c.state, c.Reader(), c.fleet.rate
			v.Profiles, v.VMs = c.fleet.profiles.InForce().Revision, c.fleet.vms.InForce().Revision
		} else if p, ok := c.fleet.peers[e.VM.Incarnation]; ok {
			v.Heard, v.HeardAt = true, p.heardAt
			v.Reader, v.Rate = p.update.Reader, p.update.Rate
			v.Profiles, v.VMs = p.update.Profiles.Revision, p.update.VMs.Revision
		}
		views = append(views, v)
	}
	return views
}
