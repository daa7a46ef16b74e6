package standin

import (
	"context"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/tealhall/tealhall/internal/fault"
)

// DefaultListen is the address for a free port on loopback.
const DefaultListen = "127.0.0.1:0"

const readHeaderTimeout = 10 * time.Second

// Server serves a handler on one address and can fail in the ways in which a VM or a network
// fails. It is safe for concurrent use.
type Server struct {
	handler http.Handler
	conns   *connections

	mu           sync.Mutex
	address      string
	reservedPort *os.File           // reserves the port while stopped; nil if unsupported
	http         *http.Server       // nil while stopped
	served       chan struct{}      // closed when http no longer accepts connections
	cancel       context.CancelFunc // cancels all requests
}

// NewServer listens on address and serves handler until it is stopped. The first read of each new
// connection is postponed by delay.
func NewServer(address string, handler http.Handler, clock Clock, delay time.Duration) (*Server, error) {
	port, bound, err := reservePort(address)
	if err != nil {
		return nil, listenError(err, address)
	}
	s := &Server{handler: handler, conns: newConnections(clock, delay), address: bound, reservedPort: port}
	if err := s.Start(); err != nil {
		return nil, err
	}
	return s, nil
}

// Start restarts a stopped server on its previous address. It does nothing if the server runs.
func (s *Server) Start() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.http != nil {
		return nil
	}
	inner, err := net.Listen("tcp", s.address)
	if err != nil {
		return listenError(err, s.address)
	}
	s.address = inner.Addr().String()
	ctx, cancel := context.WithCancel(context.Background())
	server := &http.Server{
		Handler:           s.handler,
		ReadHeaderTimeout: readHeaderTimeout,
		BaseContext:       func(net.Listener) context.Context { return ctx },
	}
	served := make(chan struct{})
	s.http, s.served, s.cancel = server, served, cancel
	go func() {
		defer close(served)
		_ = server.Serve(&listener{Listener: inner, conns: s.conns})
	}()
	return nil
}

func listenError(err error, address string) error {
	return fault.Wrap(err, fault.BadSettings, "choose a free IP:port of this machine", "listening on %q failed", address)
}

// Address returns the IP:port of the server, also while it is stopped.
func (s *Server) Address() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.address
}

// URL returns the server's base URL.
func (s *Server) URL() string { return "http://" + s.Address() }

// Shutdown refuses new connections and waits for the requests in flight. When ctx ends, it closes
// their connections.
func (s *Server) Shutdown(ctx context.Context) error {
	server, served, cancel := s.detach()
	if server == nil {
		return nil
	}
	defer cancel()
	err := server.Shutdown(ctx)
	if err != nil {
		_ = server.Close()
	}
	<-served
	return err
}

// Kill stops the server at once: new connections are refused and open ones are reset.
func (s *Server) Kill() {
	server, served, cancel := s.detach()
	if server == nil {
		return
	}
	// A handler that returns before its connection is closed sends an empty 200.
	defer cancel()
	s.conns.reset()
	_ = server.Close()
	<-served
}

// BlackHole silences every open connection permanently and returns their number. New connections
// work.
func (s *Server) BlackHole() int { return s.conns.blackHole() }

// OpenConnections returns how many connections are open.
func (s *Server) OpenConnections() int { return s.conns.count() }

// AcceptedConnections returns the total number of accepted connections.
func (s *Server) AcceptedConnections() int64 { return s.conns.accepted.Load() }

// detach marks the server as stopped. It returns the HTTP server, which is nil if the server was
// already stopped, the channel that is closed when the HTTP server no longer accepts connections,
// and the function that cancels all requests.
func (s *Server) detach() (*http.Server, chan struct{}, context.CancelFunc) {
	s.mu.Lock()
	defer s.mu.Unlock()
	server := s.http
	s.http = nil
	return server, s.served, s.cancel
}
