// Package demo runs a whole fleet on embedded stand-ins in one process: the
// platform, endpoints and entries on loopback. The demo command and tests of
// whole sessions use it.
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

// FleetConfig describes a Fleet.
type FleetConfig struct {
	// Profiles is the profile document.
	Profiles []byte
	// Domains are the failure domains; entries and endpoints are spread over
	// them in turn.
	Domains []string
	// Entries is how many entries run.
	Entries int
	// Pools are the groups of endpoints.
	Pools []PoolConfig
	// Adjust, if not nil, changes the settings of an entry.
	Adjust func(*settings.Settings)
	// Audit gets the changes of all entries; may be nil.
	Audit func(entry string, r audit.Record)
}

// PoolConfig describes a group of endpoints.
type PoolConfig struct {
	Name      string
	Endpoints int
	// Endpoint describes each of them but for its name, incarnation and ledger.
	Endpoint standin.EndpointConfig
	// ServiceTime, if not nil, makes the service times of the i-th endpoint.
	// Endpoints can't share one that is random.
	ServiceTime func(i int) standin.ServiceTime
	// ListedAddress, if not nil, returns the address in the platform's list for the
	// address at which an endpoint listens: that of something in between.
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
	// names are all entries that ever ran.
	names []string
}

// Endpoint is an endpoint of a fleet with its row in the platform's list.
type Endpoint struct {
	*standin.Endpoint
	VM published.VM
}

// region is the only region of a fleet.
const region = "local"

// NewFleet starts a fleet. Close it also after an error.
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

// AddEntry starts one more entry, in the failure domain of the given place.
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
	e, err := entry.New(s, entry.Options{
		Platform:       published.NewClient(published.ClientConfig{BaseURL: s.Platform.URL}),
		Audit:          f.newTrail(name, s.Audit.Records),
		CallerListener: callers,
		PeerListener:   peers,
	})
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

// Ready waits until every entry is ready and knows all others.
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

// readyPoll is how often Ready looks again.
const readyPoll = 20 * time.Millisecond

func (f *Fleet) entries() []*entry.Entry {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]*entry.Entry(nil), f.Entries...)
}

// Seeds returns the addresses at which callers may ask for entries.
func (f *Fleet) Seeds() []string {
	var out []string
	for _, e := range f.entries() {
		out = append(out, e.CallerAddress())
	}
	return out
}

// Publish puts a profile document into the platform.
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

// MarkLeaving publishes a list in which the endpoint leaves.
func (f *Fleet) MarkLeaving(name string) {
	for i := range f.vms {
		if f.vms[i].Name == name {
			f.vms[i].State = published.Leaving
		}
	}
	f.Platform.SetVMs(f.vms...)
}

// Evacuate publishes that the endpoints of these failure domains are to get nothing; none takes all
// back.
func (f *Fleet) Evacuate(domains ...string) { f.Platform.SetVMsEvacuated(domains, f.vms...) }

// RemoveEntry takes a stopped entry out of the fleet.
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

// Close ends everything at once.
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
