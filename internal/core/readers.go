package core

import (
	"time"

	"github.com/tealhall/tealhall/internal/core/assign"
	"github.com/tealhall/tealhall/internal/core/member"
	"github.com/tealhall/tealhall/internal/message"
	"github.com/tealhall/tealhall/internal/published"
)

// readerSilence is how long no reader of this region may have reached the configuration service
// before this entry reads by itself. It is short, because a reader reports at once when it no
// longer reaches the configuration service, and published changes are delayed until another entry
// reads. startSilence replaces it for an entry that has just started and hears its peers one by
// one.
const (
	readerSilence = 400 * time.Millisecond
	// standbyGap is the time between the standby groups in which entries return to a configuration
	// service that answers again: several times the time that it takes to notify all other entries.
	standbyGap   = 100 * time.Millisecond
	startSilence = 1500 * time.Millisecond
	// firstStartSilence replaces startSilence when the whole fleet starts for the first time:
	// long enough for hundreds of entries to connect, and shorter than the seconds until callers
	// connect.
	firstStartSilence = 4 * time.Second
)

// readers records which entries read the configuration service for the fleet, and whether they
// reach it.
//
// Readers are assigned among the entries that are known, whether or not they reach the
// configuration service. If only entries that are not readers reach it, a published profile would
// come into force only with the periodic check of one of them, after ten seconds or more.
// Therefore, when no reader reports that it reaches the configuration service, further entries try:
// a few of each failure domain first and all others later. An entry that reaches the configuration
// service goes on reading until an assigned reader reaches it again. If all entries tried at once,
// the calls caused by a change of readers would grow with the fleet.
type readers struct {
	// assigned are the incarnations of this region's readers.
	assigned []uint64
	// stale says that the entries have changed since readers were assigned.
	stale bool
	// standbyGroup is the number of silence periods after which this entry tries to read.
	standbyGroup int
	// platformAnswered says that the configuration service answered this entry's latest call,
	// platformSilent that it did not answer the latest liveness check in time.
	platformAnswered, platformSilent bool
	// reachedAt is when a reader was last known to reach the configuration service.
	reachedAt time.Duration
	// standbyActive says that this entry reads although it is not an assigned reader.
	standbyActive bool
	// reading says that this entry reads. unwatchedSince is since when, at the earliest, no entry
	// watched the configuration service when this entry began to read; unwatched says that it is known.
	reading, unwatched bool
	unwatchedSince     time.Duration
}

// assignReaders assigns the readers anew after a change of entries. It runs only when the
// assignment is needed, since most changes of a starting fleet arrive together.
func (c *Core) assignReaders() {
	f, r := &c.fleet, &c.fleet.readers
	if !r.stale {
		return
	}
	r.stale = false
	for i := range f.readerCandidates {
		m := &f.readerCandidates[i]
		m.Capacity = c.capacityOf(&f.entries[f.byAssignID[m.ID]])
	}
	f.reader = assign.IsReader(f.selfAssignID, f.readerCandidates, c.cfg.ReadersPerDomain)
	r.assigned, r.standbyGroup = r.assigned[:0], 0
	if rank := assign.ReaderRank(f.selfAssignID, f.readerCandidates); rank >= 0 {
		r.standbyGroup = standbyGroupOf(rank, c.cfg.ReadersPerDomain)
	}
	for _, domain := range assign.Domains(f.readerCandidates) {
		for _, id := range assign.Readers(f.readerCandidates, domain, c.cfg.ReadersPerDomain) {
			if e := &f.entries[f.byAssignID[id]]; e.VM.Region == c.cfg.Self.Region {
				r.assigned = append(r.assigned, e.VM.Incarnation)
			}
		}
	}
}

// lastStandbyGroup is the standby group that tries last: all entries except a few of each failure
// domain.
const lastStandbyGroup = 3

