// Package core is the decision core of an entry. It is pure and deterministic: its state is held in
// tables (VMs, pools of endpoints, services, requests, keys, peers), its inputs are events with an
// explicit monotonic time, and its outputs are Actions for the driver. It has no goroutine, lock,
// clock or I/O, so a driver can run many cores in one process.
//
// A driver (package entry, or a test harness) calls one method at a time, carries out the appended
// actions and reports their results as further events. A driver with several goroutines has to hold
// a lock during each call. Times are durations since the process started; they never go back.
package core

import (
	"math/rand/v2"
	"time"

	"github.com/tealhall/tealhall/internal/core/budget"
	"github.com/tealhall/tealhall/internal/core/health"
	"github.com/tealhall/tealhall/internal/core/quarantine"
	"github.com/tealhall/tealhall/internal/core/table"
	"github.com/tealhall/tealhall/internal/idem"
	"github.com/tealhall/tealhall/internal/message"
	"github.com/tealhall/tealhall/internal/profile"
)

// Periods of the periodic work that runs less often than every tick, and bounds of the core.
const (
	sweepPeriod       = 100 * time.Millisecond
	healthProbePeriod = 50 * time.Millisecond
	memberPeriod      = 100 * time.Millisecond
	// pauseGap is the time between two ticks from which the process is assumed to have been
	// suspended, so that its knowledge of other entries and endpoints is stale.
	pauseGap = time.Second
	// lateTick is the time between two ticks of a busy entry from which a tick counts as late: ten
	// times the usual interval.
	lateTick = 150 * time.Millisecond
	// defaultCallsPerSecond is the capacity of a small entry VM.
	defaultCallsPerSecond = 5000
	// maxDepth is the maximum nesting depth of calls between services.
	maxDepth = 6
)

// Config is the configuration of a core.
type Config struct {
	// Self identifies this entry to its peers and callers.
	Self message.Hello
	// Policy names the endpoint choice policy (see package balance).
	Policy string
	// MaxInFlight bounds the concurrent requests of this entry.
	MaxInFlight int
	// CallsPerSecond is the assumed capacity of one entry, in callers' requests. It determines the
	// entry's weight in the answers to callers.
	CallsPerSecond float64
	// LargestFleet is the largest number of entries that ever run at the same time. The fleet's
	// budget of health probes, its least rate of retries and the slack of Repeats are divided by
	// it. It is never derived from the peers seen (see budget.HealthProbeConfig).
	LargestFleet int
	// Keys bounds the idempotency key table.
	Keys idem.Config
	// AnswersTTL is the longest time for which a caller may cache the list of entries that it
	// should use; 0 means the default of package directory.
	AnswersTTL time.Duration
	// ReadersPerDomain is how many entries of a failure domain read the configuration service.
	ReadersPerDomain int
	// PeerBytesPerSecond and PeerMessagesPerSecond bound the traffic sent to all peers together; 0
	// means the defaults of package gossip.
	PeerBytesPerSecond    float64
	PeerMessagesPerSecond float64
	// ProbeCost is the slot time that a probe uses at an endpoint.
	ProbeCost time.Duration
	// Repeats bounds the attempts that all entries together send beyond the first attempts.
	Repeats budget.RepeatBound
	// LoadProbesPerEndpoint bounds the load probes per second that all entries together send to an
	// endpoint; 0 means no bound.
	LoadProbesPerEndpoint float64
	// WarmupOver and WarmupSlack bound the requests that all entries together send to a cold
	// endpoint in any second: WarmupOver times its published rate, plus WarmupSlack.
	WarmupOver, WarmupSlack float64
	// CheckEvery is the shortest time between two reads of the configuration service by an entry
	// that relies on other readers; 0 means the default of package assign.
	CheckEvery time.Duration
	// FirstStart says that the whole fleet starts for the first time, and that callers send nothing
	// in the first seconds.
	FirstStart bool
	// StartFetchDelay is how long this entry waits after its start before it reads the published
	// values from the configuration service: peers may already have them, or may be reading them.
	StartFetchDelay time.Duration
	// AlwaysCurrent is passed to assign.TrackerConfig.
	AlwaysCurrent bool
	// ListIsFinal, MissingAfter and KeepLast are passed to member.Config.
	ListIsFinal            bool
	MissingAfter, KeepLast time.Duration
}

