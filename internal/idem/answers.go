package idem

// The memory that an answer takes in addition to its text, in bytes: the Answer itself, and two
// string headers for each pair of a name and a value.
const (
	answerOverhead = 64
	headerOverhead = 32
)

// cost returns the memory of an answer in bytes.
func (a *Answer) cost() int64 {
	total := answerOverhead + len(a.Body)
	for _, pair := range a.Header {
		total += headerOverhead + len(pair[0]) + len(pair[1])
	}
	return int64(total)
}

// answerBytes returns the size of all kept answers, own and adopted.
func (t *Table) answerBytes() int64 {
	return t.answers + t.adopted.answers
}

// answerFits reports whether an answer of this cost is small enough to be kept.
func (t *Table) answerFits(cost int64) bool {
	return cost <= int64(t.cfg.MaxAnswerBytes)
}

// keepAnswer keeps the answer a of key k and returns it, or returns nil if there is no room.
func (t *Table) keepAnswer(rows *epochRows, k Key, a *Answer) *Answer {
	if a == nil {
		return nil
	}
	cost := a.cost()
	if !t.answerFits(cost) || !t.makeAnswerRoom(cost) {
		t.stats.AnswersDropped++
		return nil
	}
	t.answers += cost
	rows.kept = append(rows.kept, k.Random)
	return a
}

// makeAnswerRoom drops the oldest answers of the table's own keys until cost more bytes fit. It
// drops the oldest first because a caller that lost its answer retries soon or not at all.
func (t *Table) makeAnswerRoom(cost int64) bool {
	limit := t.cfg.MaxAnswerTotal - t.adopted.answers
	if cost > limit {
		return false
	}
	for _, rows := range t.epochs {
		for t.answers+cost > limit && rows.keptFrom < len(rows.kept) {
			t.dropOldestAnswer(rows)
		}
	}
	return true
}

func (t *Table) dropOldestAnswer(rows *epochRows) {
	random := rows.kept[rows.keptFrom]
	rows.keptFrom++
	r := rows.byRandom[random]
	t.answers -= r.answer.cost()
	t.stats.AnswersDropped++
	r.answer = nil
	rows.byRandom[random] = r
}

// dropAnswers subtracts the answers of a dropped epoch from the total.
func (t *Table) dropAnswers(rows *epochRows) {
	for _, random := range rows.kept[rows.keptFrom:] {
		t.answers -= rows.byRandom[random].answer.cost()
	}
}
