package main

import (
	"encoding/json"
	"fmt"
	"math/rand"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// version is the version of the latest config.
var version = 5

// publish writes a config.
func (f *fleet) publish(routes map[string]any, services []string) {
	version += 1 + rand.Intn(3)
	table := map[string]any{}
	for _, s := range services {
		table[s] = map[string]any{"health_path": "/health", "max_conns": 240, "protocol": "h1", "tls": false}
	}
	data, err := json.Marshal(map[string]any{"version": fmt.Sprintf("%08x", version), "routes": routes, "services": table,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}})
	must(err)
	f.store.put("op/config", data)
}

func routeOf(prefix, kind string, timeout, aim, priority, attempts int, parts ...any) map[string]any {
	r := map[string]any{"host": "a.example", "prefix": prefix, "kind": kind, "target_latency_ms": aim, "priority": priority, "max_attempts": attempts}
	if timeout > 0 {
		r["timeout_ms"] = timeout
	}
	if len(parts) == 1 {
		r["service"] = parts[0]
		return r
	}
	var split []any
	for i := 0; i < len(parts); i += 2 {
		split = append(split, map[string]any{"service": parts[i], "weight": parts[i+1]})
	}
	r["traffic_split"] = split
	return r
}

// soak plays random disruptions against random traffic.
func soak(seconds int, seed int64) []string {
	rnd := rand.New(rand.NewSource(seed))
	zones := []string{"za", "zb", "zc"}
	f := newFleet(6, zones)
	l := f.ledger
	services := []string{"reads", "orders", "field"}
	routes := func() map[string]any {
		return map[string]any{
			"r1": routeOf("/read/", "idempotent", 1000, 250, 2, 2, "reads", 80+rnd.Intn(20), "field", 10),
			"r2": routeOf("/book/", "non_idempotent", 1200, 300, 1, 2, []string{"orders", "orders", "field"}[rnd.Intn(3)]),
			"r3": routeOf("/up/", "upload", 0, 400, 1, 2, "field"),
			"r4": routeOf("/check/", "idempotent", 0, 120, 0, 2, "field", 50, "reads", 30+rnd.Intn(20)),
		}
	}
	f.publish(routes(), services)
	var trouble atomic.Value
	trouble.Store("")
	behave := func(i *instance, r *http.Request) string {
		t, x := trouble.Load().(string), rand.Float64()
		switch {
		case t == "" || x > 0.15:
			if x > 0.9 {
				return answerChunked
			}
			return ""
		case t == "any":
			return []string{answerTruncated, answerUnframed, answerExtra, answerLate, answerLost, answerReset, answerEarly, answerFailed, answerShed, answerBrokenBody}[rand.Intn(10)]
		}
		return t
	}
	var imu sync.Mutex
	var all []*instance
	number := 0
	add := func(service, addr string) {
		number++
		i := startInstance(l, f.store, service, zones[number%3], fmt.Sprintf("i-%04d", number), addr, 2, 60*time.Millisecond)
		i.behave = behave
		i.largest = 1_500_000
		i.idle = time.Duration(1+rand.Intn(4)) * time.Second
		i.onFull = map[string]string{"reads": "hang", "orders": "", "field": "reset"}[service]
		imu.Lock()
		all = append(all, i)
		imu.Unlock()
	}
	for n := range 20 {
		add([]string{"reads", "reads", "orders", "field", "orders"}[n%5], "")
	}
	f.startAll()
	stop := make(chan struct{})
	var clients sync.WaitGroup
	pick := func() *entryProc { return f.entries[rand.Intn(len(f.entries))] }
	for n := range 60 {
		clients.Add(1)
		go func() {
			defer clients.Done()
			var cc *clientConn
			for {
				select {
				case <-stop:
					return
				case <-time.After(time.Duration(rand.Intn(300)) * time.Millisecond):
				}
				if cc == nil {
					c, err := dialClient(pick().caller)
					if err != nil {
						continue
					}
					cc = c
				}
				var c *call
				switch n % 5 {
				case 0, 1:
					c = &call{host: "a.example", method: "GET", target: fmt.Sprintf("/read/%x?q=%d", rand.Intn(1000), n), kind: "idempotent", budget: 2 * time.Second}
				case 2:
					c = &call{host: "a.example", method: "POST", target: fmt.Sprintf("/book/%x", rand.Intn(1000)), kind: "once", budget: 2500 * time.Millisecond, body: filler(rand.Intn(3000)), chunked: rand.Intn(2) == 0}
				case 3:
					size := rand.Intn(300000)
					if rand.Intn(2) == 0 {
						size = 1000000 + rand.Intn(1000000)
					}
					c = &call{host: "a.example", method: "POST", target: fmt.Sprintf("/up/%x", rand.Intn(1000)), kind: "once", budget: 2500 * time.Millisecond, body: filler(size), chunked: rand.Intn(2) == 0}
				default:
					c = &call{host: "a.example", method: "GET", target: fmt.Sprintf("/check/%x", rand.Intn(1000)), kind: "idempotent", budget: time.Second}
				}
				if c.kind == "idempotent" && rand.Intn(3) == 0 {
					cc = pipelined(l, cc, c)
					continue
				}
				if rand.Intn(20) == 0 {
					c.budget = 50 * time.Millisecond // leaves early
				}
				r := paced(l, cc, c)
				if e, ok := r.err.(net.Error); ok && e.Timeout() && c.budget > 100*time.Millisecond {
					l.note("TIMEOUT %s %s %s at %s", r.id, c.method, c.target, cc.RemoteAddr())
				}
				if r.closes || r.err != nil {
					cc.Close()
					cc = nil
				}
			}
		}()
	}
	end := time.Now().Add(time.Duration(seconds) * time.Second)
	for time.Now().Before(end) {
		time.Sleep(time.Duration(200+rnd.Intn(800)) * time.Millisecond)
		switch k := rnd.Intn(14); k {
		case 0:
			f.publish(routes(), services)
		case 1:
			go func(e *entryProc) {
				l.note("STOP %s %s", e.name, e.caller)
				e.signal(syscall.SIGSTOP)
				time.Sleep(time.Duration(300+rand.Intn(2500)) * time.Millisecond)
				l.note("CONT %s %s", e.name, e.caller)
				e.signal(syscall.SIGCONT)
			}(f.entries[rnd.Intn(6)])
		case 2, 3:
			e := f.entries[rnd.Intn(6)]
			e.signal(syscall.SIGCONT)
			l.note("END %d %s %s", k, e.name, e.caller)
			if k == 2 {
				e.signal(syscall.SIGKILL)
				<-e.ended
				f.start(e, false)
			} else {
				e.signal(syscall.SIGTERM)
				go func() {
					if e.await(6 * time.Second) {
						l.note("%s was killed at the end of its grace time", e.name)
					}
					f.start(e, false)
				}()
				time.Sleep(6500 * time.Millisecond)
			}
		case 4, 5:
			imu.Lock()
			at := rnd.Intn(len(all))
			i := all[at]
			all = append(all[:at], all[at+1:]...)
			imu.Unlock()
			switch rnd.Intn(3) {
			case 0:
				i.drain()
				time.AfterFunc(2500*time.Millisecond, func() { i.end(false) })
				add(i.service, "")
			case 1:
				i.end(true)
				time.AfterFunc(3*time.Second, func() { f.store.remove("servers/" + i.id) })
				add(i.service, "")
			case 2: // the address goes to another service
				i.end(true)
				addr, service := i.addr, services[rnd.Intn(3)]
				old := i.service
				time.AfterFunc(2*time.Second, func() { add(service, addr); f.store.remove("servers/" + i.id) })
				add(old, "")
			}
		case 6, 7:
			trouble.Store([]string{"any", answerTruncated, answerExtra, answerLate, answerLost, answerReset, answerEarly, answerUnframed, answerShed}[rnd.Intn(9)])
			time.AfterFunc(2*time.Second, func() { trouble.Store("") })
		case 8, 9:
			mode := []string{doorBusy, doorMany, doorReset, doorSilent, doorSlow}[rnd.Intn(5)]
			some := rnd.Intn(2) == 0
			for n, e := range f.entries {
				if !some || n%2 == 0 {
					e.door.set(mode)
				}
			}
			time.AfterFunc(3*time.Second, func() {
				for _, e := range f.entries {
					e.door.set(doorOpen)
				}
			})
		case 12, 13:
			junk := []string{"{}", "null", "[]", "x", `{"addr":7}`, `{"addr":"127.0.0.1:1","info":{"service":"reads","version":"v1","zone":"za","slots":2},"status":{"state":"odd","seq":1,"warmup_left_ms":0}}`,
				`{"addr":"127.0.0.1:1","info":{"service":"none","version":"v1","zone":"za","slots":2},"status":{"state":"ready","seq":1,"warmup_left_ms":0}}`,
				`{"addr":"127.0.0.1:1","info":{"service":"reads","version":"v1","zone":"za"},"status":{"state":"ready","seq":1,"warmup_left_ms":0}}`,
				`{"addr":"127.0.0.1:1","info":{"service":"reads","version":"v1","slots":2},"status":{"state":"ready","seq":1,"warmup_left_ms":0}}`,
				`{"addr":"127.0.0.1:1","info":{"service":"reads","version":"v1","zone":"za","slots":1e300},"status":{"state":"ready","seq":-1e300,"warmup_left_ms":1e300}}`}
			for n := range 1 + rnd.Intn(600) {
				f.store.put(fmt.Sprintf("servers/j-%d", n), []byte(junk[rnd.Intn(len(junk))]))
			}
			imu.Lock()
			f.store.put("servers/"+all[rnd.Intn(len(all))].id, []byte(junk[rnd.Intn(5)]))
			imu.Unlock()
		case 10:
			f.store.compact()
		case 11:
			f.entries[rnd.Intn(6)].signal(syscall.SIGHUP)
		}
	}
	close(stop)
	clients.Wait()
	time.Sleep(2 * time.Second)
	f.stopAll()
	fmt.Println(l.counts())
	broken := l.check()
	l.record(os.Getenv("RECORD"), broken)
	for _, n := range l.notes {
		fmt.Println(n)
	}
	return broken
}

