package fleetload

import (
	"context"
	"time"
)

// Held is the memory of what an entry holds, each the slope over the numbers
// in Config.Held, heap and stacks together, in bytes.
type Held struct {
	// Connection is an idle connection of a caller.
	Connection Line `json:"connection"`
	// Request is a request that waits in the entry's queue, with its caller's
	// connection.
	Request Line `json:"request"`
}

// measureHeld opens connections to one entry, first idle ones and then ones on
// which a request waits.
func (f *fleet) measureHeld(ctx context.Context, c Config) (Held, error) {
	idle, err := f.heldLine(ctx, c.Held, false)
	if err != nil {
		return Held{}, err
	}
	waiting, err := f.heldLine(ctx, c.Held, true)
	return Held{Connection: idle, Request: waiting}, err
}

// heldLine measures memory at several numbers of connections. The callers' own
// part is a bare socket each.
func (f *fleet) heldLine(ctx context.Context, numbers []int, waiting bool) (Line, error) {
	hold := make(chan struct{})
	release := func() {
		for _, e := range f.endpoints {
			e.hold.Store(nil)
		}
		close(hold)
	}
	defer release()
	if waiting {
		for _, e := range f.endpoints {
			e.hold.Store(&hold)
		}
	}
	var held callers
	defer func() { held.close() }()
	var xs, ys []float64
	for _, n := range numbers {
		for len(held) < n {
			c, err := f.heldCaller(waiting)
			if err != nil {
				return Line{}, err
			}
			held = append(held, c)
		}
		wait(ctx, settleHeld)
		heap, stacks := heldMemory()
		xs, ys = append(xs, float64(n)), append(ys, float64(heap+stacks))
	}
	return Fit(xs, ys), nil
}

// settleHeld lets the entry take in what was sent.
const settleHeld = 300 * time.Millisecond

// heldCaller opens a connection to the first entry and sends a request on it;
// unless the request is to wait, it takes the answer.
func (f *fleet) heldCaller(waiting bool) (*caller, error) {
	c, err := newCaller(f.entries[0].CallerAddress(), serviceName(readKind), "")
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
