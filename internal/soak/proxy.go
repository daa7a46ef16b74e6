package soak

import (
	"io"
	"net"
	"sync"
	"time"
)

// pathState is the state of the path to an endpoint.
type pathState int

const (
	pathOpen pathState = iota
	// pathSilent passes no bytes: connections are set up and hang.
	pathSilent
	// pathReset resets open connections and new ones.
	pathReset
	// pathSlow passes bytes after slowDelay.
	pathSlow
)

const (
	slowDelay  = 100 * time.Millisecond
	proxyBytes = 32 << 10
)

// proxy passes connections to an endpoint, and misbehaves as its state says.
type proxy struct {
	listener net.Listener
	to       string

	mu      sync.Mutex
	state   pathState
	changed chan struct{} // closed when the state changes
	conns   map[*net.TCPConn]struct{}
}

func newProxy(to string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, to: to, changed: make(chan struct{}), conns: make(map[*net.TCPConn]struct{})}
	go p.accept()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

// set changes the state.
func (p *proxy) set(s pathState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state = s
	close(p.changed)
	p.changed = make(chan struct{})
	if s == pathReset {
		for c := range p.conns {
			_ = c.SetLinger(0) // makes Close send a reset
			_ = c.Close()
		}
	}
}

func (p *proxy) current() (pathState, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state, p.changed
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.set(pathReset)
}

func (p *proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.connect(c.(*net.TCPConn))
	}
}

// connect passes the bytes of a new connection in both directions.
func (p *proxy) connect(from *net.TCPConn) {
	p.add(from)
	state, _ := p.current()
	if state == pathReset {
		p.remove(from, true)
		return
	}
	to, err := net.Dial("tcp", p.to)
	if err != nil {
		p.remove(from, true)
		return
	}
	endpoint := to.(*net.TCPConn)
	p.add(endpoint)
	var both sync.WaitGroup
	both.Go(func() { p.pass(endpoint, from) })
	both.Go(func() { p.pass(from, endpoint) })
	both.Wait()
	p.remove(from, false)
	p.remove(endpoint, false)
}

func (p *proxy) add(c *net.TCPConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns[c] = struct{}{}
}

func (p *proxy) remove(c *net.TCPConn, reset bool) {
	p.mu.Lock()
	delete(p.conns, c)
	p.mu.Unlock()
	if reset {
		_ = c.SetLinger(0)
	}
	_ = c.Close()
}

// pass copies bytes until either connection ends. An error on one side resets the other, so that no
// broken answer looks whole.
func (p *proxy) pass(to, from *net.TCPConn) {
	buffer := make([]byte, proxyBytes)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			p.awaitPassing()
			if _, err := to.Write(buffer[:n]); err != nil {
				p.remove(from, true)
				return
			}
		}
		switch {
		case err == io.EOF:
			_ = to.CloseWrite()
			return
		case err != nil:
			p.remove(to, true)
			return
		}
	}
}

// awaitPassing waits until bytes may pass.
func (p *proxy) awaitPassing() {
	for {
		state, changed := p.current()
		switch state {
		case pathSilent:
			<-changed
		case pathSlow:
			time.Sleep(slowDelay)
			return
		default:
			return
		}
	}
}
