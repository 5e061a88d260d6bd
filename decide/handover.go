package decide

import (
	"cmp"
	"maps"
	"math"
	"slices"
)

// maxSnapshotKeys is the number of keys in a snapshot. It holds the hottest ones.
const maxSnapshotKeys = 256

// The bounds of valid values in a snapshot.
const (
	maxClockDifferenceMillis     = 1000
	maxSnapshotToleratedWait     = 1
	maxSnapshotIdleTimeoutMillis = math.MaxFloat64
)

// Snapshot is the state that one process hands over to the process that takes its place: the
// endpoint list, the servers that operators have disabled, and the Balancer's records. Both
// processes read the same clock. Requests are not included: each process answers its own.
//
// It is stored as JSON, and the old process may be of an earlier release. The JSON tags are the
// names of the first release and must not change.
type Snapshot struct {
	// Servers are the servers, by ascending ID.
	Servers []ServerSnapshot `json:"Servers"`
	// DisabledAt is when operators disabled servers, ms, by ID.
	DisabledAt map[uint32]float64 `json:"Bans"`
	// Keys are the hottest keys.
	Keys []KeySnapshot `json:"Keys"`
	// StartedAt is the time of the first event of the first process, ms.
	StartedAt float64 `json:"Began"`
	// Arrivals counts requests.
	Arrivals SumSnapshot `json:"Arrivals"`
	// ServiceTime holds the mean (ms), the mean square (ms²) and the number of samples.
	ServiceTime [3]float64 `json:"Latency"`
	// LatencyPerWork is the trend of the latency per unit of work over all servers, ms.
	LatencyPerWork TrendSnapshot `json:"Jam"`
	// FetchLatency is the trend of the latency of fetches, ms.
	FetchLatency TrendSnapshot `json:"Origin"`
	// FetchLimit is the limit on the fetches in flight.
	FetchLimit float64 `json:"Fetches"`
	// ToleratedWaitShare is the share of the remaining time that a queue may take for a request of
	// the lowest priority.
	ToleratedWaitShare float64 `json:"Bear"`
	// IdleTimeoutMillis is how long idle connections are kept open.
	IdleTimeoutMillis float64 `json:"Keep"`
	// WarmCapacities are the capacities per unit of size of warm servers, requests per second, by
	// kind. They are absent in the state of earlier releases.
	WarmCapacities map[string]float64 `json:"WarmCapacities,omitempty"`
}

// ServerSnapshot is the record of one server. Its fields correspond to those of the server type.
type ServerSnapshot struct {
	Endpoint
	// IsListed says that the endpoint list contains the server.
	IsListed bool `json:"Listed"`
	// IsEjected says that outlier detection has ejected the server.
	IsEjected bool `json:"Ejected"`
	// AcceptedShare is the EWMA of the share of attempts that succeed.
	AcceptedShare float64 `json:"Accept"`
	// Evidence is the CUSUM statistic of a fault of this server.
	Evidence float64 `json:"Doubt"`
	// FailureShare is the EWMA of the share of attempts that fail.
	FailureShare float64 `json:"Fails"`
	// Unanswered is the number of attempts and health checks without an answer since the last
	// reply.
	Unanswered int `json:"Strikes"`
	// ProbeAt is when the ejected server may get a probe, ms.
	ProbeAt float64 `json:"Trial"`
	// EjectionMillis is the time from ejection to ProbeAt, before jitter.
	EjectionMillis float64 `json:"Pause"`
	// ForcedProbeAt is when the ejected server must get a probe, ms.
	ForcedProbeAt float64 `json:"Overdue"`
	// StartedAt is when the server started, ms; absent = long ago.
	StartedAt *float64 `json:"Fresh"`
	// Budget is the rest of the server's slow-start budget, in requests.
	Budget SumSnapshot `json:"Budget"`
	// Work is the decaying sum of the work that this router sent.
	Work SumSnapshot `json:"Sent"`
	// LastReport is the last load report that was accepted.
	LastReport LoadReport `json:"Last"`
	// ReportedPerSecond is the server's rate of requests in that report.
	ReportedPerSecond float64 `json:"QPS"`
	// ReportedAt is when that report arrived, ms; absent = never.
	ReportedAt *float64 `json:"Heard"`
	// CapacityPerSecond is the trend of the server's capacity.
	CapacityPerSecond TrendSnapshot `json:"Capacity"`
	// LatencyPerWork is the trend of the server's latency per unit of work, ms.
	LatencyPerWork TrendSnapshot `json:"Latency"`
	// LastReplyAt is the time of the last reply, ms.
	LastReplyAt float64 `json:"Reply"`
	// LatestAnsweredSentAt is when the most recently sent of the answered attempts was sent, ms.
	LatestAnsweredSentAt float64 `json:"Passed"`
	// LastSentAt is when the last attempt was sent, ms.
	LastSentAt float64 `json:"Used"`
}

