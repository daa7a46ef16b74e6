package daemon

import (
	"net/http"
	"time"

	"k8s.io/klog/v2"

	"github.com/tealhall/tealhall/internal/entry"
	"github.com/tealhall/tealhall/internal/fault"
	"github.com/tealhall/tealhall/internal/forward/socket"
	"github.com/tealhall/tealhall/internal/intake"
	"github.com/tealhall/tealhall/internal/settings"
	"github.com/tealhall/tealhall/platform"
)

// Limits of the auxiliary servers.
const (
	auxHeaderTimeout = 5 * time.Second
	auxIdleTimeout   = 15 * time.Second
	auxWriteTimeout  = 10 * time.Second
	auxHeaderBytes   = 16 << 10
)

// auxServers are the HTTP servers beside those of the entry itself: the platform asks one whether
// the entry is ready, and callers ask the other which entries to use.
type auxServers struct {
	// connections bounds the open connections of each server.
	connections int
	servers     []*http.Server
}

// startAuxServers starts the auxiliary servers that have an address in the settings.
func startAuxServers(s *settings.Settings, e *entry.Entry) (*auxServers, error) {
	a := &auxServers{connections: entry.CapacityOf(s).Auxiliary}
	for _, listener := range []struct {
		address string
		handler http.Handler
	}{
		{s.Addresses.Health, platform.ReadyHandler(e)},
		{s.Addresses.Directory, platform.DirectoryHandler(e)},
	} {
		if listener.address == "" {
			continue
		}
		if err := a.serve(listener.address, listener.handler); err != nil {
			a.close()
			return nil, err
		}
	}
	return a, nil
}

func (a *auxServers) serve(address string, handler http.Handler) error {
	l, err := socket.Listen(address)
	if err != nil {
		return fault.Wrap(err, fault.Unavailable, "free the port or set another one", "cannot listen on %s", address)
	}
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: auxHeaderTimeout,
		IdleTimeout:       auxIdleTimeout,
		MaxHeaderBytes:    auxHeaderBytes,
		WriteTimeout:      auxWriteTimeout,
	}
	intake.Bound(server, a.connections)
	a.servers = append(a.servers, server)
	go func() {
		if err := server.Serve(l); err != http.ErrServerClosed {
			klog.ErrorS(err, "auxiliary server failed; requests are still served, restart the entry to restore it", "address", address)
		}
	}()
	return nil
}

// close shuts all servers down.
func (a *auxServers) close() {
	for _, server := range a.servers {
		_ = server.Close()
	}
}
