package front

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
)

// allowPipelining allows every request to be started before its turn.
func allowPipelining(*http.Request) bool { return true }

// get returns a GET request for target.
func get(target string) string { return lines("GET "+target+" HTTP/1.1", "Host: a", "", "") }

// Guards against pipelined reads that run one after the other: of three reads on one connection,
// the third then takes three times as long. All three must run at the same time, and the answers
// must arrive in the order of the requests.
func TestPipelinedRequestsRunAtOnce(t *testing.T) {
	const requests = 3
	var running sync.WaitGroup
	running.Add(requests)
	_, address := serve(t, ServerConfig{MayPipeline: allowPipelining}, func(w http.ResponseWriter, r *http.Request) {
		running.Done()
		running.Wait() // returns only when all requests have started
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
	running.Add(1)
	c.send(get("/4"))
	if _, text, err := c.answer(http.MethodGet); err != nil || text != "/4" {
		t.Errorf("answer after the pipelined ones: %q, %v", text, err)
	}
}

// A request that must not run twice follows a read on the same connection. It must not start before
// the read is answered: if the connection ended there, the caller would send the request again.
func TestRequestThatMustNotRepeatIsNotStartedEarly(t *testing.T) {
	first := make(chan struct{})
	var mu sync.Mutex
	var order []string
	record := func(event string) {
		mu.Lock()
		defer mu.Unlock()
		order = append(order, event)
	}
	_, address := serve(t, ServerConfig{MayPipeline: func(r *http.Request) bool { return r.URL.Path != "/book" }}, func(w http.ResponseWriter, r *http.Request) {
		record("begin " + r.URL.Path)
		if r.URL.Path == "/1" {
			<-first
		}
		record("end " + r.URL.Path)
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

// A caller disappears after it has sent two reads. Both requests must be cancelled, so that
// endpoints do not work for a caller that is gone. This includes the first request, whose
// connection net/http itself no longer watches.
func TestCallerGoneCancelsPipelinedRequests(t *testing.T) {
	var started, ended sync.WaitGroup
	started.Add(2)
	ended.Add(2)
	_, address := serve(t, ServerConfig{MayPipeline: allowPipelining}, func(_ http.ResponseWriter, r *http.Request) {
		started.Done()
		<-r.Context().Done()
		ended.Done()
	})
	c := dial(t, address)
	c.send(get("/1") + get("/2"))
	started.Wait()
	c.Close()
	ended.Wait()
}

// The server leaves while two reads of a connection are in progress. The first answer must not
// close the connection, because the answer to the second request, which an endpoint has run, would
// be lost.
func TestLeaveDeliversPipelinedAnswersBeforeClosing(t *testing.T) {
	var started sync.WaitGroup
	started.Add(2)
	leaving := make(chan struct{})
	s, address := serve(t, ServerConfig{MayPipeline: allowPipelining}, func(w http.ResponseWriter, r *http.Request) {
		started.Done()
		<-leaving
		io.WriteString(w, r.URL.Path)
	})
	c := dial(t, address)
	c.send(get("/1") + get("/2"))
	started.Wait()
	s.Leave()
	close(leaving)
	for i, closes := range []bool{false, true} {
		resp, _, err := c.answer(http.MethodGet)
		if err != nil || resp.Close != closes {
			t.Errorf("answer %d: closes the connection = %v, %v", i+1, resp != nil && resp.Close, err)
		}
	}
}

// An endpoint breaks off an answer to a pipelined request. The caller must see the connection end
// there, rather than a complete answer or the answer to the next request.
func TestCutOffPipelinedAnswerEndsConnection(t *testing.T) {
	var started sync.WaitGroup
	started.Add(2)
	_, address := serve(t, ServerConfig{MayPipeline: allowPipelining}, func(w http.ResponseWriter, r *http.Request) {
		started.Done()
		started.Wait()
		io.WriteString(w, r.URL.Path)
		if r.URL.Path == "/2" {
			CutOff(w)
		}
	})
	c := dial(t, address)
	c.send(get("/1") + get("/2"))
	if _, text, err := c.answer(http.MethodGet); err != nil || text != "/1" {
		t.Fatalf("first answer: %q, %v", text, err)
	}
	if _, text, err := c.answer(http.MethodGet); err == nil {
		t.Errorf("the second answer %q was read without an error", text)
	}
}
