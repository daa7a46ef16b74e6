// Package entry runs the decision core of package core as a process: it owns the goroutines, the
// clock, the sockets and the locks, feeds events to the core and carries out the actions that the
// core returns. New checks the settings and builds an entry, Start listens and runs, Stop leaves
// gracefully.
package entry

import (
	"context"
	cryptorand "crypto/rand"
	"crypto/tls"
	"encoding/binary"
	"math"
	"math/rand/v2"
	"net"
	"runtime"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/tealhall/tealhall/internal/audit"
	"github.com/tealhall/tealhall/internal/core"
	"github.com/tealhall/tealhall/internal/core/assign"
	"github.com/tealhall/tealhall/internal/fault"
	"github.com/tealhall/tealhall/internal/forward"
	"github.com/tealhall/tealhall/internal/forward/socket"
	"github.com/tealhall/tealhall/internal/front"
	"github.com/tealhall/tealhall/internal/intake"
	"github.com/tealhall/tealhall/internal/message"
	"github.com/tealhall/tealhall/internal/peer"
	"github.com/tealhall/tealhall/internal/profile"
	"github.com/tealhall/tealhall/internal/published"
	"github.com/tealhall/tealhall/internal/route"
	"github.com/tealhall/tealhall/internal/settings"
	"github.com/tealhall/tealhall/internal/transfer"
)

// tickPeriod is the shortest interval of the core's periodic work. It bounds how late a queued request is
// answered after its deadline and how late a hedge starts.
const tickPeriod = 5 * time.Millisecond

// longTickPeriod is the longest time between two ticks while requests are in flight and nothing is due
// sooner: an entry that sees a few requests a second mostly waits for endpoints.
const longTickPeriod = 20 * time.Millisecond

// idleTickPeriod replaces longTickPeriod while no request is in flight and the core's state does not
// change; a request or a change restores tickPeriod. Each tick wakes the process, which costs more
// than the tick itself.
const idleTickPeriod = 100 * time.Millisecond

// Options configure an Entry besides its settings.
type Options struct {
	// Platform is the configuration service.
	Platform published.Service
	// Audit receives every change; nil creates a trail that writes to the log.
	Audit *audit.Trail
	// Wall is the wall clock; nil means time.Now.
	Wall func() time.Time
	// Incarnation identifies the process; 0 generates one.
	Incarnation uint64
	// CallerListener and PeerListener, if not nil, are served in place of the addresses in the
	// settings. The entry closes them.
	CallerListener *net.TCPListener
	PeerListener   net.Listener
	// TLS encrypts the connections of the entry; the zero value leaves them plain.
	TLS TLS
	// DialEndpoint, if not nil, opens the connections to endpoints.
	DialEndpoint func(ctx context.Context, address string) (*net.TCPConn, error)
	// Dialect translates the headers and statuses of callers and endpoints; nil for tealhall's own
	// contract.
	Dialect Dialect
	// RouteProfiles has the profiles for the requests of published routes. If it is nil, profile
	// documents are published and requests name their service.
	RouteProfiles *profile.Snapshot
}

// TLS configures the encryption of an entry's connections. Configurations that read their
// certificates at each handshake allow the files to be replaced while the entry runs.
type TLS struct {
	// Callers is for connections of callers; nil for plain HTTP. If it is set, HomeClient is called
	// for each connection on which this entry forwards a request to the home of its key. All
	// entries of a fleet must have the same setting.
	Callers    *tls.Config
	HomeClient func() *tls.Config
	// PeerServer and PeerClient are for the two ends of links between entries; both or none are
	// set. PeerClient is called for each dial.
	PeerServer *tls.Config
	PeerClient func() *tls.Config
}

