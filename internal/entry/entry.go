// Package entry is the shell around the decision core: it owns the goroutines,
// the clock, the sockets and the locks, feeds events to the core and carries
// out its actions. Its life is plain: New checks and builds, Start listens and
// runs, Stop leaves gracefully.
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
	"github.com/tealhall/tealhall/internal/fault"
	"github.com/tealhall/tealhall/internal/forward"
	"github.com/tealhall/tealhall/internal/forward/socket"
	"github.com/tealhall/tealhall/internal/front"
	"github.com/tealhall/tealhall/internal/message"
	"github.com/tealhall/tealhall/internal/peer"
	"github.com/tealhall/tealhall/internal/profile"
	"github.com/tealhall/tealhall/internal/published"
	"github.com/tealhall/tealhall/internal/settings"
)

// tickPeriod is how often the core's systems run. It bounds how late a queued
// request is answered after its deadline and how late a hedge starts.
const tickPeriod = 5 * time.Millisecond

// restPeriod is the same while nothing is in flight and no belief has changed;
// either asks for a tick at once. Each tick wakes the process, which costs it more
// than the tick itself.
const restPeriod = 100 * time.Millisecond

// Options are what an Entry is built from besides its settings.
type Options struct {
	// Platform is the configuration service.
	Platform published.Service
	// Audit gets every change; nil makes a trail that logs.
	Audit *audit.Trail
	// Wall is the wall clock; nil means time.Now.
	Wall func() time.Time
	// Incarnation identifies the process; 0 draws one.
	Incarnation uint64
	// CallerListener and PeerListener, if not nil, are served in place of the
	// addresses in the settings. The entry closes them.
	CallerListener *net.TCPListener
	PeerListener   net.Listener
	// TLS encrypts the sides of the entry; the zero value leaves them plain.
	TLS TLS
	// Dialect is how callers and endpoints speak; nil for tealhall's own contract.
	Dialect Dialect
	// RouteProfiles treats the requests of published routes. When it is nil, profile
	// documents are published and requests name their service.
	RouteProfiles *profile.Snapshot
}

// TLS is how the sides of an entry are encrypted. Configurations that read
// their certificates at each handshake let files be replaced while it runs.
type TLS struct {
	// Callers is for connections of callers; nil for plain HTTP. Homes is then
	// called for each connection on which a request is passed on to another
	// entry, the home of its key. All entries of a fleet are alike in this.
	Callers *tls.Config
	Homes   func() *tls.Config
	// PeerServer and PeerClient are for the two ends of links between entries;
	// both or none are set. PeerClient is called for each dial.
	PeerServer *tls.Config
	PeerClient func() *tls.Config
}

// Entry is one running entry.
type Entry struct {
	settings *settings.Settings
	options  Options
	hello    message.Hello
	// requestPrefix starts the names of requests, unique to this process.
	requestPrefix string

	engine      *engine
	dialect     Dialect
	connections *forward.Connections
	// homes are the connections to other entries' callers' side; the same as
	// connections where that is plain HTTP.
	homes          *forward.Connections
	front          *front.Server
	peerServer     *peer.Server
	links          *peer.Links
	knownAddresses addressBook
	trail          *audit.Trail
	documents      documents
	platform       *countedPlatform
	liveness       livenessChecks
	instruments    *instruments
	recent         recent

	// revision of the profiles in force, for answers.
	revision atomic.Uint64
	// allowed is what the routes in force allow callers.
	allowed atomic.Pointer[front.Limits]

	callerListener *net.TCPListener
	peerListener   net.Listener
	// life ends with the entry; cancel ends it. Both are nil before Start.
	life   context.Context
	cancel context.CancelFunc

	// failed has room for the end of each server, so that none waits to tell.
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
		e.dialect = ownDialect{}
	}
	e.platform = newCountedPlatform(opts.Platform, clock)
	e.liveness.platform, _ = opts.Platform.(published.LivenessChecker)
	e.liveness.every = e.settings.Platform.LivenessEvery.Duration
	e.instruments = newInstruments()
	e.buildConnections(clock)
	rng := rand.New(rand.NewPCG(incarnation, uint64(opts.Wall().UnixNano())))
	e.engine = newEngine(core.New(e.coreConfig(), rng), clock, opts.Wall)
	e.engine.carry = e.carryOut
	e.buildPeers()
	e.allowed.Store(&front.Limits{})
	e.front = front.NewServer(front.ServerConfig{
		Limits:      front.Limits{HeaderBytes: s.Limits.HeaderBytes, HeaderTimeout: s.Timeouts.Header.Duration, Idle: s.Timeouts.Idle.Duration},
		Allowed:     func() front.Limits { return *e.allowed.Load() },
		TLS:         opts.TLS.Callers,
		Refuse:      e.refuseShape,
		MayPipeline: e.mayBeginAhead,
	}, e.callerHandler())
	return e, nil
}

