package bench

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// Header names between the bench's deciders and its endpoints.
const (
	demandHeader   = "Bench-Demand"    // nanoseconds of slot time
	idleOnlyHeader = "Bench-Idle-Only" // refuse rather than queue
	probeHeader    = "Bench-Probe"
	refusedHeader  = "Bench-Refused"
	inFlightHeader = "Bench-In-Flight"
	queuedHeader   = "Bench-Queued"
)

// probeCost is the slot time that one probe takes at an endpoint.
const probeCost = 6 * time.Millisecond

// endpoint is an HTTP server with a few slots and a first-in-first-out queue.
type endpoint struct {
	slots    int
	queueMax int
	factor   float64
	failFast bool
	// ignoreIdleOnly: the endpoint doesn't know the header and queues.
	ignoreIdleOnly bool

	address string
	server  *http.Server

	mu       sync.Mutex
	inFlight int
	waiting  []chan time.Duration
	// debts holds, for each idle slot, how much longer than asked its last
	// sleep took; the next one is shortened by it, so that a coarse timer does
	// not take capacity away.
	debts []time.Duration

	connections atomic.Int64
	probeNanos  atomic.Int64
	requests    atomic.Int64
	refusals    atomic.Int64
}

func startEndpoint(cfg Config, faults Faults, index int) (*endpoint, error) {
	e := &endpoint{slots: cfg.Slots, queueMax: cfg.EndpointQueue, factor: 1, debts: make([]time.Duration, cfg.Slots), ignoreIdleOnly: cfg.IgnoreIdleOnly}
	if index == 0 {
		e.factor = max(1, faults.StragglerFactor)
		e.failFast = faults.FailFast
	}
	listener, err := net.Listen("tcp", loopback(index))
	if err != nil {
		return nil, err
	}
	e.address = listener.Addr().String()
	e.server = &http.Server{Handler: e, ConnState: e.connection}
	go func() { _ = e.server.Serve(listener) }()
	return e, nil
}

// loopback returns the listening address of an endpoint. Each has its own
// address of the loopback network, so that many short runs on one machine don't
// use up the ports of a single one.
func loopback(index int) string { return fmt.Sprintf("127.0.1.%d:0", index%250+1) }

// connection counts new connections and has them closed without a lingering
// state, for the same reason.
func (e *endpoint) connection(c net.Conn, s http.ConnState) {
	if s != http.StateNew {
		return
	}
	e.connections.Add(1)
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
}

func (e *endpoint) close() { _ = e.server.Close() }

// ServeHTTP runs one request or probe.
func (e *endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.requests.Add(1)
	if e.failFast {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if r.Header.Get(probeHeader) != "" {
		e.probe(w)
		return
	}
	nanos, _ := strconv.ParseInt(r.Header.Get(demandHeader), 10, 64)
	debt, ok := e.acquire(r.Header.Get(idleOnlyHeader) != "" && !e.ignoreIdleOnly)
	if !ok {
		e.refusals.Add(1)
		w.Header().Set(refusedHeader, "1")
		e.reportLoad(w.Header())
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	e.release(work(time.Duration(float64(nanos)*e.factor), debt))
	e.reportLoad(w.Header())
	w.WriteHeader(http.StatusOK)
}

// probe reports the load at once and takes its slot time afterwards, as far as
// a slot is idle.
func (e *endpoint) probe(w http.ResponseWriter) {
	e.reportLoad(w.Header())
	w.WriteHeader(http.StatusOK)
	e.probeNanos.Add(int64(probeCost))
	if debt, ok := e.acquire(true); ok {
		go func() { e.release(work(probeCost, debt)) }()
	}
}

// work sleeps for the demand less the debt and returns the new debt.
func work(demand, debt time.Duration) time.Duration {
	begun := time.Now()
	asked := demand - debt
	time.Sleep(asked)
	return time.Since(begun) - asked
}

// acquire waits for a slot and returns its debt.
func (e *endpoint) acquire(idleOnly bool) (time.Duration, bool) {
	e.mu.Lock()
	if e.inFlight < e.slots {
		e.inFlight++
		last := len(e.debts) - 1
		debt := e.debts[last]
		e.debts = e.debts[:last]
		e.mu.Unlock()
		return debt, true
	}
	if idleOnly || len(e.waiting) >= e.queueMax {
		e.mu.Unlock()
		return 0, false
	}
	turn := make(chan time.Duration, 1)
	e.waiting = append(e.waiting, turn)
	e.mu.Unlock()
	return <-turn, true
}

func (e *endpoint) release(debt time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.waiting) > 0 {
		e.waiting[0] <- debt
		e.waiting = e.waiting[1:]
		return
	}
	e.inFlight--
	e.debts = append(e.debts, debt)
}

func (e *endpoint) reportLoad(h http.Header) {
	e.mu.Lock()
	inFlight, queued := e.inFlight, len(e.waiting)
	e.mu.Unlock()
	h.Set(inFlightHeader, strconv.Itoa(inFlight))
	h.Set(queuedHeader, strconv.Itoa(queued))
}
