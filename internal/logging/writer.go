// Package logging writes the log through klog's slog bridge, as one JSON object per line, within a
// limit on lines and bytes per second. Logging never blocks a request: lines that exceed the limits
// are dropped and counted.
package logging

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

// Config configures the limits of a Writer. Zero values select the defaults.
type Config struct {
	// LinesPerSecond and BytesPerSecond limit the average rate; defaults 200 and 100,000. A burst
	// may contain twice as much.
	LinesPerSecond int
	BytesPerSecond int
	// Queue is the number of lines that may wait for a slow reader; default 256.
	Queue int
	// Now is the clock; default time.Now.
	Now func() time.Time
}

const (
	defaultLines = 200
	defaultBytes = 100_000
	defaultQueue = 256
	// burst is the number of seconds of the limits that may be written at once.
	burst = 2
	// reservedShare is the share of the line limit that low-priority lines leave for failures and
	// for changes in the state of the process.
	reservedShare = 0.5
	// dropReportInterval is the shortest time between two lines that report dropped lines. These
	// lines do not count towards the limits.
	dropReportInterval = time.Second
	// closeTimeout bounds the wait for the reader in Close.
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

// Writer passes lines to a reader that may be slow or stalled. A full pipe must not block a
// request, so lines are queued and dropped when the queue is full. Writer is safe for concurrent
// use.
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

// NewWriter returns a Writer to out. Call Close to flush the queued lines.
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

// run writes the queued lines. Only this goroutine blocks on out.
func (w *Writer) run(out io.Writer) {
	defer close(w.done)
	var nextReport time.Time
	for line := range w.queue {
		if now := w.cfg.Now(); !now.Before(nextReport) && w.reportDropped(out) {
			nextReport = now.Add(dropReportInterval)
		}
		_, _ = out.Write(line) // a write error of the log cannot be logged
	}
	w.reportDropped(out)
}

// reportDropped writes the number of lines dropped since the previous report and returns true, or
// returns false if there are none.
func (w *Writer) reportDropped(out io.Writer) bool {
	n := w.unreported.Swap(0)
	if n > 0 {
		fmt.Fprintf(out, `{"time":%q,"level":"WARN","msg":"log lines left out","lines":%d}`+"\n", w.cfg.Now().Format(time.RFC3339Nano), n)
	}
	return n > 0
}

// Write queues one line without blocking. It never returns an error: a line that exceeds the limits
// is dropped and counted.
func (w *Writer) Write(line []byte) (int, error) {
	w.enqueue(line, false)
	return len(line), nil
}

// enqueue queues a line, or drops it if it exceeds the limits. Low-priority lines leave room for
// other lines.
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

// Dropped returns the number of lines dropped since the start.
func (w *Writer) Dropped() uint64 { return w.dropped.Load() }

// Close flushes the queued lines, waiting up to closeTimeout for the reader. The Writer must not be
// used after Close.
func (w *Writer) Close() {
	w.closing.Do(func() { close(w.queue) })
	select {
	case <-w.done:
	case <-time.After(closeTimeout):
	}
}
