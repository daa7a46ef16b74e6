package bench

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/tealhall/tealhall/internal/core/balance"
	"github.com/tealhall/tealhall/internal/core/health"
	"github.com/tealhall/tealhall/internal/core/table"
)

// waiter is a request in a decider's queue.
type waiter struct {
	since  time.Time
	ask    balance.Ask
	choice chan balance.Choice
	// refusals counts the tries that endpoints refused so far.
	refusals int
}

// decider stands for one entry: a picker, its view of the pool, a
// first-in-first-out queue and connections of its own.
type decider struct {
	cfg   Config
	epoch time.Time
	index int
	name  string
	// deciders is how many share the pool.
	deciders int
	client   *http.Client

	mu      sync.Mutex
	pool    table.Pool
	picker  balance.Picker
	queue   []*waiter
	timer   *time.Timer
	typical health.Typical
	rng     *rand.Rand
	events  []health.Event
	// idleShare and idleTokens bound the refused tries.
	idleShare  float64
	idleTokens float64
	refused    int64
	tries      int64
	failed     int64
}

const (
	// sweepInterval is the time between two looks at the endpoints' health.
	sweepInterval = 100 * time.Millisecond
	// mostEjected is the largest share of a pool that may be ejected.
	mostEjected = 0.3
)

// idleRefusals and idleBurst bound refused tries where Variant.IdleShare does.
const (
	idleRefusals = 3
	idleBurst    = 10
)

func deciderName(i int) string { return fmt.Sprintf("entry-%d", i) }

func newDecider(cfg Config, variant Variant, faults Faults, index, count int, endpoints []*endpoint, epoch time.Time) (*decider, error) {
	tuning := variant.Balance
	tuning.Self = deciderName(index)
	rng := rand.New(rand.NewPCG(cfg.Seed, uint64(index)+1000))
	picker, err := balance.New(variant.Policy, tuning, rng)
	if err != nil {
		return nil, err
	}
	d := &decider{
		cfg: cfg, epoch: epoch, index: index, name: tuning.Self, picker: picker, rng: rng, deciders: count,
		idleShare: variant.IdleShare, idleTokens: idleBurst,
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256, DisableCompression: true}},
	}
	d.pool.Name = "pool"
	for i, e := range endpoints {
		row := table.Endpoint{Name: fmt.Sprintf("endpoint-%d", i), Incarnation: 1, Address: e.address, Slots: int32(cfg.Slots)}
		if variant.Perfect && i == 0 && (faults.FailFast || faults.StragglerFactor > 1) {
			row.State = table.EndpointLeaving
		}
		d.pool.Endpoints = append(d.pool.Endpoints, row)
	}
	names := make([]string, count)
	for i := range names {
		names[i] = deciderName(i)
	}
	// An hour of uptime: slow start is over and age 0 is not special.
	d.picker.Changed(d.now(), &d.pool, names)
	d.timer = time.AfterFunc(time.Hour, d.wake)
	return d, nil
}

func (d *decider) close() {
	d.timer.Stop()
	d.client.CloseIdleConnections()
}

func (d *decider) now() time.Duration { return time.Hour + time.Since(d.epoch) }

func (d *decider) wake() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.pump()
}

// pump hands choices to the head of the queue for as long as there are any.
func (d *decider) pump() {
	for len(d.queue) > 0 {
		head := d.queue[0]
		head.ask.MustQueue = !d.mayAskIdle(head.refusals)
		c := d.picker.Pick(d.now(), &d.pool, head.ask, time.Since(head.since))
		if !c.OK {
			d.timer.Reset(max(c.Wait, 100*time.Microsecond))
			return
		}
		d.queue = d.queue[1:]
		d.dispatched(c)
		head.choice <- c
	}
}

func (d *decider) dispatched(c balance.Choice) {
	d.tries++
	e := &d.pool.Endpoints[c.Index]
	e.Outstanding++
	if c.Trial {
		health.TrialSent(d.now(), e)
	}
	d.picker.Dispatched(d.now(), &d.pool, c.Index)
}

