package daemon

import (
	"crypto/tls"
	"net"
	"net/http"

	"k8s.io/klog/v2"

	"github.com/tealhall/tealhall/internal/admin"
	"github.com/tealhall/tealhall/internal/fault"
	"github.com/tealhall/tealhall/internal/settings"
)

// adminServer is the interface towards operators while it is served.
type adminServer struct {
	server *admin.Server
	done   chan struct{}
}

// startAdmin serves h on the admin address. Without a config it is plain HTTP.
func startAdmin(s *settings.Settings, h http.Handler, config *tls.Config) (*adminServer, error) {
	l, err := net.Listen("tcp", s.Addresses.Admin)
	if err != nil {
		return nil, fault.Wrap(err, fault.Unavailable, "free the port or set another addresses.admin", "can't listen on %s", s.Addresses.Admin)
	}
	a := &adminServer{server: admin.NewServer(h, config), done: make(chan struct{})}
	go func() {
		defer close(a.done)
		if err := a.server.Serve(l); err != nil {
			klog.ErrorS(err, "the admin interface ended; requests are served on, restart the entry to get it back", "address", s.Addresses.Admin)
		}
	}()
	klog.InfoS("serving operators", "address", l.Addr().String())
	return a, nil
}

// close ends the interface and its streams.
func (a *adminServer) close() {
	_ = a.server.Close()
	<-a.done
}
