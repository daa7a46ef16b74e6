package entry

import (
	"net/http"
	"runtime"
	"runtime/metrics"
	"slices"
	"syscall"
	"time"

	"github.com/tealhall/tealhall/internal/admin"
	"github.com/tealhall/tealhall/internal/core"
	tables "github.com/tealhall/tealhall/internal/core/table"
	"github.com/tealhall/tealhall/internal/intake"
	"github.com/tealhall/tealhall/internal/message"
	"github.com/tealhall/tealhall/internal/peer"
	"github.com/tealhall/tealhall/internal/settings"
	"github.com/tealhall/tealhall/internal/transfer"
)

var _ admin.Source = (*Entry)(nil)

// facts is a copy, taken at one moment, of all data from which views and metrics are made. It must
// not be modified.
type facts struct {
	now      time.Duration
	wall     time.Time
	settings *settings.Settings
	hello    *message.Hello
	// view is the core's state; its counters include requests that were refused before they
	// reached the core.
	view     core.View
	recent   recentCounts
	platform platformCounts
	// livenessChecks counts the liveness checks of the configuration service, lateLivenessChecks
	// those that got no answer in time. The counts in platform do not include these calls.
	livenessChecks, lateLivenessChecks uint64
	// renewedWatches counts the watches that were renewed.
	renewedWatches uint64
	// callers counts the open connections of callers.
	callers int
	// connections counts the open connections to each endpoint, by address.
	connections map[string]int
	links       []peer.LinkStats
	peerServer  peer.ServerStats
	// peerBytesIn and peerBytesOut count the bytes of all peer links since the start.
	peerBytesIn, peerBytesOut uint64
	process                   processStats
	// transfers describes the large answers on the entry's link.
	transfers transfer.Stats
	// requestMemory describes what is held of requests, callerBound the limit on callers' connections.
	requestMemory intake.MemoryStats
	callerBound   intake.ConnectionStats
	capacity      Capacity
	// sentTo counts the peers that are being sent a value in parts, sendWaiting those that wait.
	sentTo, sendWaiting int
}

// processStats are figures of the process from the operating system and the Go runtime.
type processStats struct {
	heap       uint64
	goroutines int
	cpu        time.Duration
}

// gatherFacts returns the facts as of now.
func (e *Entry) gatherFacts() *facts {
	f := &facts{
		wall:               e.options.Wall(),
		settings:           e.settings,
		hello:              &e.hello,
		platform:           e.platform.snapshot(),
		livenessChecks:     e.liveness.done.Load(),
		lateLivenessChecks: e.liveness.late.Load(),
		renewedWatches:     e.liveness.renewed.Load(),
		callers:            e.front.Connections(),
		connections:        make(map[string]int),
		links:              e.links.Stats(),
		peerServer:         e.peerServer.Stats(),
		process:            readProcess(),
		transfers:          e.link.Stats(),
		requestMemory:      e.requestMemory.Stats(),
		callerBound:        e.front.ConnectionStats(),
		capacity:           e.capacity,
	}
	f.sentTo, f.sendWaiting = e.sending.counts()
	e.engine.view(func(now time.Duration, c *core.Core) { f.now, f.view = now, c.View(now) })
	f.view.Sort()
	e.instruments.addRefusals(&f.view.Counters)
	f.recent = e.counterSamples.sinceOldestSample(&f.view.Counters)
	in, out := e.links.Traffic()
	f.peerBytesIn, f.peerBytesOut = in+f.peerServer.BytesIn, out+f.peerServer.BytesOut
	for i := range f.view.Endpoints {
		address := f.view.Endpoints[i].Address
		open := e.connections.Stats(address)
		f.connections[address] = open.Idle + open.Busy + open.Dialing
	}
	return f
}

// heapMetric is the runtime metric for the memory of live objects and objects not yet swept.
const heapMetric = "/memory/classes/heap/objects:bytes"

func readProcess() processStats {
	sample := []metrics.Sample{{Name: heapMetric}}
	metrics.Read(sample)
	p := processStats{goroutines: runtime.NumGoroutine()}
	if sample[0].Value.Kind() == metrics.KindUint64 {
		p.heap = sample[0].Value.Uint64()
	}
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) == nil {
		p.cpu = time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
	}
	return p
}

// counters returns the core's counters, including requests that were refused before they reached
// the core.
func (e *Entry) counters() (c core.Counters) {
	e.engine.view(func(_ time.Duration, current *core.Core) { c = current.Counters() })
	e.instruments.addRefusals(&c)
	return c
}

func (f *facts) endpointConnections() (n int) {
	for _, open := range f.connections {
		n += open
	}
	return n
}

func (f *facts) openLinks() (n int) {
	for i := range f.links {
		if f.links[i].State == peer.LinkOpen {
			n++
		}
	}
	return n
}

// AdminHandler returns the handler of the admin interface.
func (e *Entry) AdminHandler() http.Handler {
	return admin.NewHandler(e, e.trail, liveRegistry{Registry: e.instruments.registry, refresh: e.refresh})
}

// Entries implements admin.Source.
func (e *Entry) Entries() []admin.EntryView {
	f := e.gatherFacts()
	views := make([]admin.EntryView, 0, len(f.view.Entries))
	for i := range f.view.Entries {
		views = append(views, f.entryView(&f.view.Entries[i]))
	}
	return views
}

