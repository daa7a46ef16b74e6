// Package core is the decision core of an entry. It is pure and deterministic:
// entities live in tables (VMs, pools of endpoints, services, requests, keys,
// peers), systems run over them; inputs are events with an explicit monotonic
// time, outputs are Actions for the driver. It holds no goroutine, lock, clock
// or I/O, so that any driver can run many cores in one process.
//
// A driver calls one method at a time (it owns the lock if it needs one),
// carries out the appended actions and reports their results as further
// events. Times are durations since the process started; they never go back.
package core

import (
	"math/rand/v2"
	"time"

	"github.com/tealhall/tealhall/internal/core/budget"
	"github.com/tealhall/tealhall/internal/core/health"
	"github.com/tealhall/tealhall/internal/core/placement"
	"github.com/tealhall/tealhall/internal/core/quarantine"
	"github.com/tealhall/tealhall/internal/idem"
	"github.com/tealhall/tealhall/internal/message"
	"github.com/tealhall/tealhall/internal/profile"
)

// The periods of the systems that run less often than every tick.
const (
	healthPeriod = 100 * time.Millisecond
	probePeriod  = 50 * time.Millisecond
	memberPeriod = 100 * time.Millisecond
	// pauseGap is the time between two ticks from which on the process is taken
	// to have slept: its beliefs about others are stale.
	pauseGap = time.Second
	// lateTick is the time between two ticks of a busy entry from which on a tick is late:
	// ten times as long as they are apart.
	lateTick = 150 * time.Millisecond
	// defaultCallsPerSecond is what a small entry VM carries.
	defaultCallsPerSecond = 5000
	// maxDepth is how deep calls between services may be nested.
	maxDepth = 6
)

// Config holds what a core needs to know at its start.
type Config struct {
	// Self identifies this entry to its peers and callers.
	Self message.Hello
	// Policy names the endpoint choice policy (see package balance).
	Policy string
	// MaxInFlight bounds the requests that this entry holds at a time.
	MaxInFlight int
	// CallsPerSecond, in requests of callers, is what one entry is taken to carry, for its weight in the
	// answers to callers.
	CallsPerSecond float64
	// LargestFleet is the number of entries that the watching budget is
	// divided by. It is never derived from the peers seen.
	LargestFleet int
	// Keys bounds the idempotency table.
	Keys idem.Config
	// AnswersTTL is the longest that a caller may keep the answer which entries
	// to use; 0 stands for the default of package directory.
	AnswersTTL time.Duration
	// ReadersPerDomain is how many entries of a failure domain read the platform.
	ReadersPerDomain int
	// PeerBytesPerSecond and PeerMessagesPerSecond bound what is sent to all peers
	// together; 0 stands for the defaults of package gossip.
	PeerBytesPerSecond    float64
	PeerMessagesPerSecond float64
	// ProbeCost is the slot time that a probe takes at an endpoint.
	ProbeCost time.Duration
	// Repeats bounds what all entries together send beyond the first attempts.
	Repeats budget.RepeatBound
	// LoadProbesPerEndpoint bounds how often a second all entries together look at an
	// endpoint; 0 for no bound.
	LoadProbesPerEndpoint float64
	// WarmupOver and WarmupSlack bound what all entries together send to a cold endpoint in any
	// second: WarmupOver times the rate published for it, and WarmupSlack more.
	WarmupOver, WarmupSlack float64
	// CheckEvery is the shortest time between two reads of the platform by an entry
	// that others read for; 0 stands for the default of package assign.
	CheckEvery time.Duration
	// FirstStart says that the whole fleet starts, and no caller comes for seconds.
	FirstStart bool
	// StartLeave is how long this entry, which starts, leaves the platform to others that may
	// hold what it needs already, or read it now.
	StartLeave time.Duration
	// AlwaysCurrent is that of package assign's Tracker.
	AlwaysCurrent bool
	// ListIsFinal, MissingAfter and KeepLast are those of package member.
	ListIsFinal            bool
	MissingAfter, KeepLast time.Duration
}

// DefaultConfig returns the configuration of an entry in a fleet of at most 60.
func DefaultConfig(self message.Hello) Config {
	return Config{
		Self:             self,
		Policy:           defaultPolicy,
		MaxInFlight:      20_000,
		CallsPerSecond:   defaultCallsPerSecond,
		LargestFleet:     60,
		Keys:             idem.DefaultConfig(self.Incarnation),
		ReadersPerDomain: 2,
		ProbeCost:        6 * time.Millisecond,
	}
}

