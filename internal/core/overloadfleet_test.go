package core

import (
	"container/heap"
	"slices"
	"testing"
	"time"
)

// outcome describes the requests that were asked for in a span.
type overloadOutcome struct {
	asked, inTime, late, unserved int
	// lateInPeak counts the late ones that were answered before the peak was over, when their slots were
	// missing for others.
	lateInPeak int
	// inTimeAtOnce and askedAtOnce count the requests of callers that ignore Retry-After.
	inTimeAtOnce, askedAtOnce int
	refusedP90                time.Duration
}

func (f *overloadFleet) outcome(from, to time.Duration) (o overloadOutcome) {
	var refusedAfter []time.Duration
	for _, r := range f.requests {
		if r.asked < from || r.asked >= to {
			continue
		}
		o.asked++
		inTime := r.answeredAt != 0 && r.answeredAt <= r.asked+overloadObjective
		if r.atOnce {
			o.askedAtOnce++
		}
		switch {
		case inTime:
			o.inTime++
			if r.atOnce {
				o.inTimeAtOnce++
			}
		case r.answeredAt != 0:
			o.late++
			if r.answeredAt < to {
				o.lateInPeak++
			}
		default:
			o.unserved++
		}
		if r.refusals > 0 {
			refusedAfter = append(refusedAfter, r.refusedAfter)
		}
	}
	if n := len(refusedAfter); n > 0 {
		slices.Sort(refusedAfter)
		o.refusedP90 = refusedAfter[n*9/10]
	}
	return o
}

// ceiling returns how many of the requests of a span one scheduler that sees all requests and all
// slots answers in time: it gives each slot that becomes free to the oldest request that is still in
// time there.
func (f *overloadFleet) ceiling(from, to time.Duration) (inTime int) {
	var arrivals []*overloadRequest
	for _, r := range f.requests {
		if r.asked < to {
			arrivals = append(arrivals, r)
		}
	}
	slices.SortFunc(arrivals, func(a, b *overloadRequest) int { return int(a.asked - b.asked) })
	free := &eventHeap{}
	push := func(ep *overloadEndpoint, at time.Duration) {
		free.seq++
		heap.Push(free, simEvent{at, free.seq, func() { f.now = at; f.current = ep }})
	}
	for _, ep := range f.endpoints {
		for range f.load.bestSlots() {
			push(ep, 0)
		}
	}
	now := f.now
	defer func() { f.now = now }()
	next := 0
	for next < len(arrivals) {
		slot := heap.Pop(free).(simEvent)
		r := arrivals[next]
		slot.fire()
		f.now = max(slot.at, r.asked)
		work := time.Duration(float64(r.work) * f.pace(f.current))
		if f.now+work > r.asked+overloadObjective {
			if slot.at > r.asked && f.now+r.work > r.asked+overloadObjective {
				next++ // no slot is free soon enough
				push(f.current, slot.at)
				continue
			}
			push(f.current, f.now+10*ms) // this endpoint is slow now
			continue
		}
		if r.asked >= from {
			inTime++
		}
		next++
		push(f.current, f.now+work)
	}
	return inTime
}

// overloadCase is an overload with the least share that must be answered in time, of what one
// scheduler that sees everything answers in time, and the largest share that is answered late.
type overloadCase struct {
	name              string
	load              overloadLoad
	leastInTime, late float64
}

// Guards against an overload by one kind of request in which endpoints run requests that are late
// anyway, while others that could be in time find no room: each entry sees a few requests a second,
// and late ones took any endpoint with room.
func TestFleetServesInTimeInOverload(t *testing.T) {
	base := overloadLoad{entries: 135, endpoints: 124, slots: 3, queue: 6, work: 150 * ms, slowShare: 0.3, slowFactor: 5, knee: 0.8, kneeFactor: 1.7, peak: 4 * sec}
	with := func(change func(l *overloadLoad)) overloadLoad {
		l := base
		change(&l)
		return l
	}
	for _, c := range []overloadCase{
		{"15 entries, 1.5 times", with(func(l *overloadLoad) { l.entries, l.excess = 15, 1.5 }), 0.95, 0.03},
		{"1.2 times", with(func(l *overloadLoad) { l.excess = 1.2 }), 0.95, 0.03},
		{"1.5 times", with(func(l *overloadLoad) { l.excess = 1.5 }), 0.9, 0.06},
		{"472 entries, 1.5 times", with(func(l *overloadLoad) { l.entries, l.excess = 472, 1.5 }), 0.8, 0.12},
		{"2.5 times", with(func(l *overloadLoad) { l.excess = 2.5 }), 0.75, 0.06},
		{"half shed in spite of room", with(func(l *overloadLoad) { l.excess, l.shedShare = 1, 0.5 }), 0.75, 0.2},
		{"30 in 100 repeat at once", with(func(l *overloadLoad) { l.excess, l.repeatAtOnce = 1.5, 0.3 }), 0.8, 0.08},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			o, ceiling := playOverload(t, c.load)
			t.Logf("asked %d, in time %d of %d possible (%.2f), late %d (%d in the peak), unserved %d; refused after %v at p90", o.asked, o.inTime, ceiling, float64(o.inTime)/float64(ceiling), o.late, o.lateInPeak, o.unserved, o.refusedP90)
			if float64(o.inTime) < c.leastInTime*float64(ceiling) {
				t.Errorf("%d of %d possible in time, want %.2f of them", o.inTime, ceiling, c.leastInTime)
			}
			if float64(o.lateInPeak) > c.late*float64(o.asked) {
				t.Errorf("%d of %d late within the peak, want at most %.2f of them", o.lateInPeak, o.asked, c.late)
			}
			if o.askedAtOnce > 0 {
				honest := float64(o.inTime-o.inTimeAtOnce) / float64(o.asked-o.askedAtOnce)
				atOnce := float64(o.inTimeAtOnce) / float64(o.askedAtOnce)
				t.Logf("in time: %.2f of those that wait as told, %.2f of those that repeat at once", honest, atOnce)
				if atOnce > honest+0.05 {
					t.Errorf("callers that repeat at once gain: %.2f in time, %.2f of the others", atOnce, honest)
				}
			}
		})
	}
}

// playOverload plays three seconds at half of what the endpoints can do, the peak, and four seconds
// after it. It returns what became of the requests of the peak, and how many could have been in time.
func playOverload(t *testing.T, load overloadLoad) (overloadOutcome, int) {
	f := newOverloadFleet(t, load)
	capacity := load.capacity()
	f.run(100 * ms)
	f.arrive(0.5*capacity, 3*sec)
	f.run(3 * sec)
	from := f.now
	f.arrive(load.excess*capacity, load.peak)
	f.run(load.peak)
	to := f.now
	f.arrive(0.5*capacity, 2*sec)
	f.run(4 * sec)
	return f.outcome(from, to), f.ceiling(from, to)
}
