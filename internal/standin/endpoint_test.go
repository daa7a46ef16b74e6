package standin

import (
	"context"
	"io"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/tealhall/tealhall/internal/contract"
)

const (
	serviceTime = 5 * time.Millisecond
	// noAnswerWait is how long a test waits to establish that no answer arrives.
	noAnswerWait = 50 * time.Millisecond
)

// testEndpoint is an endpoint with its own client. A shared client might still have dead
// connections to the same address from another test.
type testEndpoint struct {
	*Endpoint
	client *http.Client
}

// startEndpoint returns an endpoint with one slot and a queue of one, on a manual clock.
func startEndpoint(t *testing.T, change func(*EndpointConfig)) (testEndpoint, *ManualClock) {
	t.Helper()
	clock := NewManualClock()
	cfg := EndpointConfig{Name: "one", Incarnation: 7, Slots: 1, QueueLimit: 1, ServiceTime: Constant(serviceTime), Clock: clock}
	if change != nil {
		change(&cfg)
	}
	endpoint, err := NewEndpoint(cfg)
	if err != nil {
		t.Fatal(err)
	}
	transport := &http.Transport{}
	t.Cleanup(endpoint.Server().Kill)
	t.Cleanup(transport.CloseIdleConnections)
	return testEndpoint{endpoint, &http.Client{Transport: transport}}, clock
}

// reply is the answer that a caller got; err is set if there was none or it was cut off.
type reply struct {
	status int
	header http.Header
	body   []byte
	err    error
}

// send sends one request in the background.
func send(ctx context.Context, e testEndpoint, path string, header ...string) <-chan reply {
	replies := make(chan reply, 1)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, e.Server().URL()+path, strings.NewReader("body"))
	if err != nil {
		replies <- reply{err: err}
		return replies
	}
	request.GetBody = nil // prevents the transport from retrying the request
	for i := 0; i < len(header); i += 2 {
		request.Header.Set(header[i], header[i+1])
	}
	go func() {
		response, err := e.client.Do(request)
		if err != nil {
			replies <- reply{err: err}
			return
		}
		defer response.Body.Close()
		body, err := io.ReadAll(response.Body)
		replies <- reply{response.StatusCode, response.Header, body, err}
	}()
	return replies
}

