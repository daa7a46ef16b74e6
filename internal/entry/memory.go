package entry

import (
	"os"
	"runtime/debug"
)

const (
	// memoryLimit is from when on the heap is collected more often, in bytes.
	// It keeps the growth from multiplying large tables on a small VM.
	memoryLimit = 256 << 20
)

// TuneMemory sets how eagerly a process that runs an entry collects its heap: when it
// has grown by so many percent. An entry's live heap is a few megabytes; at the usual
// 100 % it is collected many times a second at thousands of calls, and requests that
// meet a collection are the slowest in a hundred. See docs/MEASUREMENTS.md. What the
// environment sets by GOGC and GOMEMLIMIT is left as it is.
func TuneMemory(heapGrowth int) {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(heapGrowth)
	}
	if os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(memoryLimit)
	}
}
