// Package forward brings requests over HTTP/1.1 to endpoints, and to other
// entries when a request belongs to one of them.
//
// It sends each request at most once and on one connection: a request of which
// one byte was written is never sent again by this package, whatever its method
// or headers say. The standard http.Transport does otherwise, it replays a
// request that carries an Idempotency-Key when a reused connection dies.
// docs/design/http.md weighs the ways.
package forward

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"time"
)

// The sweep of idle connections runs this many times per idle time-out, within
// the two limits.
const (
	sweepsPerTimeout = 4
	minSweepInterval = 50 * time.Millisecond
	maxSweepInterval = 2 * time.Second
)

// Connections holds one entry's connections to endpoints. It is safe for
// concurrent use.
type Connections struct {
	cfg    Config
	dialer *net.Dialer

	mu     sync.RWMutex
	pools  map[string]*pool
	closed bool

	stop  chan struct{}
	ended chan struct{}
}

// New returns Connections without any connection open. Close them to end their
// goroutine.
func New(cfg Config) *Connections {
	cfg = cfg.withDefaults()
	c := &Connections{
		cfg:    cfg,
		dialer: cfg.dialer(),
		pools:  make(map[string]*pool),
		stop:   make(chan struct{}),
		ended:  make(chan struct{}),
	}
	go c.sweepLoop()
	return c
}

// Drop closes the idle connections to address and lets each busy one end with
// its answer. A later Send to the address starts anew.
func (c *Connections) Drop(address string) {
	c.mu.Lock()
	p := c.pools[address]
	delete(c.pools, address)
	c.mu.Unlock()
	if p != nil {
		p.retire()
	}
}

// Suspect is called when a connection to address went silent. Idle connections
// are closed, since whatever forgot the one may have forgotten them all; busy
// ones are closed if nothing that they sent is acknowledged.
func (c *Connections) Suspect(address string) {
	if p := c.lookup(address); p != nil {
		p.suspect(c.cfg.SilentAfter)
	}
}

// Stats returns the counts for address.
func (c *Connections) Stats(address string) ConnStats {
	if p := c.lookup(address); p != nil {
		return p.snapshot()
	}
	return ConnStats{}
}

// Close closes the idle connections and refuses new requests. Busy connections
// end with their answers.
func (c *Connections) Close() {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return
	}
	c.closed = true
	pools := c.pools
	c.pools = nil
	c.mu.Unlock()
	close(c.stop)
	<-c.ended
	for _, p := range pools {
		p.retire()
	}
}

func (c *Connections) lookup(address string) *pool {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.pools[address]
}

// pool returns the pool of address, or nil after Close.
func (c *Connections) pool(address string) *pool {
	if p := c.lookup(address); p != nil {
		return p
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil
	}
	p := c.pools[address]
	if p == nil {
		p = &pool{address: address, usedAt: c.cfg.Clock()}
		c.pools[address] = p
	}
	return p
}

// acquired is a connection for one exchange.
type acquired struct {
	pool *pool
	conn *conn
	// fresh is set if the connection is new; dial is what its set-up took.
	fresh bool
	dial  time.Duration
}

// acquire returns a connection on which the request can be written: an idle one
// that the endpoint has not closed, or a new one. Where all that are allowed are in use
// it waits for one, as long as setting one up may take. Guards against a process that is
// short of processor time, whose answered requests give their connections back late.
func (c *Connections) acquire(ctx context.Context, address string, once bool) (acquired, error) {
	var timeout <-chan time.Time
	for {
		p := c.pool(address)
		if p == nil {
			return acquired{}, &Error{Failure: Closed, Address: address}
		}
		if idle := c.reuse(p, once); idle != nil {
			return acquired{pool: p, conn: idle}, nil
		}
		ok, freed := p.reserve(c.cfg.MaxConnsPerEndpoint, c.cfg.Clock())
		if ok {
			return c.dial(ctx, p)
		}
		if timeout == nil {
			timer := time.NewTimer(c.cfg.DialTimeout)
			defer timer.Stop()
			timeout = timer.C
		}
		select {
		case <-freed:
		case <-timeout:
			return acquired{}, &Error{Failure: NoConnection, Address: address}
		case <-ctx.Done():
			return acquired{}, &Error{Failure: contextFailure(ctx), Address: address}
		}
	}
}

// reuse returns an idle connection that is good for another request, or nil.
func (c *Connections) reuse(p *pool, once bool) *conn {
	now := c.cfg.Clock()
	within := c.cfg.IdleTimeout
	if once {
		within = min(within, c.cfg.FreshWithin)
	}
	for {
		idle := p.takeIdle(now - within)
		if idle == nil {
			return nil
		}
		if idle.reusable() {
			p.count(func(s *ConnStats) { s.Reused++ })
			return idle
		}
		p.count(func(s *ConnStats) { s.Stale++ })
		p.discard(idle)
	}
}

// dial sets up a connection for which room was reserved.
func (c *Connections) dial(ctx context.Context, p *pool) (acquired, error) {
	started := c.cfg.Clock()
	fresh, err := c.connect(ctx, p.address)
	p.dialed(fresh)
	got := acquired{pool: p, conn: fresh, fresh: true, dial: c.cfg.Clock() - started}
	if err == nil {
		return got, nil
	}
	failure := dialFailure(err)
	if ctx.Err() != nil {
		failure = contextFailure(ctx)
	}
	return got, &Error{Failure: failure, Address: p.address, Cause: err}
}

func (c *Connections) connect(ctx context.Context, address string) (*conn, error) {
	netConn, err := c.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	fresh, err := newConn(netConn.(*net.TCPConn), c.cfg.Clock())
	if err != nil || c.cfg.TLS == nil {
		return fresh, err
	}
	ctx, cancel := context.WithTimeout(ctx, c.cfg.DialTimeout)
	defer cancel()
	if err := fresh.encrypt(ctx, c.tlsConfig(address)); err != nil {
		netConn.Close()
		return nil, err
	}
	return fresh, nil
}

// tlsConfig names the other end by its IP number unless the configuration does.
func (c *Connections) tlsConfig(address string) *tls.Config {
	config := c.cfg.TLS().Clone()
	if host, _, err := net.SplitHostPort(address); err == nil && config.ServerName == "" {
		config.ServerName = host
	}
	return config
}

// sweepLoop closes idle connections in time, also to addresses that get no
// requests any more.
func (c *Connections) sweepLoop() {
	defer close(c.ended)
	interval := min(max(c.cfg.IdleTimeout/sweepsPerTimeout, minSweepInterval), maxSweepInterval)
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			c.sweep()
		case <-c.stop:
			return
		}
	}
}

// sweep closes what is too old in each pool and forgets unused pools.
func (c *Connections) sweep() {
	since := c.cfg.Clock() - c.cfg.IdleTimeout
	c.mu.RLock()
	pools := make([]*pool, 0, len(c.pools))
	for _, p := range c.pools {
		pools = append(pools, p)
	}
	c.mu.RUnlock()
	for _, p := range pools {
		if p.sweep(since) {
			c.remove(p)
		}
	}
}

// remove forgets a retired pool, unless its address has a new one already.
func (c *Connections) remove(p *pool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pools[p.address] == p {
		delete(c.pools, p.address)
	}
}
