package fleetload

import (
	"context"
	"time"
)

// IdleCosts is what a fleet without calls costs, per entry.
type IdleCosts struct {
	// Processor is the share of one core, 1 for all of it. The stand-ins'
	// answers to probes and watches are in it.
	Processor float64 `json:"processor"`
	// BytesOut and BytesIn are bytes a second of the TCP streams of the peer
	// links, MaxBytesOut the largest of any entry.
	BytesOut    float64 `json:"bytes_out_per_s"`
	BytesIn     float64 `json:"bytes_in_per_s"`
	MaxBytesOut float64 `json:"most_bytes_out_per_s"`
	// Updates are messages a second with news, heartbeats or sightings.
	Updates float64 `json:"updates_per_s"`
	// Segments are the TCP segments a second that the whole machine sent,
	// divided by the entries: an upper bound, and exact if nothing else used
	// the network. Probes and the configuration service are in it.
	Segments float64 `json:"tcp_segments_per_s"`
	// Heap and Stacks are bytes beyond those of the stand-ins.
	Heap   float64 `json:"heap_bytes"`
	Stacks float64 `json:"stack_bytes"`
	// PlatformCalls are calls a second of the whole fleet at the configuration service in
	// Config.PlatformWindow, Watches how many wait there, Readers how many
	// entries watch.
	PlatformCalls   float64 `json:"platform_calls_per_s"`
	PlatformWatches int     `json:"platform_watches"`
	Readers         int     `json:"readers"`
}

// measureIdle watches a fleet for a time in rounds and takes the medians.
func (f *fleet) measureIdle(ctx context.Context, c Config, baseHeap, baseStacks uint64) IdleCosts {
	n := float64(len(f.entries))
	var processor, out, in, maxOut, updates, segments []float64
	for range c.IdleRounds {
		r := f.idleRound(ctx, c.IdleWindow)
		processor = append(processor, r.Processor)
		out, in, maxOut = append(out, r.BytesOut), append(in, r.BytesIn), append(maxOut, r.MaxBytesOut)
		updates, segments = append(updates, r.Updates), append(segments, r.Segments)
	}
	heap, stacks := memoryInUse()
	calls := 0.0
	if c.PlatformWindow > 0 {
		calls = f.idleRound(ctx, c.PlatformWindow).PlatformCalls
	}
	return IdleCosts{
		Processor: Median(processor),
		BytesOut:  Median(out), BytesIn: Median(in), MaxBytesOut: largest(maxOut),
		Updates: Median(updates), Segments: Median(segments),
		Heap:            (float64(heap) - float64(baseHeap)) / n,
		Stacks:          (float64(stacks) - float64(baseStacks)) / n,
		PlatformCalls:   calls,
		PlatformWatches: f.platform.Stats().Watches,
		Readers:         len(f.readers()),
	}
}

// idleRound measures rates over one window.
func (f *fleet) idleRound(ctx context.Context, window time.Duration) IdleCosts {
	n := float64(len(f.entries))
	before, calls, segments := f.peerTraffic(), f.platform.Stats().Calls, sentSegments()
	m := startMeter()
	sleep(ctx, window)
	elapsed := time.Since(m.began).Seconds()
	r := IdleCosts{
		Processor:     m.cores() / n,
		PlatformCalls: float64(f.platform.Stats().Calls-calls) / elapsed,
		Segments:      float64(sentSegments()-segments) / elapsed / n,
	}
	var out, in, updates []float64
	for i, t := range f.peerTraffic() {
		t = t.sub(before[i])
		out = append(out, float64(t.out)/elapsed)
		in = append(in, float64(t.in)/elapsed)
		updates = append(updates, float64(t.updates)/elapsed)
	}
	r.BytesOut, r.BytesIn, r.Updates, r.MaxBytesOut = mean(out), mean(in), mean(updates), largest(out)
	return r
}
