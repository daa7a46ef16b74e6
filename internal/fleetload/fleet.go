package fleetload

import (
	"context"
	"fmt"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/tealhall/tealhall/internal/audit"
	"github.com/tealhall/tealhall/internal/entry"
	"github.com/tealhall/tealhall/internal/published"
	"github.com/tealhall/tealhall/internal/settings"
	"github.com/tealhall/tealhall/internal/standin"
)

// Size is the number of entries and endpoints of a fleet and of the regions and failure domains
// that they are spread over.
type Size struct {
	Entries   int `json:"entries"`
	Endpoints int `json:"endpoints"`
	Regions   int `json:"regions"`
	Domains   int `json:"domains"`
}

// String describes the size for logs and errors.
func (s Size) String() string {
	return fmt.Sprintf("%d entries, %d endpoints, %d regions, %d failure domains", s.Entries, s.Endpoints, s.Regions, s.Domains)
}

// location returns the region and failure domain of the i-th VM.
func (s Size) location(i int) (region, domain string) {
	d := i % s.Domains
	return fmt.Sprintf("region-%d", d*s.Regions/s.Domains+1), fmt.Sprintf("domain-%d", d+1)
}

// entriesInRegionOf returns the number of entries in the region of the i-th entry.
func (s Size) entriesInRegionOf(i int) int {
	region, _ := s.location(i)
	n := 0
	for j := range s.Entries {
		if other, _ := s.location(j); other == region {
			n++
		}
	}
	return n
}

// fleet is a running fleet with its simulated endpoints and configuration service.
type fleet struct {
	size     Size
	services int
	platform *standin.Platform
	server   *standin.Server
	changes  *changeTracker

	endpoints       []*endpoint
	entries         []*entry.Entry
	platformClients []*platformClient
	// documents is the number of profile documents published so far.
	documents int
}

// newFleet starts the configuration service and the endpoints of a fleet, but not its entries.
// Close the fleet also after an error.
func newFleet(size Size) (*fleet, error) {
	f := &fleet{
		size:     size,
		services: servicesFor(size.Endpoints),
		platform: standin.NewPlatform(standin.RealClock()),
		changes:  newChangeTracker(),
	}
	server, err := standin.NewServer(standin.DefaultListen, f.platform, standin.RealClock(), 0)
	if err != nil {
		return f, err
	}
	f.server = server
	for i := range size.Endpoints {
		region, domain := size.location(i / f.services)
		e, err := newEndpoint(published.VM{
			Name:   fmt.Sprintf("endpoint-%03d", i+1),
			Region: region, Domain: domain,
			Pool: serviceName(i % f.services),
		}, loopback(endpointOctet, i))
		if err != nil {
			return f, err
		}
		f.endpoints = append(f.endpoints, e)
	}
	f.publish()
	return f, nil
}

// publish puts the next profile document into the configuration service.
func (f *fleet) publish() (revision uint64) {
	f.documents++
	return f.platform.Put(published.ProfilesValue, document(f.services, f.documents))
}

// listeners are the sockets on which one entry accepts callers and peers.
type listeners struct{ callers, peers *net.TCPListener }

// loopback returns the address of the i-th VM among the loopback addresses with this second octet.
// Each VM has an address of its own, as on a network, so that it can use all port numbers.
func loopback(octet byte, i int) net.IP {
	return net.IPv4(127, octet, byte(i/vmsPerSubnet), byte(i%vmsPerSubnet+1))
}

// vmsPerSubnet is the number of VMs whose addresses differ only in the last octet.
const vmsPerSubnet = 200

// The second octets of the loopback addresses of entries and of endpoints.
const (
	entryOctet    = 10
	endpointOctet = 20
)

func openListeners(i int) (listeners, error) {
	address := &net.TCPAddr{IP: loopback(entryOctet, i)}
	callers, err := net.ListenTCP("tcp", address)
	if err != nil {
		return listeners{}, err
	}
	peers, err := net.ListenTCP("tcp", address)
	return listeners{callers, peers}, err
}

