package idem

import (
	"math"
	"slices"
	"time"
)

// maxAdoptedHomes bounds the homes that a table answers for, also when their
// tables are empty.
const maxAdoptedHomes = 256

// adoptedAnswerDivisor is the part of the bytes for answers, one in this many,
// that adopted answers may take, so that the table's own find room.
const adoptedAnswerDivisor = 2

// UnknownTotal stands for a hand-over whose number of records isn't known. It
// is never reached, so that missing keys are told "unknown".
const UnknownTotal = math.MaxInt

// adoptedKey names a key of an adopted home.
type adoptedKey struct {
	epoch  uint32
	random [randomBytes]byte
}

// adoptedHome holds the keys of a home that was sealed.
type adoptedHome struct {
	home uint64
	// oldestEpoch: of earlier epochs nothing is known.
	oldestEpoch uint32
	// total is how many keys the home handed over, or UnknownTotal.
	total   int
	rows    map[adoptedKey]row
	answers int64
	until   time.Duration
}

// complete reports whether every key that the home ever began, from oldest on,
// has a row. The rows are counted, not the parts: a part that is lost, comes
// twice, comes late or belongs to an earlier export of the same home then
// can't make a hand-over look complete. This holds because a sealed home's
// later exports hold no key that an earlier one lacked, and total is the
// largest seen.
func (h *adoptedHome) complete() bool {
	return len(h.rows) >= h.total
}

// adoptedHomes holds the homes in order of their adoption.
type adoptedHomes struct {
	order   []*adoptedHome
	keys    int
	answers int64 // bytes of kept answers
}

func (a *adoptedHomes) find(home uint64) *adoptedHome {
	for _, h := range a.order {
		if h.home == home {
			return h
		}
	}
	return nil
}

// Adopt takes over the keys of a home that was sealed. oldest is the home's
// oldest kept epoch (Oldest). complete says that records is the whole result
// of its Export: missing keys are then told "not run", else "unknown". A
// hand-over that comes in parts goes through AdoptPart.
func (t *Table) Adopt(now time.Duration, home uint64, oldestEpoch uint32, records []Record, complete bool) {
	if !complete {
		t.AdoptPart(now, home, oldestEpoch, UnknownTotal, records)
		return
	}
	if h := t.adopted.find(home); h != nil {
		// What came before may be of an unknown total, which can't be counted.
		t.forgetHome(h)
	}
	t.AdoptPart(now, home, oldestEpoch, len(records), records)
}

// AdoptPart takes over some of the keys of a home that was sealed. total is
// the number of records of the export that they are from. Parts may come in
// any order and more than once; once total different keys are held, missing
// keys are told "not run".
//
// The keys are answered for as long as the table keeps its own. When there is
// no room the homes adopted first are forgotten, and of a table that alone is
// too large only a part is kept, which leaves it incomplete.
func (t *Table) AdoptPart(now time.Duration, home uint64, oldestEpoch uint32, total int, records []Record) {
	t.forgetAdopted(now)
	if home == t.cfg.Self {
		return
	}
	h := t.adopted.find(home)
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
		t.forgetHome(t.adopted.order[0])
	}
	h := &adoptedHome{
		home:  home,
		rows:  make(map[adoptedKey]row),
		until: now + t.keepTime(),
	}
	t.adopted.order = append(t.adopted.order, h)
	return h
}

// keepTime returns the longest time for which a key is kept.
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

// makeAdoptedKeyRoom forgets the homes adopted first until one more key of h fits.
func (t *Table) makeAdoptedKeyRoom(h *adoptedHome) bool {
	for t.adopted.keys >= t.cfg.MaxAdopted {
		first := t.adopted.order[0]
		if first == h {
			return false
		}
		t.forgetHome(first)
	}
	return true
}

// keepAdoptedAnswer returns a if there is room for it. It takes no room from the
// table's own answers, which are asked for more often.
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

// beginAdopted answers for a key of another home. Such a key is never run.
func (t *Table) beginAdopted(k Key, caller uint64, d Digest) Decision {
	h := t.adopted.find(k.Home)
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

// Adoption is what a table holds of a home that handed over to it.
type Adoption struct {
	Home        uint64
	OldestEpoch uint32
	// Total is how many records the home handed over, for AdoptPart. It may
	// be more than are left of them.
	Total   int
	Records []Record
}

// ExportAdopted returns what the table adopted, for the next successor, in
// order of adoption. Without it a rolling restart would lose the keys of the
// entries that stopped first when their successors stop in turn.
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

// forgetAdopted forgets the homes whose time has come.
func (t *Table) forgetAdopted(now time.Duration) {
	for len(t.adopted.order) > 0 && t.adopted.order[0].until <= now {
		t.forgetHome(t.adopted.order[0])
	}
}

func (t *Table) forgetHome(h *adoptedHome) {
	t.adopted.keys -= len(h.rows)
	t.adopted.answers -= h.answers
	t.adopted.order = slices.DeleteFunc(t.adopted.order, func(o *adoptedHome) bool { return o == h })
}