// KeySnapshot is the traffic of a key.
type KeySnapshot struct {
	// ID is the key.
	ID uint64 `json:"ID"`
	// Arrivals counts the key's requests.
	Arrivals SumSnapshot `json:"Rate"`
	// MeanWork is the mean work of a request.
	MeanWork float64 `json:"Work"`
}

// SumSnapshot is a decaying sum, or a slow-start budget, at a time.
type SumSnapshot struct {
	// Value is the sum at UpdatedAt.
	Value float64 `json:"V"`
	// UpdatedAt is the time of its last change, ms.
	UpdatedAt float64 `json:"At"`
}

// TrendSnapshot is a trend at a time.
type TrendSnapshot struct {
	// Value is the EWMA.
	Value float64 `json:"V"`
	// Floor is the estimate of the value without faults.
	Floor float64 `json:"Floor"`
	// UpdatedAt is the time of the last sample, ms.
	UpdatedAt float64 `json:"At"`
}

func (s decayingSum) snapshot() SumSnapshot { return SumSnapshot{s.value, s.updatedAt} }
func (s SumSnapshot) restore() decayingSum  { return decayingSum{s.Value, s.UpdatedAt} }
func (t trend) snapshot() TrendSnapshot     { return TrendSnapshot{t.value, t.floor, t.updatedAt} }
func (t TrendSnapshot) restore() trend      { return trend{t.Value, t.Floor, t.UpdatedAt} }

// finiteOrAbsent returns nil for an instant of -Inf, which JSON can't represent.
func finiteOrAbsent(at float64) *float64 {
	if math.IsInf(at, 0) {
		return nil
	}
	return &at
}

// instantOrNever returns the instant, or -Inf if it is absent.
func instantOrNever(at *float64) float64 {
	if at == nil {
		return math.Inf(-1)
	}
	return *at
}

// isWithin reports whether a value is within bounds; NaN is not.
func isWithin(v, low, high float64) bool { return v >= low && v <= high }

// HandOver returns the state for a process that will run beside this one. It also changes this
// Balancer: half of the rest of each slow-start budget goes to the other process. It must be called
// once per successor.
func (b *Balancer) HandOver(now float64) Snapshot {
	b.beginEvent(now)
	state := Snapshot{
		DisabledAt:         map[uint32]float64{},
		StartedAt:          b.startedAt,
		Arrivals:           b.arrivals.snapshot(),
		ServiceTime:        [3]float64{b.serviceTime.mean, b.serviceTime.square, b.serviceTime.samples},
		LatencyPerWork:     b.latencyPerWork.snapshot(),
		FetchLatency:       b.originFetches.latency.snapshot(),
		FetchLimit:         b.originFetches.limit,
		ToleratedWaitShare: b.toleratedWaitShare,
		IdleTimeoutMillis:  b.idleTimeoutMillis,
		WarmCapacities:     maps.Clone(b.capacities.warmByKind),
	}
	for id, at := range b.membership.disabledAt {
		state.DisabledAt[id] = at
	}
	servers := slices.SortedFunc(maps.Values(b.membership.servers),
		func(p, q *server) int { return cmp.Compare(p.ID, q.ID) })
	state.Servers = make([]ServerSnapshot, 0, len(servers))
	for _, s := range servers {
		s.slowStart.budget.requests /= 2
		state.Servers = append(state.Servers, s.snapshot())
	}
	hottest := hottestKeys{limit: maxSnapshotKeys, compare: compareArrivals}
	b.forEachKey(hottest.add)
	for _, k := range hottest.keys {
		state.Keys = append(state.Keys, KeySnapshot{k.id, k.arrivals.snapshot(), k.meanWork})
	}
	return state
}

func (s *server) snapshot() ServerSnapshot {
	return ServerSnapshot{
		Endpoint:             s.Endpoint,
		IsListed:             s.isListed,
		IsEjected:            s.health.isEjected,
		AcceptedShare:        s.health.acceptedShare,
		Evidence:             s.health.evidence,
		FailureShare:         s.health.failureShare,
		Unanswered:           s.health.unanswered,
		ProbeAt:              s.health.probeAt,
		EjectionMillis:       s.health.ejectionMillis,
		ForcedProbeAt:        s.health.forcedProbeAt,
		StartedAt:            finiteOrAbsent(s.slowStart.startedAt),
		Budget:               SumSnapshot{s.slowStart.budget.requests, s.slowStart.budget.updatedAt},
		Work:                 s.attempts.work.snapshot(),
		LastReport:           s.load.lastReport,
		ReportedPerSecond:    s.load.reportedPerSecond,
		ReportedAt:           finiteOrAbsent(s.load.reportedAt),
		CapacityPerSecond:    s.load.capacityPerSecond.snapshot(),
		LatencyPerWork:       s.load.latencyPerWork.snapshot(),
		LastReplyAt:          s.health.lastReplyAt,
		LatestAnsweredSentAt: s.health.latestAnsweredSentAt,
		LastSentAt:           s.attempts.lastSentAt,
	}
}

