package choicebench

import (
	"fmt"
	"io"
	"math"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Cell is one variant at one load in one scenario, over all rounds.
type Cell struct {
	Scenario Scenario
	Load     float64
	Variant  Variant

	mu        sync.Mutex
	latencies *hdrhistogram.Histogram
	requests  int64
	unserved  int64
	counts    counts
	slotTime  float64
	seconds   float64
	entries   int

	// Ratio50, Ratio99 and Ratio999 are to the best oracle.
	Ratio50, Ratio99, Ratio999 float64
}

// Report holds the cells by scenario, load and variant.
type Report struct {
	cfg   Config
	cells []Cell
}

const (
	highest = 60 * time.Second
	digits  = 3
)

func newReport(cfg Config) *Report {
	r := &Report{cfg: cfg}
	for _, s := range cfg.Scenarios {
		for _, load := range cfg.Loads {
			for _, v := range cfg.Variants {
				r.cells = append(r.cells, Cell{
					Scenario: s, Load: load, Variant: v,
					latencies: hdrhistogram.New(1, highest.Microseconds(), digits),
				})
			}
		}
	}
	return r
}

func (r *Report) at(scenario, load, variant int) *Cell {
	return &r.cells[(scenario*len(r.cfg.Loads)+load)*len(r.cfg.Variants)+variant]
}

func (c *Cell) record(took time.Duration, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests++
	if !ok {
		c.unserved++
		return
	}
	_ = c.latencies.RecordValue(min(took, highest).Microseconds())
}

func (c *Cell) add(n counts, cfg Config, entries int) {
	c.counts.arrivals += n.arrivals
	c.counts.refused += n.refused
	c.counts.failed += n.failed
	c.counts.probeTime += n.probeTime
	c.counts.connections += n.connections
	c.counts.peerBytes += n.peerBytes
	c.slotTime += float64(cfg.Endpoints*cfg.Slots) * float64(cfg.Window)
	c.seconds += cfg.Window.Seconds()
	c.entries = entries
}

// quantile is in milliseconds.
func (c *Cell) quantile(q float64) float64 {
	return float64(c.latencies.ValueAtQuantile(q)) / 1000
}

// finish sets the ratios.
func (r *Report) finish() {
	n := len(r.cfg.Variants)
	for first := 0; first < len(r.cells); first += n {
		compare(r.cells[first : first+n])
	}
}

func compare(cells []Cell) {
	best := [3]float64{math.Inf(1), math.Inf(1), math.Inf(1)}
	for i := range cells {
		if cells[i].Variant.Oracle {
			best[0] = min(best[0], cells[i].quantile(50))
			best[1] = min(best[1], cells[i].quantile(99))
			best[2] = min(best[2], cells[i].quantile(99.9))
		}
	}
	for i := range cells {
		c := &cells[i]
		c.Ratio50, c.Ratio99, c.Ratio999 = c.quantile(50)/best[0], c.quantile(99)/best[1], c.quantile(99.9)/best[2]
	}
}

// WriteTable writes the figures as a Markdown table.
func (r *Report) WriteTable(w io.Writer) error {
	_, err := fmt.Fprintln(w, "| scenario | load | variant | p50 ms | p99 ms | p99.9 ms | p50 ratio | p99 ratio | p99.9 ratio | refused for idle | unserved | probes' slot time | peer KB/s an entry | new connections per 1,000 |")
	if err != nil {
		return err
	}
	fmt.Fprintln(w, "|---|---|---|---|---|---|---|---|---|---|---|---|---|---|")
	for i := range r.cells {
		c := &r.cells[i]
		requests := float64(max(c.requests, 1))
		_, err = fmt.Fprintf(w, "| %s | %.0f %% | %s | %.1f | %.1f | %.1f | %.2f | %.2f | %.2f | %.2f | %d of %d | %.3f %% | %.1f | %.1f |\n",
			c.Scenario.Name, 100*c.Load, c.Variant.Name,
			c.quantile(50), c.quantile(99), c.quantile(99.9), c.Ratio50, c.Ratio99, c.Ratio999,
			float64(c.counts.refused)/requests, c.unserved, c.requests,
			100*float64(c.counts.probeTime)/max(c.slotTime, 1),
			float64(c.counts.peerBytes)/1000/max(c.seconds, 1)/float64(max(c.entries, 1)),
			1000*float64(c.counts.connections)/requests)
	}
	return err
}
