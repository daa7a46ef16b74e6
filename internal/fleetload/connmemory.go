package fleetload

import (
	"context"
	"time"
)

// ConnectionMemory is the memory that an entry uses for connections and for waiting requests, heap
// and stacks together, in bytes. Each line is fitted over Config.ConnectionCounts; its slope is the
// memory of one connection or request.
type ConnectionMemory struct {
	// Connection is fitted for idle connections of callers.
	Connection Line `json:"connection"`
	// Request is fitted for requests that wait in the entry's queue, including their callers'
	// connections.
	Request Line `json:"request"`
}

// measureConnectionMemory opens connections to one entry, first idle ones and then connections on
// which a request waits.
func (f *fleet) measureConnectionMemory(ctx context.Context, c Config) (ConnectionMemory, error) {
	idle, err := f.fitConnectionMemory(ctx, c.ConnectionCounts, false)
	if err != nil {
		return ConnectionMemory{}, err
	}
	waiting, err := f.fitConnectionMemory(ctx, c.ConnectionCounts, true)
	return ConnectionMemory{Connection: idle, Request: waiting}, err
}

// fitConnectionMemory measures memory at several numbers of connections and fits a line. The
// measured process also runs the callers, each of which adds only a socket without buffers.
func (f *fleet) fitConnectionMemory(ctx context.Context, counts []int, waiting bool) (Line, error) {
	unblock := make(chan struct{})
	release := func() {
		for _, e := range f.endpoints {
			e.unblock.Store(nil)
		}
		close(unblock)
	}
	defer release()
	if waiting {
		for _, e := range f.endpoints {
			e.unblock.Store(&unblock)
		}
	}
	var connected callers
	defer func() { connected.close() }()
	var xs, ys []float64
	for _, n := range counts {
		for len(connected) < n {
			c, err := f.connectWithRequest(waiting)
			if err != nil {
				return Line{}, err
			}
			connected = append(connected, c)
		}
		sleep(ctx, connectionSettle)
		heap, stacks := memoryInUse()
		xs, ys = append(xs, float64(n)), append(ys, float64(heap+stacks))
	}
	return Fit(xs, ys), nil
}

// connectionSettle is the time that the entry gets to process the requests before memory is
// measured.
const connectionSettle = 300 * time.Millisecond

// connectWithRequest opens a connection to the first entry and sends a request on it. Unless the
// request is to wait, it also reads the answer.
func (f *fleet) connectWithRequest(waiting bool) (*caller, error) {
	c, err := newCaller(f.entries[0].CallerAddress(), serviceName(firstReadService), "")
	if err != nil {
		return nil, err
	}
	c.reader, c.latency = nil, nil
	if err := c.send(); err != nil || waiting {
		return c, err
	}
	var answer [1024]byte
	_, err = c.conn.Read(answer[:])
	return c, err
}