// choose returns an endpoint, after waiting in the queue if need be. A request
// that was tried before goes to the head of the queue.
func (d *decider) choose(ctx context.Context, since time.Time, tried balance.Set, refusals int) (balance.Choice, bool) {
	d.mu.Lock()
	if tried != 0 || len(d.queue) == 0 {
		ask := balance.Ask{Tried: tried, Trial: true, MustQueue: !d.mayAskIdle(refusals)}
		if c := d.picker.Pick(d.now(), &d.pool, ask, time.Since(since)); c.OK {
			d.dispatched(c)
			d.mu.Unlock()
			return c, true
		}
	}
	w := &waiter{since: since, ask: balance.Ask{Trial: true}, refusals: refusals, choice: make(chan balance.Choice, 1)}
	if tried != 0 {
		d.queue = append([]*waiter{w}, d.queue...)
	} else {
		d.queue = append(d.queue, w)
	}
	d.pump()
	d.mu.Unlock()
	select {
	case c := <-w.choice:
		return c, true
	case <-ctx.Done():
		return balance.Choice{}, false
	}
}

// serve carries one request through and reports whether it was answered.
func (d *decider) serve(ctx context.Context, a arrival) bool {
	since := time.Now()
	var tried balance.Set
	failures, refusals := 0, 0
	for ctx.Err() == nil && failures < d.cfg.Attempts {
		c, ok := d.choose(ctx, since, tried, refusals)
		if !ok {
			return false
		}
		obs := d.send(ctx, c, a.demand)
		d.answered(c.Index, obs)
		if obs.Failed {
			failures++
		}
		if obs.Refused {
			refusals++
		}
		if !obs.Refused && !obs.Failed {
			return true
		}
		tried = tried.With(c.Index)
	}
	return false
}

// mayAskIdle reports whether one more refused try is within bounds. The lock is
// held.
func (d *decider) mayAskIdle(refusals int) bool {
	return d.idleShare <= 0 || refusals < idleRefusals && d.idleTokens >= 1
}

// answered passes on what an attempt told, and frees the queue.
func (d *decider) answered(i int, obs balance.Observation) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now, e := d.now(), &d.pool.Endpoints[i]
	e.Outstanding--
	d.picker.Answered(now, &d.pool, i, obs)
	outcome := health.Answered
	switch {
	case obs.Refused:
		outcome = health.RefusedNotRun
		d.idleTokens--
		d.refused++
	case obs.Failed:
		outcome = health.AnsweredError
		d.failed++
	default:
		d.typical.Observe(obs.Latency)
		d.idleTokens = min(idleBurst, d.idleTokens+d.idleShare)
	}
	// A refusal that was asked for tells nothing about the endpoint's health.
	if !obs.Refused {
		health.Observe(now, e, health.Observation{
			Outcome: outcome, Latency: obs.Latency, Expected: d.typical.Latency(), Queued: obs.Queued,
		})
	}
	d.pump()
}

// sweep lets the health system judge the endpoints until ctx ends.
func (d *decider) sweep(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		d.mu.Lock()
		busy := float64(d.pool.Outstanding()*d.deciders) / float64(max(1, d.pool.Slots()))
		limits := health.Limits{MaxShare: mostEjected, Busy: busy}
		d.events = health.Sweep(d.now(), &d.pool, limits, d.rng, d.events[:0])
		d.pump()
		d.mu.Unlock()
	}
}

// send makes one attempt.
func (d *decider) send(ctx context.Context, c balance.Choice, demand time.Duration) balance.Observation {
	begun := time.Now()
	d.mu.Lock()
	address := d.pool.Endpoints[c.Index].Address
	d.mu.Unlock()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/", nil)
	if err != nil {
		return balance.Observation{Failed: true}
	}
	request.Header.Set(demandHeader, strconv.FormatInt(int64(demand), 10))
	if c.IdleOnly {
		request.Header.Set(idleOnlyHeader, "1")
	}
	time.Sleep(d.cfg.RoundTrip / 2)
	obs := observe(d.client, request, begun)
	time.Sleep(d.cfg.RoundTrip / 2)
	obs.Latency = time.Since(begun)
	return obs
}

func observe(client *http.Client, request *http.Request, begun time.Time) balance.Observation {
	answer, err := client.Do(request)
	if err != nil {
		return balance.Observation{Failed: true, Latency: time.Since(begun)}
	}
	_, _ = io.Copy(io.Discard, answer.Body)
	_ = answer.Body.Close()
	obs := balance.Observation{Latency: time.Since(begun)}
	obs.Refused = answer.Header.Get(refusedHeader) != ""
	obs.Failed = answer.StatusCode != http.StatusOK && !obs.Refused
	if load := answer.Header.Get(inFlightHeader); load != "" {
		obs.HasLoad = true
		obs.InFlight, _ = strconv.Atoi(load)
		obs.Queued, _ = strconv.Atoi(answer.Header.Get(queuedHeader))
	}
	return obs
}
