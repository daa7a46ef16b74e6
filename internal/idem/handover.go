package idem

import (
	"bytes"
	"cmp"
	"slices"
	"time"
)

// Seal makes the table refuse new keys from now on, for a planned stop. Running keys continue.
func (t *Table) Seal(now time.Duration) {
	t.Tick(now)
	t.sealed = true
}

// Export returns the table's own keys for a successor, in a stable order. It seals the table,
// because a successor replies "not run" for every missing key, which is true only if no key begins
// after the export. Running keys are exported as Unknown. A later export may contain them as Done.
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

// record returns the row as a record for a hand-over.
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
