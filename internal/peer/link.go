package peer

import (
	"context"
	"crypto/tls"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/tealhall/tealhall/internal/fault"
	"github.com/tealhall/tealhall/internal/message"
	"github.com/tealhall/tealhall/internal/peer/wire"
)

// link keeps one outgoing connection open. Its goroutine dials, sends updates one at a time, and
// pings when there is no update to send.
type link struct {
	owner   *Links
	cfg     Config
	address string
	meter   meter
	cancel  context.CancelFunc
	done    chan struct{}
	ready   chan struct{} // signals that the outbox has an update

	mu     sync.Mutex
	outbox outbox
	conn   *connection // nil unless the link is open
	stats  LinkStats
}

// connection is one open connection of a link.
type connection struct {
	client *rpc.Client
	packer wire.Packer // used by the link's goroutine only
	broken chan struct{}
	once   sync.Once
}

// end closes the connection; calls in flight fail.
func (c *connection) end() {
	c.once.Do(func() {
		close(c.broken)
		c.client.Close()
	})
}

func startLink(owner *Links, address string) *link {
	ctx, cancel := context.WithCancel(context.Background())
	l := &link{
		owner:   owner,
		cfg:     owner.cfg,
		address: address,
		cancel:  cancel,
		done:    make(chan struct{}),
		ready:   make(chan struct{}, 1),
		stats:   LinkStats{Address: address, State: LinkDialing},
	}
	go l.run(ctx)
	return l
}

func (l *link) stop() { l.cancel() }

// run opens the link again and again until it is stopped.
func (l *link) run(ctx context.Context) {
	defer close(l.done)
	failures := 0
	for ctx.Err() == nil {
		before := l.snapshot().Messages
		l.updateStats(func(s *LinkStats) { s.State = LinkDialing })
		err := l.runConnection(ctx, failures == 0)
		l.updateStats(func(s *LinkStats) { s.State, s.LastError = LinkWaiting, err.Error() })
		l.failWaiting()
		if l.snapshot().Messages > before {
			failures = 0 // the peer accepted an update, so this is a new failure
		}
		pause(ctx, l.backoff(failures))
		failures++
	}
	l.updateStats(func(s *LinkStats) { s.State = linkStopped })
	l.failWaiting()
}

// The first dials after a failure follow each other quickly, and the very first one is repeated in
// parallel until one of them ends. This guards against entries that lose power together: the SYN
// to an entry that starts a little later is lost, and the kernel retransmits it after a whole
// second, during which each entry names only itself to callers. repeatDialInterval is far above a
// round trip between regions.
const (
	maxQuickDials      = 6
	repeatDialInterval = 150 * time.Millisecond
)

// maxDoublings keeps the shift in backoff from overflowing.
const maxDoublings = 16

