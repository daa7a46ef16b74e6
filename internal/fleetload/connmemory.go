package fleetload

import (
	"context"
	"time"
)

// Held is the memory of what an entry holds, each the slope over the numbers
// in Config.Held, heap and stacks together, in bytes.
type ConnectionMemory struct {
	// Connection is an idle connection of a caller.
	Connection Line `json:"connection"`
	// Request is a request that waits in the entry's queue, with its caller's
	// connection.
	Request Line `json:"request"`
}

// measureConnectionMemory opens connections to one entry, first idle ones and then ones on
// which a request waits.
func (f *fleet) measureConnectionMemory(ctx context.Context, c Config) (ConnectionMemory, error) {
	idle, err := f.fitConnectionMemory(ctx, c.ConnectionCounts, false)
	if err != nil {
		return ConnectionMemory{}, err
	}
	waiting, err := f.fitConnectionMemory(ctx, c.ConnectionCounts, true)
	return ConnectionMemory{Connection: idle, Request: waiting}, err
}

// fitConnectionMemory measures memory at several numbers of connections. The callers' own
// part is a bare socket each.
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

// connectionSettle lets the entry take in what was sent.
const connectionSettle = 300 * time.Millisecond

// connectWithRequest opens a connection to the first entry and sends a request on it;
// unless the request is to wait, it takes the answer.
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
