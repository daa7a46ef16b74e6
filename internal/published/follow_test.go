package published_test

import (
	"context"
	"errors"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/tealhall/tealhall/internal/published"
)

// scriptedService answers watches from a list of steps and records the revision from which each
// one started.
type scriptedService struct {
	now       time.Duration
	steps     []step
	askedFrom []uint64
	stop      context.CancelFunc
}

type step struct {
	revision uint64
	waited   time.Duration
	err      error
	// otherChanged ends the watch because another value has changed.
	otherChanged bool
}

func (s *scriptedService) Read(context.Context, string) (published.Value, error) {
	return published.Value{}, errors.New("Read is not scripted")
}

func (s *scriptedService) Watch(_ context.Context, name string, after uint64) (published.Value, error) {
	if len(s.steps) == 0 {
		s.stop()
		return published.Value{}, context.Canceled
	}
	next := s.steps[0]
	s.steps = s.steps[1:]
	s.askedFrom = append(s.askedFrom, after)
	s.now += next.waited
	return published.Value{Name: name, Revision: next.revision, OtherChanged: next.otherChanged}, next.err
}

// Guards against a change that is seen late because another value that the same watch serves changes
// often: the pauses between the watches must not grow.
func TestChangesOfAnotherValueDoNotDelayThisOne(t *testing.T) {
	const gap, changes = 200 * time.Millisecond, 50
	ctx, cancel := context.WithCancel(context.Background())
	service := &scriptedService{stop: cancel}
	for range changes {
		service.steps = append(service.steps, step{revision: 5, waited: gap / 4, otherChanged: true})
	}
	published.Follow(ctx, service, published.VMsValue, 5, published.FollowOptions{
		ChangeGap: gap,
		Backoff:   published.NewBackoff(time.Second, time.Minute),
		Now:       func() time.Duration { return service.now },
		Sleep: func(_ context.Context, d time.Duration) {
			if service.now += d; d > gap {
				t.Errorf("paused for %v, want at most %v", d, gap)
			}
		},
	}, func(published.Value) {})
	if len(service.askedFrom) != changes || service.now > changes*gap {
		t.Errorf("%d watches took %v, want %d within %v", len(service.askedFrom), service.now, changes, changes*gap)
	}
}

// The service fails, then recovers with a lagging replica that answers at once. Guards against a
// reader that drops answers, watches from an earlier revision than it received, or calls in a
// tight loop.
func TestFollowAcrossFailuresAndLaggingReplicas(t *testing.T) {
	down := errors.New("down")
	ctx, cancel := context.WithCancel(context.Background())
	service := &scriptedService{stop: cancel, steps: []step{
		{revision: 5},
		{err: down},
		{err: down},
		{revision: 3},                           // lagging replica, immediate answer
		{revision: 5},                           // unchanged, immediate answer
		{revision: 5, waited: 25 * time.Second}, // unchanged, delayed answer
		{revision: 6},
		{err: down},
	}}
	var delivered []uint64
	var pauses, failures int
	published.Follow(ctx, service, published.ProfilesValue, 4, published.FollowOptions{
		Backoff: published.NewBackoff(time.Second, time.Minute),
		Rand:    rand.New(rand.NewPCG(1, 2)),
		Now:     func() time.Duration { return service.now },
		Sleep:   func(context.Context, time.Duration) { pauses++ },
		OnError: func(error) { failures++ },
	}, func(v published.Value) { delivered = append(delivered, v.Revision) })
	if diff := cmp.Diff([]uint64{5, 3, 5, 5, 6}, delivered); diff != "" {
		t.Errorf("delivered (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff([]uint64{4, 5, 5, 5, 5, 5, 5, 6}, service.askedFrom); diff != "" {
		t.Errorf("revisions watched from (-want +got):\n%s", diff)
	}
	if pauses != 5 || failures != 3 {
		t.Errorf("%d pauses and %d failures; want 5 (three failures, two immediate answers) and 3", pauses, failures)
	}
}

// Guards against delays of zero, and against a ceiling that exceeds Max or overflows while the
// service is down for long.
func TestBackoffStaysWithinCeiling(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		low := time.Duration(rapid.Int64Range(1, int64(time.Hour)).Draw(t, "min"))
		high := low + time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(t, "more"))
		backoff := published.NewBackoff(low, high)
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		for round := range 2 {
			ceiling := low
			for failure := range 80 {
				if delay := backoff.Next(rng); delay <= 0 || delay > ceiling {
					t.Fatalf("round %d, failure %d: delay %v not in (0, %v]", round, failure, delay, ceiling)
				}
				ceiling = min(2*ceiling, high)
			}
			backoff.Reset()
		}
	})
}

// Guards against readers that lost the service together and retry together: first delays spread
// over the whole range.
func TestFirstBackoffDelaysSpreadEvenly(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 4))
	var quarters [4]int
	for range 400 {
		backoff := published.NewBackoff(time.Second, time.Minute)
		quarters[(backoff.Next(rng)-1)/(time.Second/4)]++
	}
	for i, count := range quarters {
		if count < 70 || count > 130 {
			t.Errorf("quarter %d has %d of 400 first delays", i, count)
		}
	}
}