// Entry is one running entry.
type Entry struct {
	settings *settings.Settings
	options  Options
	hello    message.Hello
	// requestPrefix begins the names that this entry gives to requests that their callers did not
	// name; it is unique to the process.
	requestPrefix string

	engine      *engine
	dialect     Dialect
	connections *forward.Connections
	// homeConnections are the connections on which requests are forwarded to other entries.
	// relayConnections are those on which requests are relayed to entries that may reach endpoints.
	homeConnections, relayConnections *forward.Connections
	front                             *front.Server
	// requestMemory accounts for the requests that have not been answered.
	requestMemory *intake.Memory
	// arriving are the request bodies that are being received.
	arriving arrivingBodies
	capacity Capacity
	// link schedules large answers; nil if the settings do not bound them.
	link           *transfer.Link
	peerServer     *peer.Server
	links          *peer.Links
	knownAddresses addressBook
	trail          *audit.Trail
	documents      documents
	routes         route.Decoder
	sending        sending
	platform       *countedPlatform
	liveness       livenessChecks
	instruments    *instruments
	counterSamples counterSamples

	// revision of the profiles in force, for answers to callers.
	revision atomic.Uint64
	// routeLimits are the limits on callers' connections that the routes in force set.
	routeLimits atomic.Pointer[front.Limits]

	callerListener *net.TCPListener
	peerListener   net.Listener
	// life ends with the entry; cancel ends it. Both are nil before Start.
	life   context.Context
	cancel context.CancelFunc

	// failed has room for the error of each server, so that no server blocks on reporting it.
	failed chan error

	runMu   sync.Mutex // guards ended and the start of goroutines
	ended   bool
	running sync.WaitGroup
}

// New builds an entry. It opens no socket yet.
func New(s *settings.Settings, opts Options) (*Entry, error) {
	if opts.Wall == nil {
		opts.Wall = time.Now
	}
	if opts.Audit == nil {
		opts.Audit = audit.New(s.Audit.Records, opts.Wall, audit.LogSink)
	}
	incarnation, err := incarnationOf(opts)
	if err != nil {
		return nil, err
	}
	e := &Entry{
		settings:      s,
		options:       opts,
		trail:         opts.Audit,
		failed:        make(chan error, servers),
		requestPrefix: s.Name + "-" + strconv.FormatUint(incarnation, 36) + "-",
		hello: message.Hello{
			Version:       message.Version,
			MinVersion:    message.MinVersion,
			Name:          s.Name,
			Incarnation:   incarnation,
			Region:        s.Region,
			Domain:        s.FailureDomain,
			CallerAddress: orElse(s.Addresses.CallerAdvertised, s.Addresses.Caller),
			PeerAddress:   orElse(s.Addresses.PeerAdvertised, s.Addresses.Peer),
			Capacity:      capacityOf(s.Limits.Cores),
		},
	}
	clock := monotonic()
	e.dialect = opts.Dialect
	if e.dialect == nil {
		e.dialect = nativeDialect{}
	}
	e.platform = newCountedPlatform(opts.Platform, clock)
	e.liveness.platform, _ = opts.Platform.(published.LivenessChecker)
	e.liveness.every = e.settings.Platform.LivenessEvery.Duration
	e.instruments = newInstruments()
	e.buildConnections(clock)
	e.capacity = CapacityOf(s)
	e.requestMemory = intake.NewMemory(e.capacity.RequestBytes, clock)
	e.link = transfer.NewLink(linkConfig(&s.Limits, clock))
	e.sending.turns = assign.NewTurns(linkConfig(&s.Limits, clock).Rate)
	rng := rand.New(rand.NewPCG(incarnation, uint64(opts.Wall().UnixNano())))
	e.engine = newEngine(core.New(e.coreConfig(), rng), clock, opts.Wall)
	e.documents.vms.Clock = clock
	e.engine.execute = e.executeActions
	e.buildPeers()
	e.routeLimits.Store(&front.Limits{})
	e.front = front.NewServer(front.ServerConfig{
		Limits:         front.Limits{HeaderBytes: s.Limits.HeaderBytes, HeaderTimeout: s.Timeouts.Header.Duration, Idle: s.Timeouts.Idle.Duration},
		Allowed:        func() front.Limits { return *e.routeLimits.Load() },
		Memory:         e.requestMemory,
		MaxConnections: e.capacity.Callers,
		TLS:            opts.TLS.Callers,
		Refuse:         e.refuseMalformedHead,
		MayPipeline:    e.mayPipeline,
	}, e.callerHandler())
	return e, nil
}

// The limits of the connections to entries that serve relayed requests. A cut entry relays all of its
// requests to a few others, and the dial timeout leaves time to ask another one.
const (
	relayConnections = 64
	relayDialTimeout = 300 * time.Millisecond
)

