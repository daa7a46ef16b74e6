package main

import (
	"bufio"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// run is one run of a request at an instance.
type run struct {
	id, instance, service string
	at, end               time.Time
	wrong                 string
}

// ledger has what clients sent and what instances did.
type ledger struct {
	mu    sync.Mutex
	runs  map[string][]run
	sent  map[string]sentRequest
	notes []string
}

// sentRequest is what a client sent.
type sentRequest struct {
	method, target, host, sum, kind string
	at                              time.Time
	ended                           time.Time
	status                          int
	problem                         string
}

func newLedger() *ledger { return &ledger{runs: map[string][]run{}, sent: map[string]sentRequest{}} }

func (l *ledger) note(format string, a ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.notes = append(l.notes, time.Now().Format("15:04:05.000 ")+fmt.Sprintf(format, a...))
}

// arrival is a request that reached an instance.
type arrival struct {
	id string
	at time.Time
}

// instance is a server of a service. It runs slots requests at a time, queues a few and answers
// health checks at once.
type instance struct {
	id, service, zone, addr string
	slots, queue            int
	work                    time.Duration
	ledger                  *ledger
	store                   *store
	listener                net.Listener
	born                    int64

	mu               sync.Mutex
	running, waiting int
	slot             chan struct{}
	draining, gone   bool
	seq              int
	conns            map[net.Conn]bool
	onFull           string // "", "hang" or "reset"
	// behave, if not nil, chooses how a request is answered; see the answer* constants.
	behave func(i *instance, r *http.Request) string
	// silent is set once the instance no longer reports to the store.
	silent bool
	// arrivals are the requests that reached the instance; the ledger's lock guards them.
	arrivals []arrival
	// largest is the size of the largest answers, 0 for small ones; idle is how long a connection
	// may be idle.
	largest int
	idle    time.Duration
	stop    chan struct{}
}

// The ways to answer a request other than soundly.
const (
	answerTruncated  = "truncated" // the answer breaks off
	answerUnframed   = "unframed"  // no length; the answer ends with the connection
	answerExtra      = "extra"     // the answer is sent twice
	answerLate       = "late"      // a second copy comes some time later
	answerLost       = "lost"      // the request runs, the connection is closed
	answerReset      = "reset"     // the request runs, the connection is reset
	answerEarly      = "early"     // rejected before the body is read
	answerChunked    = "chunked"
	answerBrokenBody = "broken body" // the connection is reset while the body arrives
	answerFailed     = "500"
	answerShed       = "shed"
)

func startInstance(l *ledger, s *store, service, zone, id, addr string, slots int, work time.Duration) *instance {
	if addr == "" {
		addr = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", addr)
	must(err)
	i := &instance{id: id, service: service, zone: zone, addr: listener.Addr().String(), slots: slots, queue: 2 * slots, idle: 10 * time.Second, work: work, ledger: l, store: s,
		listener: listener, slot: make(chan struct{}, slots), conns: map[net.Conn]bool{}, stop: make(chan struct{})}
	go i.accept()
	i.register()
	go i.beat()
	return i
}

func (i *instance) register() {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.gone || i.silent {
		return
	}
	i.seq++
	state := "ready"
	if i.draining {
		state = "draining"
	}
	entry := map[string]any{"addr": i.addr, "info": map[string]any{"service": i.service, "version": "v1", "zone": i.zone, "slots": i.slots},
		"status": map[string]any{"state": state, "seq": i.seq, "warmup_left_ms": 0}}
	if i.born != 0 {
		entry["born"] = i.born
	}
	data, _ := json.Marshal(entry)
	i.store.put("servers/"+i.id, data)
}

func (i *instance) beat() {
	for {
		select {
		case <-i.stop:
			return
		case <-time.After(1500 * time.Millisecond):
			i.register()
		}
	}
}

// drain reports that the instance leaves; it returns the time of the store's acknowledgement.
func (i *instance) drain() time.Time {
	i.mu.Lock()
	i.draining = true
	i.mu.Unlock()
	i.register()
	return time.Now()
}

// end ends the instance's process. The store keeps its entry if crash is set.
func (i *instance) end(crash bool) {
	i.mu.Lock()
	i.gone = true
	conns := i.conns
	i.conns = map[net.Conn]bool{}
	i.mu.Unlock()
	i.listener.Close()
	for c := range conns {
		c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
	close(i.stop)
	if !crash {
		i.store.remove("servers/" + i.id)
	}
}

func (i *instance) accept() {
	for {
		c, err := i.listener.Accept()
		if err != nil {
			return
		}
		i.mu.Lock()
		if i.gone {
			i.mu.Unlock()
			c.Close()
			continue
		}
		i.conns[c] = true
		i.mu.Unlock()
		go i.serve(c)
	}
}

func (i *instance) load() string {
	i.mu.Lock()
	defer i.mu.Unlock()
	return fmt.Sprintf("%d,%d,%d,100", i.running, i.waiting, i.slots)
}

func (i *instance) serve(c net.Conn) {
	defer func() {
		i.mu.Lock()
		delete(i.conns, c)
		i.mu.Unlock()
		c.Close()
	}()
	reader := bufio.NewReaderSize(c, 64<<10)
	for {
		c.SetReadDeadline(time.Now().Add(i.idle))
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if r.URL.Path == "/health" && r.Header.Get("X-Attempt-Id") == "" {
			status := "200 OK"
			if i.isDraining() {
				status = "503 Service Unavailable"
			}
			fmt.Fprintf(c, "HTTP/1.1 %s\r\nX-Instance-Id: %s\r\nX-Instance-Load: %s\r\nContent-Length: 2\r\n\r\nok", status, i.id, i.load())
			continue
		}
		if !i.handle(c, reader, r) {
			return
		}
	}
}

func (i *instance) isDraining() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.draining
}

// handle answers one request and reports whether the connection goes on.
func (i *instance) handle(c net.Conn, reader *bufio.Reader, r *http.Request) bool {
	id := r.Header.Get("X-Attempt-Id")
	i.ledger.mu.Lock()
	i.arrivals = append(i.arrivals, arrival{id, time.Now()})
	i.ledger.mu.Unlock()
	how := ""
	if i.behave != nil {
		how = i.behave(i, r)
	}
	reject := func(status string) {
		fmt.Fprintf(c, "HTTP/1.1 %s\r\nX-Attempt-Id: %s\r\nX-Instance-Id: %s\r\nX-Not-Executed: 1\r\nX-Instance-Load: %s\r\nContent-Length: 0\r\n\r\n", status, id, i.id, i.load())
	}
	if expect := r.Header.Get("X-Expect-Instance"); expect != "" && expect != i.id {
		io.Copy(io.Discard, r.Body)
		reject("421 Misdirected Request")
		return true
	}
	if how == answerEarly && r.ContentLength != 0 {
		io.CopyN(io.Discard, r.Body, rand.Int63n(max(r.ContentLength, 1)))
		reject("503 Service Unavailable")
		time.Sleep(50 * time.Millisecond)
		_, err := io.Copy(io.Discard, r.Body) // reads on later
		return err == nil
	}
	if how == answerBrokenBody {
		io.CopyN(io.Discard, r.Body, rand.Int63n(max(r.ContentLength, 1000)))
		c.(*net.TCPConn).SetLinger(0)
		return false
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return false
	}
	if how == answerShed {
		reject("503 Service Unavailable")
		return true
	}
	c.SetReadDeadline(time.Time{})
	gone, unwatch := watchForClose(c, reader)
	defer unwatch()
	i.mu.Lock()
	full := i.running+i.waiting >= i.slots+i.queue
	if !full {
		i.waiting++
	}
	i.mu.Unlock()
	if full {
		switch i.onFull {
		case "hang":
			<-gone
			return false
		case "reset":
			c.(*net.TCPConn).SetLinger(0)
			return false
		}
		reject("503 Service Unavailable")
		return true
	}
	left, _ := strconv.Atoi(r.Header.Get("X-Deadline-Ms"))
	deadline := time.After(time.Duration(left) * time.Millisecond)
	select {
	case i.slot <- struct{}{}:
	case <-gone:
		i.mu.Lock()
		i.waiting--
		i.mu.Unlock()
		return false
	case <-deadline:
		i.mu.Lock()
		i.waiting--
		i.mu.Unlock()
		reject("503 Service Unavailable")
		return true
	}
	i.mu.Lock()
	i.waiting--
	i.running++
	i.mu.Unlock()
	i.begin(r, body)
	work := time.Duration(float64(i.work) * (0.7 + 0.6*rand.Float64()))
	var cancelled, late bool
	select {
	case <-time.After(work):
	case <-gone:
		cancelled = true
	case <-deadline:
		late = true
	}
	i.mu.Lock()
	i.running--
	i.mu.Unlock()
	<-i.slot
	switch {
	case cancelled:
		return false
	case late:
		answer := "too late\n"
		fmt.Fprintf(c, "HTTP/1.1 504 Gateway Timeout\r\nX-Attempt-Id: %s\r\nX-Response-Signature: %s\r\nContent-Length: %d\r\n\r\n%s", id, i.sign(id, 504, answer), len(answer), answer)
		return true
	}
	unwatch()
	return i.answer(c, r, id, how)
}

// watchForClose closes gone when the other side closes the connection. unwatch ends the watch, and
// may be called more than once.
func watchForClose(c net.Conn, reader *bufio.Reader) (gone chan struct{}, unwatch func()) {
	gone, done := make(chan struct{}), make(chan struct{})
	c.SetReadDeadline(time.Time{})
	go func() {
		defer close(done)
		if _, err := reader.Peek(1); err != nil {
			if e, ok := err.(net.Error); !ok || !e.Timeout() {
				close(gone)
			}
		}
	}()
	var once sync.Once
	return gone, func() {
		once.Do(func() {
			c.SetReadDeadline(time.Unix(1, 0))
			<-done
			c.SetReadDeadline(time.Time{})
		})
	}
}

// begin records that the request runs, and whether it is what its client sent.
func (i *instance) begin(r *http.Request, body []byte) {
	id := r.Header.Get("X-Attempt-Id")
	l := i.ledger
	l.mu.Lock()
	defer l.mu.Unlock()
	x := run{id: id, instance: i.id, service: i.service, at: time.Now()}
	s, ok := l.sent[id]
	switch {
	case !ok:
		x.wrong = "no client sent it"
	case s.method != r.Method || s.target != r.RequestURI || s.sum != sumOf(body):
		x.wrong = fmt.Sprintf("sent %s %s %s, got %s %s %s", s.method, s.target, s.sum, r.Method, r.RequestURI, sumOf(body))
	}
	l.runs[id] = append(l.runs[id], x)
}

func sumOf(b []byte) string {
	h := sha256.Sum256(b)
	return hex.EncodeToString(h[:6])
}

func (i *instance) sign(id string, status int, body string) string {
	return i.id + "." + strconv.Itoa(status) + "." + sumOf([]byte(id+body))
}

func (i *instance) answer(c net.Conn, r *http.Request, id, how string) bool {
	size := 400 + rand.Intn(6000)
	if i.largest > 0 && rand.Intn(3) == 0 {
		size = rand.Intn(i.largest)
	}
	body := id + " " + string(filler(size))
	status, text := 200, "200 OK"
	if how == answerFailed {
		status, text = 500, "500 Internal Server Error"
	}
	head := fmt.Sprintf("HTTP/1.1 %s\r\nX-Attempt-Id: %s\r\nX-Response-Signature: %s\r\nX-Instance-Load: %s\r\nKeep-Alive: timeout=10\r\n", text, id, i.sign(id, status, body), i.load())
	framed := head + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body))
	switch how {
	case answerTruncated:
		io.WriteString(c, framed+body[:len(body)/2])
		return false
	case answerUnframed:
		io.WriteString(c, head+"Connection: close\r\n\r\n"+body)
		return false
	case answerChunked:
		half := len(body) / 2
		fmt.Fprintf(c, "%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n%x\r\n%s\r\n0\r\n\r\n", head, half, body[:half], len(body)-half, body[half:])
		return true
	case answerExtra:
		io.WriteString(c, framed+body+framed+body)
		return true
	case answerLate:
		io.WriteString(c, framed+body)
		time.AfterFunc(time.Duration(rand.Intn(60))*time.Millisecond, func() { io.WriteString(c, framed+body) })
		return true
	case answerLost:
		return false
	case answerReset:
		c.(*net.TCPConn).SetLinger(0)
		return false
	}
	io.WriteString(c, framed+body)
	return true
}

// letters is what bodies are made of.
var letters = func() []byte {
	b := make([]byte, 4<<20)
	for i := range b {
		b[i] = 'a' + byte(rand.Intn(26))
	}
	return b
}()

// filler returns a body of n bytes.
func filler(n int) []byte {
	at := rand.Intn(len(letters) - n)
	return letters[at : at+n]
}
