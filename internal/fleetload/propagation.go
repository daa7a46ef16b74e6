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

// Propagation is how long a change took to reach every entry, in seconds.
type Propagation struct {
	// Tries is the number of changes that were measured.
	Tries int `json:"times"`
	// Typical is the median over all entries and tries, Last the median of the times until the last
	// entry had the change, Worst the longest time of all.
	Typical float64 `json:"typical_s"`
	Last    float64 `json:"last_s"`
	Worst   float64 `json:"worst_s"`
	// Missing is the number of entries that did not have the change within propagationTimeout, over
	// all tries.
	Missing int `json:"missing"`
}

// propagationTimeout is how long the benchmark waits for a change to reach every entry.
const propagationTimeout = 20 * time.Second

// propagationSamples collects the results of several tries.
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

// Propagations are the propagation times of one fleet under several conditions.
type Propagations struct {
	// Published is for a document published while every entry reaches the configuration service.
	Published Propagation `json:"published"`
	// Slow is for a document published while each call to the service takes slowCall.
	Slow Propagation `json:"published_slow"`
	// OneReader is for a document published while only one entry reaches the service, and this
	// entry watches the service.
	OneReader Propagation `json:"published_one_reader"`
	// OneNonReader is for a document published while only one entry reaches the service, and this
	// entry does not watch the service because other entries do.
	OneNonReader Propagation `json:"published_one_other"`
	// Leaving is for an endpoint that reports in an answer that it is draining.
	Leaving Propagation `json:"leaving"`
}

// slowCall is the time that a slow configuration service takes for each call.
const slowCall = 500 * time.Millisecond

// measurePropagations publishes documents in each state of the configuration service and then lets
// endpoints leave.
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
	leaving, err := f.measureLeaving(ctx, c.LeavingEndpoints)
	p.Leaving = leaving
	return p, err
}

// measurePublications publishes documents at random intervals.
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

// disconnectSettle is the pause between disconnecting entries and publishing a document.
const disconnectSettle = time.Second

// measurePublicationsVia publishes documents while only one entry reaches the configuration
// service.
func (f *fleet) measurePublicationsVia(ctx context.Context, only, tries int) Propagation {
	f.restrictPlatformTo(only)
	defer f.restrictPlatformTo(-1)
	sleep(ctx, disconnectSettle)
	return f.measurePublications(ctx, tries)
}

// firstNotIn returns the first index below n that is not listed, or -1.
func firstNotIn(listed []int, n int) int {
	for i := range n {
		if !slices.Contains(listed, i) {
			return i
		}
	}
	return -1
}

// measureLeaving lets endpoints of different services leave one after the other. It measures
// from the first answer in which the endpoint reports that it is draining.
func (f *fleet) measureLeaving(ctx context.Context, tries int) (Propagation, error) {
	var s propagationSamples
	for i := range min(tries, f.services) {
		sleep(ctx, rand.N(300*time.Millisecond))
		leaving := f.endpointsOf(i)[0]
		leaving.draining.Store(true)
		since, err := f.awaitDrainingAnswer(ctx, i, leaving)
		if err != nil {
			return s.result(), err
		}
		limited, cancel := context.WithTimeout(ctx, propagationTimeout)
		s.add(f.changes.await(limited, change{leaving: endpointPrefix + leaving.vm.Name}, len(f.entries), since))
		cancel()
	}
	return s.result(), nil
}

// awaitDrainingAnswer sends requests for the i-th service through all entries in turn until the
// leaving endpoint has reported that it is draining, in an answer to a request or to a probe. It
// returns the time of that answer.
func (f *fleet) awaitDrainingAnswer(ctx context.Context, i int, leaving *endpoint) (time.Time, error) {
	limited, cancel := context.WithTimeout(ctx, propagationTimeout)
	defer cancel()
	for n := 0; sleep(limited, drainingCallPause); n++ {
		if sentAt := leaving.drainingSentAt.Load(); sentAt != 0 {
			return time.Unix(0, sentAt), nil
		}
		if err := f.call(ctx, f.entries[n%len(f.entries)], i); err != nil {
			return time.Time{}, err
		}
	}
	return time.Time{}, fmt.Errorf("%s has not reported within %s that it is draining", leaving.vm.Name, propagationTimeout)
}

// drainingCallPause is the pause between the requests of awaitDrainingAnswer.
const drainingCallPause = 2 * time.Millisecond

// call sends one request for the i-th service through an entry.
func (f *fleet) call(ctx context.Context, via *entry.Entry, i int) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+via.CallerAddress()+"/", nil)
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
