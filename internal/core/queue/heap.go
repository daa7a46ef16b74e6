package queue

// element is one member of an indexed heap. The smallest key is first. Equal keys are ordered by
// tie, so that the order is deterministic.
type element struct {
	key int64
	tie uint64
	// ref is the index of the row that the element represents.
	ref int32
}

func (e element) before(o element) bool {
	if e.key != o.key {
		return e.key < o.key
	}
	return e.tie < o.tie
}

// indexedHeap is a binary heap from which any member can be removed. The owner stores the position
// of each member in a slice indexed by ref, so that several heaps can share one slice as long as
// each row is in only one of them.
type indexedHeap struct {
	elements []element
}

func (h *indexedHeap) len() int { return len(h.elements) }

// top returns the first element; the heap must not be empty.
func (h *indexedHeap) top() element { return h.elements[0] }

func (h *indexedHeap) push(positions []int32, e element) {
	h.elements = append(h.elements, e)
	positions[e.ref] = int32(len(h.elements) - 1)
	h.up(positions, len(h.elements)-1)
}

func (h *indexedHeap) remove(positions []int32, ref int32) {
	at := int(positions[ref])
	last := len(h.elements) - 1
	h.elements[at] = h.elements[last]
	h.elements = h.elements[:last]
	if at == last {
		return
	}
	positions[h.elements[at].ref] = int32(at)
	if !h.up(positions, at) {
		h.down(positions, at)
	}
}

// up moves the element at i towards the top and reports whether it moved.
func (h *indexedHeap) up(positions []int32, i int) bool {
	moved := false
	for i > 0 {
		parent := (i - 1) / 2
		if !h.elements[i].before(h.elements[parent]) {
			break
		}
		h.swap(positions, i, parent)
		i = parent
		moved = true
	}
	return moved
}

func (h *indexedHeap) down(positions []int32, i int) {
	for {
		child := 2*i + 1
		if child >= len(h.elements) {
			return
		}
		if right := child + 1; right < len(h.elements) && h.elements[right].before(h.elements[child]) {
			child = right
		}
		if !h.elements[child].before(h.elements[i]) {
			return
		}
		h.swap(positions, i, child)
		i = child
	}
}

func (h *indexedHeap) swap(positions []int32, i, j int) {
	h.elements[i], h.elements[j] = h.elements[j], h.elements[i]
	positions[h.elements[i].ref] = int32(i)
	positions[h.elements[j].ref] = int32(j)
}
