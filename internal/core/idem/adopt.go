package idem

import (
	"slices"
	"time"
)

// adoptedKey names a key of an adopted home.
type adoptedKey struct {
	epoch  uint32
	random [randomBytes]byte
}

// adoptedHome holds the keys of a home that stopped.
type adoptedHome struct {
	home uint64
	// oldest: of earlier epochs nothing is known.
	oldest uint32
	// complete: every key that the home ever began, from oldest on, has a row.
	complete bool
	rows     map[adoptedKey]row
	answers  int64
	until    time.Duration
}

// adoptedHomes holds the homes in order of their adoption.
type adoptedHomes struct {
	order []*adoptedHome
	keys  int
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
// oldest kept epoch. A hand-over may come in several calls; complete says that
// all its records were given, in this call and earlier ones. It must not be
// guessed: missing keys are then told "not run". Of an incomplete hand-over
// they are told "unknown".
//
// The keys are answered for as long as the table keeps its own. When there is
// no room the homes adopted first are forgotten, and of a table that alone is
// too large only a part is kept, which makes it incomplete.
func (t *Table) Adopt(now time.Duration, home uint64, oldest uint32, records []Record, complete bool) {
	t.forgetAdopted(now)
	if home == t.cfg.Self {
		return
	}
	h := t.adopted.find(home)
	if h == nil {
		h = &adoptedHome{home: home, rows: make(map[adoptedKey]row), until: now + t.keepTime()}
		t.adopted.order = append(t.adopted.order, h)
	}
	h.oldest = max(h.oldest, oldest)
	whole := true
	for i := range records {
		if !t.adoptRecord(h, &records[i]) {
			whole = false
		}
	}
	h.complete = h.complete || (complete && whole)
}

// keepTime returns how long a key is kept at least after its epoch has begun.
func (t *Table) keepTime() time.Duration {
	return time.Duration(t.cfg.KeepEpochs) * t.cfg.EpochLength
}

// adoptRecord adds one record and reports whether it is held.
func (t *Table) adoptRecord(h *adoptedHome, rec *Record) bool {
	if rec.Key.Home != h.home {
		return false
	}
	k := adoptedKey{epoch: rec.Key.Epoch, random: rec.Key.Random}
	old, known := h.rows[k]
	if known && (old.result == Done || !old.matches(rec.Caller, rec.Digest)) {
		return true
	}
	if !known && !t.makeAdoptedRoom(h) {
		return false
	}
	r := row{caller: rec.Caller, digest: rec.Digest, result: Unknown}
	if rec.Result == Done {
		r.result = Done
		r.answer = t.keepAdopted(h, rec.Answer)
	}
	if !known {
		t.adopted.keys++
	}
	h.rows[k] = r
	return true
}

// makeAdoptedRoom forgets the homes adopted first until one more key fits.
func (t *Table) makeAdoptedRoom(h *adoptedHome) bool {
	for t.adopted.keys >= t.cfg.MaxAdopted {
		first := t.adopted.order[0]
		if first == h {
			return false
		}
		t.forgetHome(first)
	}
	return true
}

// keepAdopted returns a if there is room for it. It takes no room from the
// table's own answers, which are asked for more often.
func (t *Table) keepAdopted(h *adoptedHome, a *Answer) *Answer {
	if a == nil {
		return nil
	}
	cost := a.cost()
	if !t.fits(cost) || t.answers+cost > t.cfg.MaxAnswerTotal {
		t.stats.AnswersDropped++
		return nil
	}
	t.answers += cost
	h.answers += cost
	return a
}

// beginAdopted answers for a key of another home. Such a key is never run.
func (t *Table) beginAdopted(k Key, caller uint64, d Digest) Verdict {
	h := t.adopted.find(k.Home)
	if h == nil {
		return Verdict{Kind: NotHome, Home: k.Home}
	}
	if r, ok := h.rows[adoptedKey{epoch: k.Epoch, random: k.Random}]; ok {
		return t.known(&r, k, caller, d)
	}
	switch {
	case k.Epoch < h.oldest:
		return Verdict{Kind: Expired, Home: k.Home}
	case h.complete:
		return Verdict{Kind: SealedNotRun, Home: k.Home}
	default:
		return Verdict{Kind: OutcomeUnknown, Home: k.Home}
	}
}

// forgetAdopted forgets the homes whose time has come.
func (t *Table) forgetAdopted(now time.Duration) {
	for len(t.adopted.order) > 0 && t.adopted.order[0].until <= now {
		t.forgetHome(t.adopted.order[0])
	}
}

func (t *Table) forgetHome(h *adoptedHome) {
	t.adopted.keys -= len(h.rows)
	t.answers -= h.answers
	t.adopted.order = slices.DeleteFunc(t.adopted.order, func(o *adoptedHome) bool { return o == h })
}
