package queue

import (
	"cmp"
	"slices"
)

// PassLimit bounds how long a lower priority waits. A class of waiting requests that may take a
// slot is served next after it was passed over this often. With k such classes each is served at
// least once in PassLimit + k dispatches. At 16 a lower priority gets at most a seventeenth of the
// dispatches from a busy higher one.
const PassLimit = 16

// keptClasses is how many classes are kept although no request waits in them.
const keptClasses = 16

// quantum is the virtual time of one dispatch.
const quantum int64 = 1 << 20

// class has the waiting requests of one service at one priority. A service has two classes only
// for a while after its priority has changed.
//
// Callers share a class by fair queueing. The virtual time of the class grows by one quantum per
// dispatch divided by the number of waiting callers, which is the rate at which each of them
// should be served. A caller's flow may be served once its start time is reached, and each
// dispatch moves the start time on by a quantum. A caller with a thousand requests is therefore
// limited to its part, while callers below their part are ordered by deadline or arrival as if
// there were no fair queueing.
type class struct {
	service     int32
	priority    int
	waiting     int
	virtualTime int64
	// passed counts the dispatches of other classes since this one was last served or began to
	// wait.
	passed int
	// ready and blocked are heaps of flows: ready has those whose start time is reached, ordered
	// by their first item, and blocked the others, ordered by start time.
	ready, blocked indexedHeap
	flows          map[uint64]int32
	// first and last are the ends of the list of items in the order of arrival.
	first, last int32
	interval    dispatchInterval
}

// flow has the waiting items of one caller in a class.
type flow struct {
	class  *class
	caller uint64
	start  int64
	ready  bool
	items  indexedHeap
}

// classOf returns the class, creating it if needed.
func (q *Queue) classOf(service int32, priority int) *class {
	if c := q.find(service, priority); c != nil {
		return c
	}
	c := q.emptyClass()
	c.service, c.priority = service, priority
	c.interval = dispatchInterval{}
	slices.SortFunc(q.classes, compareClasses)
	return c
}

func (q *Queue) find(service int32, priority int) *class {
	for _, c := range q.classes {
		if c.service == service && c.priority == priority {
			return c
		}
	}
	return nil
}

func (q *Queue) emptyClass() *class {
	for _, c := range q.classes {
		if c.waiting == 0 && len(q.classes) >= keptClasses {
			return c
		}
	}
	c := &class{flows: make(map[uint64]int32), first: none, last: none}
	q.classes = append(q.classes, c)
	return c
}

func compareClasses(a, b *class) int {
	if a.priority != b.priority {
		return cmp.Compare(b.priority, a.priority)
	}
	return cmp.Compare(a.service, b.service)
}

// goesBefore reports whether c is served before best. Both may take the slot, and c comes after
// best in the order of classes. It guards against starvation: under a lasting overload of a high
// priority the lower priorities would never be served and all their requests would expire.
func (q *Queue) goesBefore(c, best *class) bool {
	if c.overdue() || best.overdue() {
		return c.passed > best.passed
	}
	if c.priority != best.priority {
		return false
	}
	return q.nodes[q.head(c)].item.Enqueued < q.nodes[q.head(best)].item.Enqueued
}

func (c *class) overdue() bool { return c.passed >= PassLimit }

// Overdue reports whether the service has waited for PassLimit dispatches of others; see
// SlotUser.Overdue.
func (q *Queue) Overdue(service int32) bool {
	for _, c := range q.classes {
		if c.service == service && c.waiting > 0 && c.overdue() {
			return true
		}
	}
	return false
}

// countPassed records a dispatch from the class served, which passes over the waiting requests of
// all other classes. Classes that may not take a slot count it too: once they are overdue,
// MayTakeSlot lets them use a small part of the slots.
func (q *Queue) countPassed(served *class) {
	for _, c := range q.classes {
		if c != served && c.waiting > 0 {
			c.passed++
		}
	}
	served.passed = 0
}

// head returns the item of the class that is served first; the class must not be empty.
func (q *Queue) head(c *class) int32 {
	if c.ready.len() == 0 {
		c.virtualTime = c.blocked.top().key
		q.release(c)
	}
	return q.flows[c.ready.top().ref].items.top().ref
}

// release moves flows whose start time is reached to the ready heap.
func (q *Queue) release(c *class) {
	for c.blocked.len() > 0 && c.blocked.top().key <= c.virtualTime {
		ref := c.blocked.top().ref
		c.blocked.remove(q.inClass, ref)
		q.enter(c, ref)
	}
}

// enter adds a flow with items to the heap to which it belongs.
func (q *Queue) enter(c *class, ref int32) {
	f := &q.flows[ref]
	f.ready = f.start <= c.virtualTime
	if f.ready {
		first := f.items.top()
		c.ready.push(q.inClass, element{first.key, first.tie, ref})
		return
	}
	c.blocked.push(q.inClass, element{f.start, f.caller, ref})
}

func (q *Queue) leave(c *class, ref int32) {
	if q.flows[ref].ready {
		c.ready.remove(q.inClass, ref)
		return
	}
	c.blocked.remove(q.inClass, ref)
}

// charge counts one dispatch for a flow and advances the virtual time.
func (q *Queue) charge(c *class, ref int32) {
	q.leave(c, ref)
	f := &q.flows[ref]
	f.start = max(f.start, c.virtualTime) + quantum
	c.virtualTime += max(1, quantum/int64(len(c.flows)))
	q.enter(c, ref)
	q.release(c)
}

func (q *Queue) addToFlow(c *class, ref int32) {
	n := &q.nodes[ref]
	at, ok := c.flows[n.item.Caller]
	if ok {
		q.leave(c, at)
	} else {
		at = q.newFlow(c, n.item.Caller)
	}
	n.flow = at
	q.flows[at].items.push(q.inFlow, element{n.key, n.item.ID, ref})
	q.enter(c, at)
}

func (q *Queue) removeFromFlow(c *class, ref int32) {
	at := q.nodes[ref].flow
	q.leave(c, at)
	f := &q.flows[at]
	f.items.remove(q.inFlow, ref)
	if f.items.len() > 0 {
		q.enter(c, at)
		return
	}
	delete(c.flows, f.caller)
	q.freeFlows = append(q.freeFlows, at)
}

// newFlow starts a flow at the present virtual time: a caller gets no credit for the time in which
// none of its requests waited.
func (q *Queue) newFlow(c *class, caller uint64) int32 {
	at := int32(len(q.flows))
	if last := len(q.freeFlows) - 1; last >= 0 {
		at = q.freeFlows[last]
		q.freeFlows = q.freeFlows[:last]
	} else {
		q.flows = append(q.flows, flow{})
		q.inClass = append(q.inClass, 0)
	}
	items := q.flows[at].items
	q.flows[at] = flow{class: c, caller: caller, start: c.virtualTime, items: items}
	c.flows[caller] = at
	return at
}

// link appends an item to the arrival order of its class.
func (q *Queue) link(c *class, ref int32) {
	q.nodes[ref].previous = c.last
	if c.last == none {
		c.first = ref
	} else {
		q.nodes[c.last].next = ref
	}
	c.last = ref
	c.waiting++
}

func (q *Queue) unlink(c *class, ref int32) {
	n := &q.nodes[ref]
	if n.previous == none {
		c.first = n.next
	} else {
		q.nodes[n.previous].next = n.next
	}
	if n.next == none {
		c.last = n.previous
	} else {
		q.nodes[n.next].previous = n.previous
	}
	c.waiting--
	if c.waiting == 0 {
		c.passed = 0
	}
}
