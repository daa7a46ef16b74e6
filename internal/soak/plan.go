// Package soak runs real entry processes beside simulated endpoints and a simulated platform,
// injects faults from outside that are drawn from a seed, and checks the promises of the product from
// what callers and endpoints see.
package soak

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// Config configures a run.
type Config struct {
	// Seed selects the faults. The same seed and sizes draw the same faults.
	Seed uint64
	// Entries and Endpoints are the numbers of processes; the endpoints are divided between the two
	// services.
	Entries, Endpoints int
	// Length is the time in which faults begin, and Faults how many series of them do.
	Length time.Duration
	Faults int
	// Programs is the directory of tealhalld and tealhallstandin.
	Programs string
	// Logs is the directory for the settings and the logs of the processes.
	Logs string
}

// DefaultConfig returns the configuration of a short run.
func DefaultConfig() Config {
	return Config{Seed: 1, Entries: 5, Endpoints: 8, Length: 12 * time.Second, Faults: 12}
}

// Kind is a kind of fault.
type Kind string

// The kinds of faults.
const (
	EntryPaused    Kind = "entry-paused"
	EntryKilled    Kind = "entry-killed"
	EntryStopped   Kind = "entry-stopped"
	EndpointPaused Kind = "endpoint-paused"
	EndpointKilled Kind = "endpoint-killed"
	EndpointLeaves Kind = "endpoint-leaves"
	PathSilent     Kind = "path-silent"
	PathReset      Kind = "path-reset"
	PathSlow       Kind = "path-slow"
	PlatformDown   Kind = "platform-down"
	PlatformStale  Kind = "platform-stale"
	PlatformSlow   Kind = "platform-slow"
	PlatformCut    Kind = "platform-cut"
	Published      Kind = "published"
)

// limits are the shortest and longest duration of each kind. The duration of a process that ends is
// the time until it is started again.
var limits = []struct {
	kind              Kind
	shortest, longest time.Duration
}{
	{EntryPaused, 300 * time.Millisecond, 3 * time.Second},
	{EntryKilled, 100 * time.Millisecond, 2 * time.Second},
	{EntryStopped, 100 * time.Millisecond, time.Second},
	{EndpointPaused, 300 * time.Millisecond, 3 * time.Second},
	{EndpointKilled, 100 * time.Millisecond, 2 * time.Second},
	{EndpointLeaves, 100 * time.Millisecond, time.Second},
	{PathSilent, 300 * time.Millisecond, 3 * time.Second},
	{PathReset, 300 * time.Millisecond, 3 * time.Second},
	{PathSlow, 300 * time.Millisecond, 3 * time.Second},
	{PlatformDown, time.Second, 4 * time.Second},
	{PlatformStale, time.Second, 4 * time.Second},
	{PlatformSlow, time.Second, 4 * time.Second},
	{PlatformCut, time.Second, 4 * time.Second},
	{Published, 0, 0},
}

// Fault is one fault of a run.
type Fault struct {
	Kind Kind
	// At is when it begins, after the begin of the faults.
	At, Lasts time.Duration
	// Target is the index of the entry or endpoint.
	Target int
}

const (
	// longestSeries is how often a fault may come in a series, and seriesGap the longest time between
	// the end of one and the begin of the next.
	longestSeries = 3
	seriesGap     = time.Second
)

// Draw returns the faults of a run, earliest first.
func Draw(cfg Config) []Fault {
	rng := rand.New(rand.NewPCG(cfg.Seed, uint64(cfg.Faults)))
	var faults []Fault
	for range cfg.Faults {
		l := limits[rng.IntN(len(limits))]
		f := Fault{Kind: l.kind, At: between(rng, 0, cfg.Length), Target: rng.IntN(max(cfg.Entries, cfg.Endpoints))}
		for range 1 + rng.IntN(longestSeries) {
			f.Lasts = between(rng, l.shortest, l.longest)
			if f.At < cfg.Length {
				faults = append(faults, f)
			}
			f.At += f.Lasts + between(rng, 0, seriesGap)
		}
	}
	slices.SortStableFunc(faults, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
	return faults
}

func between(rng *rand.Rand, shortest, longest time.Duration) time.Duration {
	return shortest + time.Duration(rng.Int64N(int64(longest-shortest)+1))
}
