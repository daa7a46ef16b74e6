// Package front is the side of an entry that faces callers: an HTTP/1.1 server
// with bounds on time and size that refuses misleading requests, bodies that
// can be read again for another attempt, and the copying of answers.
package front

import (
	"cmp"
	"context"
	"crypto/tls"
	"errors"
	"log"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// ServerConfig bounds what callers may take. Zero values take the defaults
// named at each field.
type ServerConfig struct {
	// Limits bound what a caller may take; the defaults are 5 s for a head, 60 s idle and 32 KiB.
	Limits Limits
	// Allowed, if not nil, returns what callers are allowed beyond Limits.
	Allowed func() Limits
	// KeepAlive is the time between TCP keep-alive probes. Default 10 s.
	KeepAlive time.Duration
	// UserTimeout is the TCP user time-out; it also ends a connection whose
	// caller reads nothing of its answer for so long. Default 30 s.
	UserTimeout time.Duration
	// TLS, if not nil, is used for callers' connections.
	TLS *tls.Config
	// Refuse answers a request whose head was refused. The connection is closed
	// after that. The request that it gets stands in for the refused one and says
	// nothing of it. Nil answers with the status alone.
	Refuse func(w http.ResponseWriter, r *http.Request, shape Violation)
	// MayPipeline reports whether a request may be begun before those in front of it on its
	// connection are answered: one that may run twice. Nil begins none.
	MayPipeline func(r *http.Request) bool
	// ErrorLog gets the server's errors; nil for the standard logger.
	ErrorLog *log.Logger
}

// The defaults of ServerConfig.
const (
	defaultHeaderTimeout = 5 * time.Second
	defaultIdle          = 60 * time.Second
	defaultHeaderBytes   = 32 << 10
	defaultKeepAlive     = 10 * time.Second
	defaultUserTimeout   = 30 * time.Second
)

func (c ServerConfig) withDefaults() ServerConfig {
	c.Limits = c.Limits.withDefaults()
	c.KeepAlive = cmp.Or(c.KeepAlive, defaultKeepAlive)
	c.UserTimeout = cmp.Or(c.UserTimeout, defaultUserTimeout)
	return c
}

// Server serves callers. It is safe for concurrent use.
type Server struct {
	cfg      ServerConfig
	handler  http.Handler
	http     *http.Server
	inFlight atomic.Int64
	leaving  atomic.Bool

	mu        sync.Mutex
	listeners []*listener
	conns     map[*guardedConn]struct{}
	stopped   bool
	// accepting counts the listeners that still take connections.
	accepting int
}

// NewServer returns a server that passes requests of sound shape to handler.
func NewServer(cfg ServerConfig, handler http.Handler) *Server {
	cfg = cfg.withDefaults()
	if cfg.TLS != nil {
		cfg.TLS = http1Only(cfg.TLS)
	}
	s := &Server{cfg: cfg, handler: handler, conns: make(map[*guardedConn]struct{})}
	s.http = &http.Server{
		Handler: s,
		// The guard applies the bounds; the server's must not be reached first.
		ReadHeaderTimeout:            cfg.Limits.HeaderTimeout,
		IdleTimeout:                  cfg.Limits.Idle,
		MaxHeaderBytes:               2 * cfg.Limits.wider(maxAllowed).HeaderBytes,
		ErrorLog:                     cfg.ErrorLog,
		DisableGeneralOptionsHandler: true,
		ConnState:                    s.connState,
		ConnContext:                  connContext,
	}
	return s
}

// http1Only returns a configuration that agrees on nothing but HTTP/1.1, which
// is all that this server speaks. A caller that was let choose HTTP/2 would find
// each of its connections broken.
func http1Only(c *tls.Config) *tls.Config {
	c = c.Clone()
	c.NextProtos = []string{"http/1.1"}
	choose := c.GetConfigForClient
	if choose == nil {
		return c
	}
	c.GetConfigForClient = func(hello *tls.ClientHelloInfo) (*tls.Config, error) {
		chosen, err := choose(hello)
		if chosen == nil || err != nil {
			return chosen, err
		}
		return http1Only(chosen), nil
	}
	return c
}

// connKey finds the connection of a request in its context.
type connKey struct{}

func connContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

func (s *Server) connState(c net.Conn, state http.ConnState) {
	g, ok := c.(*guardedConn)
	if !ok {
		return
	}
	switch state {
	case http.StateNew:
		g.idle.Store(true)
		s.track(g, true)
	case http.StateActive:
		g.used.Store(true)
		g.idle.Store(false)
		g.headStarted.Store(false)
	case http.StateIdle:
		g.idle.Store(true)
	case http.StateClosed, http.StateHijacked:
		g.pipeline.cancelAll()
		s.track(g, false)
	}
}

func (s *Server) track(g *guardedConn, open bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if open {
		s.conns[g] = struct{}{}
		return
	}
	delete(s.conns, g)
}

// Serve accepts callers on l until Stop. It returns nil after a stop.
func (s *Server) Serve(l *net.TCPListener) error {
	guarded := &listener{TCPListener: l, server: s}
	s.mu.Lock()
	if s.stopped {
		s.mu.Unlock()
		return l.Close()
	}
	s.listeners = append(s.listeners, guarded)
	s.accepting++
	s.mu.Unlock()
	err := s.http.Serve(guarded)
	s.mu.Lock()
	s.accepting--
	s.mu.Unlock()
	if guarded.leaving.Load() || errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// Connections returns how many connections of callers are open.
func (s *Server) Connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// InFlight returns how many requests are being worked on.
func (s *Server) InFlight() int { return int(s.inFlight.Load()) }

// ServeHTTP is called by the http.Server for each request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g, _ := r.Context().Value(connKey{}).(*guardedConn)
	var number uint64
	if g != nil {
		ctx, started := r.Context(), (*pipelinedRequest)(nil)
		number, started, ctx = g.pipeline.enter(ctx)
		defer g.pipeline.leave(number)
		if started != nil {
			s.servePipelined(w, r, g, started)
			return
		}
		r = r.WithContext(ctx)
	}
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	if g != nil && r.URL.Path == refusedPath && g.violation() != ViolationNone {
		s.refuse(w, r, g.violation())
		return
	}
	tracked := &answerWriter{ResponseWriter: w, server: s, conn: g, number: number}
	s.handler.ServeHTTP(tracked, r)
	tracked.finish()
	if tracked.cutOff {
		abort(g, r)
	}
}

// servePipelined passes the answer of a request that was begun ahead.
func (s *Server) servePipelined(w http.ResponseWriter, r *http.Request, g *guardedConn, started *pipelinedRequest) {
	tracked := &answerWriter{ResponseWriter: w, server: s, conn: g, number: started.number}
	if started.deliver(tracked) {
		abort(g, r)
	}
}

// refuse answers a request whose head was refused.
func (s *Server) refuse(w http.ResponseWriter, r *http.Request, violation Violation) {
	w.Header().Set("Connection", "close")
	if s.cfg.Refuse == nil {
		w.WriteHeader(violation.Status())
		return
	}
	s.cfg.Refuse(w, r, violation)
}

// abort ends the caller's connection so that the answer can't pass as whole.
// In HTTP/1.0 an answer without a length ends with the connection; only a reset
// shows such a caller that it was cut off.
func abort(g *guardedConn, r *http.Request) {
	if g != nil && !r.ProtoAtLeast(1, 1) {
		g.tcp.SetLinger(0)
	}
	panic(http.ErrAbortHandler)
}

// answerWriter is the http.ResponseWriter that handlers get.
type answerWriter struct {
	http.ResponseWriter
	server      *Server
	wroteHeader bool
	// body is set while the request's body is streamed.
	body *ReplayBody
	// cutOff is set when the answer that was begun can't be completed.
	cutOff bool
	// ahead is set for an answer that is kept until its turn. The writer that it goes
	// to then decides on the connection.
	pipelined bool
	// guard is the connection, number that of the request on it.
	conn   *guardedConn
	number uint64
}

// WriteHeader asks the caller to go elsewhere while the server leaves. An
// answer that begins before the body was read whole also ends the connection:
// net/http panics if it reads the rest of such a body after the handler and
// then waits for the next request.
func (w *answerWriter) WriteHeader(status int) {
	if status >= http.StatusOK && !w.wroteHeader {
		w.wroteHeader = true
		if w.closesConnection() || w.body != nil && !w.body.finished() {
			w.Header().Set("Connection", "close")
		}
	}
	w.ResponseWriter.WriteHeader(status)
}

// closesConnection reports whether the answer asks its caller to go elsewhere. One that has
// others behind it does not: they may be at work at endpoints already, and their
// answers would be lost.
func (w *answerWriter) closesConnection() bool {
	if w.pipelined || !w.server.leaving.Load() {
		return false
	}
	return w.conn == nil || w.conn.pipeline.mayCloseAfter(w.number)
}

// Write writes a part of the body, after the head if that is missing.
func (w *answerWriter) Write(p []byte) (int, error) {
	if !w.wroteHeader {
		w.WriteHeader(http.StatusOK)
	}
	return w.ResponseWriter.Write(p)
}

// finish is called when the handler returned. The server reads on for the rest of
// a body, to end the connection gently; a caller that sends no more may not hold
// it for long.
func (w *answerWriter) finish() {
	if w.body == nil || w.body.finished() {
		return
	}
	if !w.wroteHeader {
		w.WriteHeader(http.StatusOK)
	}
	w.body.controller.SetReadDeadline(time.Now().Add(lingerTime))
}

// Unwrap is for http.ResponseController.
func (w *answerWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// unwrapTo returns the first writer of type T below w.
func unwrapTo[T http.ResponseWriter](w http.ResponseWriter) (T, bool) {
	for {
		if found, ok := w.(T); ok {
			return found, true
		}
		wrapped, ok := w.(interface{ Unwrap() http.ResponseWriter })
		if !ok {
			var none T
			return none, false
		}
		w = wrapped.Unwrap()
	}
}