// startEntries starts the entries. The list of VMs names all of them from the start, as in a fleet
// that has run for a long time.
func (f *fleet) startEntries() error {
	var vms []published.VM
	for _, e := range f.endpoints {
		vms = append(vms, e.vm)
	}
	all := make([]listeners, f.size.Entries)
	for i := range all {
		opened, err := openListeners(i)
		if err != nil {
			return err
		}
		all[i] = opened
		vms = append(vms, f.entryVM(i, opened))
	}
	f.platform.SetVMs(vms...)
	for i := range all {
		if err := f.startEntry(i, all[i], vms[len(f.endpoints)+i]); err != nil {
			return err
		}
	}
	return nil
}

func (f *fleet) entryVM(i int, s listeners) published.VM {
	region, domain := f.size.location(i)
	return published.VM{
		Name:        fmt.Sprintf("entry-%02d", i+1),
		Incarnation: uint64(time.Now().Unix())<<32 | uint64(i+1),
		Role:        published.EntryRole,
		State:       published.Live,
		Region:      region,
		Domain:      domain,
		Address:     s.callers.Addr().String(),
		PeerAddress: s.peers.Addr().String(),
	}
}

func (f *fleet) startEntry(i int, opened listeners, vm published.VM) error {
	s := settings.Default()
	s.Name, s.Region, s.FailureDomain = vm.Name, vm.Region, vm.Domain
	s.Addresses.Caller, s.Addresses.Peer = vm.Address, vm.PeerAddress
	s.Platform.URL = f.server.URL()
	client := newPlatformClient(published.NewClient(published.ClientConfig{
		BaseURL:        s.Platform.URL,
		Timeout:        s.Platform.Timeout.Duration,
		WatchWait:      s.Platform.Watch.Duration,
		CallsPerSecond: s.Platform.CallsPerSecond,
	}))
	e, err := entry.New(s, entry.Options{
		Platform:       client,
		Audit:          audit.New(s.Audit.Records, time.Now, func(r audit.Record) { f.changes.add(vm.Name, r) }),
		Incarnation:    vm.Incarnation,
		CallerListener: opened.callers,
		PeerListener:   opened.peers,
	})
	if err != nil {
		return err
	}
	f.entries, f.platformClients = append(f.entries, e), append(f.platformClients, client)
	return e.Start()
}

// pollInterval is how often the benchmark polls a state that has no notification.
const pollInterval = 20 * time.Millisecond

// awaitReady waits until each entry is ready and knows all other entries of its region, and returns
// how long that took.
func (f *fleet) awaitReady(ctx context.Context) (time.Duration, error) {
	began := time.Now()
	for i, e := range f.entries {
		for {
			ready, why := e.Ready()
			if ready && e.KnownEntries() >= f.size.entriesInRegionOf(i) {
				break
			}
			if !sleep(ctx, pollInterval) {
				return 0, fmt.Errorf("%s of %s is not ready: %q; it knows %d entries", e.Name(), f.size, why, e.KnownEntries())
			}
		}
	}
	return time.Since(began), nil
}

// sleep pauses for d. It returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// readers returns the indexes of the entries that watch the configuration service.
func (f *fleet) readers() []int {
	var found []int
	for i, client := range f.platformClients {
		if client.watching() {
			found = append(found, i)
		}
	}
	return found
}

// restrictPlatformTo disconnects all entries but one from the configuration service. A negative
// index reconnects all of them.
func (f *fleet) restrictPlatformTo(only int) {
	for i, client := range f.platformClients {
		client.setDisconnected(only >= 0 && i != only)
	}
}

// endpointsOf returns the endpoints of a service, given its index.
func (f *fleet) endpointsOf(service int) []*endpoint {
	return slices.Collect(func(yield func(*endpoint) bool) {
		for i := service; i < len(f.endpoints); i += f.services {
			if !yield(f.endpoints[i]) {
				return
			}
		}
	})
}

// close stops all entries at the same time and then the endpoints and the configuration service,
// without draining.
func (f *fleet) close() {
	var ending sync.WaitGroup
	for _, e := range f.entries {
		ending.Go(e.Kill)
	}
	ending.Wait()
	for _, e := range f.endpoints {
		_ = e.server.Close()
	}
	if f.server != nil {
		f.server.Kill()
	}
}
