package idem

import "time"

// firstEpoch is the epoch in which a process starts. Zero means "no epoch".
const firstEpoch = 1

// row is what a table holds of one key.
type row struct {
	caller uint64
	digest Digest
	answer *Answer
	result Result
}

// matches reports whether the row belongs to the same request. The digest
// covers the caller as well; comparing both keeps a weak caller hash harmless.
func (r *row) matches(caller uint64, d Digest) bool {
	return r.caller == caller && r.digest == d
}

// decision returns what is told to the row's own caller.
func (r *row) decision(home uint64) Decision {
	switch {
	case r.result == Running:
		return Decision{Kind: Join, Home: home}
	case r.result == Done && r.answer != nil:
		return Decision{Kind: Replay, Home: home, Answer: r.answer}
	case r.result == Done:
		return Decision{Kind: DoneNoAnswer, Home: home}
	default:
		return Decision{Kind: OutcomeUnknown, Home: home}
	}
}

// Table holds the keys of one home, and the keys of homes that handed over
// their tables to it. It is not safe for concurrent use.
type Table struct {
	cfg     Config
	epoch   uint32
	sealed  bool
	epochs  []*epochRows // oldest first
	keys    int          // rows in epochs
	running int
	answers int64 // bytes of the kept answers in epochs
	adopted adoptedHomes
	stats   Stats
}

// Stats describes a table for metrics. The counters only grow.
type Stats struct {
	Epoch       uint32
	OldestEpoch uint32
	Keys        int
	Running     int
	AnswerBytes int64
	AdoptedKeys int
	// AdoptedHomes counts the homes whose keys this table answers for.
	AdoptedHomes int
	// Begun counts the keys that were given Run.
	Begun uint64
	// Released counts the keys that ended without a run.
	Released uint64
	// RefusedFull counts new keys that found no room.
	RefusedFull uint64
	// RefusedMismatch counts keys that came with another request or caller.
	RefusedMismatch uint64
	// RefusedSpent counts keys that came again after "not run".
	RefusedSpent uint64
	// AnswersDropped counts answers that were too large or made room for newer ones.
	AnswersDropped uint64
	// LateResults counts results for keys that were neither running nor
	// unknown. After Release it means that a request was sent although its
	// caller was told that it was not run: a fault of the driver.
	LateResults uint64
}

// NewTable returns an empty table at the start of its first epoch.
func NewTable(cfg Config) *Table {
	return &Table{cfg: cfg.withDefaults(), epoch: firstEpoch}
}

// Epoch returns the current epoch. It never goes back.
func (t *Table) Epoch() uint32 { return t.epoch }

// OldestEpoch returns the oldest epoch of which nothing was forgotten. It goes
// with the records of Export into a hand-over.
func (t *Table) OldestEpoch() uint32 {
	keep := uint32(t.cfg.KeepEpochs)
	if t.epoch < firstEpoch+keep {
		return firstEpoch
	}
	return t.epoch - keep + 1
}

// Sealed reports whether new keys are refused for good.
func (t *Table) Sealed() bool { return t.sealed }

// Running returns how many keys are running.
func (t *Table) Running() int { return t.running }

// Stats returns the table's sizes and counters.
func (t *Table) Stats() Stats {
	s := t.stats
	s.Epoch = t.epoch
	s.OldestEpoch = t.OldestEpoch()
	s.Keys = t.keys
	s.Running = t.running
	s.AnswerBytes = t.answerBytes()
	s.AdoptedKeys = t.adopted.keys
	s.AdoptedHomes = len(t.adopted.order)
	return s
}

// Tick advances the epoch and forgets whole epochs that are no longer kept.
// now is the time since the process started. After a pause many epochs may
// pass at once. A sealed table stands still, so that what it hands over and
// the oldest epoch that it names belong together.
func (t *Table) Tick(now time.Duration) {
	t.forgetAdopted(now)
	if t.sealed {
		return
	}
	epoch := firstEpoch + uint32(max(now, 0)/t.cfg.EpochLength)
	if epoch <= t.epoch {
		return
	}
	t.epoch = epoch
	t.forgetEpochs()
}

