package entry

import (
	"os"
	"runtime/debug"
)

const (
	// memoryLimit is the memory in bytes beyond which the Go runtime collects the heap more often,
	// so that large tables do not take several times their size on a small VM.
	memoryLimit = 256 << 20
)

// TuneMemory sets the growth of the heap, in percent, after which the Go runtime collects it in a
// process that runs an entry. An entry's live heap is a few megabytes. With Go's default of 100 %,
// it is collected many times a second at thousands of calls per second, and the requests that
// coincide with a collection are the slowest in a hundred; see docs/MEASUREMENTS.md. GOGC and
// GOMEMLIMIT in the environment take precedence.
func TuneMemory(heapGrowth int) {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(heapGrowth)
	}
	if os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(memoryLimit)
	}
}
