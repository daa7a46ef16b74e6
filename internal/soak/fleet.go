package soak

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/tealhall/tealhall/internal/contract"
	"github.com/tealhall/tealhall/internal/fault"
	"github.com/tealhall/tealhall/internal/published"
	"github.com/tealhall/tealhall/internal/standin"
)

// The services of the fleet: endpoints are divided between them.
const (
	readService = "counts"
	onceService = "bookings"
	region      = "local"
)

// domains are the failure domains, to which VMs are assigned in turn.
var domains = []string{"domain-a", "domain-b", "domain-c"}

const (
	// stopLimit is how long a planned stop or an endpoint that leaves may take.
	stopLimit = 30 * time.Second
	// killLimit is how long the kernel may take to end a killed process.
	killLimit = 10 * time.Second
	// endpointLinger is how long an endpoint that leaves goes on refusing requests.
	endpointLinger = 5 * time.Second
)

// fleet is a platform, entries and endpoints, each entry and endpoint in a process of its own.
type fleet struct {
	cfg      Config
	checks   *Checks
	platform *standin.Platform
	server   *standin.Server

	entries   []*entryVM
	endpoints []*endpointVM
	journals  sync.WaitGroup // of the endpoint processes

	mu sync.Mutex
	// documents counts the published profile documents.
	documents int
}

// entryVM is a VM of an entry.
type entryVM struct {
	name, domain          string
	callers, peers, admin string
	settings              string
	busy                  sync.Mutex // held while a fault is under way

	mu      sync.Mutex
	process *process
}

// endpointVM is a VM of an endpoint.
type endpointVM struct {
	name, pool, domain string
	listen             string
	path               *proxy
	busy, pathBusy     sync.Mutex

	mu          sync.Mutex
	process     *process
	incarnation uint64
	state       published.State // "" while it is not listed
}

// newFleet starts a fleet. Close it also after an error.
func newFleet(cfg Config, checks *Checks) (*fleet, error) {
	f := &fleet{cfg: cfg, checks: checks, platform: standin.NewPlatform(standin.RealClock())}
	server, err := standin.NewServer(standin.DefaultListen, f.platform, standin.RealClock(), 0)
	if err != nil {
		return f, err
	}
	f.server = server
	for i := range cfg.Endpoints {
		if err := f.addEndpoint(i); err != nil {
			return f, err
		}
	}
	f.publishVMs()
	f.publishProfiles()
	for i := range cfg.Entries {
		if err := f.addEntry(i); err != nil {
			return f, err
		}
	}
	for _, e := range f.entries {
		if err := f.writeSettings(e); err != nil {
			return f, err
		}
		if err := f.startEntry(e); err != nil {
			return f, err
		}
	}
	return f, nil
}

// close ends all processes and reads what endpoints have written to their journals.
func (f *fleet) close() {
	var all sync.WaitGroup
	for _, e := range f.entries {
		all.Go(func() { endProcess(e.running()) })
	}
	for _, e := range f.endpoints {
		all.Go(func() { endProcess(e.running()) })
		e.path.close()
	}
	all.Wait()
	f.journals.Wait()
	if f.server != nil {
		f.server.Kill()
	}
}

func endProcess(p *process) {
	if p != nil {
		p.end(syscall.SIGKILL, killLimit)
	}
}

// The second octets of the loopback addresses of entries and of endpoints. Each VM has an address of
// its own, so that no outgoing connection takes a port that a restarted process needs again.
const (
	entryOctet    = 77
	endpointOctet = 78
	vmsPerSubnet  = 250
)

// freeAddresses returns n unused addresses of the i-th VM of a kind.
func freeAddresses(octet byte, i, n int) ([]string, error) {
	ip := net.IPv4(127, octet, byte(i/vmsPerSubnet), byte(i%vmsPerSubnet+1))
	var addresses []string
	for range n {
		l, err := net.ListenTCP("tcp", &net.TCPAddr{IP: ip})
		if err != nil {
			return nil, err
		}
		defer l.Close() // after all, so that they differ
		addresses = append(addresses, l.Addr().String())
	}
	return addresses, nil
}

func (f *fleet) addEndpoint(i int) error {
	free, err := freeAddresses(endpointOctet, i, 1)
	if err != nil {
		return err
	}
	path, err := newProxy(free[0])
	if err != nil {
		return err
	}
	pool := readService
	if i%2 == 1 {
		pool = onceService
	}
	e := &endpointVM{name: fmt.Sprint("endpoint-", i+1), pool: pool, domain: domains[i/2%len(domains)], listen: free[0], path: path}
	f.endpoints = append(f.endpoints, e)
	return f.startEndpoint(e)
}

// startEndpoint starts an endpoint under its name, as a new incarnation, and lists it.
func (f *fleet) startEndpoint(e *endpointVM) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.incarnation++
	id := fmt.Sprintf("%s/%d", e.name, e.incarnation)
	journal, out := io.Pipe()
	p, err := startProcess(f.cfg, e.name, out, "tealhallstandin", "endpoint", "--listen", e.listen, "--name", e.name,
		"--incarnation", fmt.Sprint(e.incarnation), "--service-time", "5ms", "--slots", "4", "--linger", endpointLinger.String(), "--journal")
	if err != nil {
		return err
	}
	f.journals.Go(func() { f.readJournal(id, journal) })
	go func() {
		<-p.done
		_ = out.Close()
	}()
	e.process, e.state = p, published.Live
	return awaitAddress(e.listen)
}

