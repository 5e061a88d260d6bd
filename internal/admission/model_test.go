package admission

import (
	"math"
	"slices"
	"testing"
)

// exact is start-time fair queueing as its authors write it, for named tenants and requests of one cost: each request
// has a start tag max(v, the finish tag before it), and v is the start tag of the request that went last.
type exact struct {
	weights []float64
	finish  []float64
	v       float64
	waits   []tagged
	places  int
	went    []uint32
}

type tagged struct {
	id     uint32
	flow   int
	start  float64
	cost   float64
	before int // its place in the order of coming
}

func (m *exact) arrive(id uint32, flow int, cost float64) {
	t := tagged{id, flow, max(m.v, m.finish[flow]), cost, len(m.waits)}
	m.finish[flow] = t.start + cost/m.weights[flow]
	m.waits = append(m.waits, t)
	m.pump()
}

func (m *exact) ended() {
	m.places++
	m.pump()
}

func (m *exact) pump() {
	for m.places > 0 && len(m.waits) > 0 {
		best := 0
		for i, t := range m.waits {
			if b := m.waits[best]; t.start < b.start || t.start == b.start && t.flow < b.flow {
				best = i
			}
		}
		m.v = max(m.v, m.waits[best].start)
		m.went = append(m.went, m.waits[best].id)
		m.waits = slices.Delete(m.waits, best, best+1)
		m.places--
	}
}

// Any stream of arrivals and ends is let in in the order of the exact model.
func FuzzAgainstExactModel(f *testing.F) {
	f.Add([]byte{0, 1, 2, 3, 4, 5, 0x80, 0, 0, 0, 0x81, 0x80, 1, 2, 0x80, 0x80, 0x80})
	f.Add([]byte{0, 0, 0, 0, 0, 0, 0, 0, 1, 2, 0x80, 0x80, 0x80, 0x80, 1, 1, 1, 0x80, 0x80, 0x80, 0x80, 0x80})
	f.Add([]byte{2, 2, 2, 2, 1, 1, 1, 0x80, 0x81, 0x82, 0x80, 0, 0, 0x80, 0x80, 0x80, 0x80, 0x80, 0x80})
	f.Fuzz(func(t *testing.T, events []byte) {
		c := config()
		weights := []float64{1, 2, 4}
		for i, w := range weights {
			c.Tenants = append(c.Tenants, Tenant{Name: string(rune('a' + i)), Weight: w})
		}
		const places = 3
		c.Classes = []Class{{Name: "read", CostMillis: 8}} // in eighths, so that sums are exact
		c.InitialLimit, c.MinLimit, c.MaxLimit, c.QueueLimit, c.MaxWaitMillis = places, places, places, 1<<12, 1e9
		a, d := begin(t, c)
		m := &exact{weights: weights, finish: make([]float64, 3), places: places}
		ended := map[uint32]bool{}
		for n, e := range events[:min(len(events), 1<<11)] {
			if e < 0x80 {
				id, flow := uint32(n), int(e)%3
				a.Arrive(0, Request{ID: id, Tenant: c.Tenants[flow].Name, Key: uint64(n), RemainingMillis: math.MaxFloat32})
				m.arrive(id, flow, 8)
			} else if open := slices.DeleteFunc(slices.Clone(d.admitted), func(id uint32) bool { return ended[id] }); len(open) > 0 {
				id := open[int(e&0x7f)%len(open)]
				ended[id] = true
				a.Ended(0, Outcome{ID: id, Served: true, LatencyMillis: 8, WorkMillis: 8, Attempts: 1})
				m.ended()
			}
			if !slices.Equal(d.admitted, m.went) {
				t.Fatalf("after event %d: let in %v, the model %v", n, d.admitted, m.went)
			}
		}
		if len(d.refused) > 0 {
			t.Fatalf("refused: %v", d.refused)
		}
	})
}
