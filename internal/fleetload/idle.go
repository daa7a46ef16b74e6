package fleetload

import (
	"context"
	"time"
)

// IdleCosts are the costs of a fleet without calls, per entry where not stated otherwise.
type IdleCosts struct {
	// Processor is the share of one core; 1 is a whole core. It includes the answers of the
	// simulated endpoints and configuration service to probes and watches.
	Processor float64 `json:"processor"`
	// BytesOut and BytesIn are the bytes a second that an entry sends and receives on the TCP
	// streams of its peer links. MaxBytesOut is the largest BytesOut of any entry.
	BytesOut    float64 `json:"bytes_out_per_s"`
	BytesIn     float64 `json:"bytes_in_per_s"`
	MaxBytesOut float64 `json:"most_bytes_out_per_s"`
	// Updates is the number of messages a second that carry evidence, heartbeats or load reports.
	Updates float64 `json:"updates_per_s"`
	// Segments is the number of TCP segments a second that the whole machine sent, divided by the
	// number of entries: an upper bound, and exact if nothing else used the network. It includes
	// probes and the configuration service.
	Segments float64 `json:"tcp_segments_per_s"`
	// Heap and Stacks are bytes beyond those in use before the entries started.
	Heap   float64 `json:"heap_bytes"`
	Stacks float64 `json:"stack_bytes"`
	// PlatformCalls is the number of calls a second of the whole fleet to the configuration service
	// in Config.PlatformWindow. PlatformWatches is the number of watches that wait at the service,
	// Readers the number of entries that watch it.
	PlatformCalls   float64 `json:"platform_calls_per_s"`
	PlatformWatches int     `json:"platform_watches"`
	Readers         int     `json:"readers"`
}

// measureIdle measures an idle fleet in several rounds and returns the medians; MaxBytesOut is the
// largest of all rounds. baseHeap and baseStacks are the memory in use before the entries started.
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

// idleRound measures the rates over one window.
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
