// Package front implements the caller-facing side of an entry: an HTTP/1.1 server that limits the
// time and size of requests and refuses ambiguous request heads, request bodies that can be sent
// again by another attempt, and the copying of answers.
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

	"github.com/tealhall/tealhall/internal/intake"
)

// ServerConfig configures a Server. Zero values select the default given at each field.
type ServerConfig struct {
	// Limits bounds callers' connections. The defaults are 32 KiB and 5 s for a head, and 60 s
	// idle.
	Limits Limits
	// Allowed, if not nil, returns limits that apply in place of Limits where they are higher, up
	// to maxAllowed.
	Allowed func() Limits
	// KeepAlive is the interval of TCP keep-alive probes. Default 10 s.
	KeepAlive time.Duration
	// UserTimeout is the TCP user timeout. It also ends a connection whose caller does not read its
	// answer for that long. Default 30 s.
	UserTimeout time.Duration
	// Memory accounts for heads and buffered answers; nil means no limit.
	Memory *intake.Memory
	// MaxConnections bounds the open connections; 0 means no limit. At the limit, a new connection
	// takes the place of one that waits for a request.
	MaxConnections int
	// TLS, if not nil, enables TLS on callers' connections.
	TLS *tls.Config
	// Refuse answers a request whose head was refused; the connection is then closed. The parameter
	// r is a placeholder that contains nothing of the refused request. If Refuse is nil, the answer
	// is a status without a body.
	Refuse func(w http.ResponseWriter, r *http.Request, violation Violation)
	// MayPipeline reports whether a request may be started before the requests in front of it on
	// its connection are answered, because it may run twice. If MayPipeline is nil, no request is
	// started early.
	MayPipeline func(r *http.Request) bool
	// ErrorLog gets the server's errors; nil selects the standard logger.
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

// Server serves HTTP/1.1 to callers. It is safe for concurrent use.
type Server struct {
	cfg      ServerConfig
	handler  http.Handler
	http     *http.Server
	inFlight atomic.Int64
	leaving  atomic.Bool

	mu        sync.Mutex
	listeners []*listener
	conns     map[*guardedConn]struct{}
	// bound closes connections beyond MaxConnections; nil without a limit.
	bound   *intake.Connections
	stopped bool
	// accepting counts the listeners that still accept connections.
	accepting int
}

// NewServer returns a server that passes requests with an accepted head to handler.
func NewServer(cfg ServerConfig, handler http.Handler) *Server {
	cfg = cfg.withDefaults()
	if cfg.TLS != nil {
		cfg.TLS = http1Only(cfg.TLS)
	}
	s := &Server{cfg: cfg, handler: handler, conns: make(map[*guardedConn]struct{})}
	if cfg.MaxConnections > 0 {
		s.bound = intake.NewConnections(cfg.MaxConnections, monotonic(), cfg.Memory.GiveUpStalled)
	}
	s.http = &http.Server{
		Handler: s,
		// guardedConn applies the limits, so those of net/http must not be reached first.
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

// http1Only returns a copy of c that negotiates only HTTP/1.1, the one protocol that this server
// implements. If a caller could negotiate HTTP/2, all its connections would fail.
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

// connKey is the context key of a request's connection.
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
		g.stopReadAhead()
		g.pipeline.end()
		g.releaseHead()
		s.track(g, false)
	}
	if s.bound != nil {
		s.bound.State(c, state)
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

// Serve accepts callers' connections on l until Stop. It returns nil after Stop.
func (s *Server) Serve(l *net.TCPListener) error {
	if err := boundReceiveBuffers(l); err != nil {
		return err
	}
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

// ConnectionStats describes the connections that were closed because of the limit.
func (s *Server) ConnectionStats() intake.ConnectionStats {
	if s.bound == nil {
		return intake.ConnectionStats{}
	}
	return s.bound.Stats()
}

// monotonic returns a clock that starts at 0 now.
func monotonic() func() time.Duration {
	start := time.Now()
	return func() time.Duration { return time.Since(start) }
}

// Connections returns the number of open connections from callers.
func (s *Server) Connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// InFlight returns the number of requests in progress.
func (s *Server) InFlight() int { return int(s.inFlight.Load()) }

// ServeHTTP implements http.Handler for the http.Server.
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
	tracked := &answerWriter{ResponseWriter: w, server: s, conn: g, number: number, bodyState: bodyStateOf(r)}
	s.handler.ServeHTTP(tracked, r)
	tracked.finish()
	if tracked.cutOff {
		abort(g, r)
	}
}

// servePipelined sends the answer of a request that was started before its turn.
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

// abort ends the caller's connection so that the caller cannot mistake the answer for a complete
// one. In HTTP/1.0 an answer without a length ends with the connection; only a reset shows such a
// caller that the answer was cut off.
func abort(g *guardedConn, r *http.Request) {
	if g != nil && !r.ProtoAtLeast(1, 1) {
		g.tcp.SetLinger(0)
	}
	panic(http.ErrAbortHandler)
}

// answerWriter is the http.ResponseWriter passed to handlers.
type answerWriter struct {
	http.ResponseWriter
	server      *Server
	wroteHeader bool
	// body is set if the request's body is streamed, and bodyState says what was read of another one.
	body      *ReplayBody
	bodyState bodyState
	// cutOff is set if the answer was begun but cannot be completed.
	cutOff bool
	// pipelined is set for an answer that is buffered until its turn. The writer to which it is
	// then sent decides whether to close the connection.
	pipelined bool
	// conn is the caller's connection, and number the number of the request on it.
	conn   *guardedConn
	number uint64
}

// bodyState says how much of a request's body was read.
type bodyState uint8

const (
	// bodyRead: the request has no body, it was read to its end, or ReplayBody reads it on.
	bodyRead bodyState = iota
	// bodyUnread: nothing was read, and the server may read the rest to use the connection again.
	bodyUnread
	// bodyRefused: the rest is not wanted.
	bodyRefused
)

// noteBody records how much of the body was read; w may be nil.
func (w *answerWriter) noteBody(state bodyState) {
	if w != nil {
		w.bodyState = state
	}
}

// bodyStateOf returns the state of a body before anything is read.
func bodyStateOf(r *http.Request) bodyState {
	if HasBody(r) {
		return bodyUnread
	}
	return bodyRead
}

// limitRest limits the time in which the server reads the rest of the body. The caller may send
// nothing more.
func (w *answerWriter) limitRest() {
	http.NewResponseController(w.ResponseWriter).SetReadDeadline(time.Now().Add(lingerTime))
}

// WriteHeader asks the caller to close the connection if the server is leaving. It also closes the
// connection if the answer begins before the whole body was read: net/http panics if it reads the
// rest of such a body after the handler and then waits for the next request.
func (w *answerWriter) WriteHeader(status int) {
	if status >= http.StatusOK && !w.wroteHeader {
		w.wroteHeader = true
		if w.closesConnection() || w.bodyState == bodyRefused || w.body != nil && !w.body.finished() {
			w.Header().Set("Connection", "close")
		}
		if w.bodyState == bodyUnread {
			w.limitRest()
		}
	}
	w.ResponseWriter.WriteHeader(status)
}

// closesConnection reports whether the answer asks the caller to close the connection because the
// server is leaving. It does not if later requests on the connection are in progress: they may be
// running at endpoints already, and their answers would be lost.
func (w *answerWriter) closesConnection() bool {
	if w.pipelined || !w.server.leaving.Load() {
		return false
	}
	return w.conn == nil || w.conn.pipeline.mayCloseAfter(w.number)
}

// Write writes a part of the body. It writes the head first if that was not written yet.
func (w *answerWriter) Write(p []byte) (int, error) {
	if !w.wroteHeader {
		w.WriteHeader(http.StatusOK)
	}
	return w.ResponseWriter.Write(p)
}

// finish is called after the handler has returned. The server then reads the rest of the body in
// order to close the connection without a reset.
func (w *answerWriter) finish() {
	if w.bodyState != bodyRead {
		w.limitRest()
	}
	if w.body == nil || w.body.finished() {
		return
	}
	if !w.wroteHeader && !w.cutOff {
		w.WriteHeader(http.StatusOK)
	}
	w.limitRest()
}

// Unwrap supports http.ResponseController.
func (w *answerWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// unwrapTo returns the first writer of type T that w is or wraps.
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
