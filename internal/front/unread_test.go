package front

import (
	"net/http"
	"testing"
	"time"
)

// Guards against a refusal that waits for the rest of a body which the handler does not read.
func TestAnswerDoesNotWaitForUnreadBody(t *testing.T) {
	_, address := serve(t, ServerConfig{}, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNotFound) })
	for _, framing := range []string{"Content-Length: 5", "Transfer-Encoding: chunked", "Content-Length: 1000000"} {
		conn := dial(t, address)
		conn.send("POST / HTTP/1.1\r\nHost: a\r\n" + framing + "\r\n\r\n")
		if resp, _, err := conn.answer(http.MethodPost); err != nil || resp.StatusCode != http.StatusNotFound {
			t.Errorf("%s: %v, %v", framing, resp, err)
		}
		if _, err := conn.reader.ReadByte(); err == nil {
			t.Errorf("%s: the connection was used again", framing)
		}
	}
	conn := dial(t, address)
	for range 2 {
		conn.send("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbody")
		if resp, _, err := conn.answer(http.MethodPost); err != nil || resp.Close {
			t.Errorf("a whole body: %v, %v", resp, err)
		}
	}
}

// Guards against an upload that is cut off half a second after its answer has begun, and against an answer
// that is cut off then because the deadline looks like the caller's departure.
func TestAnswerSetsNoDeadlineForStreamedBody(t *testing.T) {
	deadlines := make(chan time.Time, 1)
	_, address := serve(t, ServerConfig{}, func(w http.ResponseWriter, r *http.Request) {
		body, err := NewReplayBody(w, r, BodyLimits{Buffer: 4})
		if err != nil {
			t.Error(err)
			return
		}
		defer body.Release()
		w.WriteHeader(http.StatusOK)
		g := r.Context().Value(connKey{}).(*guardedConn)
		g.mu.Lock()
		deadlines <- g.deadline
		g.mu.Unlock()
	})
	conn := dial(t, address)
	conn.send("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\npart")
	if deadline := <-deadlines; !deadline.IsZero() {
		t.Errorf("the rest of the body has until %v", deadline)
	}
}