// TakeOver restores the state of the previous process, before the first endpoint list and the first
// request. Servers that operators have disabled are always restored. If the start time, the fetch
// limit, the tolerated wait or the idle timeout is out of bounds, for example because the clocks of
// the two processes disagree, nothing else is restored and the error is ErrInvalidSnapshot. The
// records of servers and keys are not checked. After another event the error is
// ErrTakeOverAfterEvent.
func (b *Balancer) TakeOver(now float64, state Snapshot) error {
	if b.startedAt >= 0 {
		return ErrTakeOverAfterEvent
	}
	b.beginEvent(now)
	for id, at := range state.DisabledAt {
		b.membership.disabledAt[id] = min(at, now)
	}
	if !state.isValid(now) {
		return ErrInvalidSnapshot
	}
	b.startedAt = min(now, state.StartedAt)
	b.restoreServers(now, state.Servers)
	for _, k := range state.Keys {
		traffic := b.trafficOf(Request{Key: k.ID, HasKey: true})
		traffic.arrivals = k.Arrivals.restore()
		traffic.meanWork = k.MeanWork
	}
	b.arrivals = state.Arrivals.restore()
	b.latencyPerWork = state.LatencyPerWork.restore()
	b.originFetches.latency = state.FetchLatency.restore()
	b.serviceTime = moments{state.ServiceTime[0], state.ServiceTime[1], state.ServiceTime[2]}
	b.originFetches.limit = state.FetchLimit
	b.toleratedWaitShare = state.ToleratedWaitShare
	b.idleTimeoutMillis = min(state.IdleTimeoutMillis, b.cfg.IdleTimeoutMillis)
	b.capacities.restoreWarm(now, state.WarmCapacities)
	b.placement.isStale = true
	return nil
}

// isValid reports whether the checked values of a snapshot are within their bounds.
func (s *Snapshot) isValid(now float64) bool {
	return isWithin(s.FetchLimit, 0, maxFetchLimit) &&
		isWithin(s.ToleratedWaitShare, 0, maxSnapshotToleratedWait) &&
		isWithin(s.IdleTimeoutMillis, 0, maxSnapshotIdleTimeoutMillis) &&
		isWithin(s.StartedAt, 0, now+maxClockDifferenceMillis)
}

// restoreServers restores the endpoint list and the server records of the previous process.
func (b *Balancer) restoreServers(now float64, servers []ServerSnapshot) {
	entries := make([]Endpoint, 0, len(servers))
	for _, s := range servers {
		if s.IsListed {
			entries = append(entries, s.Endpoint)
		}
	}
	b.UpdateEndpoints(now, RestoredEndpoints, entries)
	for _, state := range servers {
		if s := b.membership.servers[state.ID]; s != nil {
			b.restoreServer(s, state)
		}
	}
}

func (b *Balancer) restoreServer(s *server, state ServerSnapshot) {
	b.membership.setEjected(s, state.IsEjected)
	b.membership.setFailureShare(s, state.FailureShare)
	s.health.acceptedShare = state.AcceptedShare
	s.health.evidence = state.Evidence
	s.health.unanswered = state.Unanswered
	s.health.probeAt = state.ProbeAt
	s.health.ejectionMillis = state.EjectionMillis
	s.health.forcedProbeAt = state.ForcedProbeAt
	s.slowStart.startedAt = instantOrNever(state.StartedAt)
	s.slowStart.budget = slowStartBudget{requests: state.Budget.Value, updatedAt: state.Budget.UpdatedAt}
	s.attempts.work = state.Work.restore()
	s.load.lastReport = state.LastReport
	s.load.reportedPerSecond = state.ReportedPerSecond
	s.load.reportedAt = instantOrNever(state.ReportedAt)
	s.load.capacityPerSecond = state.CapacityPerSecond.restore()
	s.load.latencyPerWork = state.LatencyPerWork.restore()
	s.health.lastReplyAt = state.LastReplyAt
	s.health.latestAnsweredSentAt = state.LatestAnsweredSentAt
	s.attempts.lastSentAt = state.LastSentAt
}
