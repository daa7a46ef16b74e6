package core

import (
	"time"

	"github.com/tealhall/tealhall/internal/core/assign"
	"github.com/tealhall/tealhall/internal/core/member"
	"github.com/tealhall/tealhall/internal/message"
	"github.com/tealhall/tealhall/internal/published"
)

// readerSilence is how long no reader of this region may have reached the
// platform before this entry tries for itself. It is short: a reader says at once
// that it reaches it no more, and until another reads, published changes wait.
// startSilence is the same for an entry that has just started and hears its
// peers one by one.
const (
	readerSilence = 400 * time.Millisecond
	// standbyGap is the time between the turns in which entries go back to a platform that is
	// answering again: several times what it takes to tell all others.
	standbyGap   = 100 * time.Millisecond
	startSilence = 1500 * time.Millisecond
	// firstStartSilence is the same where the whole fleet starts for the first time: enough for
	// hundreds of entries to meet, and less than the seconds until callers come.
	firstStartSilence = 4 * time.Second
)

// readers is who reads the platform for all, and whether that works.
//
// The duty is divided by what entries know of each other, not by who reaches the
// platform. Guards against a platform that can be reached by some entries only,
// none of them a reader: a published profile would come into force when one of
// them makes its slow check, after ten seconds or more. When no reader says that
// it reaches the platform, others try, a few of each failure domain first and after them all,
// and those that reach it read on until a reader does again. If all tried at once, the calls
// of a change of readers would grow with the fleet.
type readers struct {
	// assigned are the incarnations of this region's readers.
	assigned []uint64
	// stale says that entries changed since the duty was divided.
	stale bool
	// standbyGroup is after how many spans of silence this entry tries.
	standbyGroup int
	// platformAnswered says that the platform answered this entry's latest call, and platformSilent
	// that it did not answer the latest glance in time.
	platformAnswered, platformSilent bool
	// reachedAt is when a reader last was known to reach the platform.
	reachedAt     time.Duration
	standbyActive bool
}

