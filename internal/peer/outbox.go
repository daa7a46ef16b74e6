package peer

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/tealhall/tealhall/internal/message"
)

// Bounds on what waits for one peer.
const (
	maxEvidence  = 64
	maxSightings = 64
	// maxSightingAge is the age at which a sighting is no longer worth sending.
	maxSightingAge = 2 * time.Second
)

// outbox holds the one update that waits for a peer. A newer update replaces
// the older one's state and is joined with its evidence and sightings, so that
// a slow link carries fewer messages rather than a backlog of old ones. It is
// not safe for concurrent use.
type outbox struct {
	waiting bool
	update  message.Update // without evidence and sightings
	// evidence and sightings are in order of their arrival, each with the time
	// at which its age was right.
	evidence  []held[message.Evidence]
	sightings []held[message.Sighting]
}

type held[T any] struct {
	value T
	at    time.Time
}

// put joins an update with what waits and returns how many claims and
// sightings were dropped for it, oldest first.
func (o *outbox) put(now time.Time, u message.Update) (dropped int) {
	o.waiting = true
	o.update = u
	o.update.Evidence, o.update.Sightings = nil, nil
	for _, e := range u.Evidence {
		o.evidence = replace(o.evidence, held[message.Evidence]{e, now}, sameClaim)
	}
	for _, s := range u.Sightings {
		o.sightings = replace(o.sightings, held[message.Sighting]{s, now}, sameEndpoint)
	}
	var lostClaims, lostSightings int
	o.evidence, lostClaims = bound(o.evidence, maxEvidence)
	o.sightings, lostSightings = bound(o.sightings, maxSightings)
	return lostClaims + lostSightings
}

func sameClaim(a, b message.Evidence) bool {
	return a.VM == b.VM && a.Incarnation == b.Incarnation && a.Kind == b.Kind
}

func sameEndpoint(a, b message.Sighting) bool { return a.Endpoint == b.Endpoint }

func replace[T any](list []held[T], item held[T], same func(a, b T) bool) []held[T] {
	list = slices.DeleteFunc(list, func(h held[T]) bool { return same(h.value, item.value) })
	return append(list, item)
}

func bound[T any](list []held[T], most int) (kept []held[T], dropped int) {
	if excess := len(list) - most; excess > 0 {
		return slices.Delete(list, 0, excess), excess
	}
	return list, 0
}

// urgent says that a claim waits, which must not wait for the byte budget.
func (o *outbox) urgent() bool { return len(o.evidence) > 0 }

// take empties the box into an update with at most the given number of
// sightings, youngest first, and returns how many it left out.
func (o *outbox) take(now time.Time, sightings int) (u message.Update, dropped int) {
	u = o.update
	for _, h := range o.evidence {
		h.value.AgeMillis = aged(h.value.AgeMillis, now.Sub(h.at))
		u.Evidence = append(u.Evidence, h.value)
	}
	for _, h := range o.sightings {
		h.value.AgeMillis = aged(h.value.AgeMillis, now.Sub(h.at))
		if h.value.AgeMillis <= uint16(maxSightingAge.Milliseconds()) {
			u.Sightings = append(u.Sightings, h.value)
		}
	}
	slices.SortStableFunc(u.Sightings, func(a, b message.Sighting) int { return cmp.Compare(a.AgeMillis, b.AgeMillis) })
	u.Sightings = u.Sightings[:min(len(u.Sightings), max(sightings, 0))]
	dropped = len(o.sightings) - len(u.Sightings)
	*o = outbox{}
	return u, dropped
}

// aged adds the time that a value waited to its age, up to the largest number.
func aged[T uint16 | uint32](millis T, waited time.Duration) T {
	most := uint64(math.MaxUint16)
	if uint64(^T(0)) > most {
		most = math.MaxUint32
	}
	return T(min(uint64(millis)+uint64(max(waited, 0).Milliseconds()), most))
}
