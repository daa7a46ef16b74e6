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
	// reservoirSize and reservoirAlpha make each histogram cover about the last five minutes.
	// The size is half of go-metrics' default, because every service has a histogram; it still
	// leaves five samples above the 99th percentile.
	reservoirSize  = 514
	reservoirAlpha = 0.015
	// reasonCount is the number of core.Reason values.
	reasonCount = len(core.Counters{}.Refused)
)

// ending is the way in which an exchange ended for its caller.
type ending uint8

// The endings. endedCallerGone is the zero value: it applies unless another ending is set.
const (
	endedCallerGone ending = iota
	endedDone
	endedNotRun
	endedUnknown
	// endedCutOff means that the answer broke off after its head had been passed on.
	endedCutOff
	endingCount
)

// endingNames are the names of the counters of the endings.
var endingNames = [endingCount]string{
	endedCallerGone: "caller_gone",
	endedDone:       "done",
	endedNotRun:     "not_run",
	endedUnknown:    "unknown",
	endedCutOff:     "cut_off",
}

// endingOf returns the ending of an exchange whose caller received an outcome.
func endingOf(o core.Outcome) ending {
	switch o {
	case core.OutcomeDone:
		return endedDone
	case core.OutcomeNotRun:
		return endedNotRun
	}
	return endedUnknown
}

// instruments are the metrics of an entry. Values that the core has are read when the metrics are
// requested; only values that would be lost otherwise are measured while requests pass.
// docs/METRICS.md describes all metrics.
type instruments struct {
	registry metrics.Registry
	// addedLatency is the time that requests spent in the entry rather than at an endpoint, up
	// to the head of the answer, in microseconds.
	addedLatency metrics.Histogram
	// newConnections counts the attempts to open a connection to an endpoint or, for requests
	// with a key, to another entry.
	newConnections metrics.Counter
	// strayAnswers counts the answers that were discarded because they belonged to other requests.
	strayAnswers metrics.Counter
	// atAdmission counts the requests that were refused before they reached the core, by reason;
	// unknownAtAdmission counts those whose callers received the outcome unknown.
	atAdmission        [reasonCount]atomic.Uint64
	unknownAtAdmission atomic.Uint64
	// services maps the name of each published service to its *serviceInstruments.
	services sync.Map

	// mu is held while the registry is updated.
	mu     sync.Mutex
	gauges gaugeSet
}

// serviceInstruments are the metrics of the requests to one service.
type serviceInstruments struct {
	// latency is the time from the arrival of the whole request to the end of the answer, in
	// microseconds.
	latency metrics.Histogram
	endings [endingCount]metrics.Counter
}

func newInstruments() *instruments {
	m := &instruments{
		registry:       metrics.NewRegistry(),
		addedLatency:   newHistogram(),
		newConnections: metrics.NewCounter(),
		strayAnswers:   metrics.NewCounter(),
	}
	m.gauges.registry = m.registry
	m.register("entry.added_us", m.addedLatency)
	m.register("connections.opened", m.newConnections)
	m.register("connections.stray_answers", m.strayAnswers)
	return m
}

func newHistogram() metrics.Histogram {
	return metrics.NewHistogram(metrics.NewExpDecaySample(reservoirSize, reservoirAlpha))
}

// register adds a metric. It cannot fail, because names are unique; a failure would only leave the
// metric out.
func (m *instruments) register(name string, metric any) { _ = m.registry.Register(name, metric) }

// service returns the instruments of a published service and creates them at the first call.
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

// forgetServices removes the instruments of services that are no longer published.
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

// countRefusal counts a request that was refused before it reached the core.
func (m *instruments) countRefusal(reason core.Reason, outcome core.Outcome) {
	m.atAdmission[reason].Add(1)
	if outcome == core.OutcomeUnknown {
		m.unknownAtAdmission.Add(1)
	}
}

// countDelivery counts the connection that was opened for a request or a probe, if any, and the
// answers that were discarded on it.
func (m *instruments) countDelivery(d forward.Delivery) {
	m.strayAnswers.Inc(int64(d.StrayAnswers))
	if d.NewConn {
		m.newConnections.Inc(1)
	}
}

// recordHead records the latency that the entry added up to the head of an endpoint's answer:
// inEntry is the time since the request arrived, atEndpoint the part of it spent waiting for the
// endpoint.
func (m *instruments) recordHead(inEntry, atEndpoint time.Duration) {
	m.addedLatency.Update((inEntry - atEndpoint).Microseconds())
}

// countEnding records the ending and the duration of an exchange.
func (m *instruments) countEnding(service string, end ending, took time.Duration) {
	s := m.service(service)
	s.endings[end].Inc(1)
	if end != endedCallerGone {
		s.latency.Update(took.Microseconds())
	}
}

// addRefusals adds the requests that were refused before they reached the core to the core's
// counters.
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

// liveRegistry is a registry that is updated before it is read.
type liveRegistry struct {
	metrics.Registry
	refresh func()
}

// Each implements metrics.Registry.
func (r liveRegistry) Each(f func(name string, metric any)) {
	r.refresh()
	r.Registry.Each(f)
}
