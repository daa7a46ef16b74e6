package forward

import (
	"cmp"
	"context"
	"crypto/tls"
	"errors"
	"net"
	"syscall"
	"time"

	"github.com/tealhall/tealhall/internal/forward/socket"
)

// Config configures the connections of one entry. Zero values take the defaults named at each
// field.
type Config struct {
	// MaxConnsPerEndpoint limits the connections to one address, whether busy, idle or being
	// dialled. Default 16: an endpoint accepts about 240 connections in total, and up to 15
	// entries share them.
	MaxConnsPerEndpoint int
	// DialTimeout limits the time for setting up a connection. Default 1 s.
	DialTimeout time.Duration
	// IdleTimeout is how long a connection may stay idle before it is closed. Keep it below the
	// idle timeout of the endpoints, so that the entry closes first. Default 30 s.
	IdleTimeout time.Duration
	// FreshWithin is how recently an idle connection must have been set up or have delivered an
	// answer to carry a request that may run only once. Default 1 s.
	FreshWithin time.Duration
	// HeaderTimeout limits the wait for the head of the answer after the whole request was
	// written. Zero means that only the request's context limits it.
	HeaderTimeout time.Duration
	// SilentAfter is how long the endpoint's kernel may send nothing back, while unacknowledged
	// bytes are retransmitted, before the connection counts as silent. Default 400 ms, twice the
	// shortest retransmission timeout.
	SilentAfter time.Duration
	// UserTimeout is the TCP user timeout: the kernel ends a connection whose bytes stay
	// unacknowledged for this time. It also ends an upload that the endpoint does not read for
	// this time. Default 15 s.
	UserTimeout time.Duration
	// KeepAlive is the idle time before the first TCP keep-alive probe and the time between
	// probes. Default 5 s.
	KeepAlive time.Duration
	// ContinueTimeout is how long a request with "Expect: 100-continue" waits for the endpoint's
	// answer before its body is sent. Default 1 s.
	ContinueTimeout time.Duration
	// MaxResponseHeaderBytes limits the size of the head of an answer together with the
	// informational answers before it. Default 64 KiB.
	MaxResponseHeaderBytes int64
	// AllowUnframed passes on answers that have neither a Content-Length nor the chunked coding.
	// By default they are refused, because their end cannot be distinguished from a lost
	// connection.
	AllowUnframed bool
	// TLS, if not nil, returns the configuration that encrypts a new connection. If the
	// configuration has no server name, the certificate of the other end must name the IP address
	// that was dialled. An encrypted connection carries one request only.
	TLS func() *tls.Config
	// Dial, if not nil, opens the connections in place of the default dialer, within DialTimeout.
	Dial func(ctx context.Context, address string) (*net.TCPConn, error)
	// Clock returns the monotonic time since the process started. Required.
	Clock func() time.Duration
}

// The defaults of Config.
const (
	defaultMaxConns        = 16
	defaultDialTimeout     = time.Second
	defaultIdleTimeout     = 30 * time.Second
	defaultFreshWithin     = time.Second
	defaultSilentAfter     = 400 * time.Millisecond
	defaultUserTimeout     = 15 * time.Second
	defaultKeepAlive       = 5 * time.Second
	defaultContinueTimeout = time.Second
	defaultHeaderBytes     = 64 << 10
)

// receiveBuffer bounds the bytes that the kernel receives on a connection while the caller of its answer
// is slow to read. By default the kernel lets it grow to tens of megabytes for each connection.
const receiveBuffer = 32 << 10

// withDefaults returns c with its zero values replaced.
func (c Config) withDefaults() Config {
	c.MaxConnsPerEndpoint = cmp.Or(c.MaxConnsPerEndpoint, defaultMaxConns)
	c.DialTimeout = cmp.Or(c.DialTimeout, defaultDialTimeout)
	c.IdleTimeout = cmp.Or(c.IdleTimeout, defaultIdleTimeout)
	c.FreshWithin = cmp.Or(c.FreshWithin, defaultFreshWithin)
	c.SilentAfter = cmp.Or(c.SilentAfter, defaultSilentAfter)
	c.UserTimeout = cmp.Or(c.UserTimeout, defaultUserTimeout)
	c.KeepAlive = cmp.Or(c.KeepAlive, defaultKeepAlive)
	c.ContinueTimeout = cmp.Or(c.ContinueTimeout, defaultContinueTimeout)
	c.MaxResponseHeaderBytes = cmp.Or(c.MaxResponseHeaderBytes, defaultHeaderBytes)
	return c
}

// dialer returns the dialer for new connections.
func (c Config) dialer() *net.Dialer {
	return &net.Dialer{
		Timeout:         c.DialTimeout,
		KeepAliveConfig: socket.KeepAlive(c.KeepAlive),
		Control: func(_, _ string, raw syscall.RawConn) error {
			return errors.Join(socket.SetUserTimeout(raw, c.UserTimeout), socket.SetReceiveBuffer(raw, receiveBuffer))
		},
	}
}
