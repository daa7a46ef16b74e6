package bench

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// drainTime bounds how long a cell waits for its last answers.
const drainTime = 5 * time.Second

// Bounds of the latency histograms, in microseconds.
const (
	lowestMicros  = 1
	highestMicros = 60_000_000
	digits        = 3
)

type cellKey struct {
	scenario, load, variant int
}

// Run measures every variant in every scenario at every load and returns the
// figures. It takes Rounds times the cells times (Warmup + Duration), divided by
// Parallel.
func Run(cfg Config) (Report, error) {
	report := newReport(cfg)
	slots := make(chan struct{}, max(1, cfg.Parallel))
	var group sync.WaitGroup
	var mu sync.Mutex
	var firstErr error
	for round := range cfg.Rounds {
		for s := range cfg.Scenarios {
			for l := range cfg.Loads {
				for turn := range cfg.Variants {
					key := cellKey{s, l, (turn + round) % len(cfg.Variants)}
					slots <- struct{}{}
					group.Go(func() {
						defer func() { <-slots }()
						result, err := runCell(cfg, key, round)
						mu.Lock()
						defer mu.Unlock()
						if err != nil && firstErr == nil {
							firstErr = err
						}
						report.add(key, result)
					})
				}
			}
		}
	}
	group.Wait()
	report.finish()
	return *report, firstErr
}

// cellResult is what one cell measured.
type cellResult struct {
	latencies *hdrhistogram.Histogram
	requests  int64
	unserved  int64
	tries     int64
	refusals  int64
	failures  int64
	peerBytes float64 // per decider and second
	probing   float64 // share of slot time
	opened    int64
}

func runCell(cfg Config, key cellKey, round int) (cellResult, error) {
	faults, variant := cfg.Scenarios[key.scenario], cfg.Variants[key.variant]
	trace := makeTrace(cfg, faults, cfg.Loads[key.load], round)
	var endpoints []*endpoint
	for i := range cfg.Endpoints {
		e, err := startEndpoint(cfg, faults, i)
		if err != nil {
			return cellResult{}, err
		}
		defer e.close()
		endpoints = append(endpoints, e)
	}
	count := variant.Deciders
	if count <= 0 {
		count = cfg.Entries
	}
	epoch := time.Now()
	var deciders []*decider
	for i := range count {
		d, err := newDecider(cfg, variant, faults, i, count, endpoints, epoch)
		if err != nil {
			return cellResult{}, err
		}
		defer d.close()
		deciders = append(deciders, d)
	}
	ctx, cancel := context.WithTimeout(context.Background(), cfg.Warmup+cfg.Duration+drainTime)
	defer cancel()
	watching, stopWatching := context.WithCancel(ctx)
	defer stopWatching()
	var sent atomic.Int64
	for _, d := range deciders {
		go d.sweep(watching)
		if variant.PeerInterval > 0 {
			go d.exchange(watching, deciders, variant.PeerInterval, &sent)
		}
		if variant.ProbeShare > 0 {
			go d.probe(watching, variant.ProbeShare)
		}
	}
	result := play(ctx, cfg, trace, deciders, epoch)
	stopWatching()
	elapsed := time.Since(epoch).Seconds()
	result.peerBytes = float64(sent.Load()) / float64(count) / elapsed
	for _, d := range deciders {
		d.mu.Lock()
		result.tries += d.tries
		result.refusals += d.refused
		result.failures += d.failed
		d.mu.Unlock()
	}
	for _, e := range endpoints {
		result.opened += e.connections.Load()
		result.probing += float64(e.probeNanos.Load()) / 1e9 / elapsed / float64(cfg.Endpoints*cfg.Slots)
	}
	return result, nil
}

// play releases the trace open-loop and waits for the answers.
func play(ctx context.Context, cfg Config, trace []arrival, deciders []*decider, epoch time.Time) cellResult {
	result := cellResult{latencies: hdrhistogram.New(lowestMicros, highestMicros, digits)}
	var mu sync.Mutex
	var group sync.WaitGroup
	for _, a := range trace {
		time.Sleep(a.at - time.Since(epoch))
		group.Go(func() {
			begun := time.Now()
			ok := deciders[int(a.entry)%len(deciders)].serve(ctx, a)
			took := time.Since(begun)
			if a.at < cfg.Warmup {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			result.requests++
			if !ok {
				result.unserved++
				return
			}
			_ = result.latencies.RecordValue(took.Microseconds())
		})
	}
	group.Wait()
	return result
}
