// Package logtest captures the log in tests. The destination of klog cannot be changed while a
// goroutine logs, and the entries of an earlier test may still do so, so it is set once for a test
// binary.
package logtest

import (
	"context"
	"log/slog"
	"os"
	"strings"
	"sync"
	"testing"

	"k8s.io/klog/v2"

	"github.com/tealhall/tealhall/internal/logging"
)

// Main runs the tests of a package whose tests capture the log, then cleanup. It is the package's
// TestMain.
func Main(m *testing.M, cleanup ...func()) {
	klog.SetSlogLogger(slog.New(destination))
	code := m.Run()
	for _, clean := range cleanup {
		clean()
	}
	os.Exit(code)
}

// destination is the handler of all lines.
var destination = &handler{Handler: slog.NewTextHandler(os.Stderr, nil)}

// handler passes lines to a capturing handler while there is one, and to its own otherwise.
type handler struct {
	slog.Handler
	mu        sync.Mutex
	capturing slog.Handler
}

// Handle implements slog.Handler.
func (h *handler) Handle(ctx context.Context, r slog.Record) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.capturing != nil {
		return h.capturing.Handle(ctx, r)
	}
	return h.Handler.Handle(ctx, r)
}

func (h *handler) set(capturing slog.Handler) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.capturing = capturing
}

// Capture captures the log in the daemon's format until the returned function is called, which
// returns the lines. Other tests may have written some of them.
func Capture(t *testing.T) (end func() []string) {
	var out strings.Builder
	w := logging.NewWriter(&out, logging.Config{})
	destination.set(logging.NewHandler(w))
	var once sync.Once
	end = func() []string {
		once.Do(func() {
			destination.set(nil)
			w.Close()
		})
		return strings.Split(strings.TrimSuffix(out.String(), "\n"), "\n")
	}
	t.Cleanup(func() { end() })
	return end
}