// DefaultConfig returns the configuration of an entry in a fleet of at most 60 entries.
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

	// snapshot has the profiles in force, nil before the first ones.
	snapshot *profile.Snapshot
	// closing is set while a profile.Close is under way, so that the close policies apply.
	closing  bool
	services map[string]*service
	// serviceRows lists the services by index; a removed service keeps its row.
	serviceRows []*service
	// rowsByService maps the names of services to their rows.
	rowsByService map[string]*service
	// hedging are the services with requests that may still be hedged.
	hedging  []*service
	pools    map[string]*pool
	poolRows []*pool
	// splits choose among the services of routes that lead to several services.
	splits map[string]*split
	// probing lists the requests with a probe round under way, supervised the requests whose
	// running attempt is supervised.
	probing    []RequestID
	supervised []supervisedAttempt
	// lateProbes and dueAttempts are scratch memory for probing and supervised.
	lateProbes, dueAttempts []RequestID
	// delayedRounds lists the requests that wait for their next probe round outside the queue;
	// delayedDue is scratch memory.
	delayedRounds []delayedRound
	delayedDue    []RequestID

	requests     map[RequestID]*request
	freeRequests []*request
	keys         *idem.Table
	// waiters are the requests that wait for a running request with the same key; joined lists all
	// of them for their deadlines.
	waiters map[idem.Key][]RequestID
	joined  []RequestID

	// quarantine records the requests under which endpoints crashed. brokenAttempts lists the
	// attempts whose endpoint gets crash probes, unspreadCrashes the crashes that are not yet
	// spread to the fleet.
	quarantine      *quarantine.Table
	brokenAttempts  []brokenAttempt
	unspreadCrashes []unspreadCrash

	// limits holds the rate limits of endpoints by name and incarnation.
	limits map[endpointID]knownLimit
	// backoffs holds the backoffs of removed endpoints.
	backoffs map[endpointID]table.Backoff

	// contested holds the endpoints whose address another one has, by name.
	contested map[string]contestedProbe

	// helpers is what is known of the entries that serve relayed requests, and relayedInFlight counts
	// the requests that other entries relayed to this one.
	helpers         map[helperPool]helperState
	relayedInFlight int

	fleet fleet
	state message.EntryState
	// servingSince is when this entry became ready to serve.
	servingSince time.Duration
	// cutOffAt is when the stop of this entry cuts off the requests that still run, 0 without a stop.
	cutOffAt time.Duration

	// now is the time of the latest tick or request event.
	now             time.Duration
	lastTick        time.Duration
	nextSweep       time.Duration
	nextHealthProbe time.Duration
	nextMember      time.Duration
	// wall is the wall clock time of the latest tick.
	wall     time.Time
	counters Counters
	// lastStale is the latest note about a stale or conflicting value, kept to avoid repeating it.
	lastStale Note
	// healthEvents is scratch memory of the health sweep.
	healthEvents []health.Event
	explained    explanations
}

// Counters count events since the start of the core.
type Counters struct {
	Arrived, Done, NotRun, Unknown uint64
	Dispatched, Retried, Hedged    uint64
	Queued, Forwarded, Replayed    uint64
	// Relayed counts the attempts that were sent to other entries because this one did not reach an
	// endpoint, and RelayedHere the requests that other entries relayed to this one.
	Relayed, RelayedHere uint64
	// Probes and ProbesDenied count the health probes that were sent and those that the budget did
	// not allow.
	Probes, ProbesDenied, Pauses uint64
	// TicksLate counts ticks that came long after the previous one because the process was short of
	// processor time or suspended.
	TicksLate                     uint64
	LoadProbes                    uint64
	EndpointNotRun, RetriesDenied uint64
	// Backoffs counts the refusals with which an endpoint asked this entry for a time without
	// requests, SentInBackoff the attempts that were sent within such a time.
	Backoffs, SentInBackoff uint64
	Ejections, Readmissions uint64
	// Crashes counts the known crashes of endpoints under a request.
	Crashes                         uint64
	StaleProfiles, RefusedDocuments uint64
	// Refused counts the answers that this entry gave in place of an endpoint, by reason.
	Refused [reasonCount]uint64
}

