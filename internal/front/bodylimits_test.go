package front

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/tealhall/tealhall/internal/intake"
)

// keepBody answers with the error of keeping the body, "" for none.
func keepBody(limits BodyLimits) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		body, err := NewReplayBody(w, r, limits)
		if err != nil {
			w.WriteHeader(http.StatusServiceUnavailable)
			io.WriteString(w, err.Error())
			return
		}
		body.Release()
	}
}

// Guards against a caller that stops within its body and is neither answered nor closed, and against
// memory that stays taken.
func TestUnfinishedBodiesAreAnswered(t *testing.T) {
	for name, c := range map[string]struct {
		framing, sent string
		timeout       time.Duration
		memory        int64
		want          error
	}{
		"late, with a length": {"Content-Length: 20000", "part", 10 * time.Millisecond, 1 << 20, ErrBodyLate},
		"late, in chunks":     {"Transfer-Encoding: chunked", "4\r\npart\r\n", 10 * time.Millisecond, 1 << 20, ErrBodyLate},
		"late, within a size": {"Transfer-Encoding: chunked", "4\r\npart\r\n4", 10 * time.Millisecond, 1 << 20, ErrBodyLate},
		"no memory":           {"Content-Length: 20000", strings.Repeat("x", 9000), time.Minute, 8 << 10, ErrNoMemory},
		"no memory at all":    {"Content-Length: 20000", "", time.Minute, 0, ErrNoMemory},
	} {
		t.Run(name, func(t *testing.T) {
			memory := intake.NewMemory(c.memory, func() time.Duration { return 0 })
			_, address := serve(t, ServerConfig{}, keepBody(BodyLimits{Buffer: 1 << 20, Timeout: c.timeout, Memory: memory}))
			conn := dial(t, address)
			conn.send("POST / HTTP/1.1\r\nHost: a\r\n" + c.framing + "\r\n\r\n" + c.sent)
			resp, text, err := conn.answer(http.MethodPost)
			if err != nil || text != c.want.Error() || !resp.Close {
				t.Fatalf("got %q, close %v, %v", text, resp != nil && resp.Close, err)
			}
			if _, err := conn.reader.ReadByte(); err == nil {
				t.Error("the connection was used again")
			}
			if s := memory.Stats(); s.Held != 0 || s.Receiving != 0 {
				t.Errorf("still held: %+v", s)
			}
		})
	}
}

// Guards against a body that stalls and keeps memory that other requests need.
func TestStalledBodyIsAnswered(t *testing.T) {
	now := make(chan time.Duration, 1)
	now <- 0
	clock := func() time.Duration { at := <-now; now <- at; return at }
	memory := intake.NewMemory(12<<10, clock)
	_, address := serve(t, ServerConfig{}, keepBody(BodyLimits{Buffer: 1 << 20, Timeout: time.Minute, Memory: memory}))
	stalled, other := dial(t, address), dial(t, address)
	stalled.send("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9000\r\n\r\npart")
	await(t, func() bool { return memory.Stats().Held > 0 })
	<-now
	now <- intake.StallTime
	other.send("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 8000\r\n\r\n" + strings.Repeat("x", 8000))
	if resp, _, err := other.answer(http.MethodPost); err != nil || resp.StatusCode != http.StatusOK {
		t.Errorf("the other request: %v, %v", resp, err)
	}
	if _, text, err := stalled.answer(http.MethodPost); err != nil || text != ErrBodyLate.Error() {
		t.Errorf("the stalled request: %q, %v", text, err)
	}
}

// Guards against a caller that is still sending when its body is refused, and that is not answered or loses
// the answer in a reset.
func TestRefusedBodyIsAnswered(t *testing.T) {
	refusal := errors.New("not now")
	for name, framing := range map[string]string{"with a length": "Content-Length: 200000\r\n\r\npart", "in chunks": "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n"} {
		t.Run(name, func(t *testing.T) {
			ctx, refuse := context.WithCancelCause(t.Context())
			memory := intake.NewMemory(1<<20, func() time.Duration { return 0 })
			_, address := serve(t, ServerConfig{}, keepBody(BodyLimits{Buffer: 1 << 20, Timeout: time.Minute, Memory: memory, Context: ctx}))
			conn := dial(t, address)
			conn.send("POST / HTTP/1.1\r\nHost: a\r\n" + framing)
			await(t, func() bool { return memory.Stats().Held > 0 })
			refuse(refusal)
			conn.send(strings.Repeat("x", 50_000))
			resp, text, err := conn.answer(http.MethodPost)
			if err != nil || text != refusal.Error() || !resp.Close {
				t.Fatalf("got %q, close %v, %v", text, resp != nil && resp.Close, err)
			}
			if s := memory.Stats(); s.Held != 0 || s.Receiving != 0 {
				t.Errorf("still held: %+v", s)
			}
		})
	}
}