// standbyGroupOf returns the standby group of the entry with the given rank in its failure domain.
// Group 0 has the assigned readers, group 1 twice as many entries, group 2 three times as many as
// group 1, and lastStandbyGroup all others.
func standbyGroupOf(rank, assigned int) int {
	const growth = 3
	group := 0
	for limit := assigned; rank >= limit && group < lastStandbyGroup; limit *= growth {
		group++
	}
	return group
}

// Reader reports whether this entry should read the configuration service itself.
func (c *Core) Reader() bool {
	c.assignReaders()
	return c.fleet.reader || c.fleet.readers.standbyActive
}

// AssignedReader reports whether this entry is an assigned reader, whether or not the configuration
// service answers it.
func (c *Core) AssignedReader() bool {
	c.assignReaders()
	return c.fleet.reader
}

// standbyLiveness bounds the liveness checks of the last standby group as a whole. Without the
// bound, a fleet that waited for a configuration service that was down called it a hundred times a
// second. The first entry that gets an answer notifies all others, so recovery is found at once
// however many entries check.
var standbyLiveness = assign.CheckLimits{Longest: 10 * time.Second, FleetRate: 20, Values: 1}

// LivenessPause returns the time between two liveness checks of this entry. usual is the pause of
// an entry that is an assigned reader, is not in the last standby group, or is cut off from the
// others, which then cannot notify it. All other entries get a longer pause, with spread true: they
// wait for it also before their first liveness check.
func (c *Core) LivenessPause(now, usual time.Duration) (pause time.Duration, spread bool) {
	c.assignReaders()
	if c.fleet.reader || c.fleet.readers.standbyGroup < lastStandbyGroup || c.isCutOff(now) {
		return usual, false
	}
	limits := standbyLiveness
	limits.Shortest = usual
	return assign.CheckPeriod(len(c.fleet.assignMembers), limits), true
}

// PlatformAnswered records whether the configuration service answered this entry's latest call.
func (c *Core) PlatformAnswered(ok bool) {
	r := &c.fleet.readers
	r.platformAnswered = ok
	if !ok {
		r.unwatched = false
	}
}

// PlatformAlive records whether the configuration service answered this entry's latest liveness
// check in time.
func (c *Core) PlatformAlive(ok bool) { c.fleet.readers.platformSilent = !ok }

// reachesPlatform reports whether this entry reads the configuration service and gets answers.
func (c *Core) reachesPlatform() bool {
	r := &c.fleet.readers
	return c.Reader() && r.platformAnswered && !r.platformSilent
}

// checkReaders decides whether this entry has to read, and since when no other entry may have read.
func (c *Core) checkReaders(now time.Duration) {
	c.assignReaders()
	r := &c.fleet.readers
	reachedAt := r.reachedAt
	c.checkStandby(now)
	if reading := c.Reader(); reading != r.reading {
		r.reading, r.unwatched = reading, reading && reachedAt > 0
		// A reader that was lost counts as reading until it is suspected.
		r.unwatchedSince = reachedAt - c.fleet.members.SuspectAfter()
	}
}

// longestTakeover bounds how long it takes other entries to read in place of readers that are suspected.
// If it takes longer, the configuration service does not answer.
const longestTakeover = (lastStandbyGroup + 1) * (readerSilence + standbyGap)

// unwatchedFor returns for how long no entry may have watched the configuration service until now, when
// this entry has just taken over from other readers, else 0. While the service does not answer it drops
// endpoints that cannot report to it, so the time of an outage does not count.
func (c *Core) unwatchedFor(now time.Duration) time.Duration {
	r := &c.fleet.readers
	unwatched := now - r.unwatchedSince
	if !r.unwatched || unwatched > c.fleet.members.SuspectAfter()+longestTakeover {
		return 0
	}
	return unwatched
}

