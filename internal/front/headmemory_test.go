package front

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/tealhall/tealhall/internal/intake"
)

// Guards against large heads, and answers that wait behind others, that are held beyond the memory.
func TestHeadsAndWaitingAnswersAreAccountedFor(t *testing.T) {
	memory := intake.NewMemory(40<<10, func() time.Duration { return 0 })
	release := make(chan struct{})
	handler := func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			<-release
			return
		}
		for range 4 {
			io.WriteString(w, strings.Repeat("x", 16<<10))
		}
	}
	cfg := ServerConfig{Memory: memory, MayPipeline: func(*http.Request) bool { return true },
		Refuse: func(w http.ResponseWriter, _ *http.Request, v Violation) { w.WriteHeader(v.Status()) }}
	_, address := serve(t, cfg, handler)
	large := dial(t, address)
	large.send("GET / HTTP/1.1\r\nHost: a\r\nX-Fill: " + strings.Repeat("x", 30<<10) + "\r\n\r\n")
	if resp, _, err := large.answer(http.MethodGet); err != nil || resp.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("a head beyond the memory: %v, %v", resp, err)
	}
	pipelined := dial(t, address)
	pipelined.send("GET /slow HTTP/1.1\r\nHost: a\r\n\r\n" + "GET /long HTTP/1.1\r\nHost: a\r\n\r\n")
	await(t, func() bool { return memory.Stats().Denied >= 2 })
	if held := memory.Stats().Held; held > 40<<10 {
		t.Errorf("%d bytes are held", held)
	}
	close(release)
	for _, want := range []int{0, 64 << 10} {
		if _, text, err := pipelined.answer(http.MethodGet); err != nil || len(text) != want {
			t.Errorf("got %d bytes, want %d, %v", len(text), want, err)
		}
	}
	if held := memory.Stats().Held; held != 0 {
		t.Errorf("%d bytes are still held", held)
	}
}
