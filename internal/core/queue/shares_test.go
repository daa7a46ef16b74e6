package queue

import (
	"testing"
	"time"
)

func TestMayTake(t *testing.T) {
	bulk := Holder{Waiting: 5, Share: 0.5, Priority: 1}
	with := func(h Holder, change func(*Holder)) Holder { change(&h); return h }
	tests := []struct {
		name   string
		bulk   Holder
		urgent Holder
		free   int
		want   bool
	}{
		{"alone in an idle pool", bulk, Holder{}, 12, true},
		{"no free slot", bulk, Holder{}, 0, false},
		{"at its share", with(bulk, func(h *Holder) { h.Held = 6 }), Holder{}, 6, false},
		{"urgent ones wait for the free slots", bulk, Holder{Waiting: 3, Share: 1, Priority: 9}, 3, false},
		{"more free than urgent ones wait for", bulk, Holder{Waiting: 3, Share: 1, Priority: 9}, 4, true},
		{"urgent ones at their share claim nothing", bulk, Holder{Held: 3, Waiting: 9, Share: 0.25, Priority: 9}, 1, true},
		{"the last slots are kept for the average need", bulk, Holder{Held: 1, Share: 1, Priority: 9, Need: 4}, 5, false},
		{"need that is in use claims nothing", bulk, Holder{Held: 6, Share: 1, Priority: 9, Need: 4}, 1, true},
		{"lower priorities claim nothing", bulk, Holder{Waiting: 9, Share: 1}, 1, true},
		{"overdue passes the claims", with(bulk, func(h *Holder) { h.Overdue = true }), Holder{Waiting: 9, Share: 1, Priority: 9}, 1, true},
		{"overdue with its one slot does not", with(bulk, func(h *Holder) { h.Overdue, h.Held = true, 1 }), Holder{Waiting: 9, Share: 1, Priority: 9}, 1, false},
		{"a tiny share still is one slot", with(bulk, func(h *Holder) { h.Share = 0.01 }), Holder{}, 12, true},
	}
	for _, tt := range tests {
		holders := []Holder{tt.urgent, tt.bulk}
		if got := MayTake(holders, 1, Capacity{Slots: 12, Free: tt.free}); got != tt.want {
			t.Errorf("%s: got %v", tt.name, got)
		}
	}
}

// At night scales push photo batches of one second each; contractors' urgent
// checks of 10 ms arrive all the time, 4 slots' worth on 12 slots, and at
// first see their answers a second late. Bulk had filled every idle slot, and
// no slot came free before a batch had ended. Yet the batches must arrive.
func TestBulkLeavesSlotsAndIsServed(t *testing.T) {
	const slots, seconds, bulk, urgent = 12, 30, 1, 0
	q := New()
	demand := Demand{}
	var ends [2][]time.Duration // when each slot held by the service is free
	id, late, batches := uint64(0), 0, 0
	push := func(now time.Duration, service int32, priority int) {
		id++
		q.Push(now, Item{ID: id, Service: service, Priority: priority, Enqueued: now, Deadline: now + time.Hour}, roomy, 0)
	}
	for i := 0; i < 50; i++ {
		push(0, bulk, 1)
	}
	for now := time.Duration(0); now < seconds*time.Second; now += 5 * ms {
		for i := 0; i < 2; i++ {
			push(now, urgent, 9)
			demand.Add(now, 10*ms)
		}
		for s := range ends {
			ends[s] = stillHeld(ends[s], now)
		}
		eligible := func(service int32) bool {
			held := len(ends[urgent]) + len(ends[bulk])
			holders := []Holder{
				{Held: len(ends[urgent]), Waiting: q.LenOf(urgent), Share: 1, Priority: 9, Need: demand.Slots(now)},
				{Held: len(ends[bulk]), Waiting: q.LenOf(bulk), Share: 1, Priority: 1, Overdue: q.Overdue(bulk)},
			}
			return MayTake(holders, int(service), Capacity{Slots: slots, Free: slots - held})
		}
		for it, ok := q.Next(now, eligible); ok; it, ok = q.Next(now, eligible) {
			q.Take(now, it.ID)
			work := 10 * ms
			if it.Service == bulk {
				work = time.Second
				batches++
			} else if now > it.Enqueued && now > 2*time.Second {
				late++
			}
			ends[it.Service] = append(ends[it.Service], now+work)
		}
	}
	if late > 0 || batches != 50 {
		t.Errorf("%d urgent requests waited after the first seconds, %d of 50 batches ran", late, batches)
	}
}

func stillHeld(ends []time.Duration, now time.Duration) []time.Duration {
	held := ends[:0]
	for _, end := range ends {
		if end > now {
			held = append(held, end)
		}
	}
	return held
}
