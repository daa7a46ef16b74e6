package logging

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"log/slog"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// manualClock is a clock that a test advances.
type manualClock struct{ nanos atomic.Int64 }

func (m *manualClock) now() time.Time          { return time.Unix(0, m.nanos.Load()) }
func (m *manualClock) advance(d time.Duration) { m.nanos.Add(int64(d)) }

// Guards against a stalled log reader that blocks requests. No line may block, and dropped lines
// must be counted and reported once the reader continues.
func TestStalledReaderDoesNotBlockLogging(t *testing.T) {
	clock := &manualClock{}
	reader, pipe := io.Pipe()
	w := NewWriter(pipe, Config{Queue: 4, Now: clock.now, LinesPerSecond: 1000})
	log := slog.New(NewHandler(w))
	const lines = 500
	for range lines {
		log.Info("request", "status", 503) // blocks here if a line waits for the reader
	}
	if w.Dropped() < lines-6 {
		t.Errorf("%d lines dropped", w.Dropped())
	}
	// The writer may report the first dropped lines before the last lines are logged, so there may
	// be several reports. Together they account for every line.
	reported, written := make(chan uint64), 0
	go func() {
		var sum uint64
		for scan := bufio.NewScanner(reader); scan.Scan(); {
			var line struct {
				Message string `json:"msg"`
				Lines   uint64 `json:"lines"`
			}
			if err := json.Unmarshal(scan.Bytes(), &line); err != nil {
				t.Error(err)
			}
			if line.Message == "request" {
				written++
			}
			sum += line.Lines
		}
		reported <- sum
	}()
	w.Close()
	<-w.done
	pipe.Close()
	if sum := <-reported; sum != w.Dropped() || int(sum)+written != lines {
		t.Errorf("reported %d dropped lines, counted %d, written %d of %d", sum, w.Dropped(), written, lines)
	}
}

// Endpoints fail and every request logs a line. The volume must stay within the limit, and
// successful requests must not displace the lines of failures.
func TestVolumeBoundKeepsFailureLines(t *testing.T) {
	clock := &manualClock{}
	var out bytes.Buffer
	const perSecond, seconds = 50, 10
	w := NewWriter(&out, Config{LinesPerSecond: perSecond, Queue: 10_000, Now: clock.now})
	log := slog.New(NewHandler(w))
	for range seconds * 1000 {
		log.Info("request", "status", 200, LowPriority, true)
		if clock.nanos.Load()%int64(50*time.Millisecond) == 0 {
			log.Error("request", "status", 502)
		}
		clock.advance(time.Millisecond)
	}
	w.Close()
	all := strings.Count(out.String(), `"msg":"request"`)
	failures := strings.Count(out.String(), `"level":"ERROR"`)
	if n := strings.Count(out.String(), "left out"); n > seconds+1 {
		t.Errorf("%d lines report dropped lines", n)
	}
	if all > perSecond*(seconds+burst) || failures != seconds*20 {
		t.Errorf("%d lines, %d of %d failures", all, failures, seconds*20)
	}
	for line := range strings.Lines(out.String()) {
		var fields map[string]any
		if err := json.Unmarshal([]byte(line), &fields); err != nil || fields["msg"] == nil || fields[LowPriority] != nil {
			t.Fatalf("not a valid log line: %q, %v", line, err)
		}
	}
}

func BenchmarkLogLine(b *testing.B) {
	w := NewWriter(io.Discard, Config{LinesPerSecond: 1 << 30, BytesPerSecond: 1 << 30})
	defer w.Close()
	log := slog.New(NewHandler(w))
	b.ReportAllocs()
	for b.Loop() {
		log.Info("request", "request", "9c41d07be2a35f68", "service", "r-1", "status", 503, "took_ms", 12)
	}
}
