// Package demo runs a complete fleet in one process, on loopback: entries, with a simulated
// platform and simulated endpoints from package standin. The demo command and end-to-end tests use
// it.
package demo

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/tealhall/tealhall/internal/audit"
	"github.com/tealhall/tealhall/internal/entry"
	"github.com/tealhall/tealhall/internal/forward/socket"
	"github.com/tealhall/tealhall/internal/published"
	"github.com/tealhall/tealhall/internal/settings"
	"github.com/tealhall/tealhall/internal/standin"
)

// FleetConfig configures a Fleet.
type FleetConfig struct {
	// Profiles is the profile document.
	Profiles []byte
	// Domains are the failure domains. Entries and the endpoints of each pool are assigned to them
	// round-robin.
	Domains []string
	// Entries is the number of entries to start.
	Entries int
	// Pools are the endpoint pools.
	Pools []PoolConfig
	// Adjust, if not nil, modifies the default settings of each entry.
	Adjust func(*settings.Settings)
	// DialEndpoint, if not nil, opens the connections of the named entry to endpoints.
	DialEndpoint func(ctx context.Context, entry, address string) (*net.TCPConn, error)
	// Audit, if not nil, receives the audit records of all entries.
	Audit func(entry string, r audit.Record)
}

// PoolConfig configures a pool of endpoints.
type PoolConfig struct {
	Name      string
	Endpoints int
	// Endpoint configures each endpoint; NewFleet sets the name, the incarnation and the ledger.
	Endpoint standin.EndpointConfig
	// ServiceTime, if not nil, returns the service times of the i-th endpoint. Each endpoint needs
	// its own random service times, because they are not safe for concurrent use.
	ServiceTime func(i int) standin.ServiceTime
	// ListedAddress, if not nil, maps the address at which an endpoint listens to its address in
	// the platform's list, such as the address of a proxy before the endpoint.
	ListedAddress func(listens string) string
}

// Fleet is a running fleet.
type Fleet struct {
	cfg       FleetConfig
	Platform  *standin.Platform
	Server    *standin.Server
	Ledger    *standin.Ledger
	startedAt time.Time

	mu        sync.Mutex
	Entries   []*entry.Entry
	Endpoints []*Endpoint
	vms       []published.VM
	// names are the names of all entries ever started, including stopped ones.
	names []string
}

// Endpoint is an endpoint of a fleet together with its row in the platform's list.
type Endpoint struct {
	*standin.Endpoint
	VM published.VM
}

// region is the only region of a fleet.
const region = "local"

// NewFleet starts a fleet. The caller must close the fleet even if NewFleet returns an error.
func NewFleet(cfg FleetConfig) (*Fleet, error) {
	f := &Fleet{
		cfg:       cfg,
		Platform:  standin.NewPlatform(standin.RealClock()),
		Ledger:    standin.NewLedger(),
		startedAt: time.Now(),
	}
	server, err := standin.NewServer(standin.DefaultListen, f.Platform, standin.RealClock(), 0)
	if err != nil {
		return f, err
	}
	f.Server = server
	for _, p := range cfg.Pools {
		if err := f.addPool(p); err != nil {
			return f, err
		}
	}
	f.Platform.Put(published.ProfilesValue, cfg.Profiles)
	f.Platform.SetVMs(f.vms...)
	for i := range cfg.Entries {
		if _, err := f.AddEntry(fmt.Sprintf("entry-%d", i+1), i); err != nil {
			return f, err
		}
	}
	return f, nil
}

func (f *Fleet) domain(i int) string { return f.cfg.Domains[i%len(f.cfg.Domains)] }

func (f *Fleet) addPool(p PoolConfig) error {
	for i := range p.Endpoints {
		cfg := p.Endpoint
		cfg.Name = fmt.Sprintf("%s-%d", p.Name, i+1)
		cfg.Incarnation = uint64(i + 1)
		cfg.Ledger = f.Ledger
		if p.ServiceTime != nil {
			cfg.ServiceTime = p.ServiceTime(i)
		}
		e, err := standin.NewEndpoint(cfg)
		if err != nil {
			return err
		}
		vm := e.VM(p.Name, region, f.domain(i))
		if p.ListedAddress != nil {
			vm.Address = p.ListedAddress(vm.Address)
		}
		f.Endpoints = append(f.Endpoints, &Endpoint{Endpoint: e, VM: vm})
		f.vms = append(f.vms, vm)
	}
	return nil
}

