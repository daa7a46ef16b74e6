package audit

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"
)

func fixedClock() time.Time {
	return time.Date(2026, 1, 31, 23, 59, 0, 0, time.UTC)
}

func seqs(records []Record) []uint64 {
	var out []uint64
	for _, r := range records {
		out = append(out, r.Seq)
	}
	return out
}

func TestSince(t *testing.T) {
	cases := []struct {
		name        string
		size, added int
		since       uint64
		first, last uint64 // 0, 0 when nothing is returned
		dropped     bool
	}{
		{"empty", 3, 0, 0, 0, 0, false},
		{"all kept", 3, 3, 0, 1, 3, false},
		{"some already read", 3, 3, 2, 3, 3, false},
		{"all already read", 3, 3, 3, 0, 0, false},
		{"overwritten", 3, 5, 0, 3, 5, true},
		{"overwritten, but already read", 3, 5, 2, 3, 5, false},
		{"one unread record overwritten", 3, 5, 1, 3, 5, true},
		{"number from an earlier process", 3, 2, 900, 1, 2, true},
		{"size 0 is raised to one", 0, 2, 0, 2, 2, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			trail := New(c.size, fixedClock, nil)
			for range c.added {
				trail.Add(Record{Actor: "self", Action: "tested"})
			}
			records, dropped := trail.Since(c.since)
			got := seqs(records)
			var first, last uint64
			if len(got) > 0 {
				first, last = got[0], got[len(got)-1]
			}
			if first != c.first || last != c.last || dropped != c.dropped {
				t.Fatalf("Since(%d) = %v, dropped %v", c.since, got, dropped)
			}
		})
	}
}

func TestWaitEndsOnRecordOrCancellation(t *testing.T) {
	trail := New(4, fixedClock, nil)
	ctx, cancel := context.WithCancel(context.Background())
	waited := make(chan error, 1)
	go func() { waited <- trail.Wait(ctx, 0) }()
	trail.Add(Record{Subject: "profiles"})
	if err := <-waited; err != nil {
		t.Fatalf("wait for a record: %v", err)
	}
	go func() { waited <- trail.Wait(ctx, 1) }()
	cancel()
	if err := <-waited; !errors.Is(err, context.Canceled) {
		t.Fatalf("wait after cancel: %v", err)
	}
}

func TestSinkSeesEveryRecordInOrder(t *testing.T) {
	var seen []uint64 // the trail serialises calls of the sink
	trail := New(2, fixedClock, func(r Record) { seen = append(seen, r.Seq) })
	var group sync.WaitGroup
	for range 8 {
		group.Go(func() {
			for range 50 {
				trail.Add(Record{Action: "tested"})
				trail.Since(0)
			}
		})
	}
	group.Wait()
	for i, seq := range seen {
		if seq != uint64(i+1) {
			t.Fatalf("sink got Seq %d at position %d", seq, i)
		}
	}
	if len(seen) != 400 || trail.Last() != 400 {
		t.Fatalf("sink got %d records, last Seq is %d", len(seen), trail.Last())
	}
}

// Guards against a ring that is allocated at its full size. The trail is sized for a busy hour,
// which is half a megabyte, but most entries add only a few records.
func TestRingGrowsOnDemand(t *testing.T) {
	trail := New(4096, fixedClock, nil)
	for range 3 {
		trail.Add(Record{Actor: "self", Action: "tested"})
	}
	if capacity := cap(trail.ring); capacity > 16 {
		t.Errorf("the ring has capacity for %d records after 3 were added", capacity)
	}
}
