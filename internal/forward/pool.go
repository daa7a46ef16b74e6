package forward

import (
	"sync"
	"time"
)

// ConnStats counts the connections to one address.
type ConnStats struct {
	// Idle, Busy and Dialing are the connections of this moment.
	Idle, Busy, Dialing int
	// Dialed and DialFailed count connections set up and failed so far.
	Dialed, DialFailed uint64
	// Reused counts requests sent on a connection used before.
	Reused uint64
	// Stale counts idle connections that were found dead, with unexpected
	// bytes, or past their age.
	Stale uint64
	// Silent counts connections that went silent.
	Silent uint64
}

// pool holds the connections to one address. It is safe for concurrent use.
type pool struct {
	address string

	mu sync.Mutex
	// all holds every open connection; conn.slot is its index.
	all []*conn
	// idle is a stack: the connection that was alive last is on top, so that
	// the others grow old and are closed.
	idle    []*conn
	dialing int
	// retired is set when the pool left Connections; its connections are
	// closed as they end.
	retired bool
	// freed is closed when a connection comes free or room for one; nil while nobody
	// waits for that.
	freed  chan struct{}
	usedAt time.Duration
	stats  ConnStats
}

// takeIdle pops the connection that was alive last, provided that it was alive
// at or after since. It returns nil if there is none.
func (p *pool) takeIdle(since time.Duration) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	last := len(p.idle) - 1
	if last < 0 || p.idle[last].aliveAt < since {
		return nil
	}
	c := p.idle[last]
	p.idle[last] = nil
	p.idle = p.idle[:last]
	return c
}

// reserve makes room for one more connection. When only idle connections that
// the caller must not use fill the bound, the oldest of them makes room. Without room
// it returns a channel that is closed when it is worth trying again.
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

// closedChan is a channel on which nobody waits.
var closedChan = func() chan struct{} { c := make(chan struct{}); close(c); return c }()

// wakeWaiters wakes those who wait for a connection. The lock is held.
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

// putIdle makes a connection idle after a whole answer at now.
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

// discard closes a connection that no exchange uses any more.
func (p *pool) discard(c *conn) {
	c.abort(Closed)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.removeConn(c)
}

// removeConn takes a connection off the list of open ones. The lock is held.
func (p *pool) removeConn(c *conn) {
	last := len(p.all) - 1
	moved := p.all[last]
	p.all[c.index] = moved
	moved.index = c.index
	p.all[last] = nil
	p.all = p.all[:last]
	p.wakeWaiters()
}

// retire closes the idle connections and lets the busy ones end.
func (p *pool) retire() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.retired = true
	p.closeIdle()
	p.wakeWaiters()
}

// closeIdle closes all idle connections. The lock is held.
func (p *pool) closeIdle() {
	for i, c := range p.idle {
		p.removeConn(c)
		c.abort(Closed)
		p.idle[i] = nil
	}
	p.idle = p.idle[:0]
}

// suspect closes the idle connections, which can't be told from silent ones
// without sending something, and the busy ones that are silent by now.
func (p *pool) suspect(silentAfter time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeIdle()
	for _, c := range p.all {
		if c.probe.Silent(silentAfter) {
			c.abort(Silent)
		}
	}
}

// sweep closes idle connections that were alive before since or that the
// endpoint closed, and retires a pool that was not used since then.
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

// count changes the counters under the lock.
func (p *pool) count(change func(*ConnStats)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change(&p.stats)
}

// snapshot returns the counts of this moment.
func (p *pool) snapshot() ConnStats {
	p.mu.Lock()
	defer p.mu.Unlock()
	stats := p.stats
	stats.Idle = len(p.idle)
	stats.Busy = len(p.all) - len(p.idle)
	stats.Dialing = p.dialing
	return stats
}