// assignReaders divides the duty to read anew after a change of entries. It is called when the
// division is asked for: of the changes of a fleet that starts, most come together.
func (c *Core) assignReaders() {
	f, r := &c.fleet, &c.fleet.readers
	if !r.stale {
		return
	}
	r.stale = false
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

// lastStandbyGroup is the turn of those who try last: all entries but a few of each failure domain.
const lastStandbyGroup = 3

// standbyGroupOf is after how many spans of silence the entry of a rank in its failure domain tries to
// read: twice as many as are assigned try first, then three times as many, then all.
func standbyGroupOf(rank, assigned int) int {
	const growth = 3
	group := 0
	for limit := assigned; rank >= limit && group < lastStandbyGroup; limit *= growth {
		group++
	}
	return group
}

// Reader reports whether this entry should read the platform itself.
func (c *Core) Reader() bool {
	c.assignReaders()
	return c.fleet.reader || c.fleet.readers.standbyActive
}

// AssignedReader reports whether reading the platform is this entry's duty, whoever answers.
func (c *Core) AssignedReader() bool {
	c.assignReaders()
	return c.fleet.reader
}

// standbyLiveness bounds how often those glance who try last, all together: a fleet that waits for a
// platform which is down asked it a hundred times a second otherwise. Whoever is answered
// first tells all others, so it is found at once however many ask.
var standbyLiveness = assign.CheckLimits{Longest: 10 * time.Second, FleetRate: 20, Values: 1}

// LivenessPause returns the time between two glances of this entry, for which it also waits before
// its first one if it is spread: one of those who try last, unless it is cut off from the others,
// who can tell it nothing. usual is the pause of all others.
func (c *Core) LivenessPause(now, usual time.Duration) (pause time.Duration, spread bool) {
	c.assignReaders()
	if c.fleet.reader || c.fleet.readers.standbyGroup < lastStandbyGroup || c.isCutOff(now) {
		return usual, false
	}
	limits := standbyLiveness
	limits.Shortest = usual
	return assign.CheckPeriod(len(c.fleet.assignMembers), limits), true
}

// PlatformAnswered notes whether the platform answered this entry's latest call.
func (c *Core) PlatformAnswered(ok bool) { c.fleet.readers.platformAnswered = ok }

// PlatformAlive notes whether the platform answered this entry's latest glance in
// time.
func (c *Core) PlatformAlive(ok bool) { c.fleet.readers.platformSilent = !ok }

// reachesPlatform reports whether this entry reads the platform and is answered.
func (c *Core) reachesPlatform() bool {
	r := &c.fleet.readers
	return c.Reader() && r.platformAnswered && !r.platformSilent
}

// checkReaders decides whether this entry has to read although others should.
func (c *Core) checkReaders(now time.Duration) {
	c.assignReaders()
	r := &c.fleet.readers
	if c.assignedReaderReaches(now) {
		r.reachedAt, r.standbyActive = now, false
		return
	}
	if c.anyEntryReaches(now) && !(r.standbyActive && c.reachesPlatform()) {
		// Another one reads. Those that tried in vain leave it to that one: a platform
		// that comes back would get the reads of all at once.
		r.reachedAt, r.standbyActive = now, false
		return
	}
	if r.standbyActive {
		return
	}
	group := max(r.standbyGroup, 1)
	if c.isCutOff(now) {
		group = 0 // nobody else tries in its place
	}
	r.standbyActive = now >= max(r.reachedAt+time.Duration(group)*readerSilence, c.startReadDelay())
}

// mayRead reports whether another entry can be counted on to read the platform: it was heard,
// and starts or serves.
func (c *Core) mayRead(e *member.Entry) bool {
	_, heard := c.fleet.peers[e.VM.Incarnation]
	return heard && !e.Suspected && e.State <= message.EntryServing && e.VM.State == published.Live
}

// isCutOff reports whether this entry hears no other one. In a large fleet it watches a few
// neighbours, and takes all others for live until one that watches them says otherwise: what they
// said last, that they read the platform for instance, would hold for good.
func (c *Core) isCutOff(now time.Duration) bool {
	return now-c.fleet.heardAt >= c.fleet.members.SuspectAfter()
}

// anyEntryReaches reports whether any entry of this region says that it reaches the platform.
func (c *Core) anyEntryReaches(now time.Duration) bool {
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

// ReadDelay is how long this entry leaves the platform to those assigned to read it once it
// is back: they tell all others that they reach it.
func (c *Core) ReadDelay() time.Duration {
	c.assignReaders()
	if c.fleet.reader {
		return 0
	}
	return time.Duration(c.fleet.readers.standbyGroup) * standbyGap
}

// startReadDelay is how long an entry that starts leaves the platform to those that read it
// for all. While its peers hold other records than it does, it may just not have heard of
// those: 472 entries that lost power together would each read 1.5 s later.
func (c *Core) startReadDelay() time.Duration {
	if c.cfg.FirstStart || !c.RecordsAgree() {
		return firstStartSilence
	}
	return startSilence
}

// waitsForReaders reports whether an entry that knows no revision of a value yet waits for
// the word of others. Guards against a fleet that starts: each of its entries asked the
// platform for what one in each failure domain reads and tells anyway, again and again
// until the operator had published it. An entry that starts alone has it from the first peer
// that it meets; so have most of those that lost power together, from the few that read.
func (c *Core) waitsForReaders(now time.Duration, t *assign.Tracker) bool {
	if t.InForce().Revision != 0 || t.Wanted() != 0 {
		return false
	}
	if c.cfg.FirstStart {
		return now < firstStartSilence || c.assignedReaderReaches(now)
	}
	return now < c.cfg.StartFetchDelay
}

// assignedReaderReaches reports whether an assigned reader reaches the platform.
func (c *Core) assignedReaderReaches(now time.Duration) bool {
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
