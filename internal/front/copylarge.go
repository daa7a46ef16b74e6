package front

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// Flow paces one large answer and bounds what is held of it; transfer.Transfer implements it.
type Flow interface {
	// Turn waits until the next part may be sent to the caller.
	Turn(ctx context.Context) error
	// Wrote records that n bytes were sent.
	Wrote(n int64)
	// Hold reports whether n more bytes may be held for the caller, and Release gives them back.
	Hold(n int64) bool
	Release(n int64)
}

const (
	// freeBytes is how much of an answer may be on its way through the entry whatever the bounds on
	// held bytes: one part is written while the next one is read.
	freeBytes = 2 * copySize
	// slowAfter is how long a write to the caller must take before the caller counts as slow, and the
	// entry reads on and holds what it reads. A caller that reads at the pace of its network needs
	// nothing held.
	slowAfter = 200 * time.Millisecond
	// slowPiece is how much is read and written at a time for a slow caller once the bounds on held
	// bytes are reached: its endpoint then sees that the answer is read as long as the caller reads.
	slowPiece = 4 << 10
	// shrinkAfter is how much a caller must take before a piece of what is held for it is given back.
	// The rest of what it takes is read anew meanwhile, so the endpoint never sees a long pause.
	shrinkAfter = 4 * slowPiece
	// unreadAfter is how long an answer must have been left unread for its end to count as the
	// endpoint's reaction to that. What the kernel had received by then is read before the end shows.
	unreadAfter = time.Second
)

// UnreadError says that an endpoint ended an answer that was not read for a while because its caller
// did not take it, and the bounds on held bytes were reached.
type UnreadError struct {
	// Unread is for how long the answer was not read.
	Unread time.Duration
	// Cause is the error with which the answer ended.
	Cause error
}

// Error describes the error and its remedy.
func (e *UnreadError) Error() string {
	return fmt.Sprintf("the answer ended after it was not read for %v: %v; raise the bounds on held answers if callers may be that slow", e.Unread.Round(time.Millisecond), e.Cause)
}

// Unwrap returns the cause.
func (e *UnreadError) Unwrap() error { return e.Cause }

// CopyLargeAnswer is CopyAnswer for an answer whose parts take turns with those of other answers, and
// of which the entry holds a bounded part while its caller reads slowly, so that the endpoint does not
// give it up as unread.
func CopyLargeAnswer(ctx context.Context, w http.ResponseWriter, resp *http.Response, flow Flow) (n int64, err error) {
	defer resp.Body.Close()
	withoutHopByHop(w.Header(), resp.Header)
	announced := announceTrailers(w, resp)
	w.WriteHeader(resp.StatusCode)
	a := &heldAnswer{flow: flow, written: make(chan struct{}, 1), read: make(chan struct{}, 1), done: make(chan struct{})}
	go a.write(ctx, w)
	n, err = a.readFrom(resp.Body)
	if err != nil {
		a.fail(err)
		// What is left to send is of no use, and the caller may not be reading.
		_ = http.NewResponseController(w).SetWriteDeadline(time.Now())
	}
	<-a.done
	if err == nil {
		err = a.failure()
	}
	if err != nil {
		CutOff(w)
		return n, err
	}
	setTrailers(w, resp, announced)
	return n, nil
}

// heldAnswer is a large answer between its endpoint, from which readFrom reads, and its caller, to
// whom write writes in another goroutine.
type heldAnswer struct {
	flow Flow
	// written and read wake the reading and the writing goroutine. done is closed when the latter ends.
	written, read, done chan struct{}

	mu    sync.Mutex
	parts []part
	// inHand counts the bytes that were read and not yet sent, and held those that the flow lets the
	// answer hold beyond freeBytes.
	inHand, held int64
	// taken counts the bytes that the caller has taken since a piece was given back.
	taken int64
	ended bool
	// slow is set if the latest write to the caller took long, and piecewise from then on until most
	// of what is in hand was sent. writingSince is when the write that is under way began; zero while
	// none is.
	slow         bool
	piecewise    bool
	writingSince time.Time
	// turn is how many bytes are left of the turn that write took; it alone uses it.
	turn int
	// err is the first error on either side.
	err error
}

// part is a piece of an answer.
type part struct {
	buffer *[copySize]byte
	n      int
}

// readFrom reads the body to its end, or until the caller's connection fails.
func (a *heldAnswer) readFrom(body io.Reader) (total int64, err error) {
	defer a.end()
	var unread time.Duration // the longest time
	for {
		size, waited, ok := a.awaitRoom()
		if !ok {
			return total, nil // the error is that of the caller's connection
		}
		unread = max(unread, waited)
		p := part{buffer: copyBuffers.Get().(*[copySize]byte)}
		p.n, err = body.Read(p.buffer[:size])
		total += int64(p.n)
		a.add(p)
		switch {
		case err == io.EOF:
			return total, nil
		case err != nil && unread >= unreadAfter:
			return total, &UnreadError{Unread: unread, Cause: err}
		case err != nil:
			return total, err
		}
	}
}

