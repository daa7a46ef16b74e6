// Package peer keeps the links between entries: net/rpc over TCP, one
// connection from each entry to each peer that it sends to. A Server answers
// what comes in, Links sends what goes out.
//
// Every call has a time-out, every message a size limit, every table a bound.
// A link that went silent is found by the next message or ping and opened again
// with jittered back-off. What is sent may be lost; senders are told so.
package peer

import (
	"context"
	"crypto/tls"
	"math/rand/v2"
	"net"
	"time"

	"github.com/tealhall/tealhall/internal/message"
	"github.com/tealhall/tealhall/internal/peer/wire"
)

// Handler answers peers. Its methods are called concurrently, Hello first on
// each connection. The remote end gets the errors with kind and remedy.
type Handler interface {
	// Hello is told who opened a link and returns who answers. An error
	// refuses the peer and closes the connection.
	Hello(message.Hello) (message.Hello, error)
	// Update takes a regular message; the handler owns its slices.
	Update(message.Update) (message.Ack, error)
	// Fetch returns a published value that is later than asked for.
	Fetch(message.Fetch) (message.Document, error)
	// Handover takes a part of a sealed idempotency table.
	Handover(message.Handover) (message.Ack, error)
}

// Config bounds links and servers. The zero value of a field means its
// default; both ends of a link should use the same Heartbeat.
type Config struct {
	// Heartbeat is the shortest silence after which a sender pings; default 1 s.
	Heartbeat time.Duration
	// CallTimeout bounds one call; default 3 s. A Fetch or Handover may be
	// bounded further by its context.
	CallTimeout time.Duration
	// DialTimeout bounds connecting, TLS and Hello together; default 3 s.
	DialTimeout time.Duration
	// BackoffMin and BackoffMax bound the wait before a dial is tried again. The first
	// dials after a failure follow after BackoffMin each;
	// defaults 200 ms and 5 s.
	BackoffMin, BackoffMax time.Duration
	// HandoverBytes bounds one Handover message; default 256 KiB. It must
	// exceed the largest answer that is kept with a key.
	HandoverBytes int
	// DocumentBytes bounds the text of one fetched value; default 1 MiB.
	DocumentBytes int
	// Connections bounds the connections that a server holds; default 256.
	Connections int
	// BytesPerSecond is the bound within which updates are composed; default
	// 9,000. Pings to all peers together take at most a tenth of it, packet
	// headers included, so that they grow rarer in a large fleet.
	BytesPerSecond int
	// ServerTLS encrypts accepted connections; nil for plain TCP.
	ServerTLS *tls.Config
	// ClientTLS returns the configuration for one dial, so that changed
	// certificates are used; nil for plain TCP. Without a server name, the
	// peer's certificate must bear its IP number.
	ClientTLS func() *tls.Config
	// Dial opens a connection; the default dials TCP with keep-alive and a
	// user time-out.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Jitter returns a number in [0, 1) for back-off; the default is random.
	Jitter func() float64
}

// Defaults of Config.
const (
	defaultHeartbeat     = time.Second
	defaultCallTimeout   = 3 * time.Second
	defaultDialTimeout   = 3 * time.Second
	defaultBackoffMin    = 200 * time.Millisecond
	defaultBackoffMax    = 5 * time.Second
	defaultHandoverBytes = 256 << 10
	defaultDocumentBytes = 1 << 20
	defaultConnections   = 256
	defaultBytes         = 9000
)

// Fixed limits of the protocol.
const (
	helloBytes   = 16 << 10
	regularBytes = 16 << 10
	// replyOverheadBytes is what a reply holds beside a document's text.
	replyOverheadBytes = 4 << 10
	// maxRequestsInFlight bounds the requests of one connection in work.
	maxRequestsInFlight = 4
	// maxUnackedHeartbeats is for how many heartbeats sent bytes may stay
	// unacknowledged before the kernel ends a connection.
	maxUnackedHeartbeats = 4
	// pingBytes is what a ping and its acknowledgement cost the sender, packet
	// headers included, and pingShare what pings may take of the byte bound.
	pingBytes = 130
	pingShare = 0.1
	// maxPingPeriod bounds the silence on a link, and serverIdleTimeout is after
	// which silence a server closes a connection: it only clears away what a
	// lost peer left behind, so it is far longer.
	maxPingPeriod     = 15 * time.Second
	serverIdleTimeout = 60 * time.Second
)

func (c Config) withDefaults() Config {
	setDefault(&c.Heartbeat, defaultHeartbeat)
	setDefault(&c.CallTimeout, defaultCallTimeout)
	setDefault(&c.DialTimeout, defaultDialTimeout)
	setDefault(&c.BackoffMin, defaultBackoffMin)
	setDefault(&c.BackoffMax, defaultBackoffMax)
	setDefault(&c.HandoverBytes, defaultHandoverBytes)
	setDefault(&c.DocumentBytes, defaultDocumentBytes)
	setDefault(&c.Connections, defaultConnections)
	setDefault(&c.BytesPerSecond, defaultBytes)
	if c.Dial == nil {
		c.Dial = dialTCP(c.unackedTimeout())
	}
	if c.Jitter == nil {
		c.Jitter = rand.Float64
	}
	return c
}

func setDefault[T int | time.Duration](field *T, value T) {
	if *field <= 0 {
		*field = value
	}
}

// unackedTimeout is how long sent bytes may stay unacknowledged.
func (c Config) unackedTimeout() time.Duration { return maxUnackedHeartbeats * c.Heartbeat }

// pingPeriod returns after which silence each of so many links pings.
func (c Config) pingPeriod(links int) time.Duration {
	seconds := float64(links*pingBytes) / (pingShare * float64(c.BytesPerSecond))
	return min(max(time.Duration(seconds*float64(time.Second)), c.Heartbeat), maxPingPeriod)
}

func (c Config) limits() wire.Limits {
	return wire.Limits{
		Hello:    helloBytes,
		Regular:  regularBytes,
		Handover: c.HandoverBytes,
		Document: c.DocumentBytes + replyOverheadBytes,
		Write:    c.CallTimeout,
		Read:     c.CallTimeout,
		InFlight: maxRequestsInFlight,
	}
}
