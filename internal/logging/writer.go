// Package logging writes the log: one JSON object a line through klog's slog bridge,
// within a bound on lines and bytes a second, and never on the path of a request. What
// does not fit is dropped and counted.
package logging

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

// Config bounds a Writer. Zero values stand for the defaults.
type Config struct {
	// LinesPerSecond and BytesPerSecond bound what is written in the long run;
	// defaults 200 and 100,000. Twice as much may come at once.
	LinesPerSecond int
	BytesPerSecond int
	// Queue is how many lines may wait for a slow reader; default 256.
	Queue int
	// Now is the clock; default time.Now.
	Now func() time.Time
}

const (
	defaultLines = 200
	defaultBytes = 100_000
	defaultQueue = 256
	// burst is how many seconds' worth may be written at once.
	burst = 2
	// reservedShare is the part of the bound that ordinary lines leave for failures
	// and for changes of what the process believes.
	reservedShare = 0.5
	// dropReportInterval is the shortest time between two lines that tell how many were left
	// out, which the bound does not count.
	dropReportInterval = time.Second
	// closeTimeout bounds the wait for a reader at the end of the process.
	closeTimeout = 200 * time.Millisecond
)

func (c Config) withDefaults() Config {
	if c.LinesPerSecond <= 0 {
		c.LinesPerSecond = defaultLines
	}
	if c.BytesPerSecond <= 0 {
		c.BytesPerSecond = defaultBytes
	}
	if c.Queue <= 0 {
		c.Queue = defaultQueue
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	return c
}

// Writer passes lines on to a reader that may be slow, or read nothing at all: a pipe
// that is full must not hold up a request. It is safe for concurrent use.
type Writer struct {
	cfg   Config
	lines *rate.Limiter
	bytes *rate.Limiter
	queue chan []byte
	done  chan struct{}

	closing    sync.Once
	dropped    atomic.Uint64
	unreported atomic.Uint64
}

// NewWriter returns a writer to out. Close it to write what waits.
func NewWriter(out io.Writer, cfg Config) *Writer {
	cfg = cfg.withDefaults()
	w := &Writer{
		cfg:   cfg,
		lines: rate.NewLimiter(rate.Limit(cfg.LinesPerSecond), burst*cfg.LinesPerSecond),
		bytes: rate.NewLimiter(rate.Limit(cfg.BytesPerSecond), burst*cfg.BytesPerSecond),
		queue: make(chan []byte, cfg.Queue),
		done:  make(chan struct{}),
	}
	go w.run(out)
	return w
}

// run is the only one who waits for the reader.
func (w *Writer) run(out io.Writer) {
	defer close(w.done)
	var nextReport time.Time
	for line := range w.queue {
		if now := w.cfg.Now(); !now.Before(nextReport) && w.reportDropped(out) {
			nextReport = now.Add(dropReportInterval)
		}
		_, _ = out.Write(line) // nobody is left to be told
	}
	w.reportDropped(out)
}

// reportDropped writes how many lines were left out since it last did, if any were.
func (w *Writer) reportDropped(out io.Writer) bool {
	n := w.unreported.Swap(0)
	if n > 0 {
		fmt.Fprintf(out, `{"time":%q,"level":"WARN","msg":"log lines left out","lines":%d}`+"\n", w.cfg.Now().Format(time.RFC3339Nano), n)
	}
	return n > 0
}

// Write takes one line and never waits. It returns no error: a line that does not fit
// is counted.
func (w *Writer) Write(line []byte) (int, error) {
	w.enqueue(line, false)
	return len(line), nil
}

// enqueue queues a line; ordinary ones leave room for others.
func (w *Writer) enqueue(line []byte, lowPriority bool) {
	now := w.cfg.Now()
	if lowPriority && w.lines.TokensAt(now) < reservedShare*float64(w.lines.Burst()) ||
		!w.lines.AllowN(now, 1) || !w.bytes.AllowN(now, len(line)) {
		w.drop()
		return
	}
	select {
	case w.queue <- append([]byte(nil), line...):
	default:
		w.drop()
	}
}

func (w *Writer) drop() {
	w.dropped.Add(1)
	w.unreported.Add(1)
}

// Dropped returns how many lines were left out since the start.
func (w *Writer) Dropped() uint64 { return w.dropped.Load() }

// Close writes what waits, as far as the reader takes it within a short time. Nothing
// may be written after it.
func (w *Writer) Close() {
	w.closing.Do(func() { close(w.queue) })
	select {
	case <-w.done:
	case <-time.After(closeTimeout):
	}
}
