package admission

import (
	"math"
	"slices"
	"testing"
)

// exactModel is start-time fair queueing as published, for named tenants and requests of equal
// cost: each request has a start tag max(virtual time, previous finish tag of its flow), and the
// virtual time is the start tag of the most recently admitted request.
type exactModel struct {
	weights     []float64
	finishTags  []float64
	virtualTime float64
	queue       []taggedRequest // in order of arrival
	freeSlots   int
	admitted    []uint32
}

type taggedRequest struct {
	id       uint32
	flow     int
	startTag float64
}

func (m *exactModel) arrive(id uint32, flow int, cost float64) {
	request := taggedRequest{id: id, flow: flow, startTag: max(m.virtualTime, m.finishTags[flow])}
	m.finishTags[flow] = request.startTag + cost/m.weights[flow]
	m.queue = append(m.queue, request)
	m.admitWaiting()
}

func (m *exactModel) ended() {
	m.freeSlots++
	m.admitWaiting()
}

func (m *exactModel) admitWaiting() {
	for m.freeSlots > 0 && len(m.queue) > 0 {
		next := 0
		for i, request := range m.queue {
			best := m.queue[next]
			isTie := request.startTag == best.startTag
			if request.startTag < best.startTag || isTie && request.flow < best.flow {
				next = i
			}
		}
		m.virtualTime = max(m.virtualTime, m.queue[next].startTag)
		m.admitted = append(m.admitted, m.queue[next].id)
		m.queue = slices.Delete(m.queue, next, next+1)
		m.freeSlots--
	}
}

// Any sequence of arrivals and ends must lead to the same order of admission as the exact model.
func FuzzAgainstExactModel(f *testing.F) {
	f.Add([]byte{0, 1, 2, 3, 4, 5, 0x80, 0, 0, 0, 0x81, 0x80, 1, 2, 0x80, 0x80, 0x80})
	f.Add([]byte{0, 0, 0, 0, 0, 0, 0, 0, 1, 2, 0x80, 0x80, 0x80, 0x80, 1, 1, 1, 0x80, 0x80, 0x80, 0x80, 0x80})
	f.Add([]byte{2, 2, 2, 2, 1, 1, 1, 0x80, 0x81, 0x82, 0x80, 0, 0, 0x80, 0x80, 0x80, 0x80, 0x80, 0x80})
	f.Fuzz(func(t *testing.T, events []byte) {
		const (
			slots      = 3
			costMillis = 8 // a power of two, for exact sums
		)
		c := testConfig()
		weights := []float64{1, 2, 4}
		for i, weight := range weights {
			c.Tenants = append(c.Tenants, Tenant{Name: string(rune('a' + i)), Weight: weight})
		}
		c.Classes = []Class{{Name: "read", CostMillis: costMillis}}
		c.setLimit(slots)
		c.QueueLimit = 1 << 12
		c.MaxWaitMillis = 1e9
		a, host := newAdmission(t, c)
		model := &exactModel{weights: weights, finishTags: make([]float64, 3), freeSlots: slots}
		ended := map[uint32]bool{}
		for n, e := range events[:min(len(events), 1<<11)] {
			inProgress := slices.DeleteFunc(slices.Clone(host.admitted), func(id uint32) bool { return ended[id] })
			switch {
			case e < 0x80:
				id := uint32(n)
				flow := int(e) % 3
				a.Arrive(0, Request{
					ID:              id,
					Tenant:          c.Tenants[flow].Name,
					Key:             uint64(n),
					RemainingMillis: math.MaxFloat32,
				})
				model.arrive(id, flow, costMillis)
			case len(inProgress) > 0:
				id := inProgress[int(e&0x7f)%len(inProgress)]
				ended[id] = true
				a.RequestEnded(0, Outcome{
					ID:            id,
					Served:        true,
					LatencyMillis: costMillis,
					WorkMillis:    costMillis,
					Attempts:      1,
				})
				model.ended()
			}
			if !slices.Equal(host.admitted, model.admitted) {
				t.Fatalf("after event %d: admitted %v, the model admitted %v", n, host.admitted, model.admitted)
			}
		}
		if len(host.retryAfterByID) > 0 {
			t.Fatalf("rejected requests: %v", host.retryAfterByID)
		}
	})
}
