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

// manualClock is a clock that a test sets.
type manualClock struct{ nanos atomic.Int64 }

func (m *manualClock) now() time.Time          { return time.Unix(0, m.nanos.Load()) }
func (m *manualClock) advance(d time.Duration) { m.nanos.Add(int64(d)) }

// The collector of logs hangs and reads nothing. Requests must go on as if there were no
// log: no line may wait, and what is lost must be counted and told once it reads again.
func TestStalledReaderDoesNotBlockLogging(t *testing.T) {
	clock := &manualClock{}
	reader, pipe := io.Pipe()
	w := NewWriter(pipe, Config{Queue: 4, Now: clock.now, LinesPerSecond: 1000})
	log := slog.New(NewHandler(w))
	const lines = 500
	for range lines {
		log.Info("request", "status", 503) // would hang here
	}
	if w.Dropped() < lines-6 {
		t.Errorf("%d lines dropped", w.Dropped())
	}
	// The writer may have begun to tell of the first ones before the last were written,
	// so several lines may tell of them; together they account for every line.
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
		t.Errorf("told of %d lines left out, counted %d, written %d of %d", sum, w.Dropped(), written, lines)
	}
}

// Endpoints fail and every request writes a line. The volume stays within the bound, and
// what tells of failures is not pushed out by ordinary successes.
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
		t.Errorf("%d lines tell of lines left out", n)
	}
	if all > perSecond*(seconds+burst) || failures != seconds*20 {
		t.Errorf("%d lines, %d of %d failures", all, failures, seconds*20)
	}
	for line := range strings.Lines(out.String()) {
		var fields map[string]any
		if err := json.Unmarshal([]byte(line), &fields); err != nil || fields["msg"] == nil || fields[LowPriority] != nil {
			t.Fatalf("not one object: %q, %v", line, err)
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