// readJournal records what an endpoint process writes to its journal.
func (f *fleet) readJournal(endpoint string, journal io.Reader) {
	lines := bufio.NewScanner(journal)
	for lines.Scan() {
		event, id, _ := strings.Cut(lines.Text(), " ")
		switch event {
		case standin.EventArrived:
			f.checks.Arrived(endpoint, id)
		case standin.EventRan:
			f.checks.Ran(id)
		case standin.EventFinished:
			f.checks.Finished(id)
		}
	}
}

// startTimeout limits how long a process may take until it accepts connections.
const startTimeout = 10 * time.Second

func awaitAddress(address string) error {
	for began := time.Now(); time.Since(began) < startTimeout; time.Sleep(pollEvery / 10) {
		if c, err := net.Dial("tcp", address); err == nil {
			return c.Close()
		}
	}
	return fault.New(fault.Unavailable, "read the logs of the run", "nothing listens at %s", address)
}

func (f *fleet) addEntry(i int) error {
	free, err := freeAddresses(entryOctet, i, 3)
	if err != nil {
		return err
	}
	e := &entryVM{name: fmt.Sprint("entry-", i+1), domain: domains[i%len(domains)], callers: free[0], peers: free[1], admin: free[2]}
	e.settings = filepath.Join(f.cfg.Logs, e.name+".toml")
	f.entries = append(f.entries, e)
	return nil
}

// seedsOfEntry is how many other entries an entry is told of.
const seedsOfEntry = 3

func (f *fleet) writeSettings(e *entryVM) error {
	var seeds []string
	for _, other := range f.entries[:min(seedsOfEntry, len(f.entries))] {
		seeds = append(seeds, fmt.Sprintf("%q", other.peers))
	}
	text := fmt.Sprintf(`name = %q
region = %q
failure_domain = %q

[addresses]
caller = %q
peer = %q
admin = %q

[platform]
url = %q

[peers]
seeds = [%s]

[timeouts]
answers_ttl = "1s"
stop_serve = "500ms"
`, e.name, region, e.domain, e.callers, e.peers, e.admin, f.server.URL(), strings.Join(seeds, ", "))
	return os.WriteFile(e.settings, []byte(text), 0o644)
}

// startEntry starts an entry's process.
func (f *fleet) startEntry(e *entryVM) error {
	f.checks.EntryDisturbed(e.name)
	p, err := startProcess(f.cfg, e.name, nil, "tealhalld", "--config", e.settings)
	if err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.process = p
	go func() {
		<-p.done
		f.checks.Ended(e.name, p.wasTold())
	}()
	return nil
}

func (e *entryVM) running() *process {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.process
}

func (e *endpointVM) running() *process {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.process
}

// incarnationName names the present process of the endpoint.
func (e *endpointVM) incarnationName() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return fmt.Sprintf("%s/%d", e.name, e.incarnation)
}

func (e *endpointVM) setState(s published.State) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.state = s
}

// publishVMs publishes the list of endpoints.
func (f *fleet) publishVMs() {
	f.mu.Lock()
	defer f.mu.Unlock()
	var vms []published.VM
	for _, e := range f.endpoints {
		e.mu.Lock()
		if e.state != "" {
			vms = append(vms, published.VM{
				Name: e.name, Incarnation: e.incarnation, Role: published.EndpointRole, State: e.state,
				Region: region, Domain: e.domain, Address: e.path.address(), Pool: e.pool, Slots: 4,
			})
		}
		e.mu.Unlock()
	}
	f.platform.SetVMs(vms...)
}

// publishProfiles publishes another profile document.
func (f *fleet) publishProfiles() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.documents++
	document := fmt.Sprintf(`format = 1
[profile.reads]
kind = "read"
deadline = "3s"
hedge_after = "%dms"
retry_budget = 0.1
[profile.writes]
kind = "once"
deadline = "5s"
[service.%s]
profile = "reads"
[service.%s]
profile = "writes"
`, 100+f.documents, readService, onceService)
	f.checks.Published(f.platform.Put(published.ProfilesValue, []byte(document)))
}

// pollEvery is how often the revision of each entry is read, and pollTimeout bounds one try.
const (
	pollEvery   = 200 * time.Millisecond
	pollTimeout = time.Second
)

// watchRevisions records the revisions that entries have in force, until ctx ends.
func (f *fleet) watchRevisions(ctx context.Context) {
	client := &http.Client{Timeout: pollTimeout}
	var all sync.WaitGroup
	for _, e := range f.entries {
		all.Go(func() {
			ticker := time.NewTicker(pollEvery)
			defer ticker.Stop()
			for {
				select {
				case <-ctx.Done():
					return
				case <-ticker.C:
				}
				if revision, ready := readRevision(client, e.callers); ready {
					f.checks.Revision(e.name, revision)
				}
			}
		})
	}
	all.Wait()
}

// readRevision asks an entry for its revision; ready is false if it doesn't answer or isn't ready.
func readRevision(client *http.Client, address string) (revision uint64, ready bool) {
	response, err := client.Get("http://" + address + contract.HealthPath)
	if err != nil {
		return 0, false
	}
	defer response.Body.Close()
	var health struct {
		Ready    bool
		Revision uint64
	}
	if err := json.NewDecoder(response.Body).Decode(&health); err != nil {
		return 0, false
	}
	return health.Revision, health.Ready
}
