package front

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"

	"pgregory.net/rapid"
)

// Callers pipeline reads while the server leaves and stops, and handlers end in any order. Each
// request that was started must be answered on its connection, completely and in order: Stop cuts
// off nothing, and no connection closes with a request in progress. A request that was not started
// may be sent again to another entry.
func TestStartedRequestsAreAnsweredDuringStop(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const connections = 3
		var mu sync.Mutex
		started := make(map[string]bool)
		gates := make(map[string]chan struct{})
		gate := func(path string) chan struct{} {
			mu.Lock()
			defer mu.Unlock()
			if gates[path] == nil {
				gates[path] = make(chan struct{})
			}
			return gates[path]
		}
		s, address := serve(t, ServerConfig{MayPipeline: allowPipelining}, func(w http.ResponseWriter, r *http.Request) {
			mu.Lock()
			started[r.URL.Path] = true
			mu.Unlock()
			<-gate(r.URL.Path)
			io.WriteString(w, r.URL.Path)
		})
		var callers [connections]*caller
		var sent [connections]int
		path := func(connection, n int) string { return fmt.Sprintf("/%d/%d", connection, n) }
		released := make(map[string]bool)
		release := func(path string) {
			if !released[path] {
				released[path] = true
				close(gate(path))
			}
		}
		for i := range callers {
			callers[i] = dial(t, address)
			// A connection that was used before is closed as soon as it is idle.
			release(path(i, 0))
			callers[i].send(get(path(i, 0)))
			if _, _, err := callers[i].answer(http.MethodGet); err != nil {
				rt.Fatal(err)
			}
			sent[i] = 1
		}
		stopped := make(chan int, 1)
		stopping := false
		rt.Repeat(map[string]func(*rapid.T){
			"send": func(rt *rapid.T) {
				i := rapid.IntRange(0, connections-1).Draw(rt, "connection")
				callers[i].send(get(path(i, sent[i])))
				sent[i]++
			},
			"answer": func(rt *rapid.T) {
				i := rapid.IntRange(0, connections-1).Draw(rt, "connection")
				release(path(i, rapid.IntRange(0, sent[i]-1).Draw(rt, "request")))
			},
			"leave": func(*rapid.T) { s.Leave() },
			"stop": func(rt *rapid.T) {
				if !stopping {
					stopping = true
					go func() { stopped <- s.Stop(t.Context(), nil) }()
				}
			},
		})
		for i := range callers {
			for n := range sent[i] {
				release(path(i, n))
			}
		}
		if !stopping {
			go func() { stopped <- s.Stop(t.Context(), nil) }()
		}
		if cut := <-stopped; cut != 0 {
			rt.Errorf("%d requests were cut off", cut)
		}
		for i, c := range callers {
			answered := 1
			for {
				_, text, err := c.answer(http.MethodGet)
				if err != nil {
					break
				}
				if text != path(i, answered) {
					rt.Fatalf("answer %d on connection %d is %q", answered, i, text)
				}
				answered++
			}
			for n := range sent[i] {
				if started[path(i, n)] != (n < answered) {
					rt.Errorf("connection %d: request %d: started %v, answered %v", i, n, started[path(i, n)], n < answered)
				}
			}
		}
	})
}