// TestEndpointContract sends one request to an endpoint in each state and checks the answer and the
// counters.
func TestEndpointContract(t *testing.T) {
	idle := "in-flight=0,queued=0,slots=1"
	bodyDigest := "230d8358dc8e8890b4c58deeb62912ee2f20357ae92a5cc861b98e68fe31acb5"
	cases := map[string]struct {
		change   func(*EndpointConfig)
		faults   EndpointFaults
		drain    bool
		path     string
		deadline string
		slotTime time.Duration // how far the clock is advanced
		status   int           // zero if the caller gets no complete answer
		header   map[string]string
		counted  EndpointStats
	}{
		"answers": {
			slotTime: serviceTime, status: 200,
			header:  map[string]string{contract.HeaderLoad: idle, contract.HeaderIncarnation: "7", BodyDigestHeader: bodyDigest},
			counted: EndpointStats{Requests: 1, Runs: 1, Finished: 1, SlotTime: serviceTime},
		},
		"answers in chunks": {
			path: "/echo?id=own&bytes=100000&chunked=1&status=409&work=1ms", slotTime: time.Millisecond, status: 409,
			counted: EndpointStats{Requests: 1, Runs: 1, Finished: 1, SlotTime: time.Millisecond},
		},
		"probe": {
			path: contract.ProbePath, slotTime: DefaultProbeTime, status: 200,
			counted: EndpointStats{Probes: 1, ProbeSlotTime: DefaultProbeTime},
		},
		"cold": {
			change:   func(c *EndpointConfig) { c.ColdFactor, c.ColdTime = 4, time.Minute },
			slotTime: 4 * serviceTime, status: 200,
			counted: EndpointStats{Requests: 1, Runs: 1, Finished: 1, SlotTime: 4 * serviceTime},
		},
		"straggles": {
			faults: EndpointFaults{Straggle: 10}, slotTime: 10 * serviceTime, status: 200,
			counted: EndpointStats{Requests: 1, Runs: 1, Finished: 1, SlotTime: 10 * serviceTime},
		},
		"reports a false load": {
			faults: EndpointFaults{Load: &contract.Load{InFlight: 9, Slots: 8}}, slotTime: serviceTime, status: 200,
			header:  map[string]string{contract.HeaderLoad: "in-flight=9,queued=0,slots=8"},
			counted: EndpointStats{Requests: 1, Runs: 1, Finished: 1, SlotTime: serviceTime},
		},
		"fails fast": {
			faults: EndpointFaults{FailFast: 503}, status: 503,
			header:  map[string]string{contract.HeaderNotRun: "", contract.HeaderLoad: idle},
			counted: EndpointStats{Requests: 1, Failed: 1},
		},
		"sheds": {
			faults: EndpointFaults{Shed: true}, status: 503,
			header:  map[string]string{contract.HeaderNotRun: "overload"},
			counted: EndpointStats{Requests: 1, NotRun: map[contract.NotRunReason]int64{contract.NotRunOverload: 1}},
		},
		"sheds with Retry-After": {
			faults: EndpointFaults{Shed: true, RetryAfter: 1.5}, status: 503,
			header:  map[string]string{contract.HeaderNotRun: "overload", contract.HeaderRetryAfter: "1.5"},
			counted: EndpointStats{Requests: 1, NotRun: map[contract.NotRunReason]int64{contract.NotRunOverload: 1}},
		},
		"drains": {
			drain: true, status: 503,
			header:  map[string]string{contract.HeaderNotRun: "draining", contract.HeaderDraining: "1"},
			counted: EndpointStats{Requests: 1, NotRun: map[contract.NotRunReason]int64{contract.NotRunDraining: 1}},
		},
		"deadline passed": {
			deadline: "0", status: 503,
			header:  map[string]string{contract.HeaderNotRun: "deadline"},
			counted: EndpointStats{Requests: 1, NotRun: map[contract.NotRunReason]int64{contract.NotRunDeadline: 1}},
		},
		"deadline while it runs": { // a request that has started is never reported as not run
			deadline: "2", slotTime: 2 * time.Millisecond, status: 504,
			header:  map[string]string{contract.HeaderNotRun: ""},
			counted: EndpointStats{Requests: 1, Runs: 1, Late: 1, SlotTime: 2 * time.Millisecond},
		},
		"deadline malformed": {deadline: "soon", status: 400, counted: EndpointStats{Failed: 1}},
		"cuts its answer": {
			faults: EndpointFaults{CutAnswer: true}, slotTime: serviceTime,
			counted: EndpointStats{Requests: 1, Runs: 1, Finished: 1, SlotTime: serviceTime},
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			endpoint, clock := startEndpoint(t, c.change)
			endpoint.SetFaults(c.faults)
			if c.drain {
				endpoint.Drain()
			}
			path := "/echo?id=own&bytes=100000"
			if c.path != "" {
				path = c.path
			}
			header := []string{contract.HeaderRequest, "r1"}
			timers := 1
			if c.deadline != "" {
				header, timers = append(header, contract.HeaderDeadline, c.deadline), 2
			}
			replies := send(t.Context(), endpoint, path, header...)
			got := replyAfter(clock, timers, c.slotTime, replies)
			if (got.err != nil) != (c.status == 0) || (got.err == nil && got.status != c.status) {
				t.Fatalf("status %d, error %v; want status %d", got.status, got.err, c.status)
			}
			for key, want := range c.header {
				if have := got.header.Get(key); have != want {
					t.Errorf("%s: %q; want %q", key, have, want)
				}
			}
			if c.counted.Finished > 0 && got.err == nil {
				if err := CheckAnswer(got.body, "own", 100000); err != nil {
					t.Error(err)
				}
			}
			if err := endpoint.Close(t.Context()); err != nil {
				t.Fatal(err)
			}
			counted := endpoint.Stats()
			counted.Connections = 0
			if c.counted.NotRun == nil {
				c.counted.NotRun = map[contract.NotRunReason]int64{}
			}
			if diff := cmp.Diff(c.counted, counted); diff != "" {
				t.Errorf("counted (-want +got):\n%s", diff)
			}
		})
	}
}

// replyAfter advances the clock by slotTime once the request runs, and returns the reply. A request
// that fails before it runs, such as on a broken connection, starts no timer; waiting only for the
// timer would block forever.
func replyAfter(clock *ManualClock, timers int, slotTime time.Duration, replies <-chan reply) reply {
	if slotTime <= 0 {
		return <-replies
	}
	running := make(chan struct{})
	go func() {
		clock.AwaitTimers(timers)
		close(running)
	}()
	select {
	case early := <-replies:
		return early
	case <-running:
		clock.Advance(slotTime)
		return <-replies
	}
}

// One request uses the only slot and another is queued. A request that asks for an idle slot and a
// request that finds the queue full are refused as busy, the queued request is refused when its
// deadline passes, and a request that arrives after Drain is refused as draining. None of them ran.
// The endpoint still finishes the running request.
func TestDrainingEndpointFinishesAcceptedRequests(t *testing.T) {
	endpoint, clock := startEndpoint(t, nil)
	first := send(t.Context(), endpoint, "/?work=1h", contract.HeaderIdempotencyKey, "first")
	clock.AwaitTimers(1)
	idleOnly := <-send(t.Context(), endpoint, "/", contract.HeaderIdleOnly, "1")
	if reason, ok := contract.ProvedNotRun(idleOnly.status, idleOnly.header); reason != contract.NotRunBusy || !ok {
		t.Errorf("request for an idle slot got %+v", idleOnly)
	}
	second := send(t.Context(), endpoint, "/", contract.HeaderIdempotencyKey, "second", contract.HeaderDeadline, "20")
	clock.AwaitTimers(2)
	third := <-send(t.Context(), endpoint, "/", contract.HeaderIdempotencyKey, "third")
	endpoint.Drain()
	fourth := <-send(t.Context(), endpoint, "/", contract.HeaderIdempotencyKey, "fourth")
	clock.Advance(20 * time.Millisecond)
	refused := map[string]reply{"deadline": <-second, "busy": third, "draining": fourth}
	for want, got := range refused {
		if reason, ok := contract.ProvedNotRun(got.status, got.header); !ok || string(reason) != want {
			t.Errorf("%s: status %d, header %v, error %v", want, got.status, got.header, got.err)
		}
	}
	if load := third.header.Get(contract.HeaderLoad); load != "in-flight=1,queued=1,slots=1" {
		t.Errorf("load of the full endpoint: %s, want 1 in flight and 1 queued", load)
	}
	clock.Advance(time.Hour)
	if got := <-first; got.status != http.StatusOK || got.header.Get(contract.HeaderDraining) == "" {
		t.Errorf("request in flight got %+v", got)
	}
	endpoint.AwaitIdle()
	want := map[string]Count{"first": {1, 1, 1}, "second": {Arrivals: 1}, "third": {Arrivals: 1}, "fourth": {Arrivals: 1}}
	if diff := cmp.Diff(want, endpoint.Ledger().Keys()); diff != "" {
		t.Errorf("ledger (-want +got):\n%s", diff)
	}
}

