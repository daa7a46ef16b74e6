// Package peer implements the links between entries: net/rpc over TCP, with one connection from
// each entry to each peer that it sends to. A Server answers incoming calls; Links sends outgoing
// ones.
//
// Every call has a timeout, every message a size limit and every table a bound. The next message
// or ping detects a silent link, which is then opened again after a jittered back-off. Updates may
// be lost; the sender is notified when that happens.
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

// Handler answers calls of peers. Its methods are called concurrently, Hello first on each
// connection. Errors reach the peer with their kind and remedy.
type Handler interface {
	// Hello receives the description of the peer that opened a link and returns that of this
	// entry. An error refuses the peer, whose link then closes the connection.
	Hello(message.Hello) (message.Hello, error)
	// Update processes a regular message. The handler owns its slices.
	Update(message.Update) (message.Ack, error)
	// Fetch returns a published value of a later revision than the one in the request, to the peer
	// with the given incarnation.
	Fetch(peer uint64, f message.Fetch) (message.Document, error)
	// Handover receives a part of a sealed idempotency table.
	Handover(message.Handover) (message.Ack, error)
}

// Config bounds links and servers. A field that is zero has its default. Both ends of a link
// should use the same Heartbeat.
type Config struct {
	// Heartbeat is the shortest silence after which a sender pings; the default is 1 s.
	Heartbeat time.Duration
	// CallTimeout bounds one call; the default is 3 s. The context of a Fetch or Handover may end
	// it earlier.
	CallTimeout time.Duration
	// DialTimeout bounds connecting, the TLS handshake and Hello together; the default is 3 s.
	DialTimeout time.Duration
	// BackoffMin and BackoffMax bound the delay before the next dial. The first dials after a
	// failure use BackoffMin. The defaults are 200 ms and 5 s.
	BackoffMin, BackoffMax time.Duration
	// HandoverBytes bounds one Handover message; the default is 256 KiB. It must exceed the
	// largest answer that is stored with a key.
	HandoverBytes int
	// DocumentBytes bounds the text of one fetched value; the default is 1 MiB.
	DocumentBytes int
	// Connections bounds the open connections of a server; the default is 256.
	Connections int
	// BytesPerSecond is the bandwidth bound that the caller of Links.Deliver observes for updates;
	// the default is 9,000. Pings to all peers together use at most a tenth of it, packet headers
	// included, so they become rarer in a large fleet.
	BytesPerSecond int
	// ServerTLS encrypts accepted connections; nil means plain TCP.
	ServerTLS *tls.Config
	// ClientTLS returns the configuration for one dial, so that new certificates take effect; nil
	// means plain TCP. Without a server name, the peer's certificate must contain its IP address.
	ClientTLS func() *tls.Config
	// Dial opens a connection. The default dials TCP with keep-alive and a user timeout.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Jitter returns a number in [0, 1) for the back-off; the default is random.
	Jitter func() float64
}

// Defaults of Config.
const (
	defaultHeartbeat      = time.Second
	defaultCallTimeout    = 3 * time.Second
	defaultDialTimeout    = 3 * time.Second
	defaultBackoffMin     = 200 * time.Millisecond
	defaultBackoffMax     = 5 * time.Second
	defaultHandoverBytes  = 256 << 10
	defaultDocumentBytes  = 1 << 20
	defaultConnections    = 256
	defaultBytesPerSecond = 9000
)

// Fixed limits of the protocol.
const (
	helloBytes   = 16 << 10
	regularBytes = 16 << 10
	// replyOverheadBytes is the size allowed for a reply beside the text of its document.
	replyOverheadBytes = 4 << 10
	// maxRequestsInFlight bounds the concurrent requests of one connection.
	maxRequestsInFlight = 4
	// maxUnackedHeartbeats is the number of heartbeat intervals for which sent bytes may stay
	// unacknowledged before the kernel closes a connection.
	maxUnackedHeartbeats = 4
	// pingBytes is the cost of a ping and its acknowledgement for the sender, packet headers
	// included. pingShare is the share of BytesPerSecond that pings may use.
	pingBytes = 130
	pingShare = 0.1
	// maxPingPeriod bounds the time between pings. serverIdleTimeout is the silence after which a
	// server closes a connection. It only removes connections of lost peers, so it is far longer
	// than maxPingPeriod.
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
	setDefault(&c.BytesPerSecond, defaultBytesPerSecond)
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

// pingPeriod returns the silence after which each of the given number of links pings.
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
