package idem

import (
	"bytes"
	"cmp"
	"slices"
	"time"
)

// Seal refuses new keys for good, for a planned stop. Keys that run go on.
func (t *Table) Seal(now time.Duration) {
	t.Tick(now)
	t.sealed = true
}

// Export returns the table's own keys for a successor, in a stable order. It
// seals the table if that was not done: a successor says "not run" of every
// key that is missing, which holds only if no key is begun after the export.
// Running keys are exported as Unknown. A later export may hold Done for them.
func (t *Table) Export() []Record {
	t.sealed = true
	records := make([]Record, 0, t.keys)
	for _, rows := range t.epochs {
		for random, r := range rows.byRandom {
			k := Key{Home: t.cfg.Self, Epoch: rows.epoch, Random: random}
			records = append(records, r.record(k))
		}
	}
	sortRecords(records)
	return records
}

// record returns the row as it is handed over.
func (r *row) record(k Key) Record {
	result := r.result
	if result != Done {
		result = Unknown
	}
	return Record{Key: k, Caller: r.caller, Digest: r.digest, Result: result, Answer: r.answer}
}

func sortRecords(records []Record) {
	slices.SortFunc(records, func(a, b Record) int {
		return cmp.Or(
			cmp.Compare(a.Key.Home, b.Key.Home),
			cmp.Compare(a.Key.Epoch, b.Key.Epoch),
			bytes.Compare(a.Key.Random[:], b.Key.Random[:]),
		)
	})
}
