package decide

import (
	"cmp"
	"errors"
	"math"
	"slices"
)

// Carried is what one process hands on to the process that takes its place: what it was told, what it has promised, and
// what it has learnt. Both read the same clock. Requests are not part of it: each process answers its own.
type Carried struct {
	Servers  []ServerState      `json:"Servers"`
	Bans     map[uint32]float64 `json:"Bans"`
	Keys     []KeyState         `json:"Keys"` // the hottest ones
	Began    float64            `json:"Began"`
	Arrivals Memory             `json:"Arrivals"`
	Latency  [3]float64         `json:"Latency"` // mean, mean square and number of samples
	Jam      Trend              `json:"Jam"`
	Origin   Trend              `json:"Origin"`
	Fetches  float64            `json:"Fetches"`
	Bear     float64            `json:"Bear"`
	Keep     float64            `json:"Keep"`
}

// ServerState is what is known of a server.
type ServerState struct {
	Endpoint
	Listed   bool       `json:"Listed"`
	Ejected  bool       `json:"Ejected"`
	Accept   float64    `json:"Accept"`
	Doubt    float64    `json:"Doubt"`
	Fails    float64    `json:"Fails"`
	Strikes  int        `json:"Strikes"`
	Trial    float64    `json:"Trial"`
	Pause    float64    `json:"Pause"`
	Overdue  float64    `json:"Overdue"`
	Fresh    *float64   `json:"Fresh"` // absent: long ago
	Budget   Memory     `json:"Budget"`
	Sent     Memory     `json:"Sent"`
	Last     LoadReport `json:"Last"`
	QPS      float64    `json:"QPS"`
	Heard    *float64   `json:"Heard"` // absent: never
	Capacity Trend      `json:"Capacity"`
	Latency  Trend      `json:"Latency"`
	Reply    float64    `json:"Reply"`
	Passed   float64    `json:"Passed"`
	Used     float64    `json:"Used"`
}

// KeyState is the traffic of a key.
type KeyState struct {
	ID   uint64  `json:"ID"`
	Rate Memory  `json:"Rate"`
	Work float64 `json:"Work"`
}

// Memory and Trend are a rate and a level, as they stand.
type (
	Memory struct {
		V  float64 `json:"V"`
		At float64 `json:"At"`
	}
	Trend struct {
		V     float64 `json:"V"`
		Floor float64 `json:"Floor"`
		At    float64 `json:"At"`
	}
)

func (r rate) memory() Memory        { return Memory{r.v, r.at} }
func (m Memory) rate() rate          { return rate{m.V, m.At} }
func (l level) trend() Trend         { return Trend{l.v, l.floor, l.at} }
func (t Trend) level() level         { return level{t.V, t.Floor, t.At} }
func finite(v float64) *float64      { return map[bool]*float64{true: &v}[!math.IsInf(v, 0)] }
func orNever(v *float64) float64     { return *cmp.Or(v, &never) }
func sane(v, low, high float64) bool { return v >= low && v <= high }

var never = math.Inf(-1)

const maxKeysCarried = 256

// HandOver returns the state for a process that is to work beside this one. What the cold budgets have left is split
// between the two.
func (b *Balancer) HandOver(now float64) Carried {
	b.begin(now)
	st := Carried{Bans: map[uint32]float64{}, Began: b.began, Arrivals: b.arrivals.memory(),
		Latency: [3]float64{b.x.mean, b.x.square, b.x.n}, Jam: b.jam.trend(), Origin: b.olat.trend(), Fetches: b.fetches,
		Bear: b.bear, Keep: b.keep}
	for id, at := range b.bans {
		st.Bans[id] = at
	}
	for _, s := range b.servers {
		s.budget.v /= 2
		st.Servers = append(st.Servers, ServerState{Endpoint: s.Endpoint, Listed: s.listed, Ejected: s.ejected, Accept: s.accept,
			Doubt: s.doubt, Fails: s.fails, Strikes: s.strikes, Trial: s.trial, Pause: s.pause, Overdue: s.overdue,
			Fresh: finite(s.fresh), Budget: s.budget.memory(), Sent: s.sent.memory(), Last: s.last, QPS: s.qps,
			Heard: finite(s.heard), Capacity: s.cap.trend(), Latency: s.lat.trend(), Reply: s.reply, Passed: s.passed,
			Used: s.sentAt})
	}
	slices.SortFunc(st.Servers, func(p, q ServerState) int { return cmp.Compare(p.ID, q.ID) })
	keys := b.recount()
	slices.SortFunc(keys, func(p, q *flow) int { return cmp.Or(cmp.Compare(q.rate.v, p.rate.v), cmp.Compare(p.id, q.id)) })
	for _, k := range keys[:min(len(keys), maxKeysCarried)] {
		st.Keys = append(st.Keys, KeyState{k.id, k.rate.memory(), k.work})
	}
	return st
}

// TakeOver takes the state of the process before this one, before the first list and the first request. Bans hold in any
// case; of what was learnt, nothing is taken if some of it can't be true, as where the clocks of the two disagree.
func (b *Balancer) TakeOver(now float64, st Carried) error {
	if b.began >= 0 {
		return errors.New("decide: a state comes before all else")
	}
	b.begin(now)
	for id, at := range st.Bans {
		b.bans[id] = min(at, now)
	}
	if !sane(st.Fetches, 0, 64) || !sane(st.Bear, 0, 1) || !sane(st.Keep, 0, math.MaxFloat64) || !sane(st.Began, 0, now+1000) {
		return errors.New("decide: a state that can't be true")
	}
	b.began = min(now, st.Began)
	entries := make([]Endpoint, 0, len(st.Servers))
	for _, s := range st.Servers {
		if s.Listed {
			entries = append(entries, s.Endpoint)
		}
	}
	b.UpdateEndpoints(now, RestoredEndpoints, entries)
	for _, c := range st.Servers {
		if s := b.servers[c.ID]; s != nil {
			s.ejected, s.accept, s.doubt, s.fails, s.strikes = c.Ejected, c.Accept, c.Doubt, c.Fails, c.Strikes
			s.trial, s.pause, s.overdue, s.fresh, s.heard = c.Trial, c.Pause, c.Overdue, orNever(c.Fresh), orNever(c.Heard)
			s.budget, s.sent, s.last, s.qps = c.Budget.rate(), c.Sent.rate(), c.Last, c.QPS
			s.cap, s.lat, s.reply, s.passed, s.sentAt = c.Capacity.level(), c.Latency.level(), c.Reply, c.Passed, c.Used
		}
	}
	for _, k := range st.Keys {
		f := b.flow(Request{Key: k.ID, HasKey: true})
		f.rate, f.work = k.Rate.rate(), k.Work
	}
	b.arrivals, b.jam, b.olat = st.Arrivals.rate(), st.Jam.level(), st.Origin.level()
	b.x = moments{st.Latency[0], st.Latency[1], st.Latency[2]}
	b.fetches, b.bear, b.keep, b.dirty = st.Fetches, st.Bear, min(st.Keep, b.cfg.IdleTimeoutMillis), true
	return nil
}

// SetProcessCount tells how many processes work as this router now. They split its part of the cold budgets.
func (b *Balancer) SetProcessCount(now float64, processes int) {
	b.begin(now)
	b.processes = max(1, processes)
}

// shares is the number of those who fill the cold servers together.
func (b *Balancer) shares() float64 { return float64(b.cfg.Routers * max(1, b.processes)) }