// awaitRoom waits until more may be read, and returns how many bytes and for how long it waited. ok
// is false if the caller's connection has failed.
func (a *heldAnswer) awaitRoom() (size int64, waited time.Duration, ok bool) {
	began := time.Now()
	var timer *time.Timer
	for {
		size, slow, failed := a.room()
		switch {
		case failed:
			return 0, 0, false
		case size > 0:
			return size, time.Since(began), true
		case slow && a.flow.Hold(copySize):
			a.mu.Lock()
			a.held += copySize
			a.mu.Unlock()
			continue
		}
		if timer == nil {
			timer = time.NewTimer(slowAfter)
			defer timer.Stop()
		} else {
			timer.Reset(slowAfter)
		}
		select {
		case <-a.written:
		case <-timer.C:
		}
	}
}

// room returns how many bytes may be read now, whether the caller is slow, and whether either side
// has failed.
func (a *heldAnswer) room() (size int64, slow, failed bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	slow = a.isSlow()
	left := a.unused()
	if a.mustShrink() {
		left -= slowPiece
	}
	switch {
	case left >= copySize:
		size = copySize
	case (slow || a.piecewise) && left >= slowPiece:
		size = slowPiece
	}
	return size, slow, a.err != nil
}

// unused returns how many of the bytes that the answer may have in hand are not used. The lock must be
// held.
func (a *heldAnswer) unused() int64 { return freeBytes + a.held - a.inHand }

// mustShrink reports whether the next piece that gets unused is to be given back. The lock must be held.
func (a *heldAnswer) mustShrink() bool { return a.held > 0 && a.taken >= shrinkAfter }

// isSlow reports whether the latest write to the caller took long, or the one under way does. The lock
// must be held.
func (a *heldAnswer) isSlow() bool {
	return a.slow || !a.writingSince.IsZero() && time.Since(a.writingSince) >= slowAfter
}

func (a *heldAnswer) add(p part) {
	a.mu.Lock()
	a.parts = append(a.parts, p)
	a.inHand += int64(p.n)
	a.mu.Unlock()
	wake(a.read)
}

// end tells the writing goroutine that no part follows.
func (a *heldAnswer) end() {
	a.mu.Lock()
	a.ended = true
	a.mu.Unlock()
	wake(a.read)
}

func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// failure returns the first error on either side.
func (a *heldAnswer) failure() error {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.err
}

// write sends the parts to the caller until the answer ends or the caller's connection fails.
func (a *heldAnswer) write(ctx context.Context, w http.ResponseWriter) {
	defer close(a.done)
	controller := http.NewResponseController(w)
	for {
		p, ok, ended := a.next()
		switch {
		case !ok && ended:
			return
		case !ok:
			<-a.read
			continue
		}
		if err := a.send(ctx, w, controller, p.buffer[:p.n]); err != nil {
			a.fail(err)
		}
		copyBuffers.Put(p.buffer)
	}
}

// next removes the next part; ended is set if none is left and none follows.
func (a *heldAnswer) next() (p part, ok, ended bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.parts) == 0 {
		return part{}, false, a.ended
	}
	p, a.parts = a.parts[0], a.parts[1:]
	return p, true, false
}

// send sends one part when its turn has come, to a slow caller piece by piece. After a failure it
// drops the part.
func (a *heldAnswer) send(ctx context.Context, w http.ResponseWriter, controller *http.ResponseController, data []byte) error {
	for len(data) > 0 && a.failure() == nil {
		if err := a.takeTurn(ctx); err != nil {
			return err
		}
		piece := data[:min(len(data), a.beginWrite())]
		a.turn -= len(piece)
		_, err := w.Write(piece)
		if err == nil {
			err = controller.Flush()
		}
		a.endWrite(len(piece))
		if err != nil {
			return err
		}
		data = data[len(piece):]
	}
	return nil
}

// takeTurn waits for a turn. The pieces for a slow caller share one: each may block, and the next turn
// of all answers is granted only after a while then.
func (a *heldAnswer) takeTurn(ctx context.Context) error {
	if a.isPiecewise() && a.turn >= slowPiece {
		return nil
	}
	a.turn = copySize
	return a.flow.Turn(ctx)
}

func (a *heldAnswer) isPiecewise() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.piecewise
}

// beginWrite records the begin of a write and returns how many bytes it may have.
func (a *heldAnswer) beginWrite() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.writingSince = time.Now()
	if a.piecewise {
		return slowPiece
	}
	return copySize
}

// endWrite records the end of a write of n bytes, and gives back what the answer no longer has to hold.
func (a *heldAnswer) endWrite(n int) {
	a.flow.Wrote(int64(n))
	a.mu.Lock()
	a.slow = time.Since(a.writingSince) >= slowAfter
	a.writingSince = time.Time{}
	a.inHand -= int64(n)
	a.piecewise = a.slow || a.piecewise && a.inHand > copySize
	a.taken += int64(n)
	released := a.shrink()
	a.mu.Unlock()
	if released > 0 {
		a.flow.Release(released)
	}
	wake(a.written)
}

// shrink returns how many held bytes to give back: all that are unused once the answer was read to its
// end or its caller has caught up, else one piece at a time. The lock must be held.
func (a *heldAnswer) shrink() (released int64) {
	caughtUp := !a.slow && a.inHand <= freeBytes
	switch {
	case a.ended || caughtUp:
		released = min(a.held, a.unused())
	case a.mustShrink() && a.unused() >= slowPiece:
		released, a.taken = min(a.held, slowPiece), 0
	}
	a.held -= released
	return released
}

func (a *heldAnswer) fail(err error) {
	a.mu.Lock()
	if a.err == nil {
		a.err = err
	}
	a.mu.Unlock()
	wake(a.written)
}
