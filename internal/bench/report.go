package bench

import (
	"fmt"
	"io"
	"math"
	"text/tabwriter"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Cell holds the figures of one variant at one load in one scenario, over all
// rounds.
type Cell struct {
	Scenario string
	Load     float64
	Variant  string
	Requests int64
	// Unserved counts requests without a usable answer.
	Unserved int64
	// Quantiles in milliseconds.
	P50, P99, P999 float64
	// Ratios to the lowest figure among the oracles.
	Ratio50, Ratio99, Ratio999 float64
	// Refused and Failed attempts for each request.
	Refused, Failed float64
	// PeerBytes sent by each decider a second.
	PeerBytes float64
	// Probing is the share of slot time spent on probes.
	Probing float64
	// Opened is the number of new connections for each thousand requests.
	Opened float64

	latencies *hdrhistogram.Histogram
	tries     int64
	refusals  int64
	failures  int64
	opened    int64
	rounds    int
}

// Report holds all cells of a run, scenario by scenario, load by load, in the
// order of the variants.
type Report struct {
	Config Config
	Cells  []Cell
}

func newReport(cfg Config) *Report {
	r := &Report{Config: cfg}
	for _, s := range cfg.Scenarios {
		for _, load := range cfg.Loads {
			for _, v := range cfg.Variants {
				r.Cells = append(r.Cells, Cell{
					Scenario: s.Name, Load: load, Variant: v.Name,
					latencies: hdrhistogram.New(lowestMicros, highestMicros, digits),
				})
			}
		}
	}
	return r
}

func (r *Report) at(key cellKey) *Cell {
	return &r.Cells[(key.scenario*len(r.Config.Loads)+key.load)*len(r.Config.Variants)+key.variant]
}

func (r *Report) add(key cellKey, result cellResult) {
	if result.latencies == nil {
		return
	}
	c := r.at(key)
	c.latencies.Merge(result.latencies)
	c.Requests += result.requests
	c.Unserved += result.unserved
	c.tries += result.tries
	c.refusals += result.refusals
	c.failures += result.failures
	c.opened += result.opened
	c.PeerBytes += result.peerBytes
	c.Probing += result.probing
	c.rounds++
}

func (r *Report) finish() {
	for i := range r.Cells {
		c := &r.Cells[i]
		c.P50 = float64(c.latencies.ValueAtQuantile(50)) / 1000
		c.P99 = float64(c.latencies.ValueAtQuantile(99)) / 1000
		c.P999 = float64(c.latencies.ValueAtQuantile(99.9)) / 1000
		served := float64(max(1, c.tries-c.refusals-c.failures))
		c.Refused = float64(c.refusals) / served
		c.Failed = float64(c.failures) / served
		c.Opened = 1000 * float64(c.opened) / served
		c.PeerBytes /= float64(max(1, c.rounds))
		c.Probing /= float64(max(1, c.rounds))
	}
	for first := 0; first < len(r.Cells); first += len(r.Config.Variants) {
		r.compare(r.Cells[first : first+len(r.Config.Variants)])
	}
}

// compare sets the ratios of the cells of one load in one scenario.
func (r *Report) compare(cells []Cell) {
	best := [3]float64{math.Inf(1), math.Inf(1), math.Inf(1)}
	for v := range cells {
		if r.Config.Variants[v].Perfect {
			best[0] = min(best[0], cells[v].P50)
			best[1] = min(best[1], cells[v].P99)
			best[2] = min(best[2], cells[v].P999)
		}
	}
	for v := range cells {
		c := &cells[v]
		c.Ratio50, c.Ratio99, c.Ratio999 = c.P50/best[0], c.P99/best[1], c.P999/best[2]
	}
}

// WriteTable writes the figures as a Markdown table.
func (r *Report) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 1, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "| scenario\t| load\t| variant\t| p50 ms\t| p99 ms\t| p99.9 ms\t| p50 ratio\t| p99 ratio\t| p99.9 ratio\t| refused\t| failed\t| unserved\t| peer B/s\t| probing\t| opened/1000\t|")
	fmt.Fprintln(t, "|---\t|---\t|---\t|---\t|---\t|---\t|---\t|---\t|---\t|---\t|---\t|---\t|---\t|---\t|---\t|")
	for i := range r.Cells {
		c := &r.Cells[i]
		fmt.Fprintf(t, "| %s\t| %.0f %%\t| %s\t| %.1f\t| %.1f\t| %.1f\t| %.2f\t| %.2f\t| %.2f\t| %.3f\t| %.3f\t| %d\t| %.0f\t| %.2f %%\t| %.1f\t|\n",
			c.Scenario, 100*c.Load, c.Variant, c.P50, c.P99, c.P999, c.Ratio50, c.Ratio99, c.Ratio999,
			c.Refused, c.Failed, c.Unserved, c.PeerBytes, 100*c.Probing, c.Opened)
	}
	return t.Flush()
}
