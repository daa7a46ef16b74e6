package fleetload

import (
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/tealhall/tealhall/internal/contract"
	"github.com/tealhall/tealhall/internal/published"
)

const (
	// endpointSlots is the number of slots of each endpoint in the project's requirements.
	endpointSlots = 2
	// endpointIncarnation is the incarnation of every endpoint.
	endpointIncarnation = 1
	answerBytes         = 200
)

// endpoint is a simulated endpoint that answers every request at once, so that it uses next to none
// of the measured processor time.
type endpoint struct {
	vm     published.VM
	server *http.Server
	// unblock, if not nil, points to a channel. Until the channel is closed, the endpoint answers
	// only probes.
	unblock  atomic.Pointer[chan struct{}]
	draining atomic.Bool
	// drainingSentAt is the time of the first answer with the draining header, in nanoseconds since
	// the Unix epoch.
	drainingSentAt atomic.Int64
}

// The header values and the body of all answers; read-only.
var (
	idleLoadHeader    = []string{contract.Load{Slots: endpointSlots}.String()}
	incarnationHeader = []string{contract.FormatIncarnation(endpointIncarnation)}
	drainingHeader    = []string{contract.DrainingValue}
	answerBody        = make([]byte, answerBytes)
)

// newEndpoint starts an endpoint on a free port of an address.
func newEndpoint(vm published.VM, address net.IP) (*endpoint, error) {
	listener, err := net.ListenTCP("tcp", &net.TCPAddr{IP: address})
	if err != nil {
		return nil, err
	}
	vm.Incarnation, vm.Role, vm.State = endpointIncarnation, published.EndpointRole, published.Live
	vm.Address, vm.Slots = listener.Addr().String(), endpointSlots
	e := &endpoint{vm: vm}
	e.server = &http.Server{Handler: e}
	go func() { _ = e.server.Serve(listener) }()
	return e, nil
}

// ServeHTTP implements http.Handler.
func (e *endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if unblock := e.unblock.Load(); unblock != nil && r.URL.Path != contract.ProbePath {
		<-*unblock
	}
	h := w.Header()
	h[contract.HeaderLoad] = idleLoadHeader
	h[contract.HeaderIncarnation] = incarnationHeader
	if e.draining.Load() {
		h[contract.HeaderDraining] = drainingHeader
		e.drainingSentAt.CompareAndSwap(0, time.Now().UnixNano())
	}
	_, _ = w.Write(answerBody)
}
