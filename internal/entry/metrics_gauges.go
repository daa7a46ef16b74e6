package entry

import (
	"github.com/rcrowley/go-metrics"

	"github.com/tealhall/tealhall/internal/core"
)

// reading is one value that is read when the metrics are requested.
type reading struct {
	name string
	// total reports whether the value only grows and is therefore exported as a counter.
	total bool
	value float64
}

func gauge(name string, value float64) reading { return reading{name: name, value: value} }

func total[T uint64 | int64](name string, value T) reading {
	return reading{name: name, total: true, value: float64(value)}
}

func boolGauge(name string, set bool) reading {
	if set {
		return gauge(name, 1)
	}
	return gauge(name, 0)
}

// gaugeSet keeps the latest readings in a registry. It is not safe for concurrent use.
type gaugeSet struct {
	registry   metrics.Registry
	registered map[string]bool
}

// set puts the readings into the registry and removes the metrics that have no reading any more,
// such as those of a pool that no longer exists.
func (g *gaugeSet) set(readings []reading) {
	stale := g.registered
	g.registered = make(map[string]bool, len(readings))
	for _, r := range readings {
		g.registered[r.name] = true
		delete(stale, r.name)
		g.update(r)
	}
	for name := range stale {
		g.registry.Unregister(name)
	}
}

func (g *gaugeSet) update(r reading) {
	if !r.total {
		metrics.GetOrRegisterGaugeFloat64(r.name, g.registry).Update(r.value)
		return
	}
	counter := metrics.GetOrRegisterCounter(r.name, g.registry)
	counter.Inc(int64(r.value) - counter.Count())
}

// refresh updates the registry with the current readings.
func (e *Entry) refresh() {
	f := e.gatherFacts()
	m := e.instruments
	m.mu.Lock()
	defer m.mu.Unlock()
	m.gauges.set(f.readings())
}

// readings returns all values that are not measured while requests pass.
func (f *facts) readings() []reading {
	all := f.entryReadings()
	all = append(all, f.requestReadings()...)
	all = append(all, f.publishedReadings()...)
	all = append(all, f.fleetReadings()...)
	all = append(all, f.keyReadings()...)
	for i := range f.view.Pools {
		all = append(all, poolReadings(&f.view.Pools[i])...)
	}
	return all
}

func (f *facts) entryReadings() []reading {
	c := &f.view.Counters
	return []reading{
		gauge("entry.uptime_s", f.now.Seconds()),
		boolGauge("entry.ready", f.view.Ready),
		gauge("entry.concerns", float64(len(f.concerns()))),
		boolGauge("entry.closing", f.view.Closing),
		total("entry.pauses", c.Pauses),
		total("entry.ticks_late", c.TicksLate),
		gauge("process.heap_bytes", float64(f.process.heap)),
		gauge("process.goroutines", float64(f.process.goroutines)),
		total("process.cpu_ms", f.process.cpu.Milliseconds()),
		gauge("connections.callers", float64(f.callers)),
		total("connections.callers_closed", f.callerBound.Closed),
		total("connections.callers_refused", f.callerBound.Refused),
		gauge("requests.held_bytes", float64(f.requestMemory.Held)),
		gauge("requests.receiving", float64(f.requestMemory.Receiving)),
		total("requests.hold_denied", f.requestMemory.Denied),
		total("requests.given_up", f.requestMemory.GivenUp),
		gauge("transfers.active", float64(f.transfers.Active)),
		gauge("transfers.waiting", float64(f.transfers.Waiting)),
		gauge("transfers.held_bytes", float64(f.transfers.Held)),
		gauge("transfers.backlog_ms", float64(f.transfers.Backlog.Milliseconds())),
		total("transfers.answers", f.transfers.Transfers),
		total("transfers.bytes", f.transfers.Bytes),
		total("transfers.turn_wait_ms", f.transfers.TurnWait.Milliseconds()),
		total("transfers.hold_denied", f.transfers.HoldDenied),
		gauge("connections.endpoints", float64(f.endpointConnections())),
		gauge("peers.links_open", float64(f.openLinks())),
		total("peers.bytes_out", f.peerBytesOut),
		total("peers.bytes_in", f.peerBytesIn),
		gauge("peers.connections", float64(f.peerServer.Connections)),
		total("peers.turned_away", f.peerServer.Rejected),
	}
}

