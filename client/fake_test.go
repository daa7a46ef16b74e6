package client

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/tealhall/tealhall/internal/contract"
)

// fakeFleet is a set of entries that answer by scripts and log the requests that arrive.
type fakeFleet struct {
	t *testing.T

	mu           sync.Mutex
	list         contract.EntriesAnswer
	listRequests int
	arrivals     []string          // "entry key", in order
	keyNames     map[string]string // keys in order of appearance: k1, k2 ...
	scripts      map[string][]string
	arrived      chan struct{}
}

// startFleet starts one entry for each script; an entry with a nil script refuses connections. The
// first entry has all the weight.
func startFleet(t *testing.T, scripts ...[]string) (*fakeFleet, *Client) {
	f := &fakeFleet{t: t, keyNames: make(map[string]string), scripts: make(map[string][]string), arrived: make(chan struct{}, 64)}
	f.list = contract.EntriesAnswer{Service: "s", Revision: 7, TTLMillis: 8000}
	for i, script := range scripts {
		name := string(rune('A' + i))
		f.scripts[name] = script
		address := closedAddress(i)
		if script != nil {
			server := httptest.NewServer(f.handler(name))
			t.Cleanup(server.Close)
			address = server.Listener.Addr().String()
		}
		f.list.Entries = append(f.list.Entries, contract.EntryAddress{Name: name, Address: address, KeyPrefix: name + "-"})
	}
	f.list.Entries[0].Weight = 1
	seed := httptest.NewServer(f.handler("seed"))
	t.Cleanup(seed.Close)
	c, err := New(Options{
		Seeds:     []string{seed.Listener.Addr().String()},
		Caller:    "me",
		MaxAnswer: 100,
		Wait:      func(ctx context.Context, _ time.Duration) error { return ctx.Err() },
	})
	if err != nil {
		t.Fatal(err)
	}
	return f, c
}

// closedAddress returns an address where nothing listens: the lowest ports belong to services that
// are not in use. A port that was just closed would not do, since the next listener may get it.
func closedAddress(i int) string { return fmt.Sprintf("127.0.0.1:%d", 1+i) }

func (f *fakeFleet) handler(name string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == contract.EntriesPath {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.listRequests++
			_ = json.NewEncoder(w).Encode(f.list)
			return
		}
		f.respond(w, r, f.nextStep(name, r))
	})
}

// log returns the requests that have arrived so far.
func (f *fakeFleet) log() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.arrivals)
}

// nextStep logs a request and returns the next step of the entry's script.
func (f *fakeFleet) nextStep(name string, r *http.Request) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	key := r.Header.Get(contract.HeaderIdempotencyKey)
	if key != "" && f.keyNames[key] == "" {
		f.keyNames[key] = fmt.Sprintf("k%d", len(f.keyNames)+1)
	}
	f.arrived <- struct{}{}
	f.arrivals = append(f.arrivals, strings.TrimSpace(name+" "+f.keyNames[key]))
	script := f.scripts[name]
	if len(script) == 0 {
		f.t.Errorf("entry %s got more requests than its script has steps", name)
		return "done"
	}
	f.scripts[name] = script[1:]
	return script[0]
}

// respond carries out one step of a script: "done", "lost" (no response), "cut" (half a response),
// "large" (a body above MaxAnswer), "redirect", "hang" (no response until the caller cancels), or a
// status with any number of outcomes and a reason.
func (f *fakeFleet) respond(w http.ResponseWriter, r *http.Request, step string) {
	switch step {
	case "lost":
		panic(http.ErrAbortHandler)
	case "cut":
		w.Header().Set(contract.HeaderOutcome, "done")
		w.Header().Set("Content-Length", "10")
		fmt.Fprint(w, "half")
		panic(http.ErrAbortHandler)
	case "hang":
		<-r.Context().Done()
		return
	case "done":
		step = "200 done"
	case "large":
		w.Header().Set(contract.HeaderOutcome, "done")
		fmt.Fprint(w, strings.Repeat("x", 101))
		return
	case "redirect":
		w.Header().Set("Location", "/elsewhere")
		step = "307 done"
	}
	fields := strings.Fields(step)
	var status int
	fmt.Sscan(fields[0], &status)
	for _, field := range fields[1:] {
		if reason, ok := strings.CutPrefix(field, "reason="); ok {
			w.Header().Set(contract.HeaderReason, reason)
			continue
		}
		w.Header().Add(contract.HeaderOutcome, field)
	}
	w.WriteHeader(status)
	fmt.Fprint(w, "answer")
}
