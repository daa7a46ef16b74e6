package peer

import (
	"math"
	"slices"
	"time"

	"github.com/tealhall/tealhall/internal/message"
)

// outbox holds the one update that waits for a peer. A newer one takes the
// place of an older one, so that a slow link has no backlog. It is not safe for
// concurrent use.
type outbox struct {
	waiting bool
	update  message.Update
	at      time.Time
	done    func(message.Receipt)
}

// put makes u the update that waits and returns what to call for the one that
// it replaced, or nil.
func (o *outbox) put(now time.Time, u message.Update, done func(message.Receipt)) (replaced func(message.Receipt)) {
	replaced = o.done
	*o = outbox{waiting: true, update: u, at: now, done: done}
	return replaced
}

// take empties the box. Ages are those at now: an update that waited while its
// link was opened must not pass old knowledge off as new.
func (o *outbox) take(now time.Time) (u message.Update, done func(message.Receipt), ok bool) {
	waited := now.Sub(o.at)
	u, done, ok = o.update, o.done, o.waiting
	*o = outbox{}
	u.Evidence = slices.Clone(u.Evidence)
	for i := range u.Evidence {
		u.Evidence[i].AgeMillis = uint32(addAge(uint64(u.Evidence[i].AgeMillis), waited, math.MaxUint32))
	}
	u.LoadReports = slices.Clone(u.LoadReports)
	for i := range u.LoadReports {
		u.LoadReports[i].AgeMillis = uint16(addAge(uint64(u.LoadReports[i].AgeMillis), waited, math.MaxUint16))
	}
	return u, done, ok
}

// addAge adds the time that a value waited to its age, up to most.
func addAge(millis uint64, waited time.Duration, most uint64) uint64 {
	return min(millis+uint64(max(waited, 0).Milliseconds()), most)
}