func (f *facts) requestReadings() []reading {
	c := &f.view.Counters
	all := []reading{
		gauge("requests.in_flight", float64(f.view.InFlight)),
		gauge("requests.rate", float64(f.view.Rate)),
		total("requests.arrived", c.Arrived),
		total("requests.dispatched", c.Dispatched),
		total("requests.queued", c.Queued),
		total("requests.retried", c.Retried),
		total("requests.retries_denied", c.RetriesDenied),
		total("requests.hedged", c.Hedged),
		total("requests.forwarded", c.Forwarded),
		total("requests.replayed", c.Replayed),
		total("requests.relayed", c.Relayed),
		total("requests.relayed_here", c.RelayedHere),
		total("requests.endpoint_not_run", c.EndpointNotRun),
		total("requests.backoffs", c.Backoffs),
		total("requests.sent_in_backoff", c.SentInBackoff),
		total("requests.looks", c.LoadProbes),
		total("requests.crashes", c.Crashes),
		gauge("requests.suspected", float64(f.view.Suspects)),
		gauge("requests.quarantined", float64(len(f.view.Quarantined))),
	}
	for i, count := range c.Refused {
		if reason := core.Reason(i); reason != core.ReasonNone {
			all = append(all, total("refused."+reason.String(), count))
		}
	}
	return all
}

func (f *facts) publishedReadings() []reading {
	c, p := &f.view.Counters, &f.platform
	all := []reading{
		boolGauge("platform.reader", f.view.Reader),
		total("platform.calls", p.calls),
		total("platform.failures", p.failures),
		total("platform.unusable", p.unusable),
		total("platform.glances", f.livenessChecks),
		total("platform.glances_late", f.lateLivenessChecks),
		total("platform.watches_renewed", f.renewedWatches),
		gauge("platform.failing", float64(len(f.failingValues()))),
		gauge("published.sending", float64(f.sentTo)),
		gauge("published.send_waiting", float64(f.sendWaiting)),
		total("published.stale", c.StaleProfiles),
		total("published.refused", c.RefusedDocuments),
	}
	for name, v := range map[string]*core.PublishedView{"profiles": &f.view.Profiles, "vms": &f.view.VMs} {
		age := -1.0
		if v.Confirmed {
			age = (f.now - v.ConfirmedAt).Seconds()
		}
		wantedFor := 0.0
		if v.Search.Revision != 0 {
			wantedFor = (f.now - v.Search.Since).Seconds()
		}
		all = append(all,
			gauge(name+".revision", float64(v.InForce.Revision)),
			gauge(name+".wanted", float64(v.Wanted)),
			gauge(name+".wanted_age_s", wantedFor),
			gauge(name+".refused", float64(v.Refused)),
			gauge(name+".problems", float64(len(v.Problems))),
			gauge(name+".confirmed_age_s", age),
		)
	}
	return all
}

func (f *facts) fleetReadings() []reading {
	c, fleet, evidence := &f.view.Counters, f.fleetView(), &f.view.Evidence
	return []reading{
		gauge("fleet.entries_usable", float64(fleet.EntriesUsable)),
		gauge("fleet.entries_suspected", float64(fleet.EntriesSuspected)),
		gauge("fleet.entries_leaving", float64(fleet.EntriesLeaving)),
		gauge("fleet.entries_behind", float64(len(f.entriesBehind()))),
		gauge("fleet.endpoints_live", float64(fleet.EndpointsLive)),
		gauge("fleet.endpoints_leaving", float64(fleet.EndpointsLeaving)),
		gauge("fleet.endpoints_ejected", float64(fleet.EndpointsEjected)),
		gauge("fleet.domains_evacuated", float64(len(fleet.Evacuated))),
		total("fleet.ejections", c.Ejections),
		total("fleet.readmissions", c.Readmissions),
		total("news.pieces", evidence.Learned),
		total("news.copies", evidence.Duplicates),
		total("news.late", evidence.Late),
		gauge("news.owed", float64(evidence.Pending)),
		gauge("news.room", evidence.Room),
	}
}

