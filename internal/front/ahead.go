package front

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"net/http"
	"os"
	"sync"
	"time"
)

// A caller may send further requests on a connection before the first one is
// answered. net/http reads the second one when it has answered the first, so that
// three reads of 100 ms each take 300 ms for the third. Requests that may be
// repeated are therefore begun ahead of their turn: while one is worked on, the
// guard reads on, hands what follows to the handler at once, and keeps the answer
// until the server comes to it. Answers go out in the order of the requests.
//
// The price of a connection that ends early is an answer that nobody gets, which
// is harmless only for requests that may run twice.

const (
	// maxAhead bounds the requests of one connection that are begun ahead.
	maxAhead = 8
	// maxAheadHead bounds the bytes that are read ahead on one connection.
	maxAheadHead = 64 << 10
	// maxAheadAnswer bounds an answer that is kept until its turn; a longer one
	// waits with the rest.
	maxAheadAnswer = 256 << 10
)

// aheadQueue is the part of a guard that begins requests ahead of their turn.
type aheadQueue struct {
	server *Server

	mu sync.Mutex
	// heads counts the heads given to the server, served those that its handler was
	// called for, and begun is the number of the last one begun ahead.
	heads, served, begun uint64
	waiting              []*aheadRequest
	// cancels end the requests in work, by number, when the caller has gone.
	cancels map[uint64]context.CancelFunc
	gone    bool
	// closing says that an answer on its way closes the connection.
	closing bool

	// stop is closed to end the reading ahead, done when it has ended; both are nil
	// while nothing is read ahead. They belong to the reading goroutine.
	stop chan struct{}
	done chan struct{}
}

// aheadRequest is one request that was begun ahead.
type aheadRequest struct {
	number uint64
	answer *aheadAnswer
	// tracked is the writer that the handler got.
	tracked *answerWriter
	done    chan struct{}
}

// nextHead numbers a head that is given to the server.
func (q *aheadQueue) nextHead() uint64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.heads++
	return q.heads
}

// enter is called when the server's handler is called for the next request. It
// returns what was begun ahead for it, if anything, and a context that ends when
// the caller goes; leave must be called with the number at the end.
func (q *aheadQueue) enter(ctx context.Context) (number uint64, begun *aheadRequest, inner context.Context) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.served++
	number = q.served
	if len(q.waiting) > 0 && q.waiting[0].number == number {
		begun = q.waiting[0]
		q.waiting = q.waiting[1:]
		return number, begun, ctx
	}
	return number, nil, q.cancellable(ctx, number)
}

// cancellable returns a context for the request of that number. mu is held.
func (q *aheadQueue) cancellable(ctx context.Context, number uint64) context.Context {
	inner, cancel := context.WithCancel(ctx)
	if q.gone {
		cancel()
	}
	if q.cancels == nil {
		q.cancels = make(map[uint64]context.CancelFunc)
	}
	q.cancels[number] = cancel
	return inner
}

// leave ends the context of a request.
func (q *aheadQueue) leave(number uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if cancel := q.cancels[number]; cancel != nil {
		cancel()
		delete(q.cancels, number)
	}
}

// closeBehind reports whether the answer to the request of that number may close the
// connection, which it may not while requests wait behind it. From then on none is begun
// there: what is asked and what is begun change under one lock, so that no request is at work
// whose answer has no connection to go to.
func (q *aheadQueue) closeBehind(number uint64) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.waiting) > 0 && q.waiting[len(q.waiting)-1].number > number {
		return false
	}
	q.closing = true
	return true
}

// callerGone ends everything that is worked on for the connection.
func (q *aheadQueue) callerGone() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.gone = true
	for _, cancel := range q.cancels {
		cancel()
	}
}

// readAhead begins the request whose head was read while another is worked on, and
// those behind it. first is a copy of its head, number its number.
func (g *guard) readAhead(first []byte, number uint64) {
	q := &g.ahead
	if q.stop != nil || q.server == nil || !g.mayBegin(first, number) {
		return
	}
	q.stop, q.done = make(chan struct{}), make(chan struct{})
	go g.pump(number+1, g.ready)
}

// stopAhead ends the reading ahead before the server itself reads on.
func (g *guard) stopAhead() {
	q := &g.ahead
	if q.stop == nil {
		return
	}
	close(q.stop)
	g.Conn.SetReadDeadline(time.Unix(1, 0)) // any time in the past
	<-q.done
	q.stop, q.done = nil, nil
	g.mu.Lock()
	defer g.mu.Unlock()
	g.applyDeadline()
}

// pump reads on while a request is worked on. It owns the guard's buffer until it
// ends. offset is where the head of the given number begins.
func (g *guard) pump(number uint64, offset int) {
	q := &g.ahead
	defer close(q.done)
	scan := offset
	for {
		end := headLength(g.head[offset:], scan-offset)
		if end == 0 {
			scan = max(offset, len(g.head)-len("\r\n\r"))
			if len(g.head) >= maxAheadHead || !g.pumpMore() {
				return
			}
			continue
		}
		if !g.mayBegin(g.head[offset:offset+end], number) {
			return
		}
		offset += end
		scan = offset
		number++
	}
}

