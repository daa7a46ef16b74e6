package fleetload

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/tealhall/tealhall/internal/contract"
	"github.com/tealhall/tealhall/internal/entry"
	"github.com/tealhall/tealhall/internal/standin"
)

// Spread is how long news took to reach every entry, in seconds.
type Spread struct {
	// Times is how often it was tried.
	Times int `json:"times"`
	// Typical is the median over all entries and times, Last the median of the
	// times until the last entry had it, Worst the longest of all.
	Typical float64 `json:"typical_s"`
	Last    float64 `json:"last_s"`
	Worst   float64 `json:"worst_s"`
	// Missing counts entries that had not got it when the bench gave up.
	Missing int `json:"missing"`
}

// spreadLimit is when the bench gives a piece of news up.
const spreadLimit = 20 * time.Second

// spreads gathers several tries.
type spreads struct {
	all, last []float64
	missing   int
}

func (s *spreads) add(after []float64, missing int) {
	s.all = append(s.all, after...)
	s.missing += missing
	if missing > 0 {
		s.last = append(s.last, spreadLimit.Seconds())
		return
	}
	s.last = append(s.last, largest(after))
}

func (s *spreads) result() Spread {
	return Spread{Times: len(s.last), Typical: Median(s.all), Last: Median(s.last), Worst: largest(s.last), Missing: s.missing}
}

// Spreads are the spreads of one fleet.
type Spreads struct {
	// Published: every entry reaches the configuration service.
	Published Spread `json:"published"`
	// Slow: each call at the service takes slowCall.
	Slow Spread `json:"published_slow"`
	// OneReader: only one entry, which watches, reaches the service.
	OneReader Spread `json:"published_one_reader"`
	// OneOther: only one entry, which does not watch while others do, reaches it.
	OneOther Spread `json:"published_one_other"`
	// Leaving: an endpoint says in an answer that it drains.
	Leaving Spread `json:"leaving"`
}

// slowCall is how long a slow service takes for each call.
const slowCall = 500 * time.Millisecond

// measureSpreads publishes several documents in each state of the service and
// lets endpoints leave.
func (f *fleet) measureSpreads(ctx context.Context, c Config) (Spreads, error) {
	var s Spreads
	readers := f.readers()
	s.Published = f.publications(ctx, c.Publications)
	f.platform.SetFaults(standin.PlatformFaults{Delay: slowCall})
	s.Slow = f.publications(ctx, c.FaultPublications)
	f.platform.SetFaults(standin.PlatformFaults{})
	if len(readers) > 0 {
		s.OneReader = f.publishToOne(ctx, readers[0], c.FaultPublications)
	}
	if other := firstNotIn(readers, len(f.entries)); other >= 0 {
		s.OneOther = f.publishToOne(ctx, other, c.OtherPublications)
	}
	leaving, err := f.leavings(ctx, c.Leavings)
	s.Leaving = leaving
	return s, err
}

// publications publishes several times, at odd moments.
func (f *fleet) publications(ctx context.Context, times int) Spread {
	var s spreads
	for range times {
		wait(ctx, 200*time.Millisecond+rand.N(400*time.Millisecond))
		s.add(f.publication(ctx))
	}
	return s.result()
}

func (f *fleet) publication(ctx context.Context) (after []float64, missing int) {
	limited, cancel := context.WithTimeout(ctx, spreadLimit)
	defer cancel()
	published := time.Now()
	revision := f.publish()
	return f.changesSeen.await(limited, arrival{revision: revision}, len(f.entries), published)
}

// settleCut is how long a cut lasts before something is published.
const settleCut = time.Second

// publishToOne publishes while a single entry reaches the service.
func (f *fleet) publishToOne(ctx context.Context, only, times int) Spread {
	f.onlyReachableBy(only)
	defer f.onlyReachableBy(-1)
	wait(ctx, settleCut)
	return f.publications(ctx, times)
}

// firstNotIn returns the first number below n that is not listed, or -1.
func firstNotIn(listed []int, n int) int {
	for i := range n {
		if !slices.Contains(listed, i) {
			return i
		}
	}
	return -1
}

// leavings lets endpoints leave one after the other, each of another service,
// and measures from the first answer that says so.
func (f *fleet) leavings(ctx context.Context, times int) (Spread, error) {
	var s spreads
	for i := range min(times, f.services) {
		wait(ctx, rand.N(300*time.Millisecond))
		leaver := f.endpointsOf(i)[0]
		leaver.draining.Store(true)
		since, err := f.provoke(ctx, i, leaver)
		if err != nil {
			return s.result(), err
		}
		limited, cancel := context.WithTimeout(ctx, spreadLimit)
		s.add(f.changesSeen.await(limited, arrival{leaving: endpointPrefix + leaver.vm.Name}, len(f.entries), since))
		cancel()
	}
	return s.result(), nil
}

// provoke calls the i-th service through all entries in turn until an endpoint
// that drains has said so, in an answer to a call or to a probe, and returns
// when it did.
func (f *fleet) provoke(ctx context.Context, i int, leaver *endpoint) (time.Time, error) {
	limited, cancel := context.WithTimeout(ctx, spreadLimit)
	defer cancel()
	for n := 0; wait(limited, provokePause); n++ {
		if at := leaver.toldAt.Load(); at != 0 {
			return time.Unix(0, at), nil
		}
		if err := f.call(ctx, f.entries[n%len(f.entries)], i); err != nil {
			return time.Time{}, err
		}
	}
	return time.Time{}, fmt.Errorf("%s answered nothing for %s", leaver.vm.Name, spreadLimit)
}

// provokePause is the time between the calls that look for an endpoint.
const provokePause = 2 * time.Millisecond

// call sends one request for the i-th service.
func (f *fleet) call(ctx context.Context, through *entry.Entry, i int) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+through.CallerAddress()+"/", nil)
	if err != nil {
		return err
	}
	request.Header.Set(contract.HeaderService, serviceName(i))
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	return response.Body.Close()
}
