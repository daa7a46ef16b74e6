// Command parts has the stand-ins of the second review: the platform's store, instances and clients
// on loopback, which run beside tealhalld processes.
package main

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// kvItem is one key of the store, or the event of its change.
type kvItem struct {
	key     string
	value   []byte
	mod     uint64
	created uint64
	deleted bool
}

// json returns the item in the form of the protocol.
func (i kvItem) json() map[string]any {
	if i.deleted {
		return map[string]any{"key": i.key, "mod_revision": i.mod, "deleted": true}
	}
	return map[string]any{"key": i.key, "value": base64.StdEncoding.EncodeToString(i.value), "mod_revision": i.mod, "create_revision": i.created, "lease": 0}
}

// store is the platform's store. Each entry has a door of its own, so that the store can treat
// machines differently.
type store struct {
	mu     sync.Mutex
	rev    uint64
	items  map[string]kvItem
	events []kvItem
	// since is the revision up to which the history was dropped.
	since   uint64
	changed chan struct{}
}

func newStore() *store {
	return &store{rev: 100, items: map[string]kvItem{}, since: 100, changed: make(chan struct{})}
}

// put writes a key and returns the store's revision, which is the acknowledgement.
func (s *store) put(key string, value []byte) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	i := kvItem{key: key, value: value, mod: s.rev, created: s.rev}
	if old, ok := s.items[key]; ok {
		i.created = old.created
	}
	s.items[key] = i
	s.note(i)
	return s.rev
}

// remove deletes a key.
func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[key]; !ok {
		return
	}
	s.rev++
	delete(s.items, key)
	s.note(kvItem{key: key, mod: s.rev, deleted: true})
}

func (s *store) note(i kvItem) {
	s.events = append(s.events, i)
	close(s.changed)
	s.changed = make(chan struct{})
}

// compact drops the history.
func (s *store) compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events, s.since = nil, s.rev
	close(s.changed)
	s.changed = make(chan struct{})
}

// The ways in which a door of the store can misbehave.
const (
	doorOpen   = ""
	doorBusy   = "busy"   // 503
	doorMany   = "many"   // 429
	doorReset  = "reset"  // the connection is reset
	doorSilent = "silent" // no answer
	doorSlow   = "slow"   // answers 300 ms later
)

// door is the store as one machine reaches it.
type door struct {
	store *store
	addr  string
	mu    sync.Mutex
	mode  string
	cut   chan struct{}
	// watches counts the watches that wait.
	watches atomic.Int32
}

func openDoor(s *store) *door {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	d := &door{store: s, addr: l.Addr().String(), cut: make(chan struct{})}
	go http.Serve(l, d)
	return d
}

// set changes how the door behaves, and ends the watches that wait.
func (d *door) set(mode string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.mode = mode
	close(d.cut)
	d.cut = make(chan struct{})
}

func (d *door) state() (string, chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.mode, d.cut
}

// misbehave carries out the door's mode and reports whether the call is over.
func (d *door) misbehave(w http.ResponseWriter, r *http.Request, mode string) bool {
	switch mode {
	case doorBusy:
		http.Error(w, "busy", http.StatusServiceUnavailable)
	case doorMany:
		http.Error(w, "many", http.StatusTooManyRequests)
	case doorReset:
		reset(w)
	case doorSilent:
		<-r.Context().Done()
	case doorSlow:
		time.Sleep(300 * time.Millisecond)
		return false
	default:
		return false
	}
	return true
}

func reset(w http.ResponseWriter) {
	c, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	c.(*net.TCPConn).SetLinger(0)
	c.Close()
}

// ServeHTTP implements http.Handler.
func (d *door) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	mode, cut := d.state()
	if d.misbehave(w, r, mode) {
		return
	}
	q, s := r.URL.Query(), d.store
	switch r.URL.Path {
	case "/-/kv-key":
		s.mu.Lock()
		i, ok := s.items[q.Get("key")]
		body := i.json()
		body["current_rev"] = s.rev
		s.mu.Unlock()
		if !ok {
			http.NotFound(w, r)
			return
		}
		answerJSON(w, body)
	case "/-/kv-range":
		answerJSON(w, s.list(q.Get("prefix"), q.Get("after")))
	case "/-/kv-watch":
		after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(q.Get("wait_ms"))
		d.watches.Add(1)
		defer d.watches.Add(-1)
		s.watch(w, r, q.Get("prefix"), after, time.Duration(wait)*time.Millisecond, cut)
	default:
		http.NotFound(w, r)
	}
}

// pageItems is the number of items of a page.
const pageItems = 500

func (s *store) list(prefix, after string) map[string]any {
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for k := range s.items {
		if strings.HasPrefix(k, prefix) && k > after {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	truncated := len(keys) > pageItems
	if truncated {
		keys = keys[:pageItems]
	}
	items := []any{}
	for _, k := range keys {
		items = append(items, s.items[k].json())
	}
	return map[string]any{"items": items, "truncated": truncated, "current_rev": s.rev}
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, prefix string, after uint64, wait time.Duration, cut chan struct{}) {
	deadline := time.After(wait)
	for {
		s.mu.Lock()
		if after < s.since {
			s.mu.Unlock()
			http.Error(w, "gone", http.StatusGone)
			return
		}
		var events []any
		for _, e := range s.events {
			if e.mod > after && strings.HasPrefix(e.key, prefix) {
				events = append(events, e.json())
			}
		}
		rev, changed := s.rev, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			answerJSON(w, map[string]any{"events": events, "current_rev": rev})
			return
		}
		select {
		case <-changed:
		case <-deadline:
			answerJSON(w, map[string]any{"events": []any{}, "current_rev": rev})
			return
		case <-cut:
			reset(w)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func answerJSON(w http.ResponseWriter, body any) {
	data, err := json.Marshal(body)
	must(err)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.Write(data)
}

func must(err error) {
	if err != nil {
		panic(fmt.Sprintf("the case cannot run: %v", err))
	}
}