// backoff returns the delay before the next dial. After the quick dials, it doubles with each
// failure up to its bound. Half of it is random, so that the peers of a restarted entry do not
// reconnect at the same time.
func (l *link) backoff(failures int) time.Duration {
	doublings := min(max(failures-maxQuickDials, 0), maxDoublings)
	ceiling := min(l.cfg.BackoffMin<<doublings, l.cfg.BackoffMax)
	return ceiling/2 + time.Duration(l.cfg.Jitter()*float64(ceiling/2))
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// runConnection opens a connection, with repeated dials if repeat is set, and uses it until it
// breaks.
func (l *link) runConnection(ctx context.Context, repeat bool) error {
	c, peer, err := l.connect(ctx, repeat)
	if err != nil {
		return err
	}
	defer c.end()
	l.updateStats(func(s *LinkStats) {
		s.State, s.Peer = LinkOpen, peer
		s.Opened++
	})
	l.owner.onHello(l.address, peer)
	l.setConnection(c)
	defer l.setConnection(nil)
	return l.sendLoop(ctx, c)
}

// connect dials and exchanges Hello within the dial timeout.
func (l *link) connect(ctx context.Context, repeat bool) (*connection, message.Hello, error) {
	dialCtx, cancel := context.WithTimeout(ctx, l.cfg.DialTimeout)
	defer cancel()
	conn, err := l.dial(dialCtx, repeat)
	if err != nil {
		return nil, message.Hello{}, l.peerDown(err)
	}
	codec := wire.NewClientCodec(conn, l.cfg.limits())
	c := &connection{client: rpc.NewClientWithCodec(codec), broken: make(chan struct{})}
	peer, err := l.exchangeHello(dialCtx, c)
	if err != nil {
		c.end()
		return nil, message.Hello{}, err
	}
	return c, peer, nil
}

func (l *link) dial(ctx context.Context, repeat bool) (net.Conn, error) {
	dial := l.cfg.Dial
	if repeat {
		dial = l.dialWithRepeats
	}
	conn, err := dial(ctx, l.address)
	if err != nil {
		return nil, err
	}
	conn = meteredConn{Conn: conn, meter: &l.meter}
	if l.cfg.ClientTLS == nil {
		return conn, nil
	}
	secure := tls.Client(conn, l.tlsConfig())
	if err := secure.HandshakeContext(ctx); err != nil {
		conn.Close()
		return nil, err
	}
	return secure, nil
}

// dialResult is the result of one dial.
type dialResult struct {
	conn net.Conn
	err  error
}

// dialWithRepeats starts another dial every repeatDialInterval until one of the dials ends, and
// returns the result of that one. A refused connection ends all dials, because the VM is up and
// its process is not.
func (l *link) dialWithRepeats(ctx context.Context, address string) (net.Conn, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan dialResult, maxQuickDials)
	startDial := func() {
		conn, err := l.cfg.Dial(ctx, address)
		results <- dialResult{conn, err}
	}
	timer := time.NewTimer(repeatDialInterval)
	defer timer.Stop()
	go startDial()
	for running := 1; ; {
		select {
		case result := <-results:
			go closeLateDials(results, running-1)
			return result.conn, result.err
		case <-timer.C:
			if running < maxQuickDials {
				running++
				go startDial()
				timer.Reset(repeatDialInterval)
			}
		}
	}
}

// closeLateDials waits for the given number of dials and closes their connections.
func closeLateDials(results <-chan dialResult, dials int) {
	for range dials {
		if result := <-results; result.conn != nil {
			result.conn.Close()
		}
	}
}

// tlsConfig uses the peer's IP address as the server name if the settings give no name.
func (l *link) tlsConfig() *tls.Config {
	config := l.cfg.ClientTLS().Clone()
	if host, _, err := net.SplitHostPort(l.address); err == nil && config.ServerName == "" {
		config.ServerName = host
	}
	return config
}

func (l *link) exchangeHello(ctx context.Context, c *connection) (message.Hello, error) {
	self := wire.Hello(l.owner.self())
	reply := new(wire.HelloReply)
	if err := l.exchange(ctx, c, wire.MethodHello, &self, reply); err != nil {
		return message.Hello{}, err
	}
	if err := reply.Refusal.Err(); err != nil {
		return message.Hello{}, err
	}
	peer := message.Hello(reply.Hello)
	return peer, checkVersion(peer)
}

// sendLoop sends waiting updates, and pings when there are none, until the connection breaks.
func (l *link) sendLoop(ctx context.Context, c *connection) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	last := time.Now()
	for {
		timer.Reset(time.Until(last.Add(time.Duration(l.owner.pingPeriod.Load()))))
		var err error
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-c.broken:
			return l.peerDown(net.ErrClosed)
		case <-l.ready:
			err = l.sendWaiting(ctx, c)
		case <-timer.C:
			err = l.exchange(ctx, c, wire.MethodPing, &wire.Ping{}, new(wire.PingReply))
		}
		if err != nil {
			return err
		}
		last = time.Now()
	}
}

func (l *link) sendWaiting(ctx context.Context, c *connection) error {
	l.mu.Lock()
	u, done, ok := l.outbox.take(time.Now())
	l.mu.Unlock()
	if !ok {
		return nil
	}
	ack, err := l.sendUpdate(ctx, c, u)
	l.completeUpdate(done, message.Receipt{Acked: err == nil, EvidenceDigest: ack.EvidenceDigest, RecordDigest: ack.RecordDigest})
	return err
}

