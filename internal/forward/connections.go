// Package forward sends requests over HTTP/1.1 to endpoints, and to other entries when a request
// belongs to one of them.
//
// It sends each request at most once and on one connection. Once a byte of a request has been
// written, this package never sends that request again, whatever its method or headers are. The
// standard http.Transport cannot be used, because it replays a request that carries an
// Idempotency-Key when a reused connection fails. docs/design/http.md compares the alternatives.
package forward

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// The sweep of idle connections runs sweepsPerTimeout times per idle timeout, at intervals between
// minSweepInterval and maxSweepInterval.
const (
	sweepsPerTimeout = 4
	minSweepInterval = 50 * time.Millisecond
	maxSweepInterval = 2 * time.Second
)

// Connections manages one entry's connections to endpoints. It is safe for concurrent use.
type Connections struct {
	cfg    Config
	dialer *net.Dialer

	mu     sync.RWMutex
	pools  map[string]*pool
	closed bool

	// lastConn is the number of the connection that was set up last.
	lastConn atomic.Uint64

	stop  chan struct{}
	ended chan struct{}
}

// New returns Connections with no open connection. Close stops its background goroutine.
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

// Drop closes the idle connections to address and lets each busy connection finish its answer. A
// later Send to the address uses a new connection.
func (c *Connections) Drop(address string) {
	c.mu.Lock()
	p := c.pools[address]
	delete(c.pools, address)
	c.mu.Unlock()
	if p != nil {
		p.retire()
	}
}

// Suspect closes the idle connections to address after one connection to it went silent, because a
// network device that lost the state of one connection may have lost the state of all. It also
// closes each busy connection on which the endpoint has stopped acknowledging bytes.
func (c *Connections) Suspect(address string) {
	if p := c.lookup(address); p != nil {
		p.suspect(c.cfg.SilentAfter)
	}
}

// Stats returns the statistics of the connections to address.
func (c *Connections) Stats(address string) ConnStats {
	if p := c.lookup(address); p != nil {
		return p.snapshot()
	}
	return ConnStats{}
}

// Close closes the idle connections and refuses new requests. Each busy connection is closed after
// its answer.
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

// acquired is a connection that acquire or dial returned for one exchange.
type acquired struct {
	pool *pool
	conn *conn
	// fresh is set if the connection is new; dial is how long its setup took.
	fresh bool
	dial  time.Duration
}

// acquire returns a connection on which the request can be written: an idle one that the endpoint
// has not closed, or a new one. If all allowed connections are in use, it waits up to
// Config.DialTimeout for one to become free. Without the wait, requests would fail when this
// process is short of CPU time, because it then releases the connections of finished requests late.
func (c *Connections) acquire(ctx context.Context, out *Outgoing) (acquired, error) {
	address := out.Address
	var timeout <-chan time.Time
	for {
		p := c.pool(address)
		if p == nil {
			return acquired{}, &Error{Failure: Closed, Address: address}
		}
		if !out.NewConn {
			if idle := c.reuse(p, out); idle != nil {
				return acquired{pool: p, conn: idle}, nil
			}
		}
		if out.OpenOnly {
			return acquired{}, &Error{Failure: NoConnection, Address: address}
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

// reuse returns an idle connection that can carry the request, or nil. If out.Once is set, the
// connection must also have been alive within Config.FreshWithin.
func (c *Connections) reuse(p *pool, out *Outgoing) *conn {
	now := c.cfg.Clock()
	within := c.cfg.IdleTimeout
	if out.Once {
		within = min(within, c.cfg.FreshWithin)
	}
	for {
		idle := p.takeIdle(now-within, out.Name)
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

// dial sets up a connection for which pool.reserve has made room.
func (c *Connections) dial(ctx context.Context, p *pool) (acquired, error) {
	started := c.cfg.Clock()
	fresh, err := c.connect(ctx, p.address)
	if fresh != nil {
		fresh.number = c.lastConn.Add(1)
	}
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
	tcp, err := c.dialTCP(ctx, address)
	if err != nil {
		return nil, err
	}
	fresh, err := newConn(tcp, c.cfg.Clock())
	if err != nil || c.cfg.TLS == nil {
		return fresh, err
	}
	ctx, cancel := context.WithTimeout(ctx, c.cfg.DialTimeout)
	defer cancel()
	if err := fresh.encrypt(ctx, c.tlsConfig(address)); err != nil {
		tcp.Close()
		return nil, err
	}
	return fresh, nil
}

// dialTCP opens a TCP connection to address.
func (c *Connections) dialTCP(ctx context.Context, address string) (*net.TCPConn, error) {
	if c.cfg.Dial != nil {
		ctx, cancel := context.WithTimeout(ctx, c.cfg.DialTimeout)
		defer cancel()
		return c.cfg.Dial(ctx, address)
	}
	netConn, err := c.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return netConn.(*net.TCPConn), nil
}

// tlsConfig returns the TLS configuration for address. A configuration without a server name gets
// the IP address as its server name.
func (c *Connections) tlsConfig(address string) *tls.Config {
	config := c.cfg.TLS().Clone()
	if host, _, err := net.SplitHostPort(address); err == nil && config.ServerName == "" {
		config.ServerName = host
	}
	return config
}

// sweepLoop closes expired idle connections, including those to addresses that no longer get
// requests.
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

// sweep closes the expired idle connections of each pool and removes unused pools.
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

// remove deletes a retired pool, unless its address already has a new one.
func (c *Connections) remove(p *pool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pools[p.address] == p {
		delete(c.pools, p.address)
	}
}
