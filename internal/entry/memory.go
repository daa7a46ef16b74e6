package entry

import (
	"os"
	"runtime/debug"
)

const (
	// collectAt is by how many percent the heap may grow before it is collected.
	// An entry's live heap is a few megabytes; at the usual 100 % it would be
	// collected many times a second, and requests that meet a collection are the
	// slowest in a hundred. See docs/MEASUREMENTS.md.
	collectAt = 400
	// memoryLimit is from when on the heap is collected more often, in bytes.
	// It keeps collectAt from multiplying large tables on a small VM.
	memoryLimit = 256 << 20
)

// TuneMemory sets how eagerly a process that runs an entry collects its heap.
// What the environment sets by GOGC and GOMEMLIMIT is left as it is.
func TuneMemory() {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(collectAt)
	}
	if os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(memoryLimit)
	}
}