func (e *Entry) buildConnections(clock func() time.Duration) {
	cfg := forward.Config{
		MaxConnsPerEndpoint: e.settings.Limits.ConnectionsPerEndpoint,
		DialTimeout:         e.settings.Timeouts.Connect.Duration,
		UserTimeout:         e.settings.Timeouts.Silence.Duration,
		IdleTimeout:         e.settings.Timeouts.EndpointIdle.Duration,
		AllowUnframed:       e.settings.Limits.UnframedAnswers,
		Clock:               clock,
	}
	e.connections = forward.New(cfg)
	e.homes = e.connections
	if e.options.TLS.Callers != nil {
		cfg.TLS = e.options.TLS.Homes
		e.homes = forward.New(cfg)
	}
}

// capacityOf is what the VM gives this entry, in thousandths of a core.
func capacityOf(cores float64) uint32 {
	if cores <= 0 {
		cores = float64(runtime.GOMAXPROCS(0))
	}
	return uint32(math.Round(1000 * cores))
}

func orElse(value, otherwise string) string {
	if value == "" {
		return otherwise
	}
	return value
}

// monotonic returns a clock that counts from now on.
func monotonic() func() time.Duration {
	start := time.Now()
	return func() time.Duration { return time.Since(start) }
}

// incarnationOf draws the number of this process: the second of its start in
// the upper half, so that later processes have higher numbers, and 32 random
// bits, so that no two processes share one.
func incarnationOf(opts Options) (uint64, error) {
	if opts.Incarnation != 0 {
		return opts.Incarnation, nil
	}
	var random [4]byte
	if _, err := cryptorand.Read(random[:]); err != nil {
		return 0, fault.Wrap(err, fault.Unavailable, "check the system's source of randomness", "can't draw an incarnation")
	}
	return uint64(opts.Wall().Unix())<<32 | uint64(binary.BigEndian.Uint32(random[:])), nil
}

// startLeave is how long an entry that starts waits to hear from a peer before it asks the
// platform: the links to its seeds open within a tenth of a second. The seeds themselves ask
// at once, so that a fleet that lost power as a whole has somebody to hear from.
//
// Beyond leastLeave entries spread over leaveSpan, few of them early: what the first have read
// reaches the others before their turn. Where seeds are away too, the first of 14 asks after
// 0.7 s on average, and a tenth of 472 have asked by then.
func (e *Entry) startLeave() time.Duration {
	const leastLeave, leaveSpan = 250 * time.Millisecond, time.Second
	seeds := e.settings.Peers.Seeds
	if len(seeds) == 0 || slices.Contains(seeds, e.hello.PeerAddress) {
		return 0
	}
	place := float64(xxhash.Sum64String(e.hello.Name)>>11) / (1 << 53)
	return leastLeave + time.Duration(math.Cbrt(place)*float64(leaveSpan))
}