// pipelined sends some requests behind one another. It returns the connection if it can be used again.
func pipelined(l *ledger, cc *clientConn, c *call) *clientConn {
	n := 2 + rand.Intn(12)
	var ids []string
	var text []byte
	for range n {
		id := newID()
		ids = append(ids, id)
		l.send(c, id)
		text = append(text, c.head(id)...)
	}
	cc.Write(text)
	deadline := time.Now().Add(c.budget)
	for _, id := range ids {
		r := cc.read(c, id, deadline)
		l.end(r)
		if e, ok := r.err.(net.Error); ok && e.Timeout() {
			l.note("TIMEOUT %s pipelined %s %s at %s", r.id, c.method, c.target, cc.RemoteAddr())
		}
		if r.err != nil || r.closes {
			cc.Close()
			return nil
		}
	}
	return cc
}

// paced sends a request as a client on a slow link does, and at times leaves in the middle.
func paced(l *ledger, cc *clientConn, c *call) *result {
	id := newID()
	l.send(c, id)
	head, body := []byte(c.head(id)), c.encodedBody()
	leave := -1
	if len(body) > 1000 && rand.Intn(12) == 0 {
		leave = rand.Intn(len(body) - 500)
	}
	slowHead := rand.Intn(15) == 0
	gap := time.Duration(rand.Intn(4)) * time.Millisecond
	go func() {
		for slowHead && len(head) > 10 {
			cc.Write(head[:8])
			head = head[8:]
			time.Sleep(20 * time.Millisecond)
		}
		cc.Write(head)
		for sent := 0; sent < len(body); {
			n := min(len(body)-sent, 20_000)
			if leave >= 0 && sent+n > leave {
				cc.Write(body[sent : sent+max(0, leave-sent)])
				cc.Close()
				return
			}
			if _, err := cc.Write(body[sent : sent+n]); err != nil {
				return
			}
			sent += n
			time.Sleep(gap)
		}
	}()
	r := cc.read(c, id, time.Now().Add(c.budget))
	l.end(r)
	return r
}
