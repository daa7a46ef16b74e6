// Package queue decides which waiting request runs next on a pool of endpoints
// and which request is refused instead of waiting.
//
// A Queue belongs to one pool and is shared by the services that use the pool.
// The order is: higher priority first; inside a service every caller gets an
// equal part; inside a caller the earliest deadline, the earliest arrival or
// the latest arrival first. A service of lower priority that was passed over
// PassLimit times is served next, so that nothing waits for good.
//
// The package is pure: the driver passes in the time, and the same calls in
// the same order give the same results. A Queue must not be used by two
// goroutines at once. Push, Take, Remove and each expiry cost O(log n); Next
// costs O(services of the pool).
package queue

import "time"

// Item is one waiting request.
type Item struct {
	// ID is unique among the items in the queue.
	ID      uint64
	Service int32
	// Caller identifies who sent the request; requests whose caller is not
	// known share one value and count as one caller.
	Caller uint64
	// Priority: the higher one runs first.
	Priority int
	// Enqueued is when the request arrived.
	Enqueued time.Duration
	// Deadline is when the caller stops waiting.
	Deadline time.Duration
	// Work is how long an endpoint is expected to need. The item expires at
	// Deadline - Work: started later, it would take a slot for an answer that
	// nobody waits for. Zero if unknown.
	Work time.Duration
}

// latestStart is the last moment at which starting the item makes sense.
func (it *Item) latestStart() time.Duration { return it.Deadline - it.Work }

// Limits are the bounds of the item's service, from its profile.
type Limits struct {
	// QueueLimit is how many requests of the service may wait.
	QueueLimit int
	// CallerShare is the largest share of QueueLimit that one caller gets when
	// it is alone. As others come, the part that one caller may still fill
	// shrinks with the places left. 1 or more means no limit per caller.
	CallerShare float64
	// DeadlineOrder orders by deadline instead of arrival.
	DeadlineOrder bool
	// NewestFirst orders by arrival, the latest first, whatever DeadlineOrder says. While more
	// is asked than can be done, the order of arrival lets each request begin at the last
	// moment that makes sense, and all that take a little longer than most are late.
	NewestFirst bool
}

// Refusal says why a request may not wait.
type Refusal uint8

// The reasons to refuse a request. A refused request was not run.
const (
	// None: the request was taken into the queue.
	None Refusal = iota
	// Full: as many requests of the service wait as may wait.
	Full
	// CallerShare: the caller already has its part of the places.
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
	// key orders the item inside its flow: latest start or arrival.
	key int64
	// previous and next link the items of a class in the order of arrival.
	previous, next int32
}

// none is the reference to no row.
const none int32 = -1

// Queue is the bounded queue of one pool. Create it with New.
type Queue struct {
	// classes are ordered by falling priority, then by service.
	classes []*class
	nodes   []node
	free    []int32
	byID    map[uint64]int32

	flows     []flow
	freeFlows []int32

	// inFlow and inDeadlines are the positions of nodes in the heap of their
	// flow and in deadlines; inClass those of flows in their class.
	inFlow      []int32
	inDeadlines []int32
	inClass     []int32
	deadlines   indexedHeap

	// expired are items that Next found expired and Expire has yet to report.
	expired []Item
}

// New returns an empty queue.
func New() *Queue {
	return &Queue{byID: make(map[uint64]int32)}
}

// Push takes the item in or says why not. expectedWait is how long the item is
// expected to wait for a slot, for example from ExpectedWait. An item whose ID
// is already waiting is refused as Full.
func (q *Queue) Push(now time.Duration, it Item, lim Limits, expectedWait time.Duration) Refusal {
	if refusal := q.check(now, &it, lim, expectedWait); refusal != None {
		return refusal
	}
	c := q.classOf(it.Service, it.Priority)
	if c.waiting == 0 {
		c.pace.noteFirstWaiting(now)
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

// callerMayAdd guards against one caller that fills the queue so that all
// others are turned away as Full. It bounds a caller's places by a multiple of
// the places that are left. With the factor share/(1-share) a caller that is
// alone gets exactly its share of the queue, and however many greedy callers
// come, some places stay free for the next one.
func callerMayAdd(ofCaller, left int, share float64) bool {
	if share >= 1 {
		return true
	}
	return float64(ofCaller)*(1-share) < share*float64(left)
}

// count returns the waiting items of a service and those of one caller in it.
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

// Next returns the item to run next without removing it. It never returns an
// item that has expired, which matters after a pause of the process. eligible
// says whether a service may take a slot now; it is asked at most once for
// each class of waiting requests.
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

// Take removes an item because it is dispatched. It counts for the fairness
// between callers and services and for the pace of the queue; an item that
// leaves for another reason goes through Remove.
func (q *Queue) Take(now time.Duration, id uint64) (Item, bool) {
	ref, ok := q.byID[id]
	if !ok {
		return Item{}, false
	}
	c := q.flows[q.nodes[ref].flow].class
	q.countPassed(c)
	q.charge(c, q.nodes[ref].flow)
	c.pace.noteDispatch(now)
	return q.drop(ref), true
}

// Remove removes an item that will not be dispatched, for example because its
// caller has gone.
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

// Expire removes the items that can no longer be answered in time, appends
// them to out and returns it. Each expired item is reported once.
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
	if last := len(q.free) - 1; last >= 0 {
		ref := q.free[last]
		q.free = q.free[:last]
		q.nodes[ref] = n
		return ref
	}
	q.nodes = append(q.nodes, n)
	q.inFlow = append(q.inFlow, 0)
	q.inDeadlines = append(q.inDeadlines, 0)
	return int32(len(q.nodes) - 1)
}

// drop takes the item out of every structure.
func (q *Queue) drop(ref int32) Item {
	n := &q.nodes[ref]
	it := n.item
	c := q.flows[n.flow].class
	delete(q.byID, it.ID)
	q.deadlines.remove(q.inDeadlines, ref)
	q.unlink(c, ref)
	q.removeFromFlow(c, ref)
	q.free = append(q.free, ref)
	return it
}
