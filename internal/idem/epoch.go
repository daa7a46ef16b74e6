package idem

import "slices"

// epochRows holds the keys of one epoch. They are forgotten together.
type epochRows struct {
	epoch    uint32
	byRandom map[[randomBytes]byte]row
	running  int
	// kept lists the keys whose answers are kept, oldest first from keptFrom.
	kept     [][randomBytes]byte
	keptFrom int
	// spent holds the keys that must never run although they have no row.
	spent filter
}

// rowsOf returns the rows of an epoch, or nil. Most keys are of the newest
// epochs, and there are few epochs, so a search from the end is cheap.
func (t *Table) rowsOf(epoch uint32) *epochRows {
	for i := len(t.epochs) - 1; i >= 0; i-- {
		if t.epochs[i].epoch == epoch {
			return t.epochs[i]
		}
	}
	return nil
}

// addEpoch makes the rows of an epoch, in order of epochs.
func (t *Table) addEpoch(epoch uint32) *epochRows {
	rows := &epochRows{epoch: epoch, byRandom: make(map[[randomBytes]byte]row)}
	at := len(t.epochs)
	for at > 0 && t.epochs[at-1].epoch > epoch {
		at--
	}
	t.epochs = slices.Insert(t.epochs, at, rows)
	return rows
}

// forgetEpochs drops the epochs before the oldest kept one. An epoch with a
// running key stays until that key has ended: its result still has to be
// recorded, and a request that joined it has to learn the result. The bound on
// all keys holds for it too.
func (t *Table) forgetEpochs() {
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
