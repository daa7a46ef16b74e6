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
	// maxPipelined bounds the requests of one connection that are begun ahead.
	maxPipelined = 8
	// maxReadAhead bounds the bytes that are read ahead on one connection.
	maxReadAhead = 64 << 10
	// maxBufferedAnswer bounds an answer that is kept until its turn; a longer one
	// waits with the rest.
	maxBufferedAnswer = 256 << 10
)

// pipeline is the part of a guard that begins requests ahead of their turn.
type pipeline struct {
	server *Server

	mu sync.Mutex
	// heads counts the heads given to the server, served those that its handler was
	// called for, and begun is the number of the last one begun ahead.
	heads, served, lastStarted uint64
	waiting                    []*pipelinedRequest
	// cancels end the requests in work, by number, when the caller has gone.
	cancels    map[uint64]context.CancelFunc
	callerGone bool
	// closing says that an answer on its way closes the connection.
	closing bool

	// stop is closed to end the reading ahead, done when it has ended; both are nil
	// while nothing is read ahead. They belong to the reading goroutine.
	stop chan struct{}
	done chan struct{}
}

// pipelinedRequest is one request that was begun ahead.
type pipelinedRequest struct {
	number uint64
	answer *pipelinedAnswer
	// tracked is the writer that the handler got.
	tracked *answerWriter
	done    chan struct{}
}

// countHead numbers a head that is given to the server.
func (p *pipeline) countHead() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.heads++
	return p.heads
}

// enter is called when the server's handler is called for the next request. It
// returns what was begun ahead for it, if anything, and a context that ends when
// the caller goes; leave must be called with the number at the end.
func (p *pipeline) enter(ctx context.Context) (number uint64, started *pipelinedRequest, inner context.Context) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.served++
	number = p.served
	if len(p.waiting) > 0 && p.waiting[0].number == number {
		started = p.waiting[0]
		p.waiting = p.waiting[1:]
		return number, started, ctx
	}
	return number, nil, p.withCancel(ctx, number)
}

// withCancel returns a context for the request of that number. mu is held.
func (p *pipeline) withCancel(ctx context.Context, number uint64) context.Context {
	inner, cancel := context.WithCancel(ctx)
	if p.callerGone {
		cancel()
	}
	if p.cancels == nil {
		p.cancels = make(map[uint64]context.CancelFunc)
	}
	p.cancels[number] = cancel
	return inner
}

// leave ends the context of a request.
func (p *pipeline) leave(number uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if cancel := p.cancels[number]; cancel != nil {
		cancel()
		delete(p.cancels, number)
	}
}

// mayCloseAfter reports whether the answer to the request of that number may close the
// connection, which it may not while requests wait behind it. From then on none is begun
// there: what is asked and what is begun change under one lock, so that no request is at work
// whose answer has no connection to go to.
func (p *pipeline) mayCloseAfter(number uint64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.waiting) > 0 && p.waiting[len(p.waiting)-1].number > number {
		return false
	}
	p.closing = true
	return true
}

// cancelAll ends everything that is worked on for the connection.
func (p *pipeline) cancelAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.callerGone = true
	for _, cancel := range p.cancels {
		cancel()
	}
}

// startReadAhead begins the request whose head was read while another is worked on, and
// those behind it. first is a copy of its head, number its number.
func (g *guardedConn) startReadAhead(first []byte, number uint64) {
	p := &g.pipeline
	if p.stop != nil || p.server == nil || !g.tryStart(first, number) {
		return
	}
	p.stop, p.done = make(chan struct{}), make(chan struct{})
	go g.readAhead(number+1, g.ready)
}

// stopReadAhead ends the reading ahead before the server itself reads on.
func (g *guardedConn) stopReadAhead() {
	p := &g.pipeline
	if p.stop == nil {
		return
	}
	close(p.stop)
	g.Conn.SetReadDeadline(time.Unix(1, 0)) // any time in the past
	<-p.done
	p.stop, p.done = nil, nil
	g.mu.Lock()
	defer g.mu.Unlock()
	g.applyDeadline()
}

