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

	"github.com/tealhall/tealhall/internal/intake"
)

// net/http reads the next request of a connection only after it has answered the previous one. When
// a caller pipelines three reads of 100 ms each, the third therefore takes 300 ms. This file starts
// requests that may run twice before the requests in front of them are answered: while one request
// is in progress, the connection reads on, passes the following requests to the handler at once and
// buffers their answers until the server reaches them. Answers are sent in the order of the
// requests.
//
// If the connection ends early, the answers to requests that were started this way are lost. That
// is harmless only for requests that may run twice.

const (
	// maxPipelined bounds the pipelined requests of one connection that are started before their
	// turn.
	maxPipelined = 8
	// maxReadAhead bounds the bytes of request heads that are read ahead on one connection.
	maxReadAhead = 64 << 10
	// maxBufferedAnswer bounds the part of an answer that is buffered until its turn. The handler
	// of a longer answer blocks until then.
	maxBufferedAnswer = 256 << 10
	// earlyRequestBytes is the memory of a request that is started before its turn, without its answer.
	earlyRequestBytes = 16 << 10
)

// pipeline starts the pipelined requests of one connection before their turn.
type pipeline struct {
	server *Server

	mu sync.Mutex
	// heads counts the heads passed to the server, and served the requests for which the server has
	// called its handler. lastStarted is the number of the last request started before its turn.
	heads, served, lastStarted uint64
	waiting                    []*pipelinedRequest
	// cancels holds the functions that cancel the requests in progress, by number.
	cancels    map[uint64]context.CancelFunc
	callerGone bool
	// closing is set once an answer closes the connection.
	closing bool

	// stop is closed to end reading ahead, and done when reading ahead has ended. Both are nil
	// while nothing is read ahead. They belong to the reading goroutine.
	stop chan struct{}
	done chan struct{}
}

// pipelinedRequest is a request that was started before its turn.
type pipelinedRequest struct {
	number uint64
	answer *pipelinedAnswer
	// tracked is the writer passed to the handler.
	tracked *answerWriter
	done    chan struct{}
}

// countHead returns the number of a head that is passed to the server.
func (p *pipeline) countHead() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.heads++
	return p.heads
}

// enter is called when the server calls its handler for the next request. It returns the request if
// it was started before its turn, or else a context that is cancelled when the caller is gone. The
// caller of enter must call leave with the number when the handler has ended.
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

// withCancel returns a context that cancelAll cancels, for the request with the given number. The
// lock mu must be held.
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

// leave cancels the context of the request with the given number.
func (p *pipeline) leave(number uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if cancel := p.cancels[number]; cancel != nil {
		cancel()
		delete(p.cancels, number)
	}
}

// mayCloseAfter reports whether the answer to the request with the given number may close the
// connection. It must not while later requests on the connection are in progress. After
// mayCloseAfter has returned true, no further request is started on the connection. The check and
// the start of a request use the same lock, so that no request runs whose answer can no longer be
// sent.
func (p *pipeline) mayCloseAfter(number uint64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.waiting) > 0 && p.waiting[len(p.waiting)-1].number > number {
		return false
	}
	p.closing = true
	return true
}

// cancelAll cancels all requests of the connection, because the caller is gone.
func (p *pipeline) cancelAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.callerGone = true
	for _, cancel := range p.cancels {
		cancel()
	}
}

// end is called when the connection has been closed. It drops the answers that wait for their turn.
func (p *pipeline) end() {
	p.cancelAll()
	p.mu.Lock()
	waiting := p.waiting
	p.waiting = nil
	p.mu.Unlock()
	for _, request := range waiting {
		request.answer.drop()
	}
}

// startReadAhead starts the request whose head was read while another request is in progress, and
// then reads ahead for the requests behind it. first is a copy of the head, and number is the
// number of the request.
func (g *guardedConn) startReadAhead(first []byte, number uint64) {
	p := &g.pipeline
	if p.stop != nil || p.server == nil || !g.tryStart(first, number) {
		return
	}
	p.stop, p.done = make(chan struct{}), make(chan struct{})
	go g.readAhead(number+1, g.ready)
}

// stopReadAhead ends reading ahead, so that the server itself can read from the connection.
func (g *guardedConn) stopReadAhead() {
	p := &g.pipeline
	if p.stop == nil {
		return
	}
	close(p.stop)
	g.Conn.SetReadDeadline(time.Unix(1, 0)) // any time in the past interrupts the read
	<-p.done
	p.stop, p.done = nil, nil
	g.mu.Lock()
	defer g.mu.Unlock()
	g.applyDeadline()
}

// readAhead reads heads and starts their requests while another request is in progress. It owns the
// buffer of the connection until it ends. The head of the request with the given number begins at
// offset.
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

