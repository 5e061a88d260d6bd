package admit

// heap is a binary heap of small numbers that name records elsewhere, the one with the least key first. It knows where
// each stands, so that one can be moved or taken out, and allocates nothing once it has its size: container/heap would
// put each number into an interface.
type heap struct {
	at   []int32 // records, in heap order
	pos  []int32 // by record: its place + 1; 0 = not there
	keys []float64
}

func newHeap(size int) heap {
	return heap{at: make([]int32, 0, size), pos: make([]int32, size), keys: make([]float64, size)}
}

func (h *heap) len() int          { return len(h.at) }
func (h *heap) has(i int32) bool  { return h.pos[i] > 0 }
func (h *heap) least() int32      { return h.at[0] }
func (h *heap) leastKey() float64 { return h.keys[h.at[0]] }

// set puts a record in, or moves it.
func (h *heap) set(i int32, key float64) {
	h.keys[i] = key
	if h.pos[i] == 0 {
		h.at = append(h.at, i)
		h.pos[i] = int32(len(h.at))
	}
	h.up(int(h.pos[i]) - 1)
	h.down(int(h.pos[i]) - 1)
}

// remove takes a record out, if it is there.
func (h *heap) remove(i int32) {
	p := int(h.pos[i]) - 1
	if p < 0 {
		return
	}
	last := len(h.at) - 1
	h.swap(p, last)
	h.at = h.at[:last]
	h.pos[i] = 0
	if p < last {
		h.up(p)
		h.down(p)
	}
}

func (h *heap) before(a, b int32) bool {
	if h.keys[a] != h.keys[b] {
		return h.keys[a] < h.keys[b]
	}
	return a < b // the same order everywhere
}

func (h *heap) swap(a, b int) {
	h.at[a], h.at[b] = h.at[b], h.at[a]
	h.pos[h.at[a]], h.pos[h.at[b]] = int32(a+1), int32(b+1)
}

func (h *heap) up(p int) {
	for p > 0 && h.before(h.at[p], h.at[(p-1)/2]) {
		h.swap(p, (p-1)/2)
		p = (p - 1) / 2
	}
}

func (h *heap) down(p int) {
	for {
		c := 2*p + 1
		if c+1 < len(h.at) && h.before(h.at[c+1], h.at[c]) {
			c++
		}
		if c >= len(h.at) || !h.before(h.at[c], h.at[p]) {
			return
		}
		h.swap(p, c)
		p = c
	}
}
