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
	"github.com/tealhall/tealhall/internal/entry"
	"github.com/tealhall/tealhall/internal/published"
	"github.com/tealhall/tealhall/internal/settings"
)

const (
	overheadRate      = 5000 // calls a second
	overheadConns     = 64
	overheadRoundTime = time.Second
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

// fixedPlatform is a configuration service with fixed values.
type fixedPlatform map[string]published.Value

func (v fixedPlatform) Read(_ context.Context, name string) (published.Value, error) {
	return v[name], nil
}

func (v fixedPlatform) Watch(ctx context.Context, name string, after uint64) (published.Value, error) {
	if value := v[name]; value.Revision > after {
		return value, nil
	}
	<-ctx.Done()
	return published.Value{Name: name, Revision: after}, ctx.Err()
}

func listen(b *testing.B) *net.TCPListener {
	b.Helper()
	l, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		b.Fatal(err)
	}
	return l
}

// startEchoEndpoint starts an endpoint that answers immediately and returns its address.
func startEchoEndpoint(b *testing.B) string {
	b.Helper()
	answer := make([]byte, 100)
	l := listen(b)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header()[contract.HeaderLoad] = []string{"in-flight=0,queued=0,slots=64"}
		_, _ = w.Write(answer)
	})}
	go func() { _ = server.Serve(l) }()
	b.Cleanup(func() { _ = server.Close() })
	return l.Addr().String()
}

// startEntry starts one entry in front of the endpoint and waits until it is ready.
func startEntry(b *testing.B, endpoint string) *entry.Entry {
	b.Helper()
	vms := published.EncodeVMs(published.VMList{VMs: []published.VM{{
		Name: "echo-1", Incarnation: 1, Role: published.EndpointRole, State: published.Live,
		Region: "r", Domain: "a", Address: endpoint, Pool: "echo", Slots: overheadConns,
	}}})
	s := settings.Default()
	s.Name, s.Region, s.FailureDomain = "entry-1", "r", "a"
	s.Limits.ConnectionsPerEndpoint = overheadConns
	callers, peers := listen(b), listen(b)
	s.Addresses.Caller, s.Addresses.Peer = callers.Addr().String(), peers.Addr().String()
	e, err := entry.New(s, entry.Options{
		Platform: fixedPlatform{
			published.ProfilesValue: {Name: published.ProfilesValue, Revision: 1, Data: []byte(overheadProfiles)},
			published.VMsValue:      {Name: published.VMsValue, Revision: 1, Data: vms},
		},
		CallerListener: callers,
		PeerListener:   peers,
	})
	if err != nil {
		b.Fatal(err)
	}
	if err := e.Start(); err != nil {
		b.Fatal(err)
	}
	b.Cleanup(e.Kill)
	deadline := time.Now().Add(20 * time.Second)
	for ready, why := e.Ready(); !ready; ready, why = e.Ready() {
		if time.Now().After(deadline) {
			b.Fatal(why)
		}
		runtime.Gosched()
	}
	return e
}

// BenchmarkAddedLatency sends the same open-loop load to an endpoint directly and through one
// entry, in alternating rounds, and reports both latencies and their difference.
func BenchmarkAddedLatency(b *testing.B) {
	entry.TuneMemory(&settings.Default().Limits)
	endpoint := startEchoEndpoint(b)
	e := startEntry(b, endpoint)
	direct := newLoadGenerator(endpoint)
	through := newLoadGenerator(e.CallerAddress())
	direct.run(overheadRoundTime / 4)
	through.run(overheadRoundTime / 4)
	direct.histogram.Reset()
	through.histogram.Reset()
	b.ResetTimer()
	var start, middle, end runtime.MemStats
	for range b.N {
		runtime.ReadMemStats(&start)
		direct.run(overheadRoundTime)
		runtime.ReadMemStats(&middle)
		through.run(overheadRoundTime)
		runtime.ReadMemStats(&end)
	}
	b.StopTimer()
	for _, q := range []float64{50, 99, 99.9} {
		d := float64(direct.histogram.ValueAtQuantile(q)) / 1000
		t := float64(through.histogram.ValueAtQuantile(q)) / 1000
		b.ReportMetric(d, fmt.Sprintf("direct-p%v-µs", q))
		b.ReportMetric(t, fmt.Sprintf("entry-p%v-µs", q))
		b.ReportMetric(t-d, fmt.Sprintf("added-p%v-µs", q))
	}
	b.ReportMetric(float64(direct.failed+through.failed), "failed")
	// The load generator and the endpoint allocate the same in both runs, so the difference is the
	// entry's.
	calls := overheadRate * overheadRoundTime.Seconds()
	inDirect := float64(middle.Mallocs - start.Mallocs)
	inThrough := float64(end.Mallocs - middle.Mallocs)
	b.ReportMetric((inThrough-inDirect)/calls, "entry-allocs/call")
	bytesDirect := float64(middle.TotalAlloc - start.TotalAlloc)
	bytesThrough := float64(end.TotalAlloc - middle.TotalAlloc)
	b.ReportMetric((bytesThrough-bytesDirect)/calls, "entry-B/call")
	b.ReportMetric(float64(end.HeapInuse)/(1<<20), "heap-MB")
}

// loadGenerator is a bounded open-loop generator over a fixed number of connections.
type loadGenerator struct {
	url       string
	client    *http.Client
	mu        sync.Mutex
	histogram *hdrhistogram.Histogram
	failed    int
}

func newLoadGenerator(address string) *loadGenerator {
	return &loadGenerator{
		url: "http://" + address + "/x?id=a&bytes=100",
		client: &http.Client{Transport: &http.Transport{
			MaxIdleConnsPerHost: overheadConns,
			MaxConnsPerHost:     overheadConns,
			DialContext:         (&net.Dialer{}).DialContext,
		}},
		histogram: hdrhistogram.New(1000, int64(10*time.Second), 3),
	}
}

// run sends overheadRate calls a second for d. A call's latency counts from the time at which it
// was due, so that a stall is not hidden.
func (l *loadGenerator) run(d time.Duration) {
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
		spinUntil(at)
		due <- at
	}
	close(due)
	workers.Wait()
}

// spinUntil waits without a timer, because timers of an idle process fire up to a millisecond late,
// which is more than the latency measured.
func spinUntil(at time.Time) {
	for time.Now().Before(at) {
		runtime.Gosched()
	}
}

func (l *loadGenerator) call(due time.Time) {
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
		l.failed++
		return
	}
	_ = l.histogram.RecordValue(took.Nanoseconds())
}