func (e *Entry) buildConnections(clock func() time.Duration) {
	cfg := forward.Config{
		MaxConnsPerEndpoint: e.settings.Limits.ConnectionsPerEndpoint,
		DialTimeout:         e.settings.Timeouts.Connect.Duration,
		UserTimeout:         e.settings.Timeouts.Silence.Duration,
		IdleTimeout:         e.settings.Timeouts.EndpointIdle.Duration,
		AllowUnframed:       e.settings.Limits.UnframedAnswers,
		Clock:               clock,
	}
	if e.options.TLS.Callers != nil {
		cfg.TLS = e.options.TLS.HomeClient
	}
	e.homeConnections = forward.New(cfg)
	relay := cfg
	relay.MaxConnsPerEndpoint = max(cfg.MaxConnsPerEndpoint, relayConnections)
	relay.DialTimeout = min(cfg.DialTimeout, relayDialTimeout)
	e.relayConnections = forward.New(relay)
	cfg.TLS, cfg.Dial = nil, e.options.DialEndpoint
	e.connections = forward.New(cfg)
}

// linkShare is the share of the link's rate that answers to callers may use. The rest keeps the queue
// of the link short and leaves room for packet headers and for what is not an answer.
const linkShare = 0.9

const bytesPerMB = 1 << 20

func linkConfig(l *settings.Limits, clock func() time.Duration) transfer.Config {
	const bytesPerMbit = 1e6 / 8
	return transfer.Config{
		Rate:          linkShare * l.LinkMbps * bytesPerMbit,
		HeldBytes:     int64(l.HeldShare * l.MemoryMB * bytesPerMB),
		HeldPerAnswer: int64(l.HeldAnswerBytes),
		Clock:         clock,
	}
}

// capacityOf returns the processing capacity of this entry, in thousandths of a core.
func capacityOf(cores float64) uint32 {
	if cores <= 0 {
		cores = float64(runtime.GOMAXPROCS(0))
	}
	return uint32(math.Round(1000 * cores))
}

func orElse(value, fallback string) string {
	if value == "" {
		return fallback
	}
	return value
}

// monotonic returns a clock that starts at 0 now.
func monotonic() func() time.Duration {
	start := time.Now()
	return func() time.Duration { return time.Since(start) }
}

// The lower bits of an incarnation number: the fraction of the second in which the process started,
// and random bits.
const (
	startFractionBits = 10
	randomBits        = 22
)

// incarnationOf generates the incarnation number of this process: the time of its start in units of
// 1/1024 s, so that later processes have higher numbers, and random bits, so that no two processes
// share a number. The second of the start is in the upper half, as in earlier releases.
func incarnationOf(opts Options) (uint64, error) {
	if opts.Incarnation != 0 {
		return opts.Incarnation, nil
	}
	var random [4]byte
	if _, err := cryptorand.Read(random[:]); err != nil {
		return 0, fault.Wrap(err, fault.Unavailable, "check the system's source of randomness", "cannot generate an incarnation number")
	}
	started := opts.Wall()
	fraction := uint64(started.Nanosecond()) << startFractionBits / uint64(time.Second)
	start := uint64(started.Unix())<<startFractionBits | fraction
	return start<<randomBits | uint64(binary.BigEndian.Uint32(random[:])>>(32-randomBits)), nil
}

// platformStartDelay returns how long a starting entry waits to hear from a peer before it reads
// the configuration service: the links to seeds that are up open within some hundredths of a second.
// The seeds themselves read at once, so that a fleet whose processes were all killed gets the values
// from them.
//
// After a common loss of power the seeds may be the last to return, and until then entries find no
// peer. Beyond leastDelay, they are therefore spread only over delaySpread, with few of them early, so
// that those that start a little later get the values from the first ones if a seed is back by then.
func (e *Entry) platformStartDelay() time.Duration {
	const leastDelay, delaySpread = 100 * time.Millisecond, 300 * time.Millisecond
	seeds := e.settings.Peers.Seeds
	if len(seeds) == 0 || slices.Contains(seeds, e.hello.PeerAddress) {
		return 0
	}
	position := float64(xxhash.Sum64String(e.hello.Name)>>11) / (1 << 53)
	return leastDelay + time.Duration(math.Cbrt(position)*float64(delaySpread))
}

