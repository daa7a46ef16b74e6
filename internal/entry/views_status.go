package entry

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/tealhall/tealhall/internal/admin"
	"github.com/tealhall/tealhall/internal/core"
	tables "github.com/tealhall/tealhall/internal/core/table"
	"github.com/tealhall/tealhall/internal/message"
)

// Status implements admin.Source.
func (e *Entry) Status() admin.Status { return e.gatherFacts().status() }

func (f *facts) status() admin.Status {
	concerns := f.concerns()
	return admin.Status{
		Calm:        len(concerns) == 0,
		Concerns:    concerns,
		Entry:       f.identity(),
		Mode:        f.modeView(),
		Profiles:    f.publishedView(&f.view.Profiles),
		VMs:         f.publishedView(&f.view.VMs),
		Platform:    f.platformView(),
		Fleet:       f.fleetView(),
		Requests:    f.requestsView(),
		Refusals:    f.refusalViews(),
		Pools:       f.poolViews(),
		Keys:        f.keysView(),
		Connections: f.connectionsView(),
		Links:       f.linkViews(),
	}
}

func (f *facts) identity() admin.Identity {
	return admin.Identity{
		Name:          f.hello.Name,
		Incarnation:   f.hello.Incarnation,
		Region:        f.hello.Region,
		FailureDomain: f.hello.Domain,
		CallerAddress: f.hello.CallerAddress,
		State:         stateName(f.view.State),
		Ready:         f.view.Ready,
		NotReadyWhy:   f.view.NotReadyWhy,
		Uptime:        f.now.Seconds(),
		Wall:          f.wall,
		Policy:        f.view.Policy,
	}
}

func (f *facts) modeView() admin.ModeView {
	v := admin.ModeView{Name: "ordinary"}
	s := f.view.Snapshot
	if s == nil {
		return v
	}
	if f.view.Closing {
		v.Name = "close"
	}
	if c, on := s.CloseAt(f.wall); on {
		v.Close, v.Until = c.Name, &c.End
	}
	if c, ok := s.NextClose(f.wall); ok {
		v.NextClose, v.NextFrom = c.Name, &c.Start
	}
	return v
}

func (f *facts) publishedView(p *core.PublishedView) admin.PublishedView {
	v := admin.PublishedView{
		Revision:  p.InForce.Revision,
		Digest:    p.InForce.Digest,
		Wanted:    p.Wanted,
		Refused:   p.Refused,
		Confirmed: p.Confirmed,
	}
	if p.Confirmed {
		v.ConfirmedAge = (f.now - p.ConfirmedAt).Seconds()
	}
	return v
}

func (f *facts) platformView() admin.PlatformView {
	return admin.PlatformView{
		Reader:         f.view.Reader,
		Calls:          f.platform.calls,
		Failures:       f.platform.failures,
		CallsPerSecond: f.settings.Platform.CallsPerSecond,
		LastError:      f.platform.lastError,
	}
}

// countEntry counts an entry in its failure domain.
func countEntry(domains map[string]*admin.DomainCount, e *core.EntryView) {
	d := domains[e.VM.Domain]
	if d == nil {
		d = &admin.DomainCount{FailureDomain: e.VM.Domain}
		domains[e.VM.Domain] = d
	}
	switch {
	case e.State >= message.EntryLeaving:
		d.Leaving++
	case e.Suspected:
		d.Suspected++
	case e.State == message.EntryServing:
		d.Usable++
	default:
		d.Starting++
	}
}

func (f *facts) fleetView() admin.FleetView {
	v := admin.FleetView{Readers: []string{}}
	revisions := make(map[uint64]int)
	domains := make(map[string]*admin.DomainCount)
	for i := range f.view.Entries {
		e := &f.view.Entries[i]
		countEntry(domains, e)
		if e.Reader {
			v.Readers = append(v.Readers, e.VM.Name)
		}
		if e.Self || e.Heard && e.Profiles > 0 {
			revisions[e.Profiles]++
		}
	}
	for _, name := range slices.Sorted(maps.Keys(domains)) {
		d := domains[name]
		v.Domains = append(v.Domains, *d)
		v.EntriesUsable += d.Usable
		v.EntriesSuspected += d.Suspected
		v.EntriesLeaving += d.Leaving
	}
	for revision, entries := range revisions {
		v.Revisions = append(v.Revisions, admin.RevisionCount{Revision: revision, Entries: entries})
	}
	slices.SortFunc(v.Revisions, func(a, b admin.RevisionCount) int { return cmp.Compare(b.Revision, a.Revision) })
	v.Evacuated = f.evacuationViews()
	for i := range f.view.Pools {
		p := &f.view.Pools[i]
		v.EndpointsLive += p.Live
		v.EndpointsLeaving += p.Leaving
		v.EndpointsEjected += p.Ejected
	}
	return v
}

