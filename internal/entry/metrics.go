package entry

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/tealhall/tealhall/internal/core"
	"github.com/tealhall/tealhall/internal/forward"
)

const (
	// reservoirSize and decay make a sample of about the latest five minutes. Half of
	// go-metrics' usual size: each service has one, and the 99th percentile rests on five
	// requests still.
	reservoirSize  = 514
	reservoirAlpha = 0.015
	// reasonCount is the number of core.Reason values.
	reasonCount = len(core.Counters{}.Refused)
)

// ending is how an exchange ended for its caller.
type ending uint8

// The endings. An exchange has ended for endedCallerGone until it is told otherwise.
const (
	endedCallerGone ending = iota
	endedDone
	endedNotRun
	endedUnknown
	// endedCutOff: the answer broke off after its head was passed on.
	endedCutOff
	endingCount
)

// endingNames are the names of the counters.
var endingNames = [endingCount]string{
	endedCallerGone: "caller_gone",
	endedDone:       "done",
	endedNotRun:     "not_run",
	endedUnknown:    "unknown",
	endedCutOff:     "cut_off",
}

// endingOf is the ending of an exchange whose caller was told an outcome.
func endingOf(o core.Outcome) ending {
	switch o {
	case core.OutcomeDone:
		return endedDone
	case core.OutcomeNotRun:
		return endedNotRun
	}
	return endedUnknown
}

// instruments measure what an entry does. What can be read from the core is
// read when somebody asks for the metrics; only what would be lost otherwise is
// measured as requests pass. docs/METRICS.md describes all of it.
type instruments struct {
	registry metrics.Registry
	// addedLatency is the time that requests spent in the entry and not at an endpoint,
	// until the head of the answer, in microseconds.
	addedLatency metrics.Histogram
	// newConnections counts connections that were opened, or tried, to endpoints
	// and, for keys, to other entries.
	newConnections metrics.Counter
	// atAdmission and unknownAtAdmission count refusals before the core saw the request,
	// and those of them whose callers were told that the outcome is unknown.
	atAdmission        [reasonCount]atomic.Uint64
	unknownAtAdmission atomic.Uint64
	// services holds a *serviceInstruments for each published service by name.
	services sync.Map

	// mu is held while the registry is brought up to date.
	mu     sync.Mutex
	gauges gaugeSet
}

// serviceInstruments measure the requests to one service.
type serviceInstruments struct {
	// latency is the time from the arrival of the whole request to the end of
	// the answer, in microseconds.
	latency metrics.Histogram
	endings [endingCount]metrics.Counter
}

func newInstruments() *instruments {
	m := &instruments{
		registry:       metrics.NewRegistry(),
		addedLatency:   newHistogram(),
		newConnections: metrics.NewCounter(),
	}
	m.gauges.registry = m.registry
	m.register("entry.added_us", m.addedLatency)
	m.register("connections.opened", m.newConnections)
	return m
}

func newHistogram() metrics.Histogram {
	return metrics.NewHistogram(metrics.NewExpDecaySample(reservoirSize, reservoirAlpha))
}

// register adds a metric. Names are unique, so it can't fail; if it did, the
// metric would be missing and nothing else.
func (m *instruments) register(name string, metric any) { _ = m.registry.Register(name, metric) }

// service returns the instruments of a published service.
func (m *instruments) service(name string) *serviceInstruments {
	if found, ok := m.services.Load(name); ok {
		return found.(*serviceInstruments)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if found, ok := m.services.Load(name); ok {
		return found.(*serviceInstruments)
	}
	s := &serviceInstruments{latency: newHistogram()}
	m.register(serviceMetric(name, "latency_us"), s.latency)
	for i := range s.endings {
		s.endings[i] = metrics.NewCounter()
		m.register(serviceMetric(name, endingNames[i]), s.endings[i])
	}
	m.services.Store(name, s)
	return s
}

func serviceMetric(service, name string) string { return "service." + service + "." + name }

func poolMetric(pool, name string) string { return "pool." + pool + "." + name }

// forgetServices drops the instruments of services that are no longer published.
func (m *instruments) forgetServices(published func(name string) bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.services.Range(func(key, _ any) bool {
		name := key.(string)
		if published(name) {
			return true
		}
		m.services.Delete(name)
		m.registry.Unregister(serviceMetric(name, "latency_us"))
		for _, ending := range endingNames {
			m.registry.Unregister(serviceMetric(name, ending))
		}
		return true
	})
}

// countRefusal counts a refusal before the core saw the request.
func (m *instruments) countRefusal(reason core.Reason, outcome core.Outcome) {
	m.atAdmission[reason].Add(1)
	if outcome == core.OutcomeUnknown {
		m.unknownAtAdmission.Add(1)
	}
}

// countConnection counts the connection that a request or a probe needed.
func (m *instruments) countConnection(d forward.Delivery) {
	if d.NewConn {
		m.newConnections.Inc(1)
	}
}

// recordHead measures the head of an endpoint's answer: how long the request was in
// the entry, and how much of that it waited for the endpoint.
func (m *instruments) recordHead(inEntry, atEndpoint time.Duration) {
	m.addedLatency.Update((inEntry - atEndpoint).Microseconds())
}

// countEnding counts an exchange that took so long.
func (m *instruments) countEnding(service string, end ending, took time.Duration) {
	s := m.service(service)
	s.endings[end].Inc(1)
	if end != endedCallerGone {
		s.latency.Update(took.Microseconds())
	}
}

// addRefusals adds what was refused at the door to the core's counters.
func (m *instruments) addRefusals(c *core.Counters) {
	refusals := uint64(0)
	for i := range c.Refused {
		n := m.atAdmission[i].Load()
		c.Refused[i] += n
		refusals += n
	}
	unknown := min(m.unknownAtAdmission.Load(), refusals)
	c.Arrived += refusals
	c.Unknown += unknown
	c.NotRun += refusals - unknown
}

// liveRegistry is a registry that is brought up to date before it is read.
type liveRegistry struct {
	metrics.Registry
	refresh func()
}

// Each implements metrics.Registry.
func (r liveRegistry) Each(f func(name string, metric any)) {
	r.refresh()
	r.Registry.Each(f)
}
