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

// Endpoint simulates one application endpoint that follows the endpoint contract
// (docs/ENDPOINTS.md), except where its faults violate the contract. It is safe for concurrent use.
type Endpoint struct {
	cfg       EndpointConfig
	server    *Server
	slots     *slots
	startedAt time.Duration

	faults   atomic.Pointer[EndpointFaults]
	draining atomic.Bool

	mu            sync.Mutex // guards the fields below and cfg.ServiceTime
	stats         EndpointStats
	faultsChanged chan struct{} // closed when the faults change
}

// EndpointStats are the counters of an Endpoint. Requests do not include probes.
type EndpointStats struct {
	// Requests counts the requests that arrived, Runs the requests that got a slot and Finished the
	// requests that ran to completion.
	Requests int64 `json:"requests"`
	Runs     int64 `json:"runs"`
	Finished int64 `json:"finished"`
	// NotRun counts the requests that were refused with contract.HeaderNotRun, by reason.
	NotRun map[contract.NotRunReason]int64 `json:"not_run"`
	// Failed counts the requests that were refused without contract.HeaderNotRun.
	Failed int64 `json:"failed"`
	// CancelledQueued counts the requests that were cancelled in the queue, CancelledRunning the
	// requests that were cancelled in a slot. Late counts the requests whose deadline passed in a
	// slot.
	CancelledQueued  int64 `json:"cancelled_queued"`
	CancelledRunning int64 `json:"cancelled_running"`
	Late             int64 `json:"late"`
	// Probes counts the probes that arrived. ProbeSlotTime and SlotTime are the slot time used by
	// probes and by requests.
	Probes        int64         `json:"probes"`
	ProbeSlotTime time.Duration `json:"probe_slot_time_ns"`
	SlotTime      time.Duration `json:"slot_time_ns"`
	// Connections counts the accepted connections.
	Connections int64 `json:"connections"`
	// LongestQueue is the greatest length of the queue so far.
	LongestQueue int `json:"longest_queue"`
}

// NewEndpoint returns a running endpoint.
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

// Server returns the endpoint's server, which has the address and the network faults: Kill, Start
// and BlackHole.
func (e *Endpoint) Server() *Server { return e.server }

// Ledger returns the counts of the endpoint's requests by idempotency key and by request id.
func (e *Endpoint) Ledger() *Ledger { return e.cfg.Ledger }

// VM returns the endpoint's row in the platform's list of VMs.
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

// SetFaults replaces the faults. Clearing Hang closes the connections of the requests that hang.
func (e *Endpoint) SetFaults(faults EndpointFaults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults.Store(&faults)
	close(e.faultsChanged)
	e.faultsChanged = make(chan struct{})
}

// Drain permanently marks the endpoint as draining: it finishes the requests that it has accepted
// and refuses new ones as not run.
func (e *Endpoint) Drain() { e.draining.Store(true) }

// AwaitIdle waits until no request uses a slot or is queued.
func (e *Endpoint) AwaitIdle() { e.slots.awaitIdle() }

// Close drains and stops the endpoint. It waits for the requests in flight until ctx ends.
func (e *Endpoint) Close(ctx context.Context) error {
	e.Drain()
	return e.server.Shutdown(ctx)
}

// Stats returns a copy of the counters.
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

// Load returns the real load of the endpoint, whatever load its faults make it report.
func (e *Endpoint) Load() contract.Load { return e.slots.load() }

// count applies change to the counters under the lock.
func (e *Endpoint) count(change func(*EndpointStats)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	change(&e.stats)
}

// nextSlotTime returns how long the next request or probe uses its slot. A positive work replaces
// the service time of a request.
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

// setLoadHeaders sets the headers that every answer has: load, incarnation, name and draining.
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