// Start opens the sockets and runs until Stop. It does not wait for readiness.
func (e *Entry) Start() error {
	if err := e.listen(); err != nil {
		return err
	}
	e.life, e.cancel = context.WithCancel(context.Background())
	e.knownAddresses.add(0, e.settings.Peers.Seeds)
	e.run(func() { e.noteEnd("callers", e.front.Serve(e.callerListener)) })
	e.run(func() { e.noteEnd("peers", e.peerServer.Serve(e.peerListener)) })
	e.run(func() { e.tickLoop(e.life) })
	e.run(func() { e.followLoop(e.life, published.ProfilesValue) })
	e.run(func() { e.followLoop(e.life, published.VMsValue) })
	if e.liveness.on() {
		e.run(func() { e.livenessLoop(e.life) })
	}
	return nil
}

// servers is how many servers an entry runs, one for callers and one for peers.
const servers = 2

// Failed gives an error for each server that ends before a stop. The entry goes
// on with what is left; nobody can reach it on that side any more.
func (e *Entry) Failed() <-chan error { return e.failed }

// noteEnd reports the end of a server, which is nil after a stop.
func (e *Entry) noteEnd(side string, err error) {
	if err != nil {
		e.failed <- fault.Wrap(err, fault.Unavailable, "start the entry again and look into the system's log", "the server for %s ended", side)
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
		return nil, fault.Wrap(err, fault.Unavailable, "free the port or set another one", "can't listen on %s", address)
	}
	return l, nil
}

// run starts a goroutine that Stop waits for, or none when the entry has ended.
// Handlers that were cut off may still feed the core while the entry ends; a
// goroutine that they started then would be added to a WaitGroup that is being
// waited for, which is a data race, and outlive the entry.
func (e *Entry) run(f func()) {
	e.runMu.Lock()
	defer e.runMu.Unlock()
	if !e.ended {
		e.running.Go(f)
	}
}

// endRunning waits for the goroutines that run started; it starts no more.
func (e *Entry) endRunning() {
	e.runMu.Lock()
	e.ended = true
	e.runMu.Unlock()
	e.running.Wait()
}

// tickLoop runs the core's systems.
func (e *Entry) tickLoop(ctx context.Context) {
	timer := time.NewTimer(tickPeriod)
	defer timer.Stop()
	var links wantedLinks
	for {
		select {
		case <-ctx.Done():
			return
		case <-e.engine.busy:
			timer.Reset(tickPeriod)
		case <-timer.C:
			timer.Reset(e.engine.tick())
			e.updateLinks(&links)
			e.pullRecords(ctx)
			e.recent.sample(e.engine.clock(), e.counters)
		}
	}
}

// Name returns the entry's name.
func (e *Entry) Name() string { return e.settings.Name }

// CallerAddress returns where callers are served.
func (e *Entry) CallerAddress() string { return e.hello.CallerAddress }

// Ready reports whether the entry may be given to callers, and if not why.
func (e *Entry) Ready() (ready bool, reason string) {
	e.engine.view(func(now time.Duration, c *core.Core) { ready, reason = c.ReadyReason(now) })
	return ready, reason
}

// EntriesNear returns the addresses of up to most entries that a caller of a failure
// domain may use, and how long it may keep them.
func (e *Entry) EntriesNear(domain string, most int) (addresses []string, ttl time.Duration) {
	e.engine.view(func(now time.Duration, c *core.Core) {
		addresses, ttl = c.EntriesNear(domain, most), c.AnswersTTL(now)
	})
	return addresses, ttl
}

// PeerAddress returns where peers are served.
func (e *Entry) PeerAddress() string { return e.hello.PeerAddress }

// KnownEntries returns how many entries may be given to callers as far as this
// one knows, itself included.
func (e *Entry) KnownEntries() (n int) {
	e.engine.view(func(_ time.Duration, c *core.Core) { n = c.UsableEntries() })
	return n
}
