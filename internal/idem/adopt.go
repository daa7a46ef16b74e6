package idem

import (
	"math"
	"slices"
	"time"
)

// maxAdoptedHomes is the maximum number of adopted homes. Unlike Config.MaxAdopted, which counts
// keys, it also bounds homes with empty tables.
const maxAdoptedHomes = 256

// adoptedAnswerDivisor divides MaxAnswerTotal; the quotient is the maximum size of all adopted
// answers, so that room is left for the table's own answers.
const adoptedAnswerDivisor = 2

// UnknownTotal is the total of a hand-over whose number of records is unknown. It is never reached,
// so that the reply for missing keys is "unknown".
const UnknownTotal = math.MaxInt

// adoptedKey identifies a key of an adopted home.
type adoptedKey struct {
	epoch  uint32
	random [randomBytes]byte
}

// adoptedHome contains the keys of a sealed home.
type adoptedHome struct {
	home uint64
	// oldestEpoch is the oldest epoch of which the home kept all keys.
	oldestEpoch uint32
	// total is the number of keys that the home handed over, or UnknownTotal.
	total   int
	rows    map[adoptedKey]row
	answers int64         // bytes of kept answers
	until   time.Duration // when the home expires
}

// complete reports whether every key that the home ever began, from oldestEpoch on, has a row. It
// counts rows and not parts, so that a part that is lost, late, duplicated or from an earlier
// export of the same home cannot make a hand-over look complete. This is correct because later
// exports of a sealed home contain no additional keys, and total is the largest total received.
func (h *adoptedHome) complete() bool {
	return len(h.rows) >= h.total
}

// adoptedHomes contains the adopted homes in order of adoption.
type adoptedHomes struct {
	order   []*adoptedHome
	keys    int
	answers int64 // bytes of kept answers
}

func (a *adoptedHomes) findHome(home uint64) *adoptedHome {
	for _, h := range a.order {
		if h.home == home {
			return h
		}
	}
	return nil
}

// Adopt takes over the keys of a sealed home. oldestEpoch is the home's OldestEpoch. complete
// states that records is the complete result of its Export: the reply for missing keys is then "not
// run", otherwise "unknown". A hand-over in parts uses AdoptPart.
func (t *Table) Adopt(now time.Duration, home uint64, oldestEpoch uint32, records []Record, complete bool) {
	if !complete {
		t.AdoptPart(now, home, oldestEpoch, UnknownTotal, records)
		return
	}
	if h := t.adopted.findHome(home); h != nil {
		// An earlier hand-over may have had UnknownTotal, which AdoptPart would keep.
		t.dropHome(h)
	}
	t.AdoptPart(now, home, oldestEpoch, len(records), records)
}

// AdoptPart takes over some of the keys of a sealed home. total is the number of records of the
// export to which they belong. Parts may come in any order and more than once. As soon as total
// different keys are recorded, the reply for missing keys is "not run".
//
// Adopted keys are kept as long as the table's own. If there is no room, the homes adopted first
// are dropped. If a single hand-over is too large, only a part of it is kept and it stays
// incomplete.
func (t *Table) AdoptPart(now time.Duration, home uint64, oldestEpoch uint32, total int, records []Record) {
	t.dropExpiredHomes(now)
	if home == t.cfg.Self {
		return
	}
	h := t.adopted.findHome(home)
	if h == nil {
		h = t.addHome(now, home)
	}
	h.oldestEpoch = max(h.oldestEpoch, oldestEpoch)
	h.total = max(h.total, total)
	for i := range records {
		t.adoptRecord(h, &records[i])
	}
}

func (t *Table) addHome(now time.Duration, home uint64) *adoptedHome {
	if len(t.adopted.order) >= maxAdoptedHomes {
		t.dropHome(t.adopted.order[0])
	}
	h := &adoptedHome{
		home:  home,
		rows:  make(map[adoptedKey]row),
		until: now + t.keepTime(),
	}
	t.adopted.order = append(t.adopted.order, h)
	return h
}

// keepTime returns the maximum time for which a key is kept.
func (t *Table) keepTime() time.Duration {
	return time.Duration(t.cfg.KeepEpochs) * t.cfg.EpochLength
}

