package idem

import "slices"

// epochRows contains the keys of one epoch, which are dropped together.
type epochRows struct {
	epoch    uint32
	byRandom map[[randomBytes]byte]row
	running  int
	// kept lists the keys whose answers were kept, oldest first. The answers of the keys before
	// index keptFrom have been dropped since.
	kept     [][randomBytes]byte
	keptFrom int
	// spent contains the keys that have no row but must never run.
	spent filter
}

// rowsOf returns the rows of an epoch, or nil. A search from the end is cheap, because there are
// few epochs and most keys belong to the newest ones.
func (t *Table) rowsOf(epoch uint32) *epochRows {
	for i := len(t.epochs) - 1; i >= 0; i-- {
		if t.epochs[i].epoch == epoch {
			return t.epochs[i]
		}
	}
	return nil
}

// addEpoch adds an epoch and keeps the epochs in order.
func (t *Table) addEpoch(epoch uint32) *epochRows {
	rows := &epochRows{epoch: epoch, byRandom: make(map[[randomBytes]byte]row)}
	at := len(t.epochs)
	for at > 0 && t.epochs[at-1].epoch > epoch {
		at--
	}
	t.epochs = slices.Insert(t.epochs, at, rows)
	return rows
}

// dropEpochs drops the epochs before the oldest kept one. An epoch with a running key is kept until
// that key has ended, because its result must still be recorded and returned to requests that
// joined it. Its keys still count towards MaxKeys.
func (t *Table) dropEpochs() {
	oldest := t.OldestEpoch()
	t.epochs = slices.DeleteFunc(t.epochs, func(rows *epochRows) bool {
		if rows.epoch >= oldest || rows.running > 0 {
			return false
		}
		t.keys -= len(rows.byRandom)
		t.dropAnswers(rows)
		return true
	})
}
