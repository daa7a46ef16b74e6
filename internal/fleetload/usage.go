package fleetload

import (
	"os"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// processorTime returns the user and system time that this process has used so far.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// meter measures processor time against wall-clock time.
type meter struct {
	began       time.Time
	usedAtStart time.Duration
}

func startMeter() meter { return meter{began: time.Now(), usedAtStart: processorTime()} }

// cores returns the average number of cores used since the start.
func (m meter) cores() float64 {
	return float64(processorTime()-m.usedAtStart) / float64(time.Since(m.began))
}

// memoryInUse returns the bytes of live heap objects and of goroutine stacks. It collects garbage
// twice, so that objects with finalizers and pooled objects are freed too.
func memoryInUse() (heap, stacks uint64) {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc, stats.StackInuse
}

// Machine describes the machine that the figures were measured on.
type Machine struct {
	Cores int `json:"cores"`
	// Procs is the number of cores that this run was allowed to use.
	Procs     int    `json:"procs"`
	Processor string `json:"processor"`
	Go        string `json:"go"`
	// LoadBefore and LoadAfter are the load averages of the last minute. Other work on the machine
	// makes processor times noisier, not only longer.
	LoadBefore string `json:"load_before"`
	LoadAfter  string `json:"load_after"`
}

func describeMachine() Machine {
	return Machine{
		Cores:      runtime.NumCPU(),
		Procs:      runtime.GOMAXPROCS(0),
		Processor:  processorName(),
		Go:         runtime.Version(),
		LoadBefore: loadAverage(),
	}
}

func loadAverage() string {
	data, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return "unknown"
	}
	first, _, _ := strings.Cut(string(data), " ")
	return first
}

func processorName() string {
	data, err := os.ReadFile("/proc/cpuinfo")
	if err != nil {
		return "unknown"
	}
	for line := range strings.Lines(string(data)) {
		if name, value, ok := strings.Cut(line, ":"); ok && strings.TrimSpace(name) == "model name" {
			return strings.TrimSpace(value)
		}
	}
	return "unknown"
}

// sentSegments returns the number of TCP segments that this machine, or the network namespace of
// this process, has sent so far.
func sentSegments() uint64 {
	data, err := os.ReadFile("/proc/self/net/snmp")
	if err != nil {
		return 0
	}
	var names []string
	for line := range strings.Lines(string(data)) {
		fields := strings.Fields(line)
		if len(fields) == 0 || fields[0] != "Tcp:" {
			continue
		}
		if names == nil {
			names = fields
			continue
		}
		if i := slices.Index(names, "OutSegs"); i >= 0 && i < len(fields) {
			count, _ := strconv.ParseUint(fields[i], 10, 64)
			return count
		}
	}
	return 0
}
