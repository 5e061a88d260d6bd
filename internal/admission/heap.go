package admission

// heap is a binary heap of indices into a table (of records, flows or reservations), ordered by key
// with the lowest first. It stores the position of each index, so that an index can be moved or
// removed, and does not allocate after newHeap: container/heap would allocate an interface value
// for each index.
type heap struct {
	items     []int32 // table indices, in heap order
	positions []int32 // by table index: its position in items + 1; 0 = not in the heap
	keys      []float64
}

func newHeap(size int) heap {
	return heap{items: make([]int32, 0, size), positions: make([]int32, size), keys: make([]float64, size)}
}

func (h *heap) len() int         { return len(h.items) }
func (h *heap) has(i int32) bool { return h.positions[i] > 0 }
func (h *heap) first() int32     { return h.items[0] }

func (h *heap) firstKey() float64 { return h.keys[h.items[0]] }

// set adds an index, or changes the key of one that is in the heap.
func (h *heap) set(i int32, key float64) {
	h.keys[i] = key
	if h.positions[i] == 0 {
		h.items = append(h.items, i)
		h.positions[i] = int32(len(h.items))
	}
	h.up(int(h.positions[i]) - 1)
	h.down(int(h.positions[i]) - 1)
}

// remove removes an index, if it is in the heap.
func (h *heap) remove(i int32) {
	position := int(h.positions[i]) - 1
	if position < 0 {
		return
	}
	last := len(h.items) - 1
	h.swap(position, last)
	h.items = h.items[:last]
	h.positions[i] = 0
	if position < last {
		h.up(position)
		h.down(position)
	}
}

// less orders two indices by key, and by their own values if the keys are equal, so that the order
// is deterministic.
func (h *heap) less(a, b int32) bool {
	if h.keys[a] != h.keys[b] {
		return h.keys[a] < h.keys[b]
	}
	return a < b
}

func (h *heap) swap(a, b int) {
	h.items[a], h.items[b] = h.items[b], h.items[a]
	h.positions[h.items[a]] = int32(a + 1)
	h.positions[h.items[b]] = int32(b + 1)
}

func (h *heap) up(position int) {
	for position > 0 {
		parent := (position - 1) / 2
		if !h.less(h.items[position], h.items[parent]) {
			return
		}
		h.swap(position, parent)
		position = parent
	}
}

func (h *heap) down(position int) {
	for {
		child := 2*position + 1
		if child+1 < len(h.items) && h.less(h.items[child+1], h.items[child]) {
			child++
		}
		if child >= len(h.items) || !h.less(h.items[child], h.items[position]) {
			return
		}
		h.swap(position, child)
		position = child
	}
}
