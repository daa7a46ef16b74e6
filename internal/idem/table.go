package idem

import "time"

// firstEpoch is the first epoch of a process. Zero means no epoch.
const firstEpoch = 1

// row is the state of one key in a table.
type row struct {
	caller uint64
	digest Digest
	answer *Answer
	result Result
}

// matches reports whether the row belongs to the same request. The digest covers the caller as
// well, so that a collision of caller hashes does no harm.
func (r *row) matches(caller uint64, d Digest) bool {
	return r.caller == caller && r.digest == d
}

// decision returns the decision on a request that matches the row.
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

// Table records the keys of one home, and the keys of homes that handed over their tables to it. It
// is not safe for concurrent use.
type Table struct {
	cfg     Config
	epoch   uint32
	sealed  bool
	epochs  []*epochRows // oldest first
	keys    int          // rows in epochs
	running int          // rows in epochs whose result is Running
	answers int64        // bytes of the kept answers in epochs
	adopted adoptedHomes
	stats   Stats
}

// Stats contains a table's sizes, and its counters since the start, for metrics.
type Stats struct {
	Epoch       uint32
	OldestEpoch uint32
	Keys        int
	Running     int
	AnswerBytes int64
	AdoptedKeys int
	// AdoptedHomes is the number of adopted homes.
	AdoptedHomes int
	// Begun counts the keys for which Begin returned Run.
	Begun uint64
	// Released counts the keys that ended without a run.
	Released uint64
	// RefusedFull counts the requests with new keys for which the table had no room.
	RefusedFull uint64
	// RefusedMismatch counts the requests whose key belongs to another request or caller.
	RefusedMismatch uint64
	// RefusedAfterNotRun counts the requests with a key that came again after the reply "not run".
	RefusedAfterNotRun uint64
	// AnswersDropped counts the answers that were not kept because they were too large or there
	// was no room, and those that were dropped to make room for newer ones.
	AnswersDropped uint64
	// LateResults counts the results for keys that were neither running nor unknown. A late result
	// after Release means that a request was sent although its caller was told that it was not
	// run, which is a fault of the driver.
	LateResults uint64
}

// NewTable returns an empty table at the start of its first epoch.
func NewTable(cfg Config) *Table {
	return &Table{cfg: cfg.withDefaults(), epoch: firstEpoch}
}

// Epoch returns the current epoch. It never goes back.
func (t *Table) Epoch() uint32 { return t.epoch }

// OldestEpoch returns the oldest epoch of which the table keeps all keys. A hand-over contains it
// together with the records of Export.
func (t *Table) OldestEpoch() uint32 {
	keep := uint32(t.cfg.KeepEpochs)
	if t.epoch < firstEpoch+keep {
		return firstEpoch
	}
	return t.epoch - keep + 1
}

// Sealed reports whether the table is sealed and refuses new keys.
func (t *Table) Sealed() bool { return t.sealed }

// Running returns the number of running keys.
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

// Tick advances the epoch and drops the epochs that are no longer kept. now is the time since the
// process started. After a pause, many epochs may pass at once. A sealed table stays in its epoch,
// so that its records and its oldest epoch are consistent in a hand-over.
func (t *Table) Tick(now time.Duration) {
	t.dropExpiredHomes(now)
	if t.sealed {
		return
	}
	epoch := firstEpoch + uint32(max(now, 0)/t.cfg.EpochLength)
	if epoch <= t.epoch {
		return
	}
	t.epoch = epoch
	t.dropEpochs()
}

// Begin decides on a request with key k. caller is a hash of the caller's identity, and d is the
// digest that binds the request to the key. The decision is Run at most once per key during the
// lifetime of the table.
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

// beginKnown decides on a request whose key has a row. It compares the caller and the digest first,
// so that no caller learns the state of another caller's request.
func (t *Table) beginKnown(r *row, k Key, caller uint64, d Digest) Decision {
	if !r.matches(caller, d) {
		t.stats.RefusedMismatch++
		return Decision{Kind: Mismatch, Home: k.Home}
	}
	return r.decision(k.Home)
}

// beginNew decides on a request whose key has no row. rows is nil if the key's epoch has no rows.
func (t *Table) beginNew(rows *epochRows, k Key, caller uint64, d Digest) Decision {
	switch {
	case rows != nil && rows.spent.has(k.Random):
		t.stats.RefusedAfterNotRun++
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

// MayDispatch reports whether k is running, so that its request may be sent to an endpoint. The
// driver calls it right before sending, because the process may have been suspended since its
// decision: by then the key may have been released and its caller told "not run". A key runs only
// once, so true cannot mean a later run of the same key.
func (t *Table) MayDispatch(k Key) bool {
	r, _, ok := t.findOwn(k)
	return ok && r.result == Running
}

// Release ends a running key whose request was not sent or is proven not to have run. The key is
// then spent and never runs, so that the reply "not run" stays true if an earlier try of the same
// request arrives late through another entry. Requests that joined the key get Spent from their
// next Begin. Release does nothing if the key is not running.
func (t *Table) Release(k Key) {
	r, rows, ok := t.findOwn(k)
	if !ok || r.result != Running {
		return
	}
	delete(rows.byRandom, k.Random)
	rows.spent.add(k.Random)
	t.keys--
	t.stats.Released++
	t.countEnded(rows)
}

// Finish records the result of a running key, Done or Unknown. a may be nil and must not be changed
// afterwards. A result of Unknown becomes Done if the answer arrives later; no other result
// changes.
func (t *Table) Finish(k Key, result Result, a *Answer) {
	r, rows, ok := t.findOwn(k)
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

// countEnded updates the counts of running keys after a key of rows has ended.
func (t *Table) countEnded(rows *epochRows) {
	rows.running--
	t.running--
}

// findOwn returns a copy of the row of one of the table's own keys, and the rows of its epoch.
func (t *Table) findOwn(k Key) (row, *epochRows, bool) {
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