func (f *facts) keyReadings() []reading {
	k := &f.view.Keys
	return []reading{
		gauge("keys.held", float64(k.Keys)),
		gauge("keys.running", float64(k.Running)),
		gauge("keys.answer_bytes", float64(k.AnswerBytes)),
		gauge("keys.adopted", float64(k.AdoptedKeys)),
		gauge("keys.adopted_homes", float64(k.AdoptedHomes)),
		total("keys.begun", k.Begun),
		total("keys.released", k.Released),
		total("keys.refused_full", k.RefusedFull),
		total("keys.refused_mismatch", k.RefusedMismatch),
		total("keys.refused_spent", k.RefusedAfterNotRun),
		total("keys.answers_dropped", k.AnswersDropped),
		total("keys.late_results", k.LateResults),
	}
}

func poolReadings(p *core.PoolView) []reading {
	all := []reading{
		gauge(poolMetric(p.Name, "slots"), float64(p.Slots)),
		gauge(poolMetric(p.Name, "outstanding"), float64(p.Outstanding)),
		gauge(poolMetric(p.Name, "waiting"), float64(p.Waiting)),
		gauge(poolMetric(p.Name, "live"), float64(p.Live)),
		gauge(poolMetric(p.Name, "leaving"), float64(p.Leaving)),
		gauge(poolMetric(p.Name, "ejected"), float64(p.Ejected)),
		gauge(poolMetric(p.Name, "evacuated"), float64(p.Evacuated)),
		gauge(poolMetric(p.Name, "cold"), float64(p.Cold)),
		gauge(poolMetric(p.Name, "cold_owned"), float64(p.Owned)),
		gauge(poolMetric(p.Name, "limited"), float64(p.Limited)),
		gauge(poolMetric(p.Name, "backing_off"), float64(p.BackingOff)),
		gauge(poolMetric(p.Name, "window_requests"), float64(p.WindowRequests)),
		gauge(poolMetric(p.Name, "window_repeats"), float64(p.WindowRepeats)),
		gauge(poolMetric(p.Name, "unanswered"), float64(p.Unanswered)),
		boolGauge(poolMetric(p.Name, "short"), p.Short),
		gauge(poolMetric(p.Name, "headroom"), p.Headroom),
		boolGauge(poolMetric(p.Name, "unreachable"), p.Unreachable),
		boolGauge(poolMetric(p.Name, "unconnected"), p.Unconnected),
		boolGauge(poolMetric(p.Name, "view_wrong"), p.ViewWrong),
		gauge(poolMetric(p.Name, "watch_share"), p.HealthProbeShare),
		total(poolMetric(p.Name, "probes"), p.Probes),
		total(poolMetric(p.Name, "probes_denied"), p.ProbesDenied),
		total(poolMetric(p.Name, "probe_time_ms"), p.ProbeTime.Milliseconds()),
	}
	for i := range p.Services {
		s := &p.Services[i]
		all = append(all,
			gauge(serviceMetric(s.Name, "outstanding"), float64(s.InUse)),
			gauge(serviceMetric(s.Name, "waiting"), float64(s.Waiting)),
			gauge(serviceMetric(s.Name, "retries_left"), s.RetriesLeft),
			total(serviceMetric(s.Name, "retries"), s.Retries),
			total(serviceMetric(s.Name, "retries_denied"), s.RetriesDenied),
		)
	}
	return all
}