// After BlackHole, a request sent over an old connection never arrives. A request that was running
// at that moment completes, but its answer is lost. New connections work throughout.
func TestBlackHoleSilencesOpenConnections(t *testing.T) {
	endpoint, clock := startEndpoint(t, nil)
	ctx, cancel := context.WithCancel(t.Context())
	running := send(ctx, endpoint, "/", contract.HeaderIdempotencyKey, "running")
	clock.AwaitTimers(1)
	endpoint.Server().BlackHole()
	clock.Advance(serviceTime)
	endpoint.AwaitIdle()
	waitCtx, cancelWait := context.WithTimeout(t.Context(), noAnswerWait)
	defer cancelWait()
	select {
	case got := <-running:
		t.Errorf("got an answer over the silent connection: %+v", got)
	case <-waitCtx.Done():
	}
	cancel()
	<-running
	fresh := send(t.Context(), endpoint, "/", contract.HeaderIdempotencyKey, "fresh")
	clock.AwaitTimers(1)
	clock.Advance(serviceTime)
	if got := <-fresh; got.status != http.StatusOK {
		t.Fatalf("request over a new connection got %+v", got)
	}
	endpoint.Server().BlackHole() // the connection is idle in the pool now
	lostCtx, cancelLost := context.WithTimeout(t.Context(), noAnswerWait)
	defer cancelLost()
	if got := <-send(lostCtx, endpoint, "/", contract.HeaderIdempotencyKey, "lost"); got.err == nil {
		t.Errorf("request over the silent connection got %+v", got)
	}
	if err := endpoint.Close(t.Context()); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(map[string]Count{"running": {1, 1, 1}, "fresh": {1, 1, 1}}, endpoint.Ledger().Keys()); diff != "" {
		t.Errorf("ledger (-want +got):\n%s", diff)
	}
}

// A request gets no answer because its caller disconnects, the endpoint hangs or the VM is killed.
// The ledger counts the arrivals and runs in each case.
func TestLedgerCountsRunsWithoutAnswer(t *testing.T) {
	endpoint, clock := startEndpoint(t, nil)
	ctx, cancel := context.WithCancel(t.Context())
	gone := send(ctx, endpoint, "/", contract.HeaderIdempotencyKey, "gone")
	clock.AwaitTimers(1)
	cancel()
	<-gone
	endpoint.AwaitIdle()
	endpoint.SetFaults(EndpointFaults{Hang: true})
	ctx, cancel = context.WithCancel(t.Context())
	hung := send(ctx, endpoint, "/", contract.HeaderIdempotencyKey, "hung")
	for endpoint.Ledger().Key("hung").Arrivals == 0 {
		runtime.Gosched()
	}
	cancel()
	if got := <-hung; got.err == nil {
		t.Errorf("hanging endpoint answered %+v", got)
	}
	endpoint.SetFaults(EndpointFaults{})
	dead := send(t.Context(), endpoint, "/", contract.HeaderIdempotencyKey, "dead")
	clock.AwaitTimers(1)
	endpoint.Server().Kill()
	if got := <-dead; got.err == nil {
		t.Errorf("killed endpoint answered %+v", got)
	}
	clock.AwaitTimers(0) // the run has ended
	if err := endpoint.Server().Start(); err != nil {
		t.Fatal(err)
	}
	again := send(t.Context(), endpoint, "/", contract.HeaderIdempotencyKey, "dead")
	clock.AwaitTimers(1)
	clock.Advance(serviceTime)
	<-again
	want := map[string]Count{"gone": {1, 1, 0}, "hung": {Arrivals: 1}, "dead": {2, 2, 1}}
	if diff := cmp.Diff(want, endpoint.Ledger().Keys()); diff != "" {
		t.Errorf("ledger (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff([]string{"dead"}, endpoint.Ledger().RanTwice()); diff != "" {
		t.Errorf("ran twice (-want +got):\n%s", diff)
	}
}
