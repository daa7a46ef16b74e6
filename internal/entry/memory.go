package entry

import (
	"os"
	"runtime/debug"
)

const (
	// memoryLimit is the heap size in bytes beyond which the heap is collected more often, so that
	// large tables do not multiply on a small VM.
	memoryLimit = 256 << 20
)

// TuneMemory sets the growth of the heap, in percent, after which a process that runs an entry
// collects it. An entry's live heap is a few megabytes. At the default of 100 % it is collected
// many times a second at thousands of calls per second, and the requests that coincide with a
// collection are the slowest in a hundred; see docs/MEASUREMENTS.md. GOGC and GOMEMLIMIT in the
// environment take precedence.
func TuneMemory(heapGrowth int) {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(heapGrowth)
	}
	if os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(memoryLimit)
	}
}
