package transfer

import (
	"context"
	"sync"
	"time"
)

// Config configures the Link of one entry.
type Config struct {
	// Rate is what answers may send to callers in bytes per second; 0 means no bound.
	Rate float64
	// HeldBytes bounds the bytes held for callers that read slowly, HeldPerAnswer those of one answer.
	// With 0, an answer is read from its endpoint only as fast as its caller reads it.
	HeldBytes, HeldPerAnswer int64
	// Clock returns the time since the process started.
	Clock func() time.Duration
}

// Link schedules the answers that pass through an entry's network link. It is safe for concurrent
// use; a nil Link schedules nothing.
type Link struct {
	cfg Config

	mu      sync.Mutex
	turns   *Turns // nil without a rate
	buffers Buffers
	nextID  uint64
	// granted has a channel for each waiting answer, which is closed when its turn comes.
	granted map[uint64]chan struct{}
	timer   *time.Timer
	// left is the sum of the bytes that the large answers under way still have to send.
	left  int64
	stats Stats
}

// Stats describes what passes through a Link.
type Stats struct {
	// Active counts the large answers under way, Waiting those of them that wait for their turn.
	Active, Waiting int
	// Left is the sum of the bytes that they still have to send, Held the bytes held for slow callers.
	Left, Held int64
	// Backlog is how long the link takes to send Left.
	Backlog time.Duration
	// Transfers counts the large answers, Bytes their bytes, and TurnWait sums the time for which they
	// waited for their turns. HoldDenied counts how often an answer reached a bound on held bytes.
	Transfers, Bytes, HoldDenied uint64
	TurnWait                     time.Duration
}

// NewLink returns a Link, or nil if cfg bounds nothing.
func NewLink(cfg Config) *Link {
	if cfg.Rate <= 0 && cfg.HeldBytes <= 0 {
		return nil
	}
	l := &Link{cfg: cfg, granted: make(map[uint64]chan struct{}), buffers: Buffers{Limit: cfg.HeldBytes, PerAnswer: cfg.HeldPerAnswer}}
	if cfg.Rate > 0 {
		l.turns = NewTurns(cfg.Rate)
	}
	return l
}

// Charge records n bytes of an answer that does not wait for a turn.
func (l *Link) Charge(n int64) {
	if l == nil || l.turns == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.turns.Charge(l.cfg.Clock(), n)
}

// Backlog returns how long the link takes for the large answers under way; 0 without a rate.
func (l *Link) Backlog() time.Duration {
	if l == nil {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.backlog()
}

func (l *Link) backlog() time.Duration {
	if l.turns == nil {
		return 0
	}
	return time.Duration(float64(l.left) / l.cfg.Rate * float64(time.Second))
}

// Stats returns the current figures.
func (l *Link) Stats() Stats {
	if l == nil {
		return Stats{}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stats
	s.Waiting, s.Left, s.Held, s.Backlog = len(l.granted), l.left, l.buffers.Used(), l.backlog()
	return s
}

// Begin registers a large answer of the given size, negative if unknown. The caller of Begin must call
// End.
func (l *Link) Begin(size int64) *Transfer {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.nextID++
	t := &Transfer{link: l, id: l.nextID, left: max(size, 0)}
	l.left += t.left
	l.stats.Active++
	l.stats.Transfers++
	return t
}

// grant lets the waiting answer proceed whose turn it is, and sets the timer for the next turn. A turn
// is charged when its bytes are written, so one is granted at a time. The lock must be held.
func (l *Link) grant() {
	id, ok, wait := l.turns.Next(l.cfg.Clock())
	if ok {
		close(l.granted[id])
		delete(l.granted, id)
		wait = turnGap
	}
	if wait > 0 && len(l.granted) > 0 {
		l.wakeAfter(wait)
	}
}

// turnGap is the time after a granted turn until the next one is considered if the answer that got
// it has not written its part by then, because its caller does not read.
const turnGap = 2 * time.Millisecond

func (l *Link) wakeAfter(wait time.Duration) {
	if l.timer == nil {
		l.timer = time.AfterFunc(wait, func() {
			l.mu.Lock()
			defer l.mu.Unlock()
			l.grant()
		})
		return
	}
	l.timer.Reset(wait)
}

// Transfer is one large answer on its way to its caller. Its methods are safe for concurrent use.
type Transfer struct {
	link *Link
	id   uint64
	// left is how much is still to be sent as far as known, held what is held for the caller; both
	// are guarded by the lock of the link.
	left, held int64
}

// Turn waits until the answer may send its next part.
func (t *Transfer) Turn(ctx context.Context) error {
	l := t.link
	if l.turns == nil {
		return nil
	}
	l.mu.Lock()
	began := l.cfg.Clock()
	granted := make(chan struct{})
	l.granted[t.id] = granted
	l.turns.Wait(began, t.id, t.left)
	l.grant()
	l.mu.Unlock()
	select {
	case <-granted:
	case <-ctx.Done():
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stats.TurnWait += l.cfg.Clock() - began
	if l.granted[t.id] == granted {
		delete(l.granted, t.id)
		l.turns.Leave(t.id)
	}
	return ctx.Err()
}

// Wrote records that n bytes were sent.
func (t *Transfer) Wrote(n int64) {
	l := t.link
	l.mu.Lock()
	defer l.mu.Unlock()
	sent := min(n, t.left)
	t.left -= sent
	l.left -= sent
	l.stats.Bytes += uint64(n)
	if l.turns != nil {
		l.turns.Charge(l.cfg.Clock(), n)
		l.grant()
	}
}

// Hold reports whether n more bytes may be held for the caller.
func (t *Transfer) Hold(n int64) bool {
	l := t.link
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.buffers.Take(t.held, n) {
		l.stats.HoldDenied++
		return false
	}
	t.held += n
	return true
}

// Release gives back what Hold has taken for n bytes.
func (t *Transfer) Release(n int64) {
	l := t.link
	l.mu.Lock()
	defer l.mu.Unlock()
	t.held -= n
	l.buffers.Return(n)
}

// End ends the transfer.
func (t *Transfer) End() {
	l := t.link
	l.mu.Lock()
	defer l.mu.Unlock()
	l.left -= t.left
	l.buffers.Return(t.held)
	t.left, t.held = 0, 0
	l.stats.Active--
}
