package entry_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/tealhall/tealhall/internal/contract"
	"github.com/tealhall/tealhall/internal/demo"
	"github.com/tealhall/tealhall/internal/standin"
)

const (
	overheadRate  = 5000 // calls a second
	overheadConns = 64
	overheadRound = time.Second
)

const overheadProfiles = `
format = 1
[profile.echo]
kind = "read"
deadline = "2s"
queue_limit = 1000
caller_share = 1.0
[service.echo]
profile = "echo"
[calendar]
time_zone = "UTC"
`

// BenchmarkAddedLatency sends the same open-loop load to an endpoint directly
// and through one entry, in alternating rounds, and reports both.
func BenchmarkAddedLatency(b *testing.B) {
	f, err := demo.NewFleet(demo.FleetConfig{
		Profiles: []byte(overheadProfiles),
		Domains:  []string{"a"},
		Entries:  1,
		Pools: []demo.PoolConfig{{
			Name:      "echo",
			Endpoints: 4,
			Endpoint:  standin.EndpointConfig{Slots: 64, ServiceTime: standin.Constant(0)},
		}},
	})
	if err != nil {
		b.Fatal(err)
	}
	defer f.Close()
	ctx, cancel := context.WithTimeout(b.Context(), 20*time.Second)
	defer cancel()
	if err := f.Ready(ctx); err != nil {
		b.Fatal(err)
	}
	direct := newLoad(f.Endpoints[0].VM.Address)
	through := newLoad(f.Entries[0].CallerAddress())
	direct.run(200 * time.Millisecond)
	through.run(200 * time.Millisecond)
	direct.histogram.Reset()
	through.histogram.Reset()
	b.ResetTimer()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range b.N {
		direct.run(overheadRound)
		through.run(overheadRound)
	}
	runtime.ReadMemStats(&after)
	b.StopTimer()
	for _, q := range []float64{50, 99, 99.9} {
		d := float64(direct.histogram.ValueAtQuantile(q)) / 1000
		t := float64(through.histogram.ValueAtQuantile(q)) / 1000
		b.ReportMetric(d, fmt.Sprintf("direct-p%v-µs", q))
		b.ReportMetric(t, fmt.Sprintf("entry-p%v-µs", q))
		b.ReportMetric(t-d, fmt.Sprintf("added-p%v-µs", q))
	}
	b.ReportMetric(float64(direct.failed.n+through.failed.n), "failed")
	b.ReportMetric(float64(after.HeapInuse)/(1<<20), "heap-MB")
}

// load is a bounded open-loop generator over a fixed number of connections.
type load struct {
	url       string
	client    *http.Client
	mu        sync.Mutex
	histogram *hdrhistogram.Histogram
	failed    struct{ n int }
}

func newLoad(address string) *load {
	return &load{
		url: "http://" + address + "/x?id=a&bytes=100",
		client: &http.Client{Transport: &http.Transport{
			MaxIdleConnsPerHost: overheadConns,
			MaxConnsPerHost:     overheadConns,
			DialContext:         (&net.Dialer{}).DialContext,
		}},
		histogram: hdrhistogram.New(1000, int64(10*time.Second), 3),
	}
}

// run sends overheadRate calls a second for a time. A call's latency counts
// from when it was due, so that a stall is not hidden.
func (l *load) run(d time.Duration) {
	calls := int(d.Seconds() * overheadRate)
	due := make(chan time.Time, calls)
	var workers sync.WaitGroup
	for range overheadConns {
		workers.Add(1)
		go func() {
			defer workers.Done()
			for at := range due {
				l.call(at)
			}
		}()
	}
	start := time.Now()
	for i := range calls {
		at := start.Add(time.Duration(i) * time.Second / overheadRate)
		for time.Until(at) > 0 {
			time.Sleep(time.Until(at))
		}
		due <- at
	}
	close(due)
	workers.Wait()
}

func (l *load) call(due time.Time) {
	request, _ := http.NewRequest(http.MethodGet, l.url, nil)
	request.Header.Set(contract.HeaderService, "echo")
	response, err := l.client.Do(request)
	ok := err == nil
	if ok {
		_, err = io.Copy(io.Discard, response.Body)
		response.Body.Close()
		ok = err == nil && response.StatusCode == http.StatusOK
	}
	took := time.Since(due)
	l.mu.Lock()
	defer l.mu.Unlock()
	if !ok {
		l.failed.n++
		return
	}
	_ = l.histogram.RecordValue(took.Nanoseconds())
}