// Core is the decision core of one entry. It is not safe for concurrent use.
type Core struct {
	cfg Config
	rng *rand.Rand

	snapshot *profile.Snapshot
	closing  bool
	services map[string]*service
	// serviceRows holds the services by their index; a removed service keeps its row.
	serviceRows []*service
	pools       map[string]*pool
	poolRows    []*pool
	// splits choose among the services of routes that lead to several.
	splits map[string]*split
	// probing are the requests with a round of load probes under way, supervised those whose
	// attempt is looked after.
	probing    []RequestID
	supervised []supervisedAttempt
	// lateProbes and dueAttempts are scratch memory of the two.
	lateProbes, dueAttempts []RequestID
	// delayedRounds are the requests that wait for their next round of looks beside the queue,
	// delayedDue is scratch memory.
	delayedRounds []delayedRound
	delayedDue    []RequestID

	requests map[RequestID]*request
	free     []*request
	keys     *idem.Table
	// waiters are the requests that wait for a running one with the same key,
	// joined lists them all for their deadlines.
	waiters map[idem.Key][]RequestID
	joined  []RequestID

	// quarantine knows the requests under which endpoints crashed, broken are the attempts whose
	// endpoint is asked whether it has, unspreadCrashes the crashes of which the fleet is not told yet.
	quarantine      *quarantine.Table
	broken          []brokenAttempt
	unspreadCrashes []unspreadCrash

	// limits are those of endpoints by their names and incarnations.
	limits map[endpointID]knownLimit

	fleet fleet
	state message.EntryState
	// servesSince is when this entry began to serve.
	servesSince time.Duration

	// now is the time of the latest event of a request.
	now        time.Duration
	lastTick   time.Duration
	nextHealth time.Duration
	nextProbe  time.Duration
	nextMember time.Duration
	wall       time.Time
	counters   Counters
	// lastStale is the latest note about a stale or conflicting value.
	lastStale Note
	// healthEvents is scratch memory of the health sweep.
	healthEvents []health.Event
	explained    explanations
}

// Counters count what the core did since its start.
type Counters struct {
	Arrived, Done, NotRun, Unknown uint64
	Dispatched, Retried, Hedged    uint64
	Queued, Forwarded, Replayed    uint64
	Probes, ProbesDenied, Pauses   uint64
	// TicksLate counts ticks that came long after the one before: the process was short of
	// processor time.
	TicksLate                     uint64
	LoadProbes                    uint64
	EndpointNotRun, RetriesDenied uint64
	Ejections, Readmissions       uint64
	// Crashes counts what was heard of endpoints that crashed under a request.
	Crashes                         uint64
	StaleProfiles, RefusedDocuments uint64
	// Refused counts answers of tealhall's own by reason.
	Refused [reasonCount]uint64
}

// New returns a core that is starting: it has no profiles and knows no VM.
func New(cfg Config, rng *rand.Rand) *Core {
	c := &Core{
		cfg:      cfg,
		rng:      rng,
		services: make(map[string]*service),
		pools:    make(map[string]*pool),
		requests: make(map[RequestID]*request),
		keys:     idem.NewTable(cfg.Keys),
		waiters:  make(map[idem.Key][]RequestID),
		state:    message.EntryStarting,

		explained:  newExplanations(),
		quarantine: quarantine.NewTable(),
		limits:     make(map[endpointID]knownLimit),
	}
	c.initFleet()
	return c
}

// Counters returns what the core counted so far.
func (c *Core) Counters() Counters { return c.counters }

// InFlight returns the number of requests that the core holds.
func (c *Core) InFlight() int { return len(c.requests) }

// Tick runs the systems that are due. The driver calls it every few
// milliseconds; wall is used only for the calendar of closes.
func (c *Core) Tick(now time.Duration, wall time.Time, out *Actions) {
	c.wall, c.now = wall, now
	c.notePause(now, out)
	c.lastTick = now
	c.keys.Tick(now)
	c.applyCalendar(now, out)
	c.expireQueues(now, out)
	c.expireJoined(now, out)
	c.hedgeDue(now, out)
	c.expireLoadProbes(now, out)
	c.startDelayedRounds(now, out)
	c.superviseDue(now, out)
	c.probeBroken(now, out)
	c.spreadCrashes(now)
	if now >= c.nextMember {
		c.nextMember = now + memberPeriod
		c.tickFleet(now, out)
		c.expirePeerSlots(now)
		c.quarantine.Expire(now)
		c.forgetLimits(now)
	}
	if now >= c.nextHealth {
		c.nextHealth = now + healthPeriod
		c.sweepHealth(now, out)
		for _, p := range c.poolRows {
			p.forgetOldTimes(now)
			placement.RiseFromSlowStart(now, p.Endpoints)
		}
	}
	if now >= c.nextProbe {
		c.nextProbe = now + probePeriod
		c.probeDue(now, out)
	}
	if c.fleet.divided != c.fleet.version && now-c.fleet.dividedAt >= divideEvery {
		c.announceDeciders(now)
	}
	c.becomeReady(now, out)
	c.composeUpdates(now, out)
	c.drainQueues(now, out)
}

// notePause handles a process that slept (a frozen VM, a long stop). It shows
// as a gap between two ticks. What the core believed of others is then as old
// as the gap: sightings and samples lapse at once; requests whose deadline
// passed are answered by the expiry that follows, before anything is sent.
func (c *Core) notePause(now time.Duration, out *Actions) {
	gap := now - c.lastTick
	if gap >= lateTick {
		c.counters.TicksLate++
	}
	if c.lastTick == 0 || gap < pauseGap {
		return
	}
	c.counters.Pauses++
	for _, p := range c.poolRows {
		p.forgetBeliefs(now, gap)
	}
	c.fleet.members.Pause(now, gap)
	c.fleet.profiles.Pause(now, gap)
	c.fleet.vms.Pause(now, gap)
	out.note(Note{Subject: c.cfg.Self.Name, Action: "pause", To: gap.Round(time.Millisecond).String(),
		Why: "the process did not run for this time; sightings and peers' states are taken as stale"})
}
