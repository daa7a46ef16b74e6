// Package queue decides which waiting request runs next on a pool of endpoints and which request
// is refused instead of waiting.
//
// A Queue belongs to one pool and is shared by the services that use the pool. Higher priorities
// are served first; inside a service every caller gets an equal part; inside a caller the earliest
// deadline, the earliest arrival or the latest arrival is first. A service of lower priority that
// was passed over PassLimit times is served next, so that no request waits indefinitely.
//
// The package is pure: the driver passes in the time, and the same calls in the same order give
// the same results. A Queue must not be used concurrently. Push, Take, Remove and each expiry cost
// O(log n); Next costs O(services of the pool).
package queue

import "time"

// Item is one waiting request.
type Item struct {
	// ID is unique among the items in the queue.
	ID      uint64
	Service int32
	// Caller identifies the sender of the request; requests whose caller is not known share one
	// value and count as one caller.
	Caller uint64
	// Priority orders requests; the higher one is served first.
	Priority int
	// Enqueued is when the request arrived.
	Enqueued time.Duration
	// Deadline is when the caller stops waiting.
	Deadline time.Duration
	// Work is the time that an endpoint is expected to need, zero if unknown. The item expires at
	// Deadline - Work: a request that starts later uses a slot for an answer that the caller no
	// longer waits for.
	Work time.Duration
}

// latestStart returns the latest time at which starting the item is useful.
func (it *Item) latestStart() time.Duration { return it.Deadline - it.Work }

// Limits are the limits of the item's service, from its profile.
type Limits struct {
	// QueueLimit is how many requests of the service may wait.
	QueueLimit int
	// CallerShare is the largest share of QueueLimit that one caller gets when no other caller
	// waits. As other callers arrive, the part that one caller may still fill decreases with the
	// free places. 1 or more means no limit per caller.
	CallerShare float64
	// DeadlineOrder orders by deadline instead of arrival.
	DeadlineOrder bool
	// NewestFirst orders by arrival with the latest first, whatever DeadlineOrder says. Under
	// overload, the order of arrival would start each request at the last useful moment, and every
	// request that takes slightly longer than most would be late.
	NewestFirst bool
}

// Refusal says why a request may not wait.
type Refusal uint8

// The reasons to refuse a request. A refused request was not run.
const (
	// None: the request was taken into the queue.
	None Refusal = iota
	// Full: the queue has as many requests of the service as its limit allows.
	Full
	// CallerShare: the caller already uses its part of the places.
	CallerShare
	// TooLate: the request would not be answered before its deadline.
	TooLate
)

// String returns the reason in the form used in logs and metrics.
func (r Refusal) String() string {
	switch r {
	case None:
		return "none"
	case Full:
		return "queue-full"
	case CallerShare:
		return "caller-share"
	case TooLate:
		return "too-late"
	}
	return "unknown"
}

// node is the row of a waiting item.
type node struct {
	item Item
	flow int32
	// key orders the item inside its flow: by latest start or by arrival.
	key int64
	// previous and next link the items of a class in the order of arrival.
	previous, next int32
}

// none is the reference to no row.
const none int32 = -1

// Queue is the bounded queue of one pool. Create it with New.
type Queue struct {
	// classes are ordered by decreasing priority, then by service.
	classes   []*class
	nodes     []node
	freeNodes []int32
	byID      map[uint64]int32

	flows     []flow
	freeFlows []int32

	// inFlow and inDeadlines have the positions of nodes in the heap of their flow and in
	// deadlines; inClass has those of flows in their class.
	inFlow      []int32
	inDeadlines []int32
	inClass     []int32
	deadlines   indexedHeap

	// expired has items that Next found expired and that Expire has not returned yet.
	expired []Item
}

// New returns an empty queue.
func New() *Queue {
	return &Queue{byID: make(map[uint64]int32)}
}

// Push adds the item or returns the reason to refuse it. expectedWait is how long the item is
// expected to wait for a slot, for example from ExpectedWait. An item whose ID is already waiting
// is refused as Full.
func (q *Queue) Push(now time.Duration, it Item, lim Limits, expectedWait time.Duration) Refusal {
	if refusal := q.check(now, &it, lim, expectedWait); refusal != None {
		return refusal
	}
	c := q.classOf(it.Service, it.Priority)
	if c.waiting == 0 {
		c.interval.noteFirstWaiting(now)
	}
	ref := q.newNode(it, lim)
	q.byID[it.ID] = ref
	q.deadlines.push(q.inDeadlines, element{int64(it.latestStart()), it.ID, ref})
	q.link(c, ref)
	q.addToFlow(c, ref)
	return None
}

// check returns the reason to refuse the item, or None.
func (q *Queue) check(now time.Duration, it *Item, lim Limits, expectedWait time.Duration) Refusal {
	if now+expectedWait >= it.latestStart() {
		return TooLate
	}
	waiting, ofCaller := q.count(it.Service, it.Caller)
	if _, known := q.byID[it.ID]; known || waiting >= lim.QueueLimit {
		return Full
	}
	if ofCaller > 0 && !callerMayAdd(ofCaller, lim.QueueLimit-waiting, lim.CallerShare) {
		return CallerShare
	}
	return None
}