// AddEntry starts another entry; index selects its failure domain.
func (f *Fleet) AddEntry(name string, index int) (*entry.Entry, error) {
	callers, err := socket.Listen(standin.DefaultListen)
	if err != nil {
		return nil, err
	}
	peers, err := socket.Listen(standin.DefaultListen)
	if err != nil {
		_ = callers.Close()
		return nil, err
	}
	s := f.settings(name, index, callers, peers)
	options := entry.Options{
		Platform:       published.NewClient(published.ClientConfig{BaseURL: s.Platform.URL}),
		Audit:          f.newTrail(name, s.Audit.Records),
		CallerListener: callers,
		PeerListener:   peers,
	}
	if dial := f.cfg.DialEndpoint; dial != nil {
		options.DialEndpoint = func(ctx context.Context, address string) (*net.TCPConn, error) { return dial(ctx, name, address) }
	}
	e, err := entry.New(s, options)
	if err != nil {
		return nil, err
	}
	f.mu.Lock()
	f.Entries = append(f.Entries, e)
	f.names = append(f.names, name)
	f.mu.Unlock()
	return e, e.Start()
}

func (f *Fleet) settings(name string, index int, callers, peers *net.TCPListener) *settings.Settings {
	s := settings.Default()
	s.Name = name
	s.Region = region
	s.FailureDomain = f.domain(index)
	s.Addresses.Caller = callers.Addr().String()
	s.Addresses.Peer = peers.Addr().String()
	s.Platform.URL = f.Server.URL()
	s.Peers.Seeds = f.peerAddresses()
	if f.cfg.Adjust != nil {
		f.cfg.Adjust(s)
	}
	return s
}

func (f *Fleet) peerAddresses() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []string
	for _, e := range f.Entries {
		out = append(out, e.PeerAddress())
	}
	return out
}

func (f *Fleet) newTrail(name string, size int) *audit.Trail {
	return audit.New(size, time.Now, func(r audit.Record) {
		if f.cfg.Audit != nil {
			f.cfg.Audit(name, r)
		}
	})
}

// Ready waits until every entry is ready and knows all other entries.
func (f *Fleet) Ready(ctx context.Context) error {
	for _, e := range f.entries() {
		for {
			ready, why := e.Ready()
			if ready && e.KnownEntries() >= len(f.entries()) {
				break
			}
			select {
			case <-ctx.Done():
				return fmt.Errorf("%s is not ready: %s; %d entries known", e.Name(), why, e.KnownEntries())
			case <-time.After(readyPoll):
			}
		}
	}
	return nil
}

// readyPoll is the interval at which Ready polls an entry.
const readyPoll = 20 * time.Millisecond

func (f *Fleet) entries() []*entry.Entry {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]*entry.Entry(nil), f.Entries...)
}

// Seeds returns the caller addresses of the entries, which callers use as seeds.
func (f *Fleet) Seeds() []string {
	var out []string
	for _, e := range f.entries() {
		out = append(out, e.CallerAddress())
	}
	return out
}

// Publish publishes a profile document and returns its revision.
func (f *Fleet) Publish(document []byte) uint64 {
	return f.Platform.Put(published.ProfilesValue, document)
}

// endpointsOf returns the endpoints of a pool.
func (f *Fleet) endpointsOf(pool string) []*Endpoint {
	var out []*Endpoint
	for _, e := range f.Endpoints {
		if e.VM.Pool == pool {
			out = append(out, e)
		}
	}
	return out
}

// MarkLeaving publishes a VM list that marks the endpoint as leaving.
func (f *Fleet) MarkLeaving(name string) {
	for i := range f.vms {
		if f.vms[i].Name == name {
			f.vms[i].State = published.Leaving
		}
	}
	f.Platform.SetVMs(f.vms...)
}

// Evacuate publishes a VM list in which exactly these failure domains are evacuated, so that their
// endpoints get no requests. Without arguments it ends all evacuations.
func (f *Fleet) Evacuate(domains ...string) { f.Platform.SetVMsEvacuated(domains, f.vms...) }

// RemoveEntry removes an entry that is stopping or stopped from the fleet, without stopping it.
func (f *Fleet) RemoveEntry(stopped *entry.Entry) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i, e := range f.Entries {
		if e == stopped {
			f.Entries = append(f.Entries[:i], f.Entries[i+1:]...)
			return
		}
	}
}

// Close kills all entries, the endpoints and the platform without a graceful stop.
func (f *Fleet) Close() {
	for _, e := range f.entries() {
		e.Kill()
	}
	for _, e := range f.Endpoints {
		e.Server().Kill()
	}
	if f.Server != nil {
		f.Server.Kill()
	}
}
