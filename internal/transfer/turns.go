package transfer

import "time"

const (
	// burst is how many bytes large answers may send at once after the link was idle.
	burst = 64 << 10
	// maxDebt bounds for how long large answers wait after others have used the link, so that they
	// go on, slowly, while small answers alone fill it.
	maxDebt = 250 * time.Millisecond
	// maxTurnWait is how long an answer waits for its turn before it goes ahead of shorter ones. An
	// endpoint gives up an answer that stays unread for seconds.
	maxTurnWait = 500 * time.Millisecond
)

// Turns decides which large answer may send its next part through the entry's link. Small answers
// never wait: their bytes are charged, and large ones make room for them, so that the queue of the
// link stays short. Among large answers the one with the fewest bytes left goes first, which keeps the
// mean time of all of them low.
type Turns struct {
	// rate is what answers may send, in bytes per second.
	rate float64
	// tokens is how many bytes may be sent at the time at; negative while others have used the link.
	tokens  float64
	at      time.Duration
	waiting []turn
}

// turn is an answer that waits to send its next part.
type turn struct {
	id    uint64
	left  int64
	since time.Duration
}

// NewTurns returns Turns for a link on which answers may use rate bytes per second.
func NewTurns(rate float64) *Turns { return &Turns{rate: rate, tokens: burst} }

// Charge records n bytes that were sent.
func (t *Turns) Charge(now time.Duration, n int64) {
	t.refill(now)
	t.tokens = max(t.tokens-float64(n), -t.rate*maxDebt.Seconds())
}

func (t *Turns) refill(now time.Duration) {
	if now > t.at {
		t.tokens = min(t.tokens+t.rate*(now-t.at).Seconds(), burst)
		t.at = now
	}
}

// Wait adds an answer with left bytes to those that wait to send their next part.
func (t *Turns) Wait(now time.Duration, id uint64, left int64) {
	t.waiting = append(t.waiting, turn{id: id, left: left, since: now})
}

// Leave removes an answer from those that wait.
func (t *Turns) Leave(id uint64) {
	for i := range t.waiting {
		if t.waiting[i].id == id {
			t.waiting = append(t.waiting[:i], t.waiting[i+1:]...)
			return
		}
	}
}

// Next removes and returns the answer that may send its next part now. If none may yet, it returns
// false and the time until one may, which is 0 if none waits.
func (t *Turns) Next(now time.Duration) (id uint64, ok bool, wait time.Duration) {
	if len(t.waiting) == 0 {
		return 0, false, 0
	}
	t.refill(now)
	if t.tokens <= 0 {
		return 0, false, max(time.Duration(-t.tokens/t.rate*float64(time.Second)), time.Millisecond)
	}
	best := 0
	for i := range t.waiting {
		if t.before(now, &t.waiting[i], &t.waiting[best]) {
			best = i
		}
	}
	id = t.waiting[best].id
	t.waiting = append(t.waiting[:best], t.waiting[best+1:]...)
	return id, true, 0
}

func (t *Turns) before(now time.Duration, a, b *turn) bool {
	aOverdue, bOverdue := now-a.since >= maxTurnWait, now-b.since >= maxTurnWait
	switch {
	case aOverdue && bOverdue:
		return a.since < b.since
	case aOverdue != bOverdue:
		return aOverdue
	}
	return a.left < b.left
}