// headLength returns the length of the head at the start of b with its empty line,
// or 0 if it is not whole. The search begins at from.
func headLength(b []byte, from int) int {
	i := bytes.Index(b[max(0, from):], []byte("\r\n\r\n"))
	if i < 0 {
		return 0
	}
	return max(0, from) + i + len("\r\n\r\n")
}

// pumpMore reads more bytes. It returns false when the reading ahead ends.
func (g *guard) pumpMore() bool {
	err := g.fill()
	select {
	case <-g.ahead.stop:
		return false
	default:
	}
	if err == nil {
		return true
	}
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		g.ahead.callerGone()
	}
	return false
}

// mayBegin begins a request ahead unless that was done before, and reports whether
// to read on behind it.
func (g *guard) mayBegin(head []byte, number uint64) bool {
	q := &g.ahead
	q.mu.Lock()
	begun, full := number <= q.begun, len(q.waiting) >= maxAhead
	q.mu.Unlock()
	if begun {
		return true
	}
	if full || len(head) > g.cfg.limits().HeaderBytes || q.server.leaving.Load() {
		return false
	}
	info, shape := checkHead(head)
	if shape != ShapeNone || info.http10 || info.isChunked || info.length > 0 {
		return false
	}
	r, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(bytes.Clone(head))))
	if err != nil || r.Close || r.Header.Get("Expect") != "" || !q.server.cfg.Ahead(r) {
		return false
	}
	r.RemoteAddr = g.RemoteAddr().String()
	return g.begin(r, number)
}

// begin hands a request to the handler, unless its connection closes.
func (g *guard) begin(r *http.Request, number uint64) bool {
	q := &g.ahead
	answer := newAheadAnswer()
	a := &aheadRequest{number: number, answer: answer, done: make(chan struct{})}
	a.tracked = &answerWriter{ResponseWriter: answer, server: q.server, ahead: true}
	q.mu.Lock()
	if q.closing {
		q.mu.Unlock()
		return false
	}
	q.begun = number
	q.waiting = append(q.waiting, a)
	ctx := q.cancellable(context.Background(), number)
	q.mu.Unlock()
	answer.abandon = context.AfterFunc(ctx, answer.giveUp)
	q.server.inFlight.Add(1)
	go func() {
		defer q.server.inFlight.Add(-1)
		defer close(a.done)
		defer q.leave(number)
		defer func() {
			if recover() != nil {
				a.tracked.cutOff = true // as net/http does for a handler that panics
			}
		}()
		q.server.handler.ServeHTTP(a.tracked, r.WithContext(ctx))
	}()
	return true
}

// pass gives the answer to the server's writer, whose turn it is, and waits for its
// end. It reports whether the answer was cut off.
func (a *aheadRequest) pass(w http.ResponseWriter) (cutOff bool) {
	a.answer.attach(w)
	<-a.done
	return a.tracked.cutOff
}

// aheadAnswer is the http.ResponseWriter of a request that was begun ahead. Until
// its turn it keeps what is written.
type aheadAnswer struct {
	header  http.Header
	abandon func() bool

	mu     sync.Mutex
	turn   *sync.Cond
	status int
	kept   bytes.Buffer
	real   http.ResponseWriter
	lost   bool
}

func newAheadAnswer() *aheadAnswer {
	a := &aheadAnswer{header: make(http.Header)}
	a.turn = sync.NewCond(&a.mu)
	return a
}

// Header implements http.ResponseWriter.
func (a *aheadAnswer) Header() http.Header { return a.header }

// WriteHeader implements http.ResponseWriter. Informational answers are left out:
// they would belong before an answer that is not due yet.
func (a *aheadAnswer) WriteHeader(status int) {
	if status < http.StatusOK {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.status != 0 {
		return
	}
	a.status = status
	if a.real != nil {
		a.sendHead()
	}
}

// Write implements http.ResponseWriter.
func (a *aheadAnswer) Write(p []byte) (int, error) {
	a.WriteHeader(http.StatusOK)
	a.mu.Lock()
	defer a.mu.Unlock()
	for a.real == nil && !a.lost && a.kept.Len()+len(p) > maxAheadAnswer {
		a.turn.Wait()
	}
	switch {
	case a.lost:
		return 0, context.Canceled
	case a.real != nil:
		return a.real.Write(p)
	}
	return a.kept.Write(p)
}

// FlushError is for http.ResponseController.
func (a *aheadAnswer) FlushError() error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.real == nil {
		return nil
	}
	return http.NewResponseController(a.real).Flush()
}

// attach gives out what was kept; what follows goes to w directly. An error of w
// shows again at the next write.
func (a *aheadAnswer) attach(w http.ResponseWriter) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.real = w
	if a.status != 0 {
		a.sendHead()
		_, _ = w.Write(a.kept.Bytes())
		a.kept = bytes.Buffer{}
	}
	a.turn.Broadcast()
}

// sendHead passes the head on. mu is held.
func (a *aheadAnswer) sendHead() {
	h := a.real.Header()
	for name, values := range a.header {
		h[name] = values
	}
	a.real.WriteHeader(a.status)
}

// giveUp frees a handler that waits for a turn that does not come.
func (a *aheadAnswer) giveUp() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lost = true
	a.turn.Broadcast()
}
