package logging

import (
	"bytes"
	"context"
	"log/slog"
	"sync"

	"k8s.io/klog/v2"
)

// LowPriority is the key of an attribute that marks a line as one of many similar ones, such as the
// request trace of a successful request. Such lines are dropped first. The attribute itself is not
// written.
const LowPriority = "ordinary"

// handler encodes records as JSON and passes the lines to a Writer.
type handler struct {
	inner slog.Handler
	line  *lineBuffer
	out   *Writer
}

// lineBuffer is the output of the JSON encoder, shared by all derived handlers.
type lineBuffer struct {
	mu   sync.Mutex
	data bytes.Buffer
}

// Write implements io.Writer. Handle holds mu when the encoder calls it.
func (b *lineBuffer) Write(p []byte) (int, error) { return b.data.Write(p) }

// NewHandler returns a slog handler that writes one JSON object per line to out.
func NewHandler(out *Writer) slog.Handler {
	line := &lineBuffer{}
	options := &slog.HandlerOptions{
		Level: slog.Level(-100), // klog decides what is logged
		ReplaceAttr: func(_ []string, a slog.Attr) slog.Attr {
			if a.Key == LowPriority {
				return slog.Attr{}
			}
			return a
		},
	}
	return &handler{inner: slog.NewJSONHandler(line, options), line: line, out: out}
}

// Enabled implements slog.Handler.
func (h *handler) Enabled(ctx context.Context, level slog.Level) bool {
	return h.inner.Enabled(ctx, level)
}

// Handle implements slog.Handler.
func (h *handler) Handle(ctx context.Context, r slog.Record) error {
	lowPriority := false
	r.Attrs(func(a slog.Attr) bool {
		lowPriority = lowPriority || a.Key == LowPriority
		return !lowPriority
	})
	h.line.mu.Lock()
	defer h.line.mu.Unlock()
	h.line.data.Reset()
	if err := h.inner.Handle(ctx, r); err != nil {
		return err
	}
	h.out.enqueue(h.line.data.Bytes(), lowPriority)
	return nil
}

// WithAttrs implements slog.Handler.
func (h *handler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &handler{inner: h.inner.WithAttrs(attrs), line: h.line, out: h.out}
}

// WithGroup implements slog.Handler.
func (h *handler) WithGroup(name string) slog.Handler {
	return &handler{inner: h.inner.WithGroup(name), line: h.line, out: h.out}
}

// RedirectKlog makes klog write to w, with each line as a JSON object that includes fields.
func RedirectKlog(w *Writer, fields ...any) {
	klog.SetSlogLogger(slog.New(NewHandler(w)).With(fields...))
}
