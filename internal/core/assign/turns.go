package assign

import (
	"slices"
	"time"
)

// Turns decides which peers an entry sends a large value to at once. All that ask at the same time
// would get it at the same late time, in shares of the link; one after the other, most get it early
// and pass it on. Peers that have to wait are told when to ask again, and can ask others meanwhile.
type Turns struct {
	// rate is what the link carries, in bytes per second; 0 means that it is not known and nobody
	// waits.
	rate float64
	// busyUntil is when the link will have sent the parts that it was given.
	busyUntil time.Duration
	transfers []transfer
	waiting   []turn // in the order in which they first asked
}

// TransferID identifies what is sent to a peer.
type TransferID struct {
	Peer uint64
	Name string
}

// transfer is a value that is being sent in parts.
type transfer struct {
	TransferID
	remaining int
	heardAt   time.Duration
}

// turn is the place of a peer that was told to ask again at askAgainAt.
type turn struct {
	TransferID
	size       int
	askAgainAt time.Duration
}

const (
	// turnBacklog is the time that the link needs for what it has to send, from which on others wait.
	turnBacklog = 60 * time.Millisecond
	// shortestTurnWait and longestTurnWait bound the time after which a peer is to ask again.
	shortestTurnWait = 20 * time.Millisecond
	longestTurnWait  = 300 * time.Millisecond
	// turnPatience is how long after it was expected a peer keeps its transfer or its place.
	turnPatience = 200 * time.Millisecond
	// maxWaiting bounds the places that are kept.
	maxWaiting = 64
)

// NewTurns returns Turns for a link that carries rate bytes per second, 0 if that is not known.
func NewTurns(rate float64) *Turns { return &Turns{rate: rate} }

// Ask returns whether a peer is sent the next part of a value now, or after which time it is to ask
// again. size is that of the value, offset where the part begins and part the size of the part. Later
// parts never wait.
func (t *Turns) Ask(now time.Duration, id TransferID, size, offset, part int) (wait time.Duration) {
	if t.rate <= 0 {
		return 0
	}
	t.expire(now)
	if wait := max(t.busyUntil-now, 0) + t.waitTime(id); offset == 0 && wait > turnBacklog {
		return t.keepPlace(now, id, size, wait-turnBacklog)
	}
	t.busyUntil = max(t.busyUntil, now) + t.timeFor(part)
	t.waiting = slices.DeleteFunc(t.waiting, func(w turn) bool { return w.TransferID == id })
	t.transfers = slices.DeleteFunc(t.transfers, func(r transfer) bool { return r.TransferID == id })
	if remaining := size - offset - part; remaining > 0 {
		t.transfers = append(t.transfers, transfer{id, remaining, now})
	}
	return 0
}

// Waiting returns the number of peers that were told to ask again.
func (t *Turns) Waiting() int { return len(t.waiting) }

// Sending returns the number of peers that are being sent a value in parts.
func (t *Turns) Sending() int { return len(t.transfers) }

// expire drops peers that do not continue.
func (t *Turns) expire(now time.Duration) {
	t.transfers = slices.DeleteFunc(t.transfers, func(r transfer) bool { return now-r.heardAt > turnPatience })
	t.waiting = slices.DeleteFunc(t.waiting, func(w turn) bool { return now-w.askAgainAt > turnPatience })
}

// waitTime returns how long the link needs for the further parts of the transfers under way and for
// the peers that come before id.
func (t *Turns) waitTime(id TransferID) time.Duration {
	bytes := 0
	for _, r := range t.transfers {
		if r.TransferID != id {
			bytes += r.remaining
		}
	}
	for _, w := range t.waiting {
		if w.TransferID == id {
			break
		}
		bytes += w.size
	}
	return t.timeFor(bytes)
}

func (t *Turns) timeFor(bytes int) time.Duration {
	return time.Duration(float64(bytes) / t.rate * float64(time.Second))
}

// keepPlace records that a peer waits, and returns when it is to ask again.
func (t *Turns) keepPlace(now time.Duration, id TransferID, size int, wait time.Duration) time.Duration {
	wait = min(max(wait, shortestTurnWait), longestTurnWait)
	i := slices.IndexFunc(t.waiting, func(w turn) bool { return w.TransferID == id })
	switch {
	case i >= 0:
		t.waiting[i].askAgainAt = now + wait
	case len(t.waiting) < maxWaiting:
		t.waiting = append(t.waiting, turn{id, size, now + wait})
	}
	return wait
}
