package fleetload

import (
	"context"
	"time"
)

// Idle is what a fleet without calls costs, per entry.
type Idle struct {
	// Processor is the share of one core, 1 for all of it. The stand-ins'
	// answers to probes and watches are in it.
	Processor float64 `json:"processor"`
	// BytesOut and BytesIn are bytes a second of the TCP streams of the peer
	// links, MostOut the largest of any entry.
	BytesOut float64 `json:"bytes_out_per_s"`
	BytesIn  float64 `json:"bytes_in_per_s"`
	MostOut  float64 `json:"most_bytes_out_per_s"`
	// Updates are messages a second with news, heartbeats or sightings.
	Updates float64 `json:"updates_per_s"`
	// Segments are the TCP segments a second that the whole machine sent,
	// divided by the entries: an upper bound, and exact if nothing else used
	// the network. Probes and the configuration service are in it.
	Segments float64 `json:"tcp_segments_per_s"`
	// Heap and Stacks are bytes beyond those of the stand-ins.
	Heap   float64 `json:"heap_bytes"`
	Stacks float64 `json:"stack_bytes"`
	// Calls are calls a second of the whole fleet at the configuration service in
	// Config.PlatformWindow, Watches how many wait there, Readers how many
	// entries watch.
	Calls   float64 `json:"platform_calls_per_s"`
	Watches int     `json:"platform_watches"`
	Readers int     `json:"readers"`
}

// measureIdle watches a fleet for a time in rounds and takes the medians.
func (f *fleet) measureIdle(ctx context.Context, c Config, heap, stacks uint64) Idle {
	n := float64(len(f.entries))
	var processor, out, in, most, updates, segments []float64
	for range c.Rounds {
		r := f.idleRound(ctx, c.Window)
		processor = append(processor, r.Processor)
		out, in, most = append(out, r.BytesOut), append(in, r.BytesIn), append(most, r.MostOut)
		updates, segments = append(updates, r.Updates), append(segments, r.Segments)
	}
	heldHeap, heldStacks := heldMemory()
	calls := 0.0
	if c.PlatformWindow > 0 {
		calls = f.idleRound(ctx, c.PlatformWindow).Calls
	}
	return Idle{
		Processor: Median(processor),
		BytesOut:  Median(out), BytesIn: Median(in), MostOut: largest(most),
		Updates: Median(updates), Segments: Median(segments),
		Heap:    (float64(heldHeap) - float64(heap)) / n,
		Stacks:  (float64(heldStacks) - float64(stacks)) / n,
		Calls:   calls,
		Watches: f.platform.Stats().Watches,
		Readers: len(f.readers()),
	}
}

// idleRound measures rates over one window.
func (f *fleet) idleRound(ctx context.Context, window time.Duration) Idle {
	n := float64(len(f.entries))
	before, calls, segments := f.traffic(), f.platform.Stats().Calls, sentSegments()
	m := startMeter()
	wait(ctx, window)
	passed := time.Since(m.began).Seconds()
	r := Idle{
		Processor: m.share() / n,
		Calls:     float64(f.platform.Stats().Calls-calls) / passed,
		Segments:  float64(sentSegments()-segments) / passed / n,
	}
	var out, in, updates []float64
	for i, t := range f.traffic() {
		t = t.sub(before[i])
		out = append(out, float64(t.out)/passed)
		in = append(in, float64(t.in)/passed)
		updates = append(updates, float64(t.updates)/passed)
	}
	r.BytesOut, r.BytesIn, r.Updates, r.MostOut = mean(out), mean(in), mean(updates), largest(out)
	return r
}
