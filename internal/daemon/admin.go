package daemon

import (
	"crypto/tls"
	"net"
	"net/http"

	"k8s.io/klog/v2"

	"github.com/tealhall/tealhall/internal/admin"
	"github.com/tealhall/tealhall/internal/entry"
	"github.com/tealhall/tealhall/internal/fault"
	"github.com/tealhall/tealhall/internal/settings"
)

// adminServer serves the admin interface to operators.
type adminServer struct {
	server *admin.Server
	done   chan struct{}
}

// startAdmin serves h on the admin address: over TLS if config is not nil, else as plain HTTP.
func startAdmin(s *settings.Settings, h http.Handler, config *tls.Config) (*adminServer, error) {
	l, err := net.Listen("tcp", s.Addresses.Admin)
	if err != nil {
		return nil, fault.Wrap(err, fault.Unavailable, "free the port or set another addresses.admin", "cannot listen on %s", s.Addresses.Admin)
	}
	a := &adminServer{server: admin.NewServer(h, config, entry.CapacityOf(s).Auxiliary), done: make(chan struct{})}
	go func() {
		defer close(a.done)
		if err := a.server.Serve(l); err != nil {
			klog.ErrorS(err, "admin server failed; requests are still served, restart the entry to restore the admin interface", "address", s.Addresses.Admin)
		}
	}()
	klog.InfoS("admin server started", "address", l.Addr().String())
	return a, nil
}

// close shuts the server down, including its open streams, and waits until it has ended.
func (a *adminServer) close() {
	_ = a.server.Close()
	<-a.done
}