// Begin decides what becomes of a request that brings key k. caller is a hash
// of the caller's identity and d binds the request. The verdict is Run at most
// once per key in the table's life.
func (t *Table) Begin(now time.Duration, k Key, caller uint64, d Digest) Decision {
	t.Tick(now)
	if k.Home != t.cfg.Self {
		return t.beginAdopted(k, caller, d)
	}
	rows := t.rowsOf(k.Epoch)
	if rows != nil {
		if r, ok := rows.byRandom[k.Random]; ok {
			return t.beginKnown(&r, k, caller, d)
		}
	}
	return t.beginNew(rows, k, caller, d)
}

// beginKnown answers for a key that has a row. The caller is compared before
// anything else, so that nobody learns the state of another caller's request.
func (t *Table) beginKnown(r *row, k Key, caller uint64, d Digest) Decision {
	if !r.matches(caller, d) {
		t.stats.RefusedMismatch++
		return Decision{Kind: Mismatch, Home: k.Home}
	}
	return r.decision(k.Home)
}

// beginNew answers for a key without a row; rows is nil if its epoch has none.
func (t *Table) beginNew(rows *epochRows, k Key, caller uint64, d Digest) Decision {
	switch {
	case rows != nil && rows.spent.has(k.Random):
		t.stats.RefusedSpent++
		return Decision{Kind: Spent, Home: k.Home}
	case k.Epoch < t.OldestEpoch():
		return Decision{Kind: Expired, Home: k.Home}
	case t.sealed:
		return Decision{Kind: Sealed, Home: k.Home}
	case k.Epoch > t.epoch:
		return Decision{Kind: FromFuture, Home: k.Home}
	}
	if rows == nil {
		rows = t.addEpoch(k.Epoch)
	}
	if t.keys >= t.cfg.MaxKeys {
		rows.spent.add(k.Random)
		t.stats.RefusedFull++
		return Decision{Kind: Full, Home: k.Home}
	}
	rows.byRandom[k.Random] = row{caller: caller, digest: d, result: Running}
	rows.running++
	t.keys++
	t.running++
	t.stats.Begun++
	return Decision{Kind: Run, Home: k.Home}
}

// MayDispatch reports whether k is running, and so may be sent to an endpoint.
// It guards against a process that slept between its decision and the sending:
// by then the key may have been released and its caller told "not run". A key
// runs only once, so true can't mean a later run of the same key.
func (t *Table) MayDispatch(k Key) bool {
	r, _, ok := t.find(k)
	return ok && r.result == Running
}

// Release ends a running key whose request was not sent, or provably did not
// run. The key is spent: it never runs, so that "not run" stays true when an
// earlier try of the same request arrives late through another entry. Requests
// that joined the key get Spent from their next Begin. Release of a key that
// is not running does nothing.
func (t *Table) Release(k Key) {
	r, rows, ok := t.find(k)
	if !ok || r.result != Running {
		return
	}
	delete(rows.byRandom, k.Random)
	rows.spent.add(k.Random)
	t.keys--
	t.stats.Released++
	t.countEnded(rows)
}

// Finish records the result of a running key, Done or Unknown. a may be nil;
// it must not be changed afterwards. Unknown may become Done when the answer
// comes after all; nothing else changes a result.
func (t *Table) Finish(k Key, result Result, a *Answer) {
	r, rows, ok := t.find(k)
	if !ok || r.result == Done {
		t.stats.LateResults++
		return
	}
	if result != Done {
		result, a = Unknown, nil
	}
	wasRunning := r.result == Running
	r.result = result
	r.answer = t.keepAnswer(rows, k, a)
	rows.byRandom[k.Random] = r
	if wasRunning {
		t.countEnded(rows)
	}
}

// countEnded counts a key of rows that is no longer running.
func (t *Table) countEnded(rows *epochRows) {
	rows.running--
	t.running--
}

// find returns a copy of the row of one of the table's own keys.
func (t *Table) find(k Key) (row, *epochRows, bool) {
	if k.Home != t.cfg.Self {
		return row{}, nil, false
	}
	rows := t.rowsOf(k.Epoch)
	if rows == nil {
		return row{}, nil, false
	}
	r, ok := rows.byRandom[k.Random]
	return r, rows, ok
}
