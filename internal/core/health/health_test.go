package health

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/tealhall/tealhall/internal/core/table"
)

const (
	ms            = time.Millisecond
	start         = time.Minute
	normalLatency = 15 * ms
)

// simulation drives a pool as an entry does: it sends requests to the endpoints in turn, sends
// trials when they are due, and calls Sweep every 100 ms.
type simulation struct {
	now, step, sweepAt time.Duration
	pool               table.Pool
	limits             Limits
	rng                *rand.Rand
	// behave returns the outcome of a request to endpoint i.
	behave func(i int, now time.Duration) Observation
	// noTrials means that no request is idempotent, so that none can serve as a trial.
	noTrials      bool
	next          int
	sent          []int
	events        []string
	ejectionTimes []time.Duration // durations of the ejections, in order
}

func newSimulation(n int, behave func(int, time.Duration) Observation) *simulation {
	s := &simulation{now: start, step: 2 * ms, behave: behave, sent: make([]int, n), rng: rand.New(rand.NewPCG(1, 2))}
	s.limits = Limits{MaxShare: 0.34, Base: time.Second, Max: 20 * time.Second, Utilization: 0.5}
	s.pool.Endpoints = make([]table.Endpoint, n)
	for i := range s.pool.Endpoints {
		s.pool.Endpoints[i].Slots = 2
	}
	return s
}

func (s *simulation) run(d time.Duration) *simulation {
	for end := s.now + d; s.now < end; s.now += s.step {
		if s.now >= s.sweepAt {
			s.sweep()
		}
		s.request()
	}
	return s
}

func (s *simulation) sweep() {
	s.sweepAt = s.now + 100*ms
	for _, e := range Sweep(s.now, &s.pool, s.limits, s.rng, nil) {
		s.events = append(s.events, fmt.Sprint(e.Kind, " ", e.Endpoint))
		if e.Kind == Ejection {
			s.ejectionTimes = append(s.ejectionTimes, e.Until-s.now)
		}
	}
}

func (s *simulation) request() {
	for range s.pool.Endpoints {
		i := s.next
		s.next = (s.next + 1) % len(s.pool.Endpoints)
		e := &s.pool.Endpoints[i]
		if Ejected(s.now, e) {
			if s.noTrials || !TrialDue(s.now, e) {
				continue
			}
			TrialSent(s.now, e)
		}
		o := s.behave(i, s.now)
		o.Expected, o.Sent = normalLatency, s.now
		s.sent[i]++
		Observe(s.now, &s.pool, i, o)
		return
	}
}

func answer(latency time.Duration) Observation { return Observation{Latency: latency} }

// firstEndpointsBad returns a behaviour with which the first n endpoints return bad for the time d.
func firstEndpointsBad(n int, d time.Duration, bad Observation) func(int, time.Duration) Observation {
	return func(i int, now time.Duration) Observation {
		if i < n && now < start+d {
			return bad
		}
		return answer(normalLatency)
	}
}

