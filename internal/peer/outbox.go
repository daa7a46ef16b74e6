package peer

import (
	"math"
	"slices"
	"time"

	"github.com/tealhall/tealhall/internal/message"
)

// outbox stores the one update that waits for a peer. A newer update replaces an older one, so a
// slow link builds up no backlog. It is not safe for concurrent use.
type outbox struct {
	waiting bool
	update  message.Update
	at      time.Time
	done    func(message.Receipt)
}

// put stores u as the waiting update and returns the done function of the update that it replaced,
// or nil.
func (o *outbox) put(now time.Time, u message.Update, done func(message.Receipt)) (replaced func(message.Receipt)) {
	replaced = o.done
	*o = outbox{waiting: true, update: u, at: now, done: done}
	return replaced
}

// take empties the outbox. It adds the waiting time to the ages in the update, because an update
// that waited for its link to open must not present old load reports and evidence as new.
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

// addAge adds the time that a value waited to its age, up to limit.
func addAge(millis uint64, waited time.Duration, limit uint64) uint64 {
	return min(millis+uint64(max(waited, 0).Milliseconds()), limit)
}
