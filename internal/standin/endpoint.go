package standin

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/tealhall/tealhall/internal/contract"
	"github.com/tealhall/tealhall/internal/published"
)

// Endpoint plays one application endpoint that keeps the endpoint contract
// (docs/ENDPOINTS.md), or breaks it where its faults say so. It is safe for
// concurrent use.
type Endpoint struct {
	cfg       EndpointConfig
	server    *Server
	slots     *slots
	startedAt time.Duration

	faults   atomic.Pointer[EndpointFaults]
	draining atomic.Bool

	mu            sync.Mutex // guards the fields below and cfg.ServiceTime
	stats         EndpointStats
	faultsChanged chan struct{} // closed at the next change of faults
}

// EndpointStats is what an Endpoint counted. Requests don't include probes.
type EndpointStats struct {
	// Requests arrived; Runs of them got a slot, Finished came to their end.
	Requests int64 `json:"requests"`
	Runs     int64 `json:"runs"`
	Finished int64 `json:"finished"`
	// NotRun were refused with the statement that they were not run.
	NotRun map[contract.NotRunReason]int64 `json:"not_run"`
	// Failed were turned away without such a statement.
	Failed int64 `json:"failed"`
	// CancelledQueued and CancelledRunning went away before a slot or in one;
	// Late passed their deadline in a slot.
	CancelledQueued  int64 `json:"cancelled_queued"`
	CancelledRunning int64 `json:"cancelled_running"`
	Late             int64 `json:"late"`
	// Probes arrived; ProbeSlotTime and SlotTime are the slot time spent on
	// probes and on requests.
	Probes        int64         `json:"probes"`
	ProbeSlotTime time.Duration `json:"probe_slot_time_ns"`
	SlotTime      time.Duration `json:"slot_time_ns"`
	// Connections were accepted so far.
	Connections int64 `json:"connections"`
	// LongestQueue is the longest queue seen.
	LongestQueue int `json:"longest_queue"`
}

// NewEndpoint starts an endpoint.
func NewEndpoint(cfg EndpointConfig) (*Endpoint, error) {
	cfg = cfg.withDefaults()
	e := &Endpoint{
		cfg:           cfg,
		slots:         newSlots(cfg.Slots, cfg.QueueLimit),
		startedAt:     cfg.Clock.Now(),
		faultsChanged: make(chan struct{}),
	}
	e.stats.NotRun = make(map[contract.NotRunReason]int64)
	e.faults.Store(&EndpointFaults{})
	server, err := NewServer(cfg.Listen, e, cfg.Clock, cfg.ConnectTime)
	if err != nil {
		return nil, err
	}
	e.server = server
	return e, nil
}

// Server gives access to the endpoint's address and its network faults: Kill,
// Start, BlackHole.
func (e *Endpoint) Server() *Server { return e.server }

// Ledger counts the endpoint's requests by key and id.
func (e *Endpoint) Ledger() *Ledger { return e.cfg.Ledger }

// VM describes the endpoint as the platform's list would.
func (e *Endpoint) VM(pool, region, domain string) published.VM {
	return published.VM{
		Name:        e.cfg.Name,
		Incarnation: e.cfg.Incarnation,
		Role:        published.EndpointRole,
		State:       published.Live,
		Region:      region,
		Domain:      domain,
		Address:     e.server.Address(),
		Pool:        pool,
		Slots:       e.cfg.Slots,
	}
}

// SetFaults replaces the faults. Requests that hang are let go when Hang ends.
func (e *Endpoint) SetFaults(faults EndpointFaults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults.Store(&faults)
	close(e.faultsChanged)
	e.faultsChanged = make(chan struct{})
}

// Drain announces that the endpoint leaves: it finishes what it has and refuses
// new work as not run. There is no way back.
func (e *Endpoint) Drain() { e.draining.Store(true) }

// AwaitIdle returns once nothing holds a slot or waits for one.
func (e *Endpoint) AwaitIdle() { e.slots.awaitIdle() }

// Close drains and stops the endpoint; requests in flight finish until ctx ends.
func (e *Endpoint) Close(ctx context.Context) error {
	e.Drain()
	return e.server.Shutdown(ctx)
}

// Stats returns what the endpoint counted so far.
func (e *Endpoint) Stats() EndpointStats {
	e.mu.Lock()
	defer e.mu.Unlock()
	stats := e.stats
	stats.NotRun = make(map[contract.NotRunReason]int64, len(e.stats.NotRun))
	for reason, count := range e.stats.NotRun {
		stats.NotRun[reason] = count
	}
	stats.Connections = e.server.AcceptedConnections()
	stats.LongestQueue = e.slots.longestQueue()
	return stats
}

// Load is the real load of the endpoint.
func (e *Endpoint) Load() contract.Load { return e.slots.load() }

// count changes the counters under the lock.
func (e *Endpoint) count(change func(*EndpointStats)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	change(&e.stats)
}

// nextSlotTime returns how long the next request or probe holds its slot.
func (e *Endpoint) nextSlotTime(probe bool, work time.Duration) time.Duration {
	slotTime := work
	switch {
	case probe:
		slotTime = e.cfg.ProbeTime
	case work <= 0:
		slotTime = e.nextServiceTime()
	}
	if straggle := e.faults.Load().Straggle; straggle > 0 {
		slotTime = scale(slotTime, straggle)
	}
	return scale(slotTime, e.cfg.coldFactor(e.cfg.Clock.Now()-e.startedAt))
}

func (e *Endpoint) nextServiceTime() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cfg.ServiceTime()
}

// setLoadHeaders sets the headers that every answer carries.
func (e *Endpoint) setLoadHeaders(header http.Header) {
	load := e.slots.load()
	if reported := e.faults.Load().Load; reported != nil {
		load = *reported
	}
	header.Set(contract.HeaderLoad, load.String())
	header.Set(contract.HeaderIncarnation, contract.FormatIncarnation(e.cfg.Incarnation))
	header.Set(EndpointHeader, e.cfg.Name)
	if e.draining.Load() {
		header.Set(contract.HeaderDraining, contract.DrainingValue)
	}
}