// Guards against an endpoint that answers late, breaks connections or refuses every request, but
// keeps its share of the traffic. In the cases without an ejection the symptoms are alike, but the
// cause is load, chance, a cold start, the network path or the entry itself, and an ejection would
// do harm.
func TestSweep(t *testing.T) {
	const always = time.Hour
	refused, broken := Observation{Outcome: RefusedNotRun, Latency: ms}, Observation{Outcome: Broken}
	noise := rand.New(rand.NewPCG(3, 4))
	for _, tt := range []struct {
		name   string
		n      int
		behave func(int, time.Duration) Observation
		change func(*simulation)
		run    time.Duration
		want   string
	}{
		{"a straggler stays ejected while its trials are slow", 6, firstEndpointsBad(1, always, answer(4*normalLatency)), nil, 4 * time.Second, "eject 0, eject 0, eject 0"},
		{"a recovered straggler is readmitted automatically", 6, firstEndpointsBad(1, 600*ms, answer(4*normalLatency)), nil, 10 * time.Second, "eject 0, readmit 0"},
		{"a straggler that reports a long queue is ejected", 6, firstEndpointsBad(1, always, Observation{Latency: 10 * normalLatency, Queued: 500}), nil, time.Second, "eject 0"},
		{"a latency explained by a short queue ejects no endpoint", 6, firstEndpointsBad(1, always, Observation{Latency: 4 * normalLatency, Queued: 4}), nil, 10 * time.Second, ""},
		{"a rare garbage collection pause ejects no endpoint", 6, func(i int, now time.Duration) Observation {
			if i == 0 && now%(3*time.Second) < 12*ms {
				return answer(100 * normalLatency)
			}
			return answer(normalLatency)
		}, nil, 10 * time.Second, ""},
		{"random variation ejects no endpoint", 16, func(int, time.Duration) Observation {
			return answer(time.Duration(noise.ExpFloat64() * float64(normalLatency)))
		}, nil, 10 * time.Minute, ""},
		{"a straggler is not ejected when the others lack capacity", 6, firstEndpointsBad(1, always, answer(4*normalLatency)),
			func(s *simulation) { s.limits.Utilization = 0.95 }, 10 * time.Second, ""},
		{"an endpoint that fails fast is ejected at any load", 6, firstEndpointsBad(1, always, refused), func(s *simulation) { s.limits.Utilization = 1 }, 500 * ms, "eject 0"},
		{"an endpoint that fails fast and reports a queue is ejected", 6, firstEndpointsBad(1, always, Observation{Outcome: RefusedNotRun, Queued: 9}), nil, 500 * ms, "eject 0"},
		{"an endpoint that fails fast is ejected in a pool of two", 2, firstEndpointsBad(1, always, refused), nil, 500 * ms, "eject 0"},
		{"load shedding by all endpoints ejects no endpoint", 6, func(i int, now time.Duration) Observation {
			if (int(now/(12*ms))+i)%5 < 2 {
				return refused
			}
			return answer(normalLatency)
		}, nil, 10 * time.Second, ""},
		{"timeouts of a cold endpoint do not eject it", 6, firstEndpointsBad(1, 8*time.Second, Observation{Outcome: TimedOut, Latency: 20 * normalLatency}),
			func(s *simulation) { s.pool.Endpoints[0].AdmittedAt = s.now }, 15 * time.Second, ""},
		{"silent connections eject no endpoint", 6, firstEndpointsBad(1, always, Observation{Outcome: ConnSilent}), nil, 10 * time.Second, ""},
		{"no endpoint is ejected while most look bad", 6, firstEndpointsBad(4, 3*time.Second, Observation{Outcome: ConnectFailed}), nil,
			10 * time.Second, "view-wrong -1, view-restored -1"},
		{"ejected endpoints are readmitted when most look bad", 6, func(i int, now time.Duration) Observation {
			if i < 2 || i < 4 && now > start+time.Second {
				return broken
			}
			return answer(normalLatency)
		}, func(s *simulation) { s.limits.Base = 20 * time.Second }, 2 * time.Second,
			"eject 0, eject 1, view-wrong -1, readmit 0, readmit 1"},
		{"an endpoint is readmitted when others leave and the limit falls", 8, firstEndpointsBad(2, always, broken), func(s *simulation) {
			s.run(300 * ms)
			for i := 4; i < 8; i++ {
				s.pool.Endpoints[i].State = table.EndpointLeaving
			}
		}, 100 * ms, "eject 0, eject 1, readmit 0"},
		{"without idempotent requests an endpoint is readmitted after a timeout", 6, firstEndpointsBad(1, time.Second, refused),
			func(s *simulation) { s.noTrials = true }, 10 * time.Second, "eject 0, readmit 0"},
	} {
		s := newSimulation(tt.n, tt.behave)
		if tt.change != nil {
			tt.change(s)
		}
		s.run(tt.run)
		if got := strings.Join(s.events, ", "); got != tt.want {
			t.Errorf("%s: got %q, want %q", tt.name, got, tt.want)
		}
	}
}

// Guards against an endpoint that alternates between ten good and ten failed requests and is
// readmitted quickly each time: callers would see errors twice a second without end. Ejections must
// double up to the limit, and after a long healthy time a new fault must count as the first one.
func TestFlappingEndpointIsEjectedLongerEachTime(t *testing.T) {
	count := 0
	s := newSimulation(6, func(i int, now time.Duration) Observation {
		if i == 0 && now < start+4*time.Minute {
			if count++; count%20 >= 10 {
				return Observation{Outcome: Broken}
			}
		}
		return answer(normalLatency)
	}).run(4 * time.Minute)
	for i, d := range s.ejectionTimes {
		if longest := min(s.limits.Base<<i, s.limits.Max); d > longest || d < longest/2 {
			t.Errorf("ejection %d took %v, want %v to %v", i, d, longest/2, longest)
		}
	}
	if share := float64(s.sent[0]) / float64(s.sent[1]); len(s.ejectionTimes) < 8 || share > 0.02 {
		t.Errorf("%d ejections, %.3f of the requests of a good endpoint", len(s.ejectionTimes), share)
	}
	if h := &s.run(20 * time.Minute).pool.Endpoints[0].Health; h.EjectedUntil != 0 || h.Ejections != 0 {
		t.Errorf("past ejections still count after a long healthy time: %+v", *h)
	}
}