// checkStandby decides whether this entry has to read although it is not an assigned reader.
func (c *Core) checkStandby(now time.Duration) {
	r := &c.fleet.readers
	if c.assignedReaderReachesPlatform(now) {
		r.reachedAt, r.standbyActive = now, false
		return
	}
	if c.anyEntryReachesPlatform(now) && !(r.standbyActive && c.reachesPlatform()) {
		// Another entry reads. Entries that tried without success stop: otherwise a configuration
		// service that recovers would get the reads of all of them at once.
		r.reachedAt, r.standbyActive = now, false
		return
	}
	if r.standbyActive {
		return
	}
	group := max(r.standbyGroup, 1)
	if c.isCutOff(now) {
		group = 0 // no other entry can read for this one
	}
	r.standbyActive = now >= max(r.reachedAt+time.Duration(group)*readerSilence, c.startReadDelay())
}

// mayRead reports whether another entry can be expected to read the configuration service: it was
// heard, and it is starting or serving.
func (c *Core) mayRead(e *member.Entry) bool {
	_, heard := c.fleet.peers[e.VM.Incarnation]
	return heard && !e.Suspected && e.State <= message.EntryServing && e.VM.State == published.Live
}

// isCutOff reports whether this entry hears no other entry. In a large fleet an entry watches only
// a few neighbors and assumes that all others are live until an entry that watches them reports
// otherwise. Without this check their last status, for instance that they read the configuration
// service, would count forever.
func (c *Core) isCutOff(now time.Duration) bool {
	return now-c.fleet.heardAt >= c.fleet.members.SuspectAfter()
}

// anyEntryReachesPlatform reports whether any entry of this region reports that it reaches the
// configuration service.
func (c *Core) anyEntryReachesPlatform(now time.Duration) bool {
	f := &c.fleet
	if c.isCutOff(now) {
		return false
	}
	for i := range f.entries {
		e := &f.entries[i]
		if e.VM.Region == c.cfg.Self.Region && c.mayRead(e) && f.peers[e.VM.Incarnation].update.Reader {
			return true
		}
	}
	return false
}

// ReadDelay returns how long this entry leaves the configuration service to the assigned readers
// after the configuration service has recovered: they notify all others once they reach it.
func (c *Core) ReadDelay() time.Duration {
	c.assignReaders()
	if c.fleet.reader {
		return 0
	}
	return time.Duration(c.fleet.readers.standbyGroup) * standbyGap
}

// startReadDelay returns how long a starting entry leaves the configuration service to the readers.
// While its peers have other records than this entry, it may simply not have heard of the readers
// yet: 472 entries that lost power together would each read 1.5 s later.
func (c *Core) startReadDelay() time.Duration {
	if c.cfg.FirstStart || !c.RecordsAgree() {
		return firstStartSilence
	}
	return startSilence
}

// waitsForReaders reports whether an entry that knows no revision of a value yet waits for other
// entries to report one. Without this wait, each entry of a starting fleet asked the configuration
// service again and again, until the operator had published the value, for what one reader in each
// failure domain reads and passes on anyway. An entry that starts alone gets the value from the
// first peer that it connects to; after a power loss most entries get it from the few readers.
func (c *Core) waitsForReaders(now time.Duration, t *assign.Tracker) bool {
	if t.InForce().Revision != 0 || t.Wanted() != 0 {
		return false
	}
	if c.cfg.FirstStart {
		return now < firstStartSilence || c.assignedReaderReachesPlatform(now)
	}
	return now < c.cfg.StartFetchDelay
}

// assignedReaderReachesPlatform reports whether an assigned reader of this region reaches the
// configuration service.
func (c *Core) assignedReaderReachesPlatform(now time.Duration) bool {
	c.assignReaders()
	f := &c.fleet
	cutOff := c.isCutOff(now)
	for _, incarnation := range f.readers.assigned {
		if incarnation == c.cfg.Self.Incarnation {
			if f.readers.platformAnswered && !f.readers.platformSilent {
				return true
			}
			continue
		}
		if e := f.entry(incarnation); !cutOff && e != nil && c.mayRead(e) && f.peers[incarnation].update.Reader {
			return true
		}
	}
	return false
}