// headLength returns the length of the head at the start of b, including its empty line, or 0 if
// the head is incomplete. The search for the empty line begins at index from.
func headLength(b []byte, from int) int {
	i := bytes.Index(b[max(0, from):], []byte("\r\n\r\n"))
	if i < 0 {
		return 0
	}
	return max(0, from) + i + len("\r\n\r\n")
}

// readMore reads more bytes into the buffer. It returns false if reading ahead must end.
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
	if !errors.Is(err, os.ErrDeadlineExceeded) && err != errNoHeadMemory {
		g.pipeline.cancelAll()
	}
	return false
}

// tryStart starts a request before its turn unless it was started already. It reports whether
// reading ahead may continue after the request.
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

// startRequest passes a request to the handler in a goroutine of its own. It returns false if an
// answer in front of the request closes the connection, or if there is no memory.
func (g *guardedConn) startRequest(r *http.Request, number uint64) bool {
	p := &g.pipeline
	answer := newPipelinedAnswer(g.cfg.Memory)
	if !answer.held.Take(earlyRequestBytes) {
		return false
	}
	request := &pipelinedRequest{number: number, answer: answer, done: make(chan struct{})}
	request.tracked = &answerWriter{ResponseWriter: answer, server: p.server, pipelined: true}
	p.mu.Lock()
	if p.closing {
		p.mu.Unlock()
		answer.held.Release()
		return false
	}
	p.lastStarted = number
	p.waiting = append(p.waiting, request)
	ctx := p.withCancel(context.Background(), number)
	p.mu.Unlock()
	answer.stopAbandon = context.AfterFunc(ctx, answer.abandon)
	p.server.inFlight.Add(1)
	go func() {
		defer p.server.inFlight.Add(-1)
		defer close(request.done)
		defer p.leave(number)
		defer func() {
			if recover() != nil {
				request.tracked.cutOff = true // net/http also aborts the connection when a handler panics
			}
		}()
		p.server.handler.ServeHTTP(request.tracked, r.WithContext(ctx))
	}()
	return true
}

// deliver sends the answer to the server's writer w and waits until the handler has ended. It
// reports whether the answer was cut off.
func (r *pipelinedRequest) deliver(w http.ResponseWriter) (cutOff bool) {
	r.answer.attach(w)
	<-r.done
	return r.tracked.cutOff
}

// pipelinedAnswer is the http.ResponseWriter of a request that was started before its turn. It
// buffers the answer until attach is called.
type pipelinedAnswer struct {
	header      http.Header
	stopAbandon func() bool

	mu        sync.Mutex
	attached  *sync.Cond
	status    int
	buffered  bytes.Buffer
	target    http.ResponseWriter
	abandoned bool
	// held accounts for the request and for buffered.
	held *intake.Part
}

func newPipelinedAnswer(memory *intake.Memory) *pipelinedAnswer {
	a := &pipelinedAnswer{header: make(http.Header), held: memory.Hold()}
	a.attached = sync.NewCond(&a.mu)
	return a
}

// Header implements http.ResponseWriter.
func (a *pipelinedAnswer) Header() http.Header { return a.header }

// WriteHeader implements http.ResponseWriter. It drops informational answers: they cannot be sent
// while the answers to earlier requests are still outstanding.
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
	for a.target == nil && !a.abandoned && !a.mayBuffer(len(p)) {
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

// mayBuffer reports whether n more bytes may be buffered. The lock mu must be held.
func (a *pipelinedAnswer) mayBuffer(n int) bool {
	return a.buffered.Len()+n <= maxBufferedAnswer && a.held.Take(int64(n))
}

// FlushError implements the flushing of http.ResponseController.
func (a *pipelinedAnswer) FlushError() error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.target == nil {
		return nil
	}
	return http.NewResponseController(a.target).Flush()
}

// attach sends the buffered part of the answer to w and makes later writes go to w directly. It
// ignores an error of w, which the next write returns again.
func (a *pipelinedAnswer) attach(w http.ResponseWriter) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.target = w
	if a.status != 0 {
		a.sendHead()
		_, _ = w.Write(a.buffered.Bytes())
		a.buffered = bytes.Buffer{}
	}
	a.held.Release()
	a.attached.Broadcast()
}

// sendHead sends status and headers to the target. The lock mu must be held.
func (a *pipelinedAnswer) sendHead() {
	h := a.target.Header()
	for name, values := range a.header {
		h[name] = values
	}
	a.target.WriteHeader(a.status)
}

// drop discards the answer, which can no longer be sent.
func (a *pipelinedAnswer) drop() {
	a.abandon()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.buffered = bytes.Buffer{}
	a.held.Release()
}

// abandon unblocks a handler that waits for attach after the request was cancelled.
func (a *pipelinedAnswer) abandon() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.abandoned = true
	a.attached.Broadcast()
}
