package intake

import (
	"container/list"
	"net"
	"net/http"
	"sync"
	"time"
)

// firstRequestTime is how long a new connection may take until its first request has arrived before it
// gives way to another one.
const firstRequestTime = time.Second

// Connections bounds the open connections of an http.Server. At the limit, a new connection takes the
// place of one that waits for a request, or is closed itself. It is safe for concurrent use.
type Connections struct {
	limit int
	clock func() time.Duration
	// giveUpStalled ends a request that makes no progress, and reports whether there was one. It is
	// called with the lock held.
	giveUpStalled func() bool

	mu sync.Mutex
	// open has the state of each connection.
	open map[net.Conn]*connection
	// fresh has the connections without a request so far, idle those that wait for another one, each
	// as *connection, the one that has waited longest first.
	fresh, idle list.List
	stats       ConnectionStats
}

// ConnectionStats describes a Connections since the start of the process.
type ConnectionStats struct {
	// Open is the number of open connections. Closed counts those that were closed while they waited
	// for a request, Refused the new ones that were closed at once, both because of the limit.
	Open            int
	Closed, Refused uint64
}

type connection struct {
	conn  net.Conn
	since time.Duration
	// list is the list that the connection is in, nil while a request is in progress.
	list  *list.List
	place *list.Element
}

// NewConnections returns a Connections of limit connections. The clock returns the time since any
// fixed moment. If giveUpStalled is not nil, it is asked to end a request that makes no progress.
func NewConnections(limit int, clock func() time.Duration, giveUpStalled func() bool) *Connections {
	if giveUpStalled == nil {
		giveUpStalled = func() bool { return false }
	}
	return &Connections{limit: limit, clock: clock, giveUpStalled: giveUpStalled, open: make(map[net.Conn]*connection)}
}

// Stats returns the current figures.
func (c *Connections) Stats() ConnectionStats {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.stats
	s.Open = len(c.open)
	return s
}

// State follows the state of a connection; it is the ConnState of the http.Server.
func (c *Connections) State(conn net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		if victim := c.add(conn); victim != nil {
			victim.Close()
		}
	case http.StateActive:
		c.move(conn, nil)
	case http.StateIdle:
		c.move(conn, &c.idle)
	case http.StateClosed, http.StateHijacked:
		c.mu.Lock()
		defer c.mu.Unlock()
		c.remove(c.open[conn])
	}
}

// add adds a new connection and returns the one to close for it, nil if there is room.
func (c *Connections) add(conn net.Conn) (victim net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.open) >= c.limit {
		waiting := c.waitingLongest()
		switch {
		case waiting != nil:
			c.remove(waiting)
			c.stats.Closed++
			victim = waiting.conn
		case !c.giveUpStalled():
			c.stats.Refused++
			return conn
		}
	}
	added := &connection{conn: conn}
	c.open[conn] = added
	c.enter(added, &c.fresh)
	return victim
}

// waitingLongest returns the connection that gives way: one that has had no request for too long, else
// one that has been idle for longest, nil if there is none.
func (c *Connections) waitingLongest() *connection {
	if f := first(&c.fresh); f != nil && c.clock()-f.since >= firstRequestTime {
		return f
	}
	return first(&c.idle)
}

func first(l *list.List) *connection {
	if e := l.Front(); e != nil {
		return e.Value.(*connection)
	}
	return nil
}

// move moves a connection to a list, nil for none.
func (c *Connections) move(conn net.Conn, to *list.List) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if found := c.open[conn]; found != nil {
		c.leave(found)
		if to != nil {
			c.enter(found, to)
		}
	}
}

func (c *Connections) enter(added *connection, to *list.List) {
	added.since, added.list, added.place = c.clock(), to, to.PushBack(added)
}

func (c *Connections) leave(gone *connection) {
	if gone.list != nil {
		gone.list.Remove(gone.place)
		gone.list, gone.place = nil, nil
	}
}

// remove forgets a connection, nil for none.
func (c *Connections) remove(gone *connection) {
	if gone != nil {
		c.leave(gone)
		delete(c.open, gone.conn)
	}
}
