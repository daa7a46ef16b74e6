package front

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
)

// allowPipelining lets every request be begun ahead.
func allowPipelining(*http.Request) bool { return true }

// get is a request for a target without a body.
func get(target string) string { return lines("GET "+target+" HTTP/1.1", "Host: a", "", "") }

// A tablet sends three reads on one connection without waiting. The entry worked on
// one after the other, so the third took three times as long and was late. All must
// be under way at a time, and the answers come in the order of the requests.
func TestPipelinedRequestsRunAtOnce(t *testing.T) {
	const requests = 3
	var all sync.WaitGroup
	all.Add(requests)
	_, address := serve(t, ServerConfig{MayPipeline: allowPipelining}, func(w http.ResponseWriter, r *http.Request) {
		all.Done()
		all.Wait() // ends only when all have been begun
		io.WriteString(w, r.URL.Path)
	})
	c := dial(t, address)
	c.send(get("/1") + get("/2"))
	c.send(get("/3"))
	for i := range requests {
		resp, text, err := c.answer(http.MethodGet)
		if err != nil || resp.StatusCode != http.StatusOK || text != fmt.Sprint("/", i+1) {
			t.Fatalf("answer %d: %q, %v", i+1, text, err)
		}
	}
	c.send(get("/4"))
	all.Add(1)
	if _, text, err := c.answer(http.MethodGet); err != nil || text != "/4" {
		t.Errorf("after the others: %q, %v", text, err)
	}
}

// A booking follows a read on the same connection. It must not be begun before the
// read is answered: if the connection ended there, the caller would send it again.
func TestRequestThatMustNotRepeatIsNotStartedEarly(t *testing.T) {
	first := make(chan struct{})
	var mu sync.Mutex
	var order []string
	note := func(event string) {
		mu.Lock()
		defer mu.Unlock()
		order = append(order, event)
	}
	_, address := serve(t, ServerConfig{MayPipeline: func(r *http.Request) bool { return r.URL.Path != "/book" }}, func(w http.ResponseWriter, r *http.Request) {
		note("begin " + r.URL.Path)
		if r.URL.Path == "/1" {
			<-first
		}
		note("end " + r.URL.Path)
		io.Copy(w, r.Body)
	})
	c := dial(t, address)
	c.send(get("/1") + get("/2") + get("/book") + get("/3") + withLength("/post", "body") + get("/4"))
	close(first)
	for range 6 {
		if _, _, err := c.answer(http.MethodGet); err != nil {
			t.Fatal(err)
		}
	}
	mu.Lock()
	defer mu.Unlock()
	got := strings.Join(order, ", ")
	if strings.Index(got, "end /1") > strings.Index(got, "begin /book") || strings.Index(got, "end /book") > strings.Index(got, "begin /post") {
		t.Error(got)
	}
}

// A tablet that has sent two reads loses its network. Endpoints must not work on
// for nobody: both requests have to be cancelled, also the one in front, whose
// connection the server itself no longer watches.
func TestCallerGoneCancelsPipelinedRequests(t *testing.T) {
	var begun, ended sync.WaitGroup
	begun.Add(2)
	ended.Add(2)
	_, address := serve(t, ServerConfig{MayPipeline: allowPipelining}, func(_ http.ResponseWriter, r *http.Request) {
		begun.Done()
		<-r.Context().Done()
		ended.Done()
	})
	c := dial(t, address)
	c.send(get("/1") + get("/2"))
	begun.Wait()
	c.Close()
	ended.Wait()
}

// A planned stop meets a connection with two reads at work. The first answer must
// not close the connection, or the second, which an endpoint has run, is lost.
func TestLeaveDeliversPipelinedAnswersBeforeClosing(t *testing.T) {
	var all sync.WaitGroup
	all.Add(2)
	left := make(chan struct{})
	s, address := serve(t, ServerConfig{MayPipeline: allowPipelining}, func(w http.ResponseWriter, r *http.Request) {
		all.Done()
		<-left
		io.WriteString(w, r.URL.Path)
	})
	c := dial(t, address)
	c.send(get("/1") + get("/2"))
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
func TestCutOffPipelinedAnswerEndsConnection(t *testing.T) {
	var all sync.WaitGroup
	all.Add(2)
	_, address := serve(t, ServerConfig{MayPipeline: allowPipelining}, func(w http.ResponseWriter, r *http.Request) {
		all.Done()
		all.Wait()
		io.WriteString(w, r.URL.Path)
		if r.URL.Path == "/2" {
			CutOff(w)
		}
	})
	c := dial(t, address)
	c.send(get("/1") + get("/2"))
	if _, text, err := c.answer(http.MethodGet); err != nil || text != "/1" {
		t.Fatalf("first: %q, %v", text, err)
	}
	if _, text, err := c.answer(http.MethodGet); err == nil {
		t.Errorf("second: %q taken for whole", text)
	}
}