func (f *facts) entryView(e *core.EntryView) admin.EntryView {
	v := admin.EntryView{
		Name:          e.VM.Name,
		Incarnation:   e.VM.Incarnation,
		Region:        e.VM.Region,
		FailureDomain: e.VM.Domain,
		CallerAddress: e.VM.Address,
		PeerAddress:   e.VM.PeerAddress,
		Self:          e.Self,
		State:         stateName(e.State),
		Suspected:     e.Suspected,
		Missing:       e.Missing,
		Reader:        e.Reader,
		Profiles:      e.Profiles,
		VMs:           e.VMs,
		Rate:          e.Rate,
		HeardAge:      -1,
	}
	switch {
	case e.Self:
		v.HeardAge = 0
	case e.Heard:
		v.HeardAge = (f.now - e.HeardAt).Seconds()
	}
	return v
}

// stateName returns the name of an entry's state in the admin interface.
func stateName(s message.EntryState) string {
	switch s {
	case message.EntryStarting:
		return "starting"
	case message.EntryServing:
		return "serving"
	case message.EntryLeaving:
		return "leaving"
	}
	return "stopped"
}

// Endpoints implements admin.Source.
func (e *Entry) Endpoints() []admin.EndpointView {
	f := e.gatherFacts()
	views := make([]admin.EndpointView, 0, len(f.view.Endpoints))
	for i := range f.view.Endpoints {
		views = append(views, f.endpointView(&f.view.Endpoints[i]))
	}
	return views
}

func (f *facts) endpointView(e *core.EndpointView) admin.EndpointView {
	v := admin.EndpointView{
		Name:          e.Name,
		Pool:          e.Pool,
		Incarnation:   e.Incarnation,
		Address:       e.Address,
		Region:        e.Region,
		FailureDomain: e.Domain,
		State:         endpointState(e.State),
		Quota:         e.Quota.String(),
		Missing:       e.Missing,
		RateLimit:     e.Limit.Rate,
		Slots:         int(e.Slots),
		Outstanding:   int(e.Outstanding),
		LoadReportAge: -1,
		Connections:   f.connections[e.Address],
		Latency:       time.Duration(e.Health.LatencyNanos).Seconds(),
		Slowness:      e.Health.Slowness,
		FailureRate:   e.Health.FailureRate,
		SlowStart:     1,
	}
	if e.SlowUntil > 0 {
		v.SlowStart = float64(e.Slots) / float64(max(e.Listed, 1))
	}
	if e.Reported.Seen {
		v.Foreign, v.LoadReportAge = int(e.Reported.Foreign), (f.now - e.Reported.At).Seconds()
	}
	if ejection := e.Ejection; ejection != nil {
		v.Ejection = &admin.EjectionView{
			Why:         ejection.Why,
			Remaining:   ejection.Remaining.Seconds(),
			TrialIn:     ejection.TrialIn.Seconds(),
			Consecutive: ejection.Consecutive,
			Clears:      ejection.Clears,
		}
	}
	return v
}

func endpointState(s tables.EndpointState) string {
	switch s {
	case tables.EndpointLive:
		return "live"
	case tables.EndpointLeaving:
		return "leaving"
	}
	return "gone"
}

// Profiles implements admin.Source.
func (e *Entry) Profiles() admin.ProfilesView {
	f := e.gatherFacts()
	v := admin.ProfilesView{
		Published: f.publishedView(&f.view.Profiles),
		Mode:      f.modeView(),
		Services:  []admin.ServiceView{},
		Closes:    []admin.CloseView{},
	}
	s := f.view.Snapshot
	if s == nil {
		return v
	}
	v.TimeZone, v.Text = s.TimeZone(), string(s.Data())
	for _, spec := range s.Services() {
		p := spec.Policy(f.view.Closing)
		v.Services = append(v.Services, admin.ServiceView{
			Service:     spec.Name,
			Profile:     spec.Profile,
			Pool:        spec.Pool,
			Kind:        string(p.Kind),
			Deadline:    p.Deadline.Seconds(),
			QueueLimit:  p.QueueLimit,
			Priority:    p.Priority,
			SlotShare:   p.SlotShare,
			RetryBudget: p.RetryBudget,
			ProbeBudget: p.ProbeBudget,
			HedgeAfter:  p.HedgeAfter.Seconds(),
			KeyRequired: p.RequireKey,
		})
	}
	for _, c := range s.Closes() {
		v.Closes = append(v.Closes, admin.CloseView{Name: c.Name, From: c.Start, To: c.End})
	}
	for _, warning := range s.Warnings() {
		v.Warnings = append(v.Warnings, warning.String())
	}
	return v
}

// entriesBehind returns the entries that have an older revision of the profiles in force than this
// entry. It leaves out entries that have not reported their revision to this entry.
func (f *facts) entriesBehind() []*core.EntryView {
	var behind []*core.EntryView
	for i := range f.view.Entries {
		e := &f.view.Entries[i]
		if e.Heard && e.State == message.EntryServing && !e.Suspected && e.Profiles > 0 && e.Profiles < f.view.Profiles.InForce.Revision {
			behind = append(behind, e)
		}
	}
	return behind
}

// failingValues returns the names, sorted, of the published values for which the configuration
// service failed more than once since its last answer.
func (f *facts) failingValues() []string {
	var names []string
	for name, value := range f.platform.values {
		if value.failing > 1 {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}