// callerMayAdd reports whether a caller may add another item. It guards against a caller that fills
// the queue, so that the requests of all others are refused as Full. It bounds a caller's places by
// a multiple of the free places: with the factor share/(1-share) a single caller gets exactly its
// share of the queue, and however many greedy callers arrive, some places stay free for the next
// one.
func callerMayAdd(ofCaller, left int, share float64) bool {
	if share >= 1 {
		return true
	}
	return float64(ofCaller)*(1-share) < share*float64(left)
}

// count returns the number of waiting items of a service and of one caller in it.
func (q *Queue) count(service int32, caller uint64) (waiting, ofCaller int) {
	for _, c := range q.classes {
		if c.service != service {
			continue
		}
		waiting += c.waiting
		if f, ok := c.flows[caller]; ok {
			ofCaller += q.flows[f].items.len()
		}
	}
	return waiting, ofCaller
}

// Next returns the item to run next without removing it. It never returns an expired item, which
// matters after a pause of the process. eligible reports whether a service may take a slot now; it
// is called at most once for each class of waiting requests.
func (q *Queue) Next(now time.Duration, eligible func(service int32) bool) (Item, bool) {
	q.expireDue(now)
	var best *class
	for _, c := range q.classes {
		if c.waiting == 0 || !eligible(c.service) {
			continue
		}
		if best == nil || q.goesBefore(c, best) {
			best = c
		}
	}
	if best == nil {
		return Item{}, false
	}
	return q.nodes[q.head(best)].item, true
}

// Take removes an item that is dispatched. The dispatch counts for the fairness between callers and
// services and for the measured interval between dispatches; for an item that leaves for another
// reason use Remove.
func (q *Queue) Take(now time.Duration, id uint64) (Item, bool) {
	ref, ok := q.byID[id]
	if !ok {
		return Item{}, false
	}
	c := q.flows[q.nodes[ref].flow].class
	q.countPassed(c)
	q.charge(c, q.nodes[ref].flow)
	c.interval.noteDispatch(now)
	return q.drop(ref), true
}

// Remove removes an item that is not dispatched, for example because its caller is gone.
func (q *Queue) Remove(id uint64) (Item, bool) {
	if ref, ok := q.byID[id]; ok {
		return q.drop(ref), true
	}
	for i, it := range q.expired {
		if it.ID == id {
			q.expired = append(q.expired[:i], q.expired[i+1:]...)
			return it, true
		}
	}
	return Item{}, false
}

// Expire removes the items that can no longer be answered in time, appends them to out and returns
// it. Each expired item is returned once.
func (q *Queue) Expire(now time.Duration, out []Item) []Item {
	q.expireDue(now)
	out = append(out, q.expired...)
	q.expired = q.expired[:0]
	return out
}

func (q *Queue) expireDue(now time.Duration) {
	for q.deadlines.len() > 0 && q.deadlines.top().key <= int64(now) {
		q.expired = append(q.expired, q.drop(q.deadlines.top().ref))
	}
}

// Len returns the number of waiting items.
func (q *Queue) Len() int { return len(q.byID) }

// LenOf returns the number of waiting items of a service.
func (q *Queue) LenOf(service int32) int {
	total := 0
	for _, c := range q.classes {
		if c.service == service {
			total += c.waiting
		}
	}
	return total
}

// Oldest returns the waiting item of the service that was pushed first.
func (q *Queue) Oldest(service int32) (Item, bool) {
	var oldest *Item
	for _, c := range q.classes {
		if c.service != service || c.waiting == 0 {
			continue
		}
		it := &q.nodes[c.first].item
		if oldest == nil || it.Enqueued < oldest.Enqueued {
			oldest = it
		}
	}
	if oldest == nil {
		return Item{}, false
	}
	return *oldest, true
}

func (q *Queue) newNode(it Item, lim Limits) int32 {
	key := int64(it.Enqueued)
	switch {
	case lim.NewestFirst:
		key = -key
	case lim.DeadlineOrder:
		key = int64(it.latestStart())
	}
	n := node{item: it, flow: none, key: key, previous: none, next: none}
	if last := len(q.freeNodes) - 1; last >= 0 {
		ref := q.freeNodes[last]
		q.freeNodes = q.freeNodes[:last]
		q.nodes[ref] = n
		return ref
	}
	q.nodes = append(q.nodes, n)
	q.inFlow = append(q.inFlow, 0)
	q.inDeadlines = append(q.inDeadlines, 0)
	return int32(len(q.nodes) - 1)
}

// drop removes the item from every structure.
func (q *Queue) drop(ref int32) Item {
	n := &q.nodes[ref]
	it := n.item
	c := q.flows[n.flow].class
	delete(q.byID, it.ID)
	q.deadlines.remove(q.inDeadlines, ref)
	q.unlink(c, ref)
	q.removeFromFlow(c, ref)
	q.freeNodes = append(q.freeNodes, ref)
	return it
}
