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

// Propagation is how long news took to reach every entry, in seconds.
type Propagation struct {
	// Tries is how often it was tried.
	Tries int `json:"times"`
	// Typical is the median over all entries and times, Last the median of the
	// times until the last entry had it, Worst the longest of all.
	Typical float64 `json:"typical_s"`
	Last    float64 `json:"last_s"`
	Worst   float64 `json:"worst_s"`
	// Missing counts entries that had not got it when the bench gave up.
	Missing int `json:"missing"`
}

// propagationTimeout is when the bench gives a piece of news up.
const propagationTimeout = 20 * time.Second

// propagationSamples gathers several tries.
type propagationSamples struct {
	all, lastEntry []float64
	missing        int
}

func (s *propagationSamples) add(delays []float64, missing int) {
	s.all = append(s.all, delays...)
	s.missing += missing
	if missing > 0 {
		s.lastEntry = append(s.lastEntry, propagationTimeout.Seconds())
		return
	}
	s.lastEntry = append(s.lastEntry, largest(delays))
}

func (s *propagationSamples) result() Propagation {
	return Propagation{Tries: len(s.lastEntry), Typical: Median(s.all), Last: Median(s.lastEntry), Worst: largest(s.lastEntry), Missing: s.missing}
}

// Propagations are the spreads of one fleet.
type Propagations struct {
	// Published: every entry reaches the configuration service.
	Published Propagation `json:"published"`
	// Slow: each call at the service takes slowCall.
	Slow Propagation `json:"published_slow"`
	// OneReader: only one entry, which watches, reaches the service.
	OneReader Propagation `json:"published_one_reader"`
	// OneNonReader: only one entry, which does not watch while others do, reaches it.
	OneNonReader Propagation `json:"published_one_other"`
	// Leaving: an endpoint says in an answer that it drains.
	Leaving Propagation `json:"leaving"`
}

// slowCall is how long a slow service takes for each call.
const slowCall = 500 * time.Millisecond

// measurePropagations publishes several documents in each state of the service and
// lets endpoints leave.
func (f *fleet) measurePropagations(ctx context.Context, c Config) (Propagations, error) {
	var p Propagations
	readers := f.readers()
	p.Published = f.measurePublications(ctx, c.Publications)
	f.platform.SetFaults(standin.PlatformFaults{Delay: slowCall})
	p.Slow = f.measurePublications(ctx, c.FaultPublications)
	f.platform.SetFaults(standin.PlatformFaults{})
	if len(readers) > 0 {
		p.OneReader = f.measurePublicationsVia(ctx, readers[0], c.FaultPublications)
	}
	if nonReader := firstNotIn(readers, len(f.entries)); nonReader >= 0 {
		p.OneNonReader = f.measurePublicationsVia(ctx, nonReader, c.NonReaderPublications)
	}
	leaving, err := f.measureDepartures(ctx, c.Departures)
	p.Leaving = leaving
	return p, err
}

// measurePublications publishes several times, at odd moments.
func (f *fleet) measurePublications(ctx context.Context, tries int) Propagation {
	var s propagationSamples
	for range tries {
		sleep(ctx, 200*time.Millisecond+rand.N(400*time.Millisecond))
		s.add(f.measurePublication(ctx))
	}
	return s.result()
}

func (f *fleet) measurePublication(ctx context.Context) (delays []float64, missing int) {
	limited, cancel := context.WithTimeout(ctx, propagationTimeout)
	defer cancel()
	published := time.Now()
	revision := f.publish()
	return f.changes.await(limited, change{revision: revision}, len(f.entries), published)
}

// disconnectSettle is how long a cut lasts before something is published.
const disconnectSettle = time.Second

// measurePublicationsVia publishes while a single entry reaches the service.
func (f *fleet) measurePublicationsVia(ctx context.Context, only, tries int) Propagation {
	f.restrictPlatformTo(only)
	defer f.restrictPlatformTo(-1)
	sleep(ctx, disconnectSettle)
	return f.measurePublications(ctx, tries)
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

// measureDepartures lets endpoints leave one after the other, each of another service,
// and measures from the first answer that says so.
func (f *fleet) measureDepartures(ctx context.Context, tries int) (Propagation, error) {
	var s propagationSamples
	for i := range min(tries, f.services) {
		sleep(ctx, rand.N(300*time.Millisecond))
		departing := f.endpointsOf(i)[0]
		departing.draining.Store(true)
		since, err := f.awaitDrainingAnswer(ctx, i, departing)
		if err != nil {
			return s.result(), err
		}
		limited, cancel := context.WithTimeout(ctx, propagationTimeout)
		s.add(f.changes.await(limited, change{leaving: endpointPrefix + departing.vm.Name}, len(f.entries), since))
		cancel()
	}
	return s.result(), nil
}

// awaitDrainingAnswer calls the i-th service through all entries in turn until an endpoint
// that drains has said so, in an answer to a call or to a probe, and returns
// when it did.
func (f *fleet) awaitDrainingAnswer(ctx context.Context, i int, departing *endpoint) (time.Time, error) {
	limited, cancel := context.WithTimeout(ctx, propagationTimeout)
	defer cancel()
	for n := 0; sleep(limited, drainingCallPause); n++ {
		if sentAt := departing.drainingSentAt.Load(); sentAt != 0 {
			return time.Unix(0, sentAt), nil
		}
		if err := f.call(ctx, f.entries[n%len(f.entries)], i); err != nil {
			return time.Time{}, err
		}
	}
	return time.Time{}, fmt.Errorf("%s answered nothing for %s", departing.vm.Name, propagationTimeout)
}

// drainingCallPause is the time between the calls that look for an endpoint.
const drainingCallPause = 2 * time.Millisecond

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
