package front

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
)

// repeatable lets every request be begun ahead.
func repeatable(*http.Request) bool { return true }

// get is a request for a target without a body.
func get(target string) string { return lines("GET "+target+" HTTP/1.1", "Host: a", "", "") }

// A tablet sends three reads on one connection without waiting. The entry worked on
// one after the other, so the third took three times as long and was late. All must
// be under way at a time, and the answers come in the order of the requests.
func TestRequestsBehindOneAnotherAreBegunAtOnce(t *testing.T) {
	const requests = 3
	var all sync.WaitGroup
	all.Add(requests)
	_, address := serve(t, ServerConfig{Ahead: repeatable}, func(w http.ResponseWriter, r *http.Request) {
		all.Done()
		all.Wait() // ends only when all have been begun
		io.WriteString(w, r.URL.Path)
	})
	c := dial(t, address)
	c.say(get("/1") + get("/2"))
	c.say(get("/3"))
	for i := range requests {
		resp, text, err := c.answer(http.MethodGet)
		if err != nil || resp.StatusCode != http.StatusOK || text != fmt.Sprint("/", i+1) {
			t.Fatalf("answer %d: %q, %v", i+1, text, err)
		}
	}
	c.say(get("/4"))
	all.Add(1)
	if _, text, err := c.answer(http.MethodGet); err != nil || text != "/4" {
		t.Errorf("after the others: %q, %v", text, err)
	}
}

// A booking follows a read on the same connection. It must not be begun before the
// read is answered: if the connection ended there, the caller would send it again.
func TestWhatMustNotRepeatWaitsItsTurn(t *testing.T) {
	first := make(chan struct{})
	var mu sync.Mutex
	var order []string
	note := func(what string) {
		mu.Lock()
		defer mu.Unlock()
		order = append(order, what)
	}
	_, address := serve(t, ServerConfig{Ahead: func(r *http.Request) bool { return r.URL.Path != "/book" }}, func(w http.ResponseWriter, r *http.Request) {
		note("begin " + r.URL.Path)
		if r.URL.Path == "/1" {
			<-first
		}
		note("end " + r.URL.Path)
		io.Copy(w, r.Body)
	})
	c := dial(t, address)
	c.say(get("/1") + get("/2") + get("/book") + get("/3") + withLength("/post", "body") + get("/4"))
	close(first)
	for range 6 {
		if _, _, err := c.answer(http.MethodGet); err != nil {
			t.Fatal(err)
		}
	}
	mu.Lock()
	defer mu.Unlock()
	told := strings.Join(order, ", ")
	if strings.Index(told, "end /1") > strings.Index(told, "begin /book") || strings.Index(told, "end /book") > strings.Index(told, "begin /post") {
		t.Error(told)
	}
}

// A tablet that has sent two reads loses its network. Endpoints must not work on
// for nobody: both requests have to be cancelled, also the one in front, whose
// connection the server itself no longer watches.
func TestCallerLeavesWithRequestsBehind(t *testing.T) {
	var begun, ended sync.WaitGroup
	begun.Add(2)
	ended.Add(2)
	_, address := serve(t, ServerConfig{Ahead: repeatable}, func(_ http.ResponseWriter, r *http.Request) {
		begun.Done()
		<-r.Context().Done()
		ended.Done()
	})
	c := dial(t, address)
	c.say(get("/1") + get("/2"))
	begun.Wait()
	c.Close()
	ended.Wait()
}

// A planned stop meets a connection with two reads at work. The first answer must
// not close the connection, or the second, which an endpoint has run, is lost.
func TestStopKeepsTheAnswersBehind(t *testing.T) {
	var all sync.WaitGroup
	all.Add(2)
	left := make(chan struct{})
	s, address := serve(t, ServerConfig{Ahead: repeatable}, func(w http.ResponseWriter, r *http.Request) {
		all.Done()
		<-left
		io.WriteString(w, r.URL.Path)
	})
	c := dial(t, address)
	c.say(get("/1") + get("/2"))
	all.Wait()
	s.Leave()
	close(left)
	for i, closes := range []bool{false, true} {
		resp, _, err := c.answer(http.MethodGet)
		if err != nil || resp.Close != closes {
			t.Errorf("answer %d: closes %v, %v", i+1, resp != nil && resp.Close, err)
		}
	}
}

// The endpoint breaks off an answer that was begun ahead. Its caller must see the
// connection end there and not a whole answer, nor the answer of the next request.
func TestCutOffAheadEndsTheConnection(t *testing.T) {
	var all sync.WaitGroup
	all.Add(2)
	_, address := serve(t, ServerConfig{Ahead: repeatable}, func(w http.ResponseWriter, r *http.Request) {
		all.Done()
		all.Wait()
		io.WriteString(w, r.URL.Path)
		if r.URL.Path == "/2" {
			CutOff(w)
		}
	})
	c := dial(t, address)
	c.say(get("/1") + get("/2"))
	if _, text, err := c.answer(http.MethodGet); err != nil || text != "/1" {
		t.Fatalf("first: %q, %v", text, err)
	}
	if _, text, err := c.answer(http.MethodGet); err == nil {
		t.Errorf("second: %q taken for whole", text)
	}
}
