package standin

import (
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/tealhall/tealhall/internal/published"
)

const (
	// keptRevisions is the number of revisions kept of each value, for the faults that serve old
	// revisions.
	keptRevisions = 8
	// maxWatchWait is the longest wait of a watch.
	maxWatchWait = time.Minute
)

// Platform simulates the configuration service. It implements http.Handler for the documented calls
// and is safe for concurrent use.
type Platform struct {
	clock Clock

	mu            sync.Mutex
	firstRevision uint64                       // the revision of each name's first value
	values        map[string][]published.Value // the latest revisions, oldest first
	faults        PlatformFaults
	frozen        map[string]uint64 // latest revisions served under the fault Stale, by name
	changed       chan struct{}     // closed when values or faults change
	lastLagging   bool              // the last call under the fault OlderReplica went to the lagging replica
	stats         callCounter
}

// NewPlatform returns a service without values.
func NewPlatform(clock Clock) *Platform {
	return &Platform{
		clock:         clock,
		firstRevision: 1,
		values:        make(map[string][]published.Value),
		changed:       make(chan struct{}),
	}
}

// SetFirstRevision sets the revision of the first value of each name that has no value yet. The
// default is 1. A service that replaces another one continues above the other's revisions.
func (p *Platform) SetFirstRevision(revision uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.firstRevision = max(1, revision)
}

// Put publishes data under name and returns its revision. It accepts values larger than the real
// service does, so that tests can serve them.
func (p *Platform) Put(name string, data []byte) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.values[name]
	revision := p.firstRevision
	if len(kept) > 0 {
		revision = kept[len(kept)-1].Revision + 1
	}
	kept = append(kept, published.Value{Name: name, Revision: revision, Data: data})
	if len(kept) > keptRevisions {
		kept = kept[1:]
	}
	p.values[name] = kept
	p.notifyWatches()
	return revision
}

// SetVMs publishes the list of VMs and returns its revision.
func (p *Platform) SetVMs(vms ...published.VM) uint64 {
	return p.Put(published.VMsValue, published.EncodeVMs(published.VMList{VMs: vms}))
}

// SetVMsEvacuated publishes the list of VMs together with the evacuated failure domains and returns
// its revision.
func (p *Platform) SetVMsEvacuated(domains []string, vms ...published.VM) uint64 {
	return p.Put(published.VMsValue, published.EncodeVMs(published.VMList{VMs: vms, Evacuated: domains}))
}

// notifyWatches makes waiting watches check for a new answer.
func (p *Platform) notifyWatches() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	name, found := strings.CutPrefix(r.URL.Path, published.ValuesPath)
	if !found || name == "" {
		http.NotFound(w, r)
		return
	}
	if r.Method != http.MethodGet {
		http.Error(w, "values can only be read", http.StatusMethodNotAllowed)
		return
	}
	watch, err := parseWatch(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	lagging := p.begin(watch.isWatch)
	defer p.end(watch.isWatch)
	p.delay(r)
	if watch.isWatch {
		p.serveWatch(w, r, name, watch, lagging)
		return
	}
	p.write(w, p.currentAnswer(name, lagging))
}

// watchParams are the parameters of a call. The zero value is a plain read.
type watchParams struct {
	isWatch bool
	after   uint64
	wait    time.Duration
}

func parseWatch(r *http.Request) (watchParams, error) {
	query := r.URL.Query()
	if !query.Has(published.AfterParameter) {
		return watchParams{}, nil
	}
	after, err := strconv.ParseUint(query.Get(published.AfterParameter), 10, 64)
	if err != nil {
		return watchParams{}, err
	}
	wait, err := time.ParseDuration(query.Get(published.WaitParameter))
	if err != nil {
		return watchParams{}, err
	}
	return watchParams{isWatch: true, after: after, wait: min(max(0, wait), maxWatchWait)}, nil
}

// begin counts a call and reports whether the lagging replica answers it.
func (p *Platform) begin(isWatch bool) (lagging bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stats.begin(p.clock.Now(), isWatch)
	if !p.faults.OlderReplica {
		return false
	}
	p.lastLagging = !p.lastLagging
	return p.lastLagging
}

func (p *Platform) end(isWatch bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stats.end(isWatch)
}

// delay waits for the time that the fault Delay sets, or until the client disconnects.
func (p *Platform) delay(r *http.Request) {
	p.mu.Lock()
	delay := p.faults.Delay
	p.mu.Unlock()
	if delay <= 0 {
		return
	}
	fired, stop := p.clock.After(delay)
	defer stop()
	select {
	case <-fired:
	case <-r.Context().Done():
	}
}

// serveWatch answers once a later revision exists, the wait is over or the fault Down is set. A
// lagging replica answers at once with its current revision.
func (p *Platform) serveWatch(w http.ResponseWriter, r *http.Request, name string, watch watchParams, lagging bool) {
	fired, stop := p.clock.After(watch.wait)
	defer stop()
	for {
		answer := p.currentAnswer(name, lagging)
		if answer.status != http.StatusOK || answer.value.Revision > watch.after || lagging {
			p.write(w, answer)
			return
		}
		select {
		case <-answer.changed:
		case <-r.Context().Done():
			return
		case <-fired:
			w.Header().Set(published.RevisionHeader, strconv.FormatUint(answer.value.Revision, 10))
			w.WriteHeader(http.StatusNotModified)
			return
		}
	}
}

// Stats returns a copy of the counters.
func (p *Platform) Stats() PlatformStats {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stats.total
}

// PlatformStats are the counters of a Platform.
type PlatformStats struct {
	// Calls counts all calls. A watch is one call, however long it waits.
	Calls int64 `json:"calls"`
	// Watches is the number of watches that wait now, PeakWatches the highest number so far.
	Watches     int `json:"watches"`
	PeakWatches int `json:"peak_watches"`
	// PeakPerSecond is the highest number of calls that began in one second of the clock.
	PeakPerSecond int64 `json:"peak_per_second"`
}

// callCounter maintains PlatformStats.
type callCounter struct {
	total         PlatformStats
	second        time.Duration
	callsInSecond int64 // calls that began in that second
}

func (c *callCounter) begin(now time.Duration, isWatch bool) {
	if second := now.Truncate(time.Second); second != c.second {
		c.second, c.callsInSecond = second, 0
	}
	c.callsInSecond++
	c.total.Calls++
	c.total.PeakPerSecond = max(c.total.PeakPerSecond, c.callsInSecond)
	if isWatch {
		c.total.Watches++
		c.total.PeakWatches = max(c.total.PeakWatches, c.total.Watches)
	}
}

func (c *callCounter) end(isWatch bool) {
	if isWatch {
		c.total.Watches--
	}
}
