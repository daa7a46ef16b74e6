package peer

import (
	"context"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/tealhall/tealhall/internal/fault"
	"github.com/tealhall/tealhall/internal/message"
)

// pipeNetwork is a network of in-memory connections. Its timeouts run on the clock of the test's
// synctest bubble.
type pipeNetwork struct {
	accepted chan net.Conn
	closed   chan struct{}
	once     sync.Once

	mu        sync.Mutex
	down      bool
	unpowered bool
	dialDelay time.Duration
	dials     []time.Time
	conns     []*pipeConn // the client ends
}

func newPipeNetwork() *pipeNetwork {
	return &pipeNetwork{accepted: make(chan net.Conn), closed: make(chan struct{})}
}

func (p *pipeNetwork) Dial(ctx context.Context, _ string) (net.Conn, error) {
	p.mu.Lock()
	down, unpowered, dialDelay := p.down, p.unpowered, p.dialDelay
	p.dials = append(p.dials, time.Now())
	near, far := net.Pipe()
	conn := &pipeConn{Conn: near}
	p.conns = append(p.conns, conn)
	p.mu.Unlock()
	if down {
		return nil, net.ErrClosed
	}
	if unpowered {
		select {
		case <-time.After(synRetransmitDelay):
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	<-time.After(dialDelay)
	select {
	case p.accepted <- far:
		return conn, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (p *pipeNetwork) setDown(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = down
}

// synRetransmitDelay is the delay after which a kernel retransmits a lost SYN.
const synRetransmitDelay = time.Second

// setUnpowered simulates a peer VM without power: SYNs to it are lost.
func (p *pipeNetwork) setUnpowered(unpowered bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.unpowered = unpowered
}

func (p *pipeNetwork) setDialDelay(delay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dialDelay = delay
}

// silenceAll makes all open connections silent, as when a network device lost their state.
func (p *pipeNetwork) silenceAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		c.silence()
	}
}

func (p *pipeNetwork) Accept() (net.Conn, error) {
	select {
	case c := <-p.accepted:
		return c, nil
	case <-p.closed:
		return nil, net.ErrClosed
	}
}

func (p *pipeNetwork) Close() error {
	p.once.Do(func() { close(p.closed) })
	return nil
}

func (p *pipeNetwork) Addr() net.Addr { return &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: 7070} }

// pipeConn discards written bytes once it is silent.
type pipeConn struct {
	net.Conn
	mu     sync.Mutex
	silent bool
}

func (c *pipeConn) silence() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.silent = true
}

func (c *pipeConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	silent := c.silent
	c.mu.Unlock()
	if silent {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// recordingHandler is a Handler that records the calls that it receives.
type recordingHandler struct {
	hello  message.Hello
	refuse error
	// refuseUpdates makes Update answer like an entry that does not know the sender.
	refuseUpdates bool
	fetch         func(message.Fetch) (message.Document, error)

	mu        sync.Mutex
	updates   []message.Update
	handovers []message.Handover
}

func (r *recordingHandler) Hello(message.Hello) (message.Hello, error) { return r.hello, r.refuse }

func (r *recordingHandler) Update(u message.Update) (message.Ack, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.updates = append(r.updates, u)
	return message.Ack{Accepted: !r.refuseUpdates}, nil
}

func (r *recordingHandler) Fetch(_ uint64, f message.Fetch) (message.Document, error) {
	if r.fetch == nil {
		return message.Document{}, fault.New(fault.NotFound, "publish 100% of it", "no value %s", f.Name)
	}
	return r.fetch(f)
}

func (r *recordingHandler) Handover(h message.Handover) (message.Ack, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.handovers = append(r.handovers, h)
	return message.Ack{Accepted: true}, nil
}

func (r *recordingHandler) received() []message.Update {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]message.Update(nil), r.updates...)
}

const peerAddress = "10.0.0.2:7070"

func helloOf(name string, incarnation uint64) message.Hello {
	return message.Hello{Version: message.Version, MinVersion: message.MinVersion, Name: name, Incarnation: incarnation}
}

// pair is a client with links to one server.
type pair struct {
	net     *pipeNetwork
	handler *recordingHandler
	server  *Server
	links   *Links
	hellos  []message.Hello // read only after synctest.Wait
}

// withPair runs a test in a synctest bubble on a pair whose link was requested.
func withPair(t *testing.T, handler *recordingHandler, cfg Config, self message.Hello, test func(t *testing.T, p *pair)) {
	synctest.Test(t, func(t *testing.T) {
		p := &pair{net: newPipeNetwork(), handler: handler}
		cfg.Dial = p.net.Dial
		cfg.Jitter = func() float64 { return 0.5 }
		p.server = NewServer(cfg, handler)
		served := make(chan error, 1)
		go func() { served <- p.server.Serve(p.net) }()
		p.links = NewLinks(cfg, func() message.Hello { return self },
			func(_ string, h message.Hello) { p.hellos = append(p.hellos, h) })
		p.links.SetPeers([]string{peerAddress})
		synctest.Wait()
		test(t, p)
		p.links.Close()
		p.server.Close()
		if err := <-served; err != nil {
			t.Errorf("Serve: %v", err)
		}
	})
}

// advance lets the clock of the bubble advance by d.
func advance(d time.Duration) {
	<-time.After(d)
	synctest.Wait()
}