func (l *link) sendUpdate(ctx context.Context, c *connection, u message.Update) (message.Ack, error) {
	reply := new(wire.AckReply)
	if err := l.exchange(ctx, c, wire.MethodUpdate, c.packer.Pack(u), reply); err != nil {
		return message.Ack{}, err
	}
	if err := reply.Refusal.Err(); err != nil {
		return message.Ack{}, err
	}
	if !reply.Ack.Accepted {
		// A new connection begins with a new Hello, which removes the reasons for not accepting an
		// update.
		return message.Ack{}, fault.New(fault.PeerDown, "nothing: the link is opened again", "%s did not accept an update: %s", l.address, reply.Ack.Reason)
	}
	return reply.Ack, nil
}

// completeUpdate counts an update and passes the receipt to its sender.
func (l *link) completeUpdate(done func(message.Receipt), r message.Receipt) {
	l.updateStats(func(s *LinkStats) {
		if r.Acked {
			s.Messages++
		} else {
			s.Dropped++
		}
	})
	done(r)
}

// failWaiting fails the waiting update, if there is one.
func (l *link) failWaiting() {
	l.mu.Lock()
	_, done, ok := l.outbox.take(time.Now())
	l.mu.Unlock()
	if ok {
		l.completeUpdate(done, message.Receipt{})
	}
}

// enqueue puts an update into the outbox, and returns false if the link is down. An update waits
// while the link is dialling.
func (l *link) enqueue(u message.Update, done func(message.Receipt)) bool {
	l.mu.Lock()
	if l.stats.State == LinkWaiting || l.stats.State == linkStopped {
		l.stats.Dropped++
		l.mu.Unlock()
		return false
	}
	replaced := l.outbox.put(time.Now(), u, done)
	l.mu.Unlock()
	if replaced != nil {
		l.completeUpdate(replaced, message.Receipt{})
	}
	select {
	case l.ready <- struct{}{}:
	default: // a signal is pending already
	}
	return true
}

func (l *link) setConnection(c *connection) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conn = c
}

// call makes a call on behalf of a goroutine other than the link's own.
func (l *link) call(ctx context.Context, m wire.Method, args, reply any) error {
	l.mu.Lock()
	c, reason := l.conn, l.stats.LastError
	l.mu.Unlock()
	if c == nil {
		return fault.New(fault.PeerDown, "ask another peer", "the link to %s is not open (last error: %s)", l.address, reason)
	}
	return l.exchange(ctx, c, m, args, reply)
}

// exchange makes one call. A call that the peer does not answer within the call timeout closes the
// connection: an established connection can be silently dead while new ones work, and a new
// connection is cheap.
func (l *link) exchange(ctx context.Context, c *connection, m wire.Method, args, reply any) error {
	started := time.Now()
	timer := time.NewTimer(l.cfg.CallTimeout)
	defer timer.Stop()
	// The call runs on its own goroutine because writing may block until the write deadline.
	done := make(chan error, 1)
	go func() { done <- c.client.Call(m.String(), args, reply) }()
	select {
	case err := <-done:
		return l.finishCall(c, started, err)
	case <-timer.C:
		c.end()
		return fault.New(fault.PeerDown, "nothing: the link is opened again; check the network if this continues",
			"%s did not answer for %s", l.address, l.cfg.CallTimeout)
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (l *link) finishCall(c *connection, started time.Time, err error) error {
	if refusal, ok := err.(rpc.ServerError); ok {
		return fault.New(fault.BadMessage, "upgrade the older of the two entries", "%s refused the call: %s", l.address, string(refusal))
	}
	if err != nil {
		c.end()
		return l.peerDown(err)
	}
	now := time.Now()
	l.updateStats(func(s *LinkStats) { s.Heard, s.RTT = now, now.Sub(started) })
	return nil
}

func (l *link) peerDown(err error) error {
	if fault.KindOf(err) != "" {
		return err
	}
	return fault.Wrap(err, fault.PeerDown, "nothing: the link is opened again; check the peer or the network if this continues",
		"the link to %s failed", l.address)
}

func (l *link) updateStats(change func(*LinkStats)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change(&l.stats)
}

func (l *link) snapshot() LinkStats {
	l.mu.Lock()
	defer l.mu.Unlock()
	stats := l.stats
	stats.BytesIn, stats.BytesOut = l.meter.in.Load(), l.meter.out.Load()
	return stats
}
