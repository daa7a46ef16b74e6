package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// heartbeat is the interval of the instances' reports; the store drops an item after three silent
// intervals.
const heartbeat = 1500 * time.Millisecond

// run is one execution of a request at an instance; arrived is when the instance had the request.
type run struct {
	instance, attempt string
	arrived           time.Time
}

// ledger records what instances ran.
type ledger struct {
	mu   sync.Mutex
	runs []run
}

func (l *ledger) add(r run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs = append(l.runs, r)
}

func (l *ledger) byAttempt() map[string][]run {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := map[string][]run{}
	for _, r := range l.runs {
		out[r.attempt] = append(out[r.attempt], r)
	}
	return out
}

// instance is a stand-in for an instance of a service.
type instance struct {
	id, service, zone, addr string
	slots                   int
	work                    time.Duration
	ledger                  *ledger
	log                     *recorder
	// shedShare is the share of requests that it rejects with X-Not-Executed; extraShare the share of
	// its answers that it sends a second time, up to extraDelay later.
	shedShare, extraShare float64
	extraDelay            time.Duration
	// lostShare is the share of the requests that it runs and whose answer is lost with the connection.
	lostShare float64

	store *store
	l     net.Listener
	busy  chan struct{}
	stop  chan struct{}
	mu    sync.Mutex
	conns map[net.Conn]bool
	seq   int
	state string

	waiting atomic.Int32
}

// start listens on the address ("" for a new one) and registers the instance.
func (i *instance) start(s *store) error {
	addr := i.addr
	if addr == "" {
		addr = ownIP(200) + ":0"
	}
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	i.l, i.addr, i.store, i.state = l, l.Addr().String(), s, "ready"
	i.busy, i.stop, i.conns = make(chan struct{}, i.slots), make(chan struct{}), map[net.Conn]bool{}
	i.register()
	go i.accept()
	return nil
}

func (i *instance) key() string { return "servers/" + i.id }

// register writes the instance's item.
func (i *instance) register() {
	i.seq++
	value, _ := json.Marshal(map[string]any{
		"addr":   i.addr,
		"info":   map[string]any{"service": i.service, "version": "v1", "zone": i.zone, "slots": i.slots},
		"status": map[string]any{"state": i.state, "seq": i.seq, "warmup_left_ms": 0},
	})
	i.store.put(i.key(), value)
}

// crash ends the instance without a word. The store drops its item once it has missed its reports;
// the crash is taken to come right after a report.
func (i *instance) crash() {
	i.end()
	go func() {
		time.Sleep(3 * heartbeat)
		i.store.remove(i.key())
	}()
}

func (i *instance) end() {
	close(i.stop)
	i.l.Close()
	i.mu.Lock()
	defer i.mu.Unlock()
	for c := range i.conns {
		c.Close()
	}
}

func (i *instance) accept() {
	for {
		c, err := i.l.Accept()
		if err != nil {
			return
		}
		i.mu.Lock()
		i.conns[c] = true
		i.mu.Unlock()
		go i.serve(c)
	}
}

func (i *instance) serve(c net.Conn) {
	defer c.Close()
	reader := bufio.NewReader(c)
	var writing sync.Mutex
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		answer := i.answer(r)
		if answer == nil {
			return
		}
		writing.Lock()
		_, err = c.Write(answer)
		writing.Unlock()
		if err != nil {
			return
		}
		if r.URL.Path == "/health" || rand.Float64() >= i.extraShare {
			continue
		}
		delay := time.Duration(rand.Float64() * float64(i.extraDelay))
		i.log.add("extra", i.id, "answers %s again after %v, status line %q", r.Header.Get("X-Attempt-Id"), delay.Round(time.Millisecond), firstLine(answer))
		go func() {
			time.Sleep(delay)
			writing.Lock()
			defer writing.Unlock()
			c.Write(answer)
		}()
	}
}

func firstLine(answer []byte) string {
	line, _, _ := bytes.Cut(answer, []byte("\r\n"))
	return string(line)
}

func (i *instance) load() string {
	return fmt.Sprintf("%d,%d,%d,100", len(i.busy), i.waiting.Load(), i.slots)
}

// answer runs or rejects a request and returns the bytes of the answer, nil if it is lost.
func (i *instance) answer(r *http.Request) []byte {
	id := r.Header.Get("X-Attempt-Id")
	switch expected := r.Header.Get("X-Expect-Instance"); {
	case r.URL.Path == "/health":
		return i.format(200, "", "X-Instance-Id: "+i.id+"\r\n", "")
	case expected != "" && expected != i.id:
		return i.format(421, id, "X-Instance-Id: "+i.id+"\r\n", "")
	case id == "":
		return i.format(400, "", "X-Not-Executed: 1\r\n", "")
	case rand.Float64() < i.shedShare:
		i.log.add("shed", i.id, "rejects %s", id)
		return i.format(503, id, "X-Not-Executed: 1\r\n", "")
	}
	i.waiting.Add(1)
	arrived := time.Now()
	i.busy <- struct{}{}
	i.waiting.Add(-1)
	defer func() { <-i.busy }()
	i.ledger.add(run{i.id, id, arrived})
	i.log.add("run", i.id, "runs %s %s %s", id, r.Method, r.RequestURI)
	time.Sleep(i.work)
	if rand.Float64() < i.lostShare {
		i.log.add("lost", i.id, "the answer to %s is lost", id)
		return nil
	}
	return i.format(200, id, "X-Response-Signature: s."+id+"\r\n", "ran "+id+"\n")
}

func (i *instance) format(status int, id, extra, body string) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	if id != "" {
		fmt.Fprintf(&b, "X-Attempt-Id: %s\r\n", id)
	}
	fmt.Fprintf(&b, "%sX-Instance-Load: %s\r\nContent-Length: %d\r\n\r\n%s", extra, i.load(), len(body), body)
	return b.Bytes()
}

// snapshot returns all runs so far.
func (l *ledger) snapshot() []run {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]run(nil), l.runs...)
}
