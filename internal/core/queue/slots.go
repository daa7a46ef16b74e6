package queue

import (
	"math"
	"time"
)

// overdueShare is the share of the slots, at least one slot, that an overdue service may use
// although services of higher priority have first claim to them.
const overdueShare = 1.0 / 16

// SlotUser is a service that competes for the slots of a pool. The counts cover the whole pool as
// far as known.
type SlotUser struct {
	// InUse is the number of slots that the service uses.
	InUse int
	// Waiting is the number of its requests that wait.
	Waiting int
	// Share is the largest share of the slots that the service may use; one slot is always
	// allowed.
	Share float64
	// Priority orders the services; the higher one has first claim.
	Priority int
	// Demand is the average number of slots that the service's traffic keeps in use, for example
	// from Demand. Lower priorities leave that many free for it, and some more for variation. Zero
	// reserves nothing.
	Demand float64
	// Overdue says that the service was passed over PassLimit times; see Queue.Overdue.
	Overdue bool
}

// Capacity is the state of a pool's slots.
type Capacity struct {
	Slots int
	// Free is the number of idle slots as far as known.
	Free int
}

// MayTakeSlot reports whether the service at index me may take a slot now.
//
// It guards against bulk work that fills all slots with long requests just before urgent ones
// arrive, which would then wait for a whole bulk request. A service leaves the slots free that
// services of higher priority wait for or use on average. An overdue service may ignore these
// claims, but only for a small part of the slots, so that it never starves and its long requests
// never fill the whole pool.
func MayTakeSlot(users []SlotUser, me int, c Capacity) bool {
	user := &users[me]
	if c.Free <= 0 || user.InUse >= user.limit(c.Slots) {
		return false
	}
	if user.Overdue && user.InUse < overdueSlots(c.Slots) {
		return true
	}
	claimed := 0
	for i := range users {
		if users[i].Priority > user.Priority {
			claimed += users[i].claim(c.Slots)
		}
	}
	return c.Free > claimed
}

func (u *SlotUser) limit(slots int) int {
	return max(1, int(u.Share*float64(slots)))
}

// claim returns the number of free slots to which the service has first claim. The square root of
// the average demand is added to it: that is the standard deviation of the number of slots in use
// when requests arrive independently.
func (u *SlotUser) claim(slots int) int {
	need := 0
	if u.Demand > 0 {
		need = int(math.Ceil(u.Demand + math.Sqrt(u.Demand)))
	}
	claim := max(u.Waiting, need-u.InUse)
	return max(0, min(claim, u.limit(slots)-u.InUse))
}

func overdueSlots(slots int) int {
	return max(1, int(overdueShare*float64(slots)))
}

const (
	// demandTime is the time constant of the average in Demand.
	demandTime = 5 * time.Second
	// minDemandTime is the shortest time over which the average is taken.
	minDemandTime = time.Second
)

// Demand measures the average number of slots that the traffic of a service uses. The zero value
// is ready for use.
type Demand struct {
	slots float64
	// since is the time of the first arrival, at that of the latest one.
	since, at time.Duration
	started   bool
}

// Add counts a request that arrived now and will use a slot for the duration work.
func (d *Demand) Add(now, work time.Duration) {
	if !d.started {
		*d = Demand{since: now, at: now, started: true}
	}
	d.slots = d.decayed(now) + float64(work)/float64(demandTime)
	d.at = max(d.at, now)
}

// Slots returns the average number of slots in use: by Little's law the rate of arrivals times the
// duration of each, with more weight on recent arrivals. Shortly after the first arrival the
// average covers only the time since then, so that an entry that has just started reserves enough.
func (d *Demand) Slots(now time.Duration) float64 {
	age := max(now-d.since, minDemandTime)
	return d.decayed(now) / (1 - math.Exp(-float64(age)/float64(demandTime)))
}

func (d *Demand) decayed(now time.Duration) float64 {
	return d.slots * math.Exp(-float64(max(0, now-d.at))/float64(demandTime))
}
