package forward

import (
	"slices"
	"sync"
	"time"
)

// ConnStats counts the connections to one address.
type ConnStats struct {
	// Idle, Busy and Dialing count the current connections by state.
	Idle, Busy, Dialing int
	// Dialed and DialFailed count the connections that were set up and the dials that failed.
	Dialed, DialFailed uint64
	// Reused counts requests sent on a connection that had carried another request.
	Reused uint64
	// Stale counts idle connections that could not be reused: closed by the endpoint, with
	// unexpected bytes to read, or idle for longer than Config.IdleTimeout.
	Stale uint64
	// Silent counts connections that went silent.
	Silent uint64
}

// pool manages the connections to one address. It is safe for concurrent use.
type pool struct {
	address string

	mu sync.Mutex
	// all lists every open connection; conn.index is its position in the list.
	all []*conn
	// idle is a stack with the most recently used connection on top, so that surplus connections
	// stay idle and expire.
	idle    []*conn
	dialing int
	// retired is set when the pool is removed from Connections. Its busy connections are then
	// closed after their answers.
	retired bool
	// freed is closed when a connection becomes idle or a new one may be dialled. It is nil while
	// no request waits for that.
	freed  chan struct{}
	usedAt time.Duration
	stats  ConnStats
}

// takeIdle removes and returns the most recently used idle connection that was alive at the time
// since or later and has not carried a request of the given name. Otherwise it returns nil.
func (p *pool) takeIdle(since time.Duration, name string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, c := range slices.Backward(p.idle) {
		if c.aliveAt < since {
			return nil
		}
		if !c.hasCarried(name) {
			p.idle = slices.Delete(p.idle, i, i+1)
			return c
		}
	}
	return nil
}

// reserve makes room for one more connection. If the limit is reached but some connections are
// idle, which takeIdle did not return because they cannot carry the request, it closes the oldest of
// them. If all connections are busy, it returns a channel that is closed when the request
// should try again.
func (p *pool) reserve(limit int, now time.Duration) (ok bool, freed <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.usedAt = now
	if p.retired {
		return false, closedChan
	}
	if len(p.all)+p.dialing >= limit {
		if len(p.idle) == 0 {
			if p.freed == nil {
				p.freed = make(chan struct{})
			}
			return false, p.freed
		}
		oldest := p.idle[0]
		p.idle = append(p.idle[:0], p.idle[1:]...)
		p.removeConn(oldest)
		oldest.abort(Closed)
	}
	p.dialing++
	return true, nil
}

// closedChan is a closed channel: a receive from it never blocks.
var closedChan = func() chan struct{} { c := make(chan struct{}); close(c); return c }()

// wakeWaiters wakes the requests that wait for a connection. The lock mu must be held.
func (p *pool) wakeWaiters() {
	if p.freed != nil {
		close(p.freed)
		p.freed = nil
	}
}

// dialed ends a reservation; c is nil if the dial failed.
func (p *pool) dialed(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dialing--
	if c == nil {
		p.wakeWaiters()
		p.stats.DialFailed++
		return
	}
	p.stats.Dialed++
	c.index = len(p.all)
	p.all = append(p.all, c)
}

// putIdle makes a connection idle after it delivered a whole answer at the time now.
func (p *pool) putIdle(c *conn, now time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.retired {
		p.removeConn(c)
		c.abort(Closed)
		return
	}
	c.aliveAt = now
	p.usedAt = now
	p.idle = append(p.idle, c)
	p.wakeWaiters()
}

// discard closes a connection that its exchange no longer uses.
func (p *pool) discard(c *conn) {
	c.abort(Closed)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.removeConn(c)
}

// removeConn removes a connection from the list of open ones. The lock mu must be held.
func (p *pool) removeConn(c *conn) {
	last := len(p.all) - 1
	moved := p.all[last]
	p.all[c.index] = moved
	moved.index = c.index
	p.all[last] = nil
	p.all = p.all[:last]
	p.wakeWaiters()
}

// retire closes the idle connections and lets the busy ones finish their answers.
func (p *pool) retire() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.retired = true
	p.closeIdle()
	p.wakeWaiters()
}

// closeIdle closes all idle connections. The lock mu must be held.
func (p *pool) closeIdle() {
	for i, c := range p.idle {
		p.removeConn(c)
		c.abort(Closed)
		p.idle[i] = nil
	}
	p.idle = p.idle[:0]
}

// suspect closes the idle connections, which cannot be distinguished from silent ones without
// sending data, and the busy ones that are already silent.
func (p *pool) suspect(silentAfter time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeIdle()
	for _, c := range p.all {
		if c.inspector.Silent(silentAfter) {
			c.abort(Silent)
		}
	}
}

// sweep closes idle connections that were last alive before the time since or that the endpoint
// closed. It retires the pool if it has no connections and was last used before that time.
func (p *pool) sweep(since time.Duration) (retired bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.idle[:0]
	for _, c := range p.idle {
		if c.aliveAt >= since && c.reusable() {
			kept = append(kept, c)
			continue
		}
		p.stats.Stale++
		p.removeConn(c)
		c.abort(Closed)
	}
	clear(p.idle[len(kept):])
	p.idle = kept
	p.retired = p.retired || (len(p.all) == 0 && p.dialing == 0 && p.usedAt < since)
	return p.retired
}

// count updates the counters under the lock.
func (p *pool) count(change func(*ConnStats)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change(&p.stats)
}

// snapshot returns the current statistics.
func (p *pool) snapshot() ConnStats {
	p.mu.Lock()
	defer p.mu.Unlock()
	stats := p.stats
	stats.Idle = len(p.idle)
	stats.Busy = len(p.all) - len(p.idle)
	stats.Dialing = p.dialing
	return stats
}