func (t *Table) adoptRecord(h *adoptedHome, rec *Record) {
	if rec.Key.Home != h.home {
		return
	}
	k := adoptedKey{epoch: rec.Key.Epoch, random: rec.Key.Random}
	old, known := h.rows[k]
	if known && (old.result == Done || !old.matches(rec.Caller, rec.Digest)) {
		return
	}
	if !known && !t.makeAdoptedKeyRoom(h) {
		return
	}
	r := row{caller: rec.Caller, digest: rec.Digest, result: Unknown}
	if rec.Result == Done {
		r.result = Done
		r.answer = t.keepAdoptedAnswer(h, rec.Answer)
	}
	if !known {
		t.adopted.keys++
	}
	h.rows[k] = r
}

// makeAdoptedKeyRoom drops the homes adopted first until one more key of h fits, and reports
// whether it does.
func (t *Table) makeAdoptedKeyRoom(h *adoptedHome) bool {
	for t.adopted.keys >= t.cfg.MaxAdopted {
		first := t.adopted.order[0]
		if first == h {
			return false
		}
		t.dropHome(first)
	}
	return true
}

// keepAdoptedAnswer keeps the answer a and returns it, or returns nil if there is no room. It drops
// none of the table's own answers, which are requested more often.
func (t *Table) keepAdoptedAnswer(h *adoptedHome, a *Answer) *Answer {
	if a == nil {
		return nil
	}
	cost := a.cost()
	room := t.cfg.MaxAnswerTotal/adoptedAnswerDivisor - t.adopted.answers
	if cost > room || !t.answerFits(cost) || t.answerBytes()+cost > t.cfg.MaxAnswerTotal {
		t.stats.AnswersDropped++
		return nil
	}
	t.adopted.answers += cost
	h.answers += cost
	return a
}

// beginAdopted decides on a request with a key of another home, which is never run.
func (t *Table) beginAdopted(k Key, caller uint64, d Digest) Decision {
	h := t.adopted.findHome(k.Home)
	if h == nil {
		return Decision{Kind: NotHome, Home: k.Home}
	}
	if r, ok := h.rows[adoptedKey{epoch: k.Epoch, random: k.Random}]; ok {
		return t.beginKnown(&r, k, caller, d)
	}
	switch {
	case k.Epoch < h.oldestEpoch:
		return Decision{Kind: Expired, Home: k.Home}
	case h.complete():
		return Decision{Kind: SealedNotRun, Home: k.Home}
	default:
		return Decision{Kind: OutcomeUnknown, Home: k.Home}
	}
}

// Adoption contains the keys of an adopted home, for a hand-over to the next successor.
type Adoption struct {
	Home        uint64
	OldestEpoch uint32
	// Total is the number of records that the home handed over, for AdoptPart. It may be larger
	// than the number of Records.
	Total   int
	Records []Record
}

// ExportAdopted returns the adopted homes for the next successor, in order of adoption. Without it,
// a rolling restart would lose the keys of the entries that stopped first when their successors
// stop.
func (t *Table) ExportAdopted() []Adoption {
	adoptions := make([]Adoption, 0, len(t.adopted.order))
	for _, h := range t.adopted.order {
		adoptions = append(adoptions, h.export())
	}
	return adoptions
}

func (h *adoptedHome) export() Adoption {
	a := Adoption{Home: h.home, OldestEpoch: h.oldestEpoch, Total: h.total}
	a.Records = make([]Record, 0, len(h.rows))
	for k, r := range h.rows {
		a.Records = append(a.Records, r.record(Key{Home: h.home, Epoch: k.epoch, Random: k.random}))
	}
	sortRecords(a.Records)
	return a
}

// dropExpiredHomes drops the adopted homes that have expired.
func (t *Table) dropExpiredHomes(now time.Duration) {
	for len(t.adopted.order) > 0 && t.adopted.order[0].until <= now {
		t.dropHome(t.adopted.order[0])
	}
}

func (t *Table) dropHome(h *adoptedHome) {
	t.adopted.keys -= len(h.rows)
	t.adopted.answers -= h.answers
	t.adopted.order = slices.DeleteFunc(t.adopted.order, func(o *adoptedHome) bool { return o == h })
}