// New returns a core in the starting state, without profiles and VMs.
func New(cfg Config, rng *rand.Rand) *Core {
	c := &Core{
		cfg:      cfg,
		rng:      rng,
		services: make(map[string]*service),

		rowsByService: make(map[string]*service),
		pools:         make(map[string]*pool),
		requests:      make(map[RequestID]*request),
		keys:          idem.NewTable(cfg.Keys),
		waiters:       make(map[idem.Key][]RequestID),
		state:         message.EntryStarting,

		explained:  newExplanations(),
		quarantine: quarantine.NewTable(),
		limits:     make(map[endpointID]knownLimit),
		backoffs:   make(map[endpointID]table.Backoff),

		contested: make(map[string]contestedProbe),
		helpers:   make(map[helperPool]helperState),
	}
	c.initFleet()
	return c
}

// Counters returns the current counters.
func (c *Core) Counters() Counters { return c.counters }

// InFlight returns the number of requests that the core holds, including those that were answered
// but have attempts still running.
func (c *Core) InFlight() int { return len(c.requests) }

// Tick runs the periodic work that is due. The driver calls it every few milliseconds. wall is the
// wall clock time; it is used only to find out whether a profile.Close is under way.
func (c *Core) Tick(now time.Duration, wall time.Time, out *Actions) {
	c.wall, c.now = wall, now
	c.notePause(now, out)
	c.lastTick = now
	c.keys.Tick(now)
	c.applyCalendar(now, out)
	c.tickStop(now, out)
	c.expireQueues(now, out)
	c.expireJoined(now, out)
	c.sendDueHedges(now, out)
	c.expireLoadProbes(now, out)
	c.startDelayedRounds(now, out)
	c.superviseDue(now, out)
	c.tickReach(now, out)
	c.sendCrashProbes(now, out)
	c.spreadCrashes(now)
	if now >= c.nextMember {
		c.nextMember = now + memberPeriod
		c.tickFleet(now, out)
		c.expirePeerSlots(now)
		c.quarantine.Expire(now)
		c.forgetLimits(now)
		c.forgetBackoffs(now)
	}
	if now >= c.nextSweep {
		c.nextSweep = now + sweepPeriod
		c.sweepHealth(now, out)
		for _, p := range c.poolRows {
			p.ageEndpoints(now)
		}
	}
	if now >= c.nextHealthProbe {
		c.nextHealthProbe = now + healthProbePeriod
		c.startHealthProbes(now, out)
	}
	if c.fleet.assignedVersion != c.fleet.entriesVersion && now-c.fleet.assignedAt >= assignInterval {
		c.assignServices(now)
	}
	c.becomeReady(now, out)
	c.composeUpdates(now, out)
	c.drainQueues(now, out)
}

// notePause handles a process that was suspended (a frozen VM, a long stop), which shows as a gap
// between two ticks. The core's knowledge of other entries and of endpoints is then at least as old
// as the gap, so load reports and samples expire at once. Requests whose deadline has passed are
// answered by the expiry that follows in Tick, before any request is sent.
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
		p.resetAfterPause(now, gap)
	}
	c.fleet.members.Pause(now, gap)
	c.fleet.profiles.Pause(now, gap)
	c.fleet.vms.Pause(now, gap)
	out.note(Note{Subject: c.cfg.Self.Name, Action: "pause", To: gap.Round(time.Millisecond).String(),
		Why: "the process did not run for this time; load reports and peers' states are treated as stale"})
}