// readAhead reads on while a request is worked on. It owns the guard's buffer until it
// ends. offset is where the head of the given number begins.
func (g *guardedConn) readAhead(number uint64, offset int) {
	p := &g.pipeline
	defer close(p.done)
	scan := offset
	for {
		end := headLength(g.head[offset:], scan-offset)
		if end == 0 {
			scan = max(offset, len(g.head)-len("\r\n\r"))
			if len(g.head) >= maxReadAhead || !g.readMore() {
				return
			}
			continue
		}
		if !g.tryStart(g.head[offset:offset+end], number) {
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

// readMore reads more bytes. It returns false when the reading ahead ends.
func (g *guardedConn) readMore() bool {
	err := g.fill()
	select {
	case <-g.pipeline.stop:
		return false
	default:
	}
	if err == nil {
		return true
	}
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		g.pipeline.cancelAll()
	}
	return false
}

// tryStart begins a request ahead unless that was done before, and reports whether
// to read on behind it.
func (g *guardedConn) tryStart(head []byte, number uint64) bool {
	p := &g.pipeline
	p.mu.Lock()
	started, full := number <= p.lastStarted, len(p.waiting) >= maxPipelined
	p.mu.Unlock()
	if started {
		return true
	}
	if full || len(head) > g.cfg.limits().HeaderBytes || p.server.leaving.Load() {
		return false
	}
	info, violation := checkHead(head)
	if violation != ViolationNone || info.http10 || info.isChunked || info.length > 0 {
		return false
	}
	r, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(bytes.Clone(head))))
	if err != nil || r.Close || r.Header.Get("Expect") != "" || !p.server.cfg.MayPipeline(r) {
		return false
	}
	r.RemoteAddr = g.RemoteAddr().String()
	return g.startRequest(r, number)
}

// startRequest hands a request to the handler, unless its connection closes.
func (g *guardedConn) startRequest(r *http.Request, number uint64) bool {
	p := &g.pipeline
	answer := newPipelinedAnswer()
	a := &pipelinedRequest{number: number, answer: answer, done: make(chan struct{})}
	a.tracked = &answerWriter{ResponseWriter: answer, server: p.server, pipelined: true}
	p.mu.Lock()
	if p.closing {
		p.mu.Unlock()
		return false
	}
	p.lastStarted = number
	p.waiting = append(p.waiting, a)
	ctx := p.withCancel(context.Background(), number)
	p.mu.Unlock()
	answer.stopAbandon = context.AfterFunc(ctx, answer.abandon)
	p.server.inFlight.Add(1)
	go func() {
		defer p.server.inFlight.Add(-1)
		defer close(a.done)
		defer p.leave(number)
		defer func() {
			if recover() != nil {
				a.tracked.cutOff = true // as net/http does for a handler that panics
			}
		}()
		p.server.handler.ServeHTTP(a.tracked, r.WithContext(ctx))
	}()
	return true
}

// deliver gives the answer to the server's writer, whose turn it is, and waits for its
// end. It reports whether the answer was cut off.
func (a *pipelinedRequest) deliver(w http.ResponseWriter) (cutOff bool) {
	a.answer.attach(w)
	<-a.done
	return a.tracked.cutOff
}

// pipelinedAnswer is the http.ResponseWriter of a request that was begun ahead. Until
// its turn it keeps what is written.
type pipelinedAnswer struct {
	header      http.Header
	stopAbandon func() bool

	mu        sync.Mutex
	attached  *sync.Cond
	status    int
	buffered  bytes.Buffer
	target    http.ResponseWriter
	abandoned bool
}

func newPipelinedAnswer() *pipelinedAnswer {
	a := &pipelinedAnswer{header: make(http.Header)}
	a.attached = sync.NewCond(&a.mu)
	return a
}

// Header implements http.ResponseWriter.
func (a *pipelinedAnswer) Header() http.Header { return a.header }

// WriteHeader implements http.ResponseWriter. Informational answers are left out:
// they would belong before an answer that is not due yet.
func (a *pipelinedAnswer) WriteHeader(status int) {
	if status < http.StatusOK {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.status != 0 {
		return
	}
	a.status = status
	if a.target != nil {
		a.sendHead()
	}
}

// Write implements http.ResponseWriter.
func (a *pipelinedAnswer) Write(p []byte) (int, error) {
	a.WriteHeader(http.StatusOK)
	a.mu.Lock()
	defer a.mu.Unlock()
	for a.target == nil && !a.abandoned && a.buffered.Len()+len(p) > maxBufferedAnswer {
		a.attached.Wait()
	}
	switch {
	case a.abandoned:
		return 0, context.Canceled
	case a.target != nil:
		return a.target.Write(p)
	}
	return a.buffered.Write(p)
}

// FlushError is for http.ResponseController.
func (a *pipelinedAnswer) FlushError() error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.target == nil {
		return nil
	}
	return http.NewResponseController(a.target).Flush()
}

// attach gives out what was kept; what follows goes to w directly. An error of w
// shows again at the next write.
func (a *pipelinedAnswer) attach(w http.ResponseWriter) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.target = w
	if a.status != 0 {
		a.sendHead()
		_, _ = w.Write(a.buffered.Bytes())
		a.buffered = bytes.Buffer{}
	}
	a.attached.Broadcast()
}

// sendHead passes the head on. mu is held.
func (a *pipelinedAnswer) sendHead() {
	h := a.target.Header()
	for name, values := range a.header {
		h[name] = values
	}
	a.target.WriteHeader(a.status)
}

// abandon frees a handler that waits for a turn that does not come.
func (a *pipelinedAnswer) abandon() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.abandoned = true
	a.attached.Broadcast()
}