// evacuationViews returns, for each evacuated failure domain, its live endpoints and the requests
// that still run there.
func (f *facts) evacuationViews() []admin.EvacuationView {
	var views []admin.EvacuationView
	for _, evacuation := range f.view.Evacuated {
		v := admin.EvacuationView{FailureDomain: evacuation.Domain, Age: (f.now - evacuation.Since).Seconds()}
		for i := range f.view.Endpoints {
			e := &f.view.Endpoints[i]
			if e.Domain != evacuation.Domain {
				continue
			}
			v.Outstanding += int(e.Outstanding)
			if e.State == tables.EndpointLive {
				v.Endpoints++
			}
		}
		views = append(views, v)
	}
	return views
}

func (f *facts) requestsView() admin.RequestsView {
	c := &f.view.Counters
	return admin.RequestsView{
		InFlight:      f.view.InFlight,
		MaxInFlight:   f.settings.Limits.InFlightRequests,
		PerSecond:     float64(f.view.Rate),
		Arrived:       c.Arrived,
		Done:          c.Done,
		NotRun:        c.NotRun,
		Unknown:       c.Unknown,
		Retried:       c.Retried,
		Hedged:        c.Hedged,
		Replayed:      c.Replayed,
		Forwarded:     c.Forwarded,
		RetriesDenied: c.RetriesDenied,
		Pauses:        c.Pauses,
	}
}

// refusalViews returns the reasons for which requests were refused, the most frequent first.
func (f *facts) refusalViews() []admin.RefusalView {
	views := []admin.RefusalView{}
	for i, count := range f.view.Counters.Refused {
		if reason := core.Reason(i); count > 0 && reason != core.ReasonNone {
			views = append(views, admin.RefusalView{Reason: reason.String(), Count: count, Remedy: reason.Remedy()})
		}
	}
	slices.SortStableFunc(views, func(a, b admin.RefusalView) int { return cmp.Compare(b.Count, a.Count) })
	return views
}

func (f *facts) poolViews() []admin.PoolView {
	views := make([]admin.PoolView, 0, len(f.view.Pools))
	for i := range f.view.Pools {
		views = append(views, poolView(&f.view.Pools[i]))
	}
	return views
}

// poolView returns the view of a pool. Its retry budget is the sum of its services' budgets, except
// that its share is the largest of their shares.
func poolView(p *core.PoolView) admin.PoolView {
	v := admin.PoolView{
		Pool:         p.Name,
		Services:     []string{},
		Slots:        p.Slots,
		Outstanding:  p.Outstanding,
		Waiting:      p.Waiting,
		Ejected:      p.Ejected,
		Endpoints:    p.Live + p.Leaving,
		ViewWrong:    p.ViewWrong,
		Unreachable:  p.Unreachable,
		Unconnected:  p.Unconnected,
		Short:        p.Short,
		Headroom:     p.Headroom,
		HealthProbes: admin.BudgetView{Share: p.HealthProbeShare, Spent: p.Probes, Denied: p.ProbesDenied, Left: p.ProbesLeft},
	}
	for i := range p.Services {
		s := &p.Services[i]
		v.Services = append(v.Services, s.Name)
		v.QueueLimit += s.Policy.QueueLimit
		v.Retry.Share = max(v.Retry.Share, s.Policy.RetryBudget)
		v.Retry.Spent += s.Retries
		v.Retry.Denied += s.RetriesDenied
		v.Retry.Left += s.RetriesLeft
	}
	return v
}

func (f *facts) keysView() admin.KeysView {
	k := &f.view.Keys
	return admin.KeysView{
		Keys:           k.Keys,
		Limit:          f.settings.Limits.Keys,
		Running:        k.Running,
		AnswerBytes:    k.AnswerBytes,
		MaxAnswerBytes: int64(f.settings.Limits.KeyTableBytes),
		Epoch:          k.Epoch,
		OldestEpoch:    k.OldestEpoch,
		Adopted:        k.AdoptedHomes,
		Sealed:         f.view.KeysSealed,
	}
}

func (f *facts) connectionsView() admin.ConnectionsView {
	return admin.ConnectionsView{
		Callers:   f.callers,
		Endpoints: f.endpointConnections(),
		PeersIn:   f.peerServer.Connections,
		PeersOut:  f.openLinks(),
	}
}

func (f *facts) linkViews() []admin.LinkView {
	views := make([]admin.LinkView, 0, len(f.links))
	for i := range f.links {
		l := &f.links[i]
		v := admin.LinkView{
			Peer:      l.Peer.Name,
			Address:   l.Address,
			State:     string(l.State),
			HeardAge:  -1,
			RTT:       l.RTT.Seconds(),
			BytesIn:   l.BytesIn,
			BytesOut:  l.BytesOut,
			Messages:  l.Messages,
			Dropped:   l.Dropped,
			LastError: l.LastError,
		}
		if !l.Heard.IsZero() {
			v.HeardAge = max(0, time.Since(l.Heard).Seconds())
		}
		views = append(views, v)
	}
	return views
}
