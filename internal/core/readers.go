package core

import (
	"slices"
	"time"

	"github.com/tealhall/tealhall/internal/core/duty"
)

// readerSilence is how long no reader of this region may have reached the
// platform before this entry tries for itself. It is short: a reader says at once
// that it reaches it no more, and until another reads, published changes wait.
// startPatience is the same for an entry that has just started and hears its
// peers one by one.
const (
	readerSilence = 400 * time.Millisecond
	startPatience = 1500 * time.Millisecond
	// firstPatience is the same where the whole fleet starts for the first time: enough for
	// hundreds of entries to meet, and less than the seconds until callers come.
	firstPatience = 4 * time.Second
)

// readers is who reads the platform for all, and whether that works.
//
// The duty is divided by what entries know of each other, not by who reaches the
// platform. Guards against a platform that can be reached by some entries only,
// none of them a reader: a published profile would come into force when one of
// them makes its slow check, after ten seconds or more. When no reader says that
// it reaches the platform, every entry tries, and those that reach it read on
// until a reader does again.
type readers struct {
	// assigned are the incarnations of this region's readers.
	assigned []uint64
	// reaches says that the platform answered this entry's latest call, and silent
	// that it did not answer the latest glance in time.
	reaches, silent bool
	// reachedAt is when a reader last was known to reach the platform.
	reachedAt time.Duration
	volunteer bool
}

// assignReaders divides the duty to read anew after a change of entries. An entry that is
// not among those that duties are divided among does not know enough to rely on others.
func (c *Core) assignReaders() {
	f := &c.fleet
	f.reader = !slices.ContainsFunc(f.dutyMembers, func(m duty.Member) bool { return m.Incarnation == f.selfID })
	f.readers.assigned = f.readers.assigned[:0]
	for _, id := range duty.AllReaders(f.dutyMembers, c.cfg.ReadersPerDomain) {
		f.reader = f.reader || id == f.selfID
		if e := &f.entries[f.byDuty[id]]; e.VM.Region == c.cfg.Self.Region {
			f.readers.assigned = append(f.readers.assigned, e.VM.Incarnation)
		}
	}
}

// Reader reports whether this entry should read the platform itself.
func (c *Core) Reader() bool { return c.fleet.reader || c.fleet.readers.volunteer }

// PlatformAnswered notes whether the platform answered this entry's latest call.
func (c *Core) PlatformAnswered(ok bool) { c.fleet.readers.reaches = ok }

// PlatformGlanced notes whether the platform answered this entry's latest glance in
// time.
func (c *Core) PlatformGlanced(ok bool) { c.fleet.readers.silent = !ok }

// reachesPlatform reports whether this entry reads the platform and is answered.
func (c *Core) reachesPlatform() bool {
	r := &c.fleet.readers
	return c.Reader() && r.reaches && !r.silent
}

// checkReaders decides whether this entry has to read although others should.
func (c *Core) checkReaders(now time.Duration) {
	r := &c.fleet.readers
	if c.readerReaches() {
		r.reachedAt, r.volunteer = now, false
		return
	}
	r.volunteer = now >= max(r.reachedAt+readerSilence, c.startPatience())
}

// startPatience is how long an entry that starts leaves the platform to those that read it
// for all.
func (c *Core) startPatience() time.Duration {
	if c.cfg.FirstStart {
		return firstPatience
	}
	return startPatience
}

// leavesToReaders reports whether an entry that knows no revision of a value yet waits for
// the readers' word. Guards against a fleet that starts: each of its entries asked the
// platform for what one in each failure domain reads and tells anyway, again and again
// until the operator had published it.
func (c *Core) leavesToReaders(now time.Duration, t *duty.Tracker) bool {
	return c.cfg.FirstStart && t.InForce().Revision == 0 && t.Wanted() == 0 && (now < firstPatience || c.readerReaches())
}

// readerReaches reports whether an assigned reader reaches the platform.
func (c *Core) readerReaches() bool {
	f := &c.fleet
	for i := range f.entries {
		e := &f.entries[i]
		if !slices.Contains(f.readers.assigned, e.VM.Incarnation) {
			continue
		}
		if e.VM.Incarnation == c.cfg.Self.Incarnation {
			if f.readers.reaches && !f.readers.silent {
				return true
			}
			continue
		}
		if p, heard := f.peers[e.VM.Incarnation]; heard && p.update.Reader && e.Usable() {
			return true
		}
	}
	return false
}
