package entry

import (
	"math"
	"os"
	"runtime/debug"

	"golang.org/x/sys/unix"

	"github.com/tealhall/tealhall/internal/settings"
)

const (
	// collectShare is the share of the memory beyond which the Go runtime collects the heap more
	// often. The rest is for what the runtime does not count, such as the buffers of sockets.
	collectShare = 0.65
	// defaultCollectBytes applies where the settings name no memory: large tables do not take several
	// times their size on a small VM.
	defaultCollectBytes = 256 << 20
)

// TuneMemory sets the growth of the heap after which the Go runtime collects it in a process that runs
// an entry. An entry's live heap is a few megabytes. With Go's default of 100 %, it is collected many
// times a second at thousands of calls per second, and the requests that coincide with a collection are
// the slowest in a hundred; see docs/MEASUREMENTS.md. GOGC and GOMEMLIMIT in the environment take
// precedence.
func TuneMemory(l *settings.Limits) {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(l.HeapGrowth)
	}
	if os.Getenv("GOMEMLIMIT") == "" {
		limit := int64(defaultCollectBytes)
		if l.MemoryMB > 0 {
			limit = int64(collectShare * l.MemoryMB * bytesPerMB)
		}
		debug.SetMemoryLimit(limit)
	}
}

// Capacity is what an entry may hold for the clients of its servers.
type Capacity struct {
	// RequestBytes bounds the bytes of requests that have not been answered.
	RequestBytes int64
	// Callers, Peers and Auxiliary bound the open connections of callers, of peers, and of each other
	// server.
	Callers, Peers, Auxiliary int
}

// Descriptors that are kept for files, and the shares of the others. The rest is for connections that
// the entry opens itself.
const (
	fileDescriptors  = 200
	callersShare     = 0.625
	peersShare       = 0.125
	auxiliaryShare   = 0.04
	minCallers       = 64
	minPeers         = 32
	minAuxiliary     = 16
	connectionShare  = 0.2
	connectionBytes  = 48 << 10
	maxDescriptors   = 1 << 20
	fallbackMemoryMB = 1024
)

// CapacityOf returns the capacity that follows from the memory and the descriptors of the process.
func CapacityOf(s *settings.Settings) Capacity {
	memory := memoryBytes(&s.Limits)
	descriptors := descriptorsOf(&s.Limits)
	sockets := float64(max(descriptors-fileDescriptors, descriptors/2))
	return Capacity{
		RequestBytes: int64(s.Limits.RequestShare * memory),
		Callers:      max(minCallers, int(min(callersShare*sockets, connectionShare*memory/connectionBytes))),
		Peers:        min(s.Peers.Connections, max(minPeers, int(peersShare*sockets))),
		Auxiliary:    max(minAuxiliary, int(auxiliaryShare*sockets)),
	}
}

// memoryBytes returns the memory that the process may use: that of the settings, else that of the VM.
func memoryBytes(l *settings.Limits) float64 {
	if l.MemoryMB > 0 {
		return l.MemoryMB * bytesPerMB
	}
	var info unix.Sysinfo_t
	if err := unix.Sysinfo(&info); err != nil {
		return fallbackMemoryMB * bytesPerMB
	}
	return float64(info.Totalram) * float64(info.Unit)
}

// descriptorsOf returns how many descriptors the process may have: the lower one of the settings and the
// limit of the operating system.
func descriptorsOf(l *settings.Limits) int {
	limit := maxDescriptors
	var system unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &system); err == nil {
		limit = int(min(system.Cur, math.MaxInt32, maxDescriptors))
	}
	if l.Descriptors > 0 {
		limit = min(limit, l.Descriptors)
	}
	return limit
}
