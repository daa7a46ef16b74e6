package queue

import (
	"slices"
	"testing"
	"time"
)

func TestMayTakeSlot(t *testing.T) {
	for _, tt := range []struct {
		name         string
		bulk, urgent SlotUser
		free         int
		want         bool
	}{
		{"alone in an idle pool", SlotUser{}, SlotUser{}, 12, true},
		{"no free slot", SlotUser{}, SlotUser{}, 0, false},
		{"at its share", SlotUser{InUse: 6}, SlotUser{}, 6, false},
		{"urgent requests wait for the free slots", SlotUser{}, SlotUser{Waiting: 3, Share: 1, Priority: 9}, 3, false},
		{"more slots free than urgent requests wait for", SlotUser{}, SlotUser{Waiting: 3, Share: 1, Priority: 9}, 4, true},
		{"urgent service at its share claims nothing", SlotUser{}, SlotUser{InUse: 3, Waiting: 9, Share: 0.25, Priority: 9}, 1, true},
		{"slots are kept for the average demand", SlotUser{}, SlotUser{InUse: 1, Share: 1, Priority: 9, Demand: 4}, 5, false},
		{"demand that is in use claims nothing", SlotUser{}, SlotUser{InUse: 6, Share: 1, Priority: 9, Demand: 4}, 1, true},
		{"overdue passes the claims", SlotUser{Overdue: true}, SlotUser{Waiting: 9, Share: 1, Priority: 9}, 1, true},
		{"overdue with its one slot in use does not pass them", SlotUser{Overdue: true, InUse: 1}, SlotUser{Waiting: 9, Share: 1, Priority: 9}, 1, false},
	} {
		tt.bulk.Share, tt.bulk.Priority = 0.5, 1
		if got := MayTakeSlot([]SlotUser{tt.urgent, tt.bulk}, 1, Capacity{Slots: 12, Free: tt.free}); got != tt.want {
			t.Errorf("%s: got %v", tt.name, got)
		}
	}
}

// Guards against urgent requests that wait for bulk work. Bulk requests take one second each;
// urgent requests of 10 ms arrive all the time and need 4 of the 12 slots. The urgent ones were
// answered a second late because bulk requests had filled every idle slot, and no slot became free
// before one of these had ended. The bulk requests must run as well.
func TestBulkLeavesSlotsForUrgentRequests(t *testing.T) {
	const slots, urgent, bulk = 12, 0, 1
	work := [2]time.Duration{10 * ms, time.Second}
	q, demand := New(), Demand{}
	var ends [2][]time.Duration // when the slots of each service become free
	id, late, bulkRan := uint64(0), 0, 0
	for now := time.Duration(0); now < 30*time.Second; now += 5 * ms {
		for range 3 {
			it := Item{ID: id, Service: int32(id % 3 / 2), Priority: 9 - int(id%3/2), Enqueued: now, Deadline: time.Hour}
			if id++; it.Service == urgent {
				demand.Add(now, work[urgent])
			} else if now >= 250*ms {
				continue
			}
			q.Push(now, it, roomyLimits, 0)
		}
		for s := range ends {
			ends[s] = slices.DeleteFunc(ends[s], func(end time.Duration) bool { return end <= now })
		}
		eligible := func(service int32) bool {
			users := []SlotUser{
				{InUse: len(ends[urgent]), Waiting: q.LenOf(urgent), Share: 1, Priority: 9, Demand: demand.Slots(now)},
				{InUse: len(ends[bulk]), Waiting: q.LenOf(bulk), Share: 1, Priority: 8, Overdue: q.Overdue(bulk)},
			}
			free := slots - len(ends[urgent]) - len(ends[bulk])
			return MayTakeSlot(users, int(service), Capacity{Slots: slots, Free: free})
		}
		for it, ok := q.Next(now, eligible); ok; it, ok = q.Next(now, eligible) {
			q.Take(now, it.ID)
			ends[it.Service] = append(ends[it.Service], now+work[it.Service])
			if it.Service == bulk {
				bulkRan++
			} else if now > it.Enqueued && now > 2*time.Second {
				late++
			}
		}
	}
	if late > 0 || bulkRan != 50 {
		t.Errorf("%d urgent requests waited after the first seconds, %d of 50 bulk requests ran", late, bulkRan)
	}
}