// Guards against outcomes of requests that were in flight when the entry's VM was suspended for
// 30 s: they seem to have taken 30 s or timed out, and would make every endpoint look bad. Outcomes
// of requests in flight at an ejection must not decide on readmission in place of the trials
// either.
func TestOutcomesFromBeforePauseOrEjectionAreIgnored(t *testing.T) {
	s := newSimulation(6, firstEndpointsBad(1, time.Second, Observation{Outcome: Broken})).run(300 * ms)
	sent := start
	check := func(endpoints []table.Endpoint) {
		for i := range endpoints {
			Observe(s.now, &s.pool, i, Observation{Outcome: TimedOut, Sent: sent, Latency: s.now - sent, Expected: normalLatency})
			Observe(s.now, &s.pool, i, Observation{Latency: s.now - sent, Expected: normalLatency})
			if h := endpoints[i].Health; h.Samples != 0 || h.FailureRate != 0 {
				t.Errorf("endpoint %d: an outcome of an earlier request counted: %+v", i, h)
			}
		}
	}
	check(s.pool.Endpoints[:1])
	s.now += 30 * time.Second
	Pause(s.now, 30*time.Second, &s.pool)
	check(s.pool.Endpoints)
}

// Guards against too many ejections and endpoints that never return. For any outcomes and
// departures, at most the allowed share of the endpoints is ejected and never all of them, and all
// endpoints are readmitted within a bounded time after they have recovered.
func TestEjectionBoundsAndRecovery(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 20).Draw(t, "endpoints")
		s := newSimulation(n, firstEndpointsBad(0, 0, Observation{}))
		s.step = 20 * ms
		s.limits.MaxShare = rapid.Float64Range(0, 0.5).Draw(t, "share")
		s.limits.Utilization = rapid.Float64Range(0, 1).Draw(t, "busy")
		anyIndex := func(t *rapid.T) int { return rapid.IntRange(0, n-1).Draw(t, "endpoint") }
		t.Repeat(map[string]func(*rapid.T){
			"observe": func(t *rapid.T) {
				o := Observation{
					Outcome: Outcome(rapid.IntRange(0, int(ConnSilent)).Draw(t, "outcome")),
					Latency: time.Duration(rapid.IntRange(0, 900).Draw(t, "latency")) * ms,
					Queued:  rapid.IntRange(0, 50).Draw(t, "queued"), Expected: normalLatency, Sent: s.now,
				}
				i := anyIndex(t)
				for range rapid.IntRange(1, 30).Draw(t, "times") {
					Observe(s.now, &s.pool, i, o)
				}
			},
			"leave": func(t *rapid.T) { s.pool.Endpoints[anyIndex(t)].State = table.EndpointLeaving },
			"wait":  func(t *rapid.T) { s.now += time.Duration(rapid.IntRange(1, 4000).Draw(t, "gap")) * ms },
			"serve": func(*rapid.T) { s.run(time.Second) },
			"": func(t *rapid.T) {
				s.sweep()
				live, ejected := s.count()
				share := s.limits.MaxShare * float64(live)
				if ejected > 0 && (share == 0 || live < 2 || float64(ejected) > max(1, share)) {
					t.Fatalf("%d of %d ejected", ejected, live)
				}
			},
		})
		s.run(s.limits.Max + 3*trialTimeout)
		if _, ejected := s.count(); ejected > 0 {
			t.Fatalf("%d still ejected: %s", ejected, s.events)
		}
	})
}

func (s *simulation) count() (live, ejected int) {
	for i := range s.pool.Endpoints {
		if e := &s.pool.Endpoints[i]; e.State == table.EndpointLive {
			live++
			if Ejected(s.now, e) {
				ejected++
			}
		}
	}
	return live, ejected
}

// BenchmarkTick measures one Observe call per endpoint and one Sweep.
func BenchmarkTick(b *testing.B) {
	for _, n := range []int{6, 19, 560} {
		b.Run(fmt.Sprintf("endpoints=%d", n), func(b *testing.B) {
			s := newSimulation(n, firstEndpointsBad(0, 0, Observation{})).run(20 * time.Second)
			for b.ReportAllocs(); b.Loop(); {
				for i := range s.pool.Endpoints {
					Observe(s.now, &s.pool, i, Observation{Latency: normalLatency, Expected: normalLatency, Queued: 1})
				}
				Sweep(s.now, &s.pool, s.limits, s.rng, nil)
			}
		})
	}
}