// Start opens the sockets and runs until Stop. It does not wait for readiness.
func (e *Entry) Start() error {
	if err := e.listen(); err != nil {
		return err
	}
	e.life, e.cancel = context.WithCancel(context.Background())
	e.knownAddresses.add(0, e.settings.Peers.Seeds)
	e.run(func() { e.reportServerEnd("callers", e.front.Serve(e.callerListener)) })
	e.run(func() { e.reportServerEnd("peers", e.peerServer.Serve(e.peerListener)) })
	e.run(func() { e.tickLoop(e.life) })
	e.run(func() { e.followLoop(e.life, published.ProfilesValue) })
	e.run(func() { e.followLoop(e.life, published.VMsValue) })
	if e.liveness.enabled() {
		e.run(func() { e.livenessLoop(e.life) })
	}
	return nil
}

// servers is the number of servers that an entry runs, one for callers and one for peers.
const servers = 2

// Failed delivers an error for each server that ends before a stop. The entry continues with the
// other server, but no longer accepts connections on the failed one.
func (e *Entry) Failed() <-chan error { return e.failed }

// reportServerEnd reports the error of a server; err is nil after a stop.
func (e *Entry) reportServerEnd(side string, err error) {
	if err != nil {
		e.failed <- fault.Wrap(err, fault.Unavailable, "restart the entry and check the system's log", "the server for %s ended", side)
	}
}

func (e *Entry) listen() (err error) {
	e.callerListener, e.peerListener = e.options.CallerListener, e.options.PeerListener
	if e.callerListener == nil {
		if e.callerListener, err = listenTCP(e.settings.Addresses.Caller); err != nil {
			return err
		}
	}
	if e.peerListener == nil {
		if e.peerListener, err = listenTCP(e.settings.Addresses.Peer); err != nil {
			_ = e.callerListener.Close()
			return err
		}
	}
	return nil
}

func listenTCP(address string) (*net.TCPListener, error) {
	l, err := socket.Listen(address)
	if err != nil {
		return nil, fault.Wrap(err, fault.Unavailable, "free the port or set another one", "cannot listen on %s", address)
	}
	return l, nil
}

// run starts a goroutine that Stop waits for, or none when the entry has ended. Handlers that were
// cut off may still feed the core while the entry ends. A goroutine that they started then would be
// added to a WaitGroup on which endRunning already waits, which is a data race, and it would
// outlive the entry.
func (e *Entry) run(f func()) {
	e.runMu.Lock()
	defer e.runMu.Unlock()
	if !e.ended {
		e.running.Go(f)
	}
}

// endRunning waits for the goroutines that run started and prevents new ones.
func (e *Entry) endRunning() {
	e.runMu.Lock()
	e.ended = true
	e.runMu.Unlock()
	e.running.Wait()
}

// tickLoop runs the core's periodic work.
func (e *Entry) tickLoop(ctx context.Context) {
	timer := time.NewTimer(tickPeriod)
	defer timer.Stop()
	var links wantedLinks
	for {
		select {
		case <-ctx.Done():
			return
		case <-e.engine.wake:
			timer.Reset(e.engine.untilDue())
		case <-timer.C:
			e.engine.tick()
			timer.Reset(e.engine.untilDue())
			e.updateLinks(&links)
			e.pullRecords(ctx)
			e.counterSamples.sample(e.engine.clock(), e.counters)
		}
	}
}

// Name returns the entry's name.
func (e *Entry) Name() string { return e.settings.Name }

// CallerAddress returns the address for callers.
func (e *Entry) CallerAddress() string { return e.hello.CallerAddress }

// Ready reports whether callers may be sent to the entry, and the reason if not.
func (e *Entry) Ready() (ready bool, reason string) {
	e.engine.view(func(now time.Duration, c *core.Core) { ready, reason = c.ReadyReason(now) })
	return ready, reason
}

// EntriesNear returns the addresses of up to most entries that a caller of a failure domain may
// use, and how long the caller may use this list.
func (e *Entry) EntriesNear(domain string, most int) (addresses []string, ttl time.Duration) {
	e.engine.view(func(now time.Duration, c *core.Core) {
		addresses, ttl = c.EntriesNear(domain, most), c.AnswersTTL(now)
	})
	return addresses, ttl
}

// PeerAddress returns the address for peers.
func (e *Entry) PeerAddress() string { return e.hello.PeerAddress }

// KnownEntries returns the number of entries, this one included, that callers may be sent to as far
// as this entry knows.
func (e *Entry) KnownEntries() (n int) {
	e.engine.view(func(_ time.Duration, c *core.Core) { n = c.UsableEntries() })
	return n
}
