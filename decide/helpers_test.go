package decide

import (
	"fmt"
	"testing"
)

// fakeHost is a Host that records its calls.
type fakeHost struct {
	logLines      []string
	sends         []sentAttempt
	rejected      map[uint32]int
	failed        map[uint32]int
	cancels       []string
	timers        []timer
	healthChecks  []uint32
	closedServers []uint32
	watches       int
	onSend        func(id uint32)
	retryAfters   []float64
}

type sentAttempt struct{ id, server uint32 }

type timer struct {
	after float64
	token uint64
}

func newFakeHost() *fakeHost { return &fakeHost{rejected: map[uint32]int{}, failed: map[uint32]int{}} }

func (h *fakeHost) Send(id, server uint32, _ float64) {
	if h.onSend != nil {
		h.onSend(id)
	}
	h.sends = append(h.sends, sentAttempt{id, server})
}

func (h *fakeHost) Cancel(id uint32, a int) { h.cancels = append(h.cancels, fmt.Sprint(id, "/", a)) }

func (h *fakeHost) Reject(id uint32, wait float64) {
	h.rejected[id]++
	h.retryAfters = append(h.retryAfters, wait)
}

func (h *fakeHost) Fail(id uint32) { h.failed[id]++ }

func (h *fakeHost) HealthCheck(s uint32) { h.healthChecks = append(h.healthChecks, s) }

func (h *fakeHost) CloseIdle(s uint32) { h.closedServers = append(h.closedServers, s) }

func (h *fakeHost) SetTimer(after float64, token uint64) {
	h.timers = append(h.timers, timer{after, token})
}

func (h *fakeHost) WatchEndpoints() { h.watches++ }

func (h *fakeHost) Gossip([]byte) {}

func (h *fakeHost) Log(text string) { h.logLines = append(h.logLines, text) }

func (h *fakeHost) lastSend() sentAttempt { return h.sends[len(h.sends)-1] }

// finalAnswers returns the number of final answers that a request got from the Balancer itself.
func (h *fakeHost) finalAnswers(id uint32) int { return h.rejected[id] + h.failed[id] }

func testConfig() Config {
	return Config{
		Routers: 2, Classes: []Class{
			{Name: "read", Effect: Idempotent, LatencyObjectiveMillis: 300, DeadlineMillis: 600, PriorityWeight: 1},
			{Name: "important", Effect: Idempotent,
				LatencyObjectiveMillis: 300, DeadlineMillis: 600, PriorityWeight: 4},
			{Name: "keyed", Effect: IdempotentByKey, IdempotencyScope: "all", IdempotencyWindowMillis: 2000,
				LatencyObjectiveMillis: 300, DeadlineMillis: 600, PriorityWeight: 1},
			{Name: "zoned", Effect: IdempotentByKey, IdempotencyScope: "zone", IdempotencyWindowMillis: 2000,
				LatencyObjectiveMillis: 300, DeadlineMillis: 600, PriorityWeight: 1},
			{Name: "once", Effect: NotIdempotent, LatencyObjectiveMillis: 300, DeadlineMillis: 600, PriorityWeight: 1},
		},
		CancelAllowed: true, HedgingAllowed: true, MaxAttempts: 4,
		SlowStartMillis: 8000, SlowStartInitialShare: 0.4, OverloadFactor: 3, OverloadMillis: 2000,
	}
}

// cacheAsideConfig returns testConfig with servers that leave misses to the router.
func cacheAsideConfig() Config {
	cfg := testConfig()
	cfg.CacheAside = true
	cfg.OriginKind = "origin"
	return cfg
}

// readyEndpoints returns n ready servers with IDs distributed like real ones.
func readyEndpoints(n int) []Endpoint {
	var endpoints []Endpoint
	for i := range n {
		id := uint32(splitMix64(uint64(i + 1)))
		endpoints = append(endpoints, Endpoint{ID: id, Size: 1, Zone: string(rune('a' + i%2)), Cell: i / 3})
	}
	return endpoints
}

func newTestBalancer(t testing.TB, cfg Config, endpoints []Endpoint) (*Balancer, *fakeHost) {
	t.Helper()
	h := newFakeHost()
	b, err := New(cfg, 7, h)
	if err != nil {
		t.Fatal(err)
	}
	b.UpdateEndpoints(100000, RestoredEndpoints, endpoints)
	return b, h
}

// newReadRequest returns a request for a key, with enough time and priority to be sent.
func newReadRequest(b *Balancer, k *keyTraffic) *request {
	return &request{maxAttempts: b.cfg.MaxAttempts, class: &b.cfg.Classes[0], key: k, work: 1, priority: 1,
		deadlineAt: b.now + 600, objectiveAt: b.now + 300}
}

func sendRequest(b *Balancer, now float64, id uint32, class string, key uint64) {
	b.Request(now, Request{ID: id, Class: class, Key: key, HasKey: true, RemainingMillis: 600})
}

// overload gives a server so many requests that a further one would be late.
func overload(b *Balancer, s *server) {
	s.load.capacityPerSecond.update(b.now, 10, 1)
	s.load.latencyPerWork.update(b.now, 100, 1)
	s.attempts.inFlight = 30
}

// serveRequest sends and answers a request of the key and returns its server: the home, if it is in
// use.
func serveRequest(t *testing.T, b *Balancer, h *fakeHost, now float64, id uint32, key uint64) uint32 {
	t.Helper()
	n := len(h.sends)
	sendRequest(b, now, id, "read", key)
	if len(h.sends) != n+1 {
		t.Fatalf("request %d was not sent", id)
	}
	b.AttemptEnded(now+10, servedOutcome(id, h.lastSend().server, 10))
	return h.lastSend().server
}

// countSentAtOnce sends 200 requests of a key at one time and returns how many went to the given
// server.
func countSentAtOnce(b *Balancer, h *fakeHost, now float64, id *uint32, key uint64, to uint32) (n int) {
	sendsBefore := len(h.sends)
	for range 200 {
		*id++
		sendRequest(b, now, *id, "read", key)
	}
	for _, s := range h.sends[sendsBefore:] {
		if s.server == to {
			n++
		}
	}
	return n
}

// servedOutcome returns the outcome of a first attempt that answered its request.
func servedOutcome(requestID, serverID uint32, millis float64) Outcome {
	o := endedOutcome(requestID, serverID, OK, millis)
	o.IsFinal = true
	return o
}

// endedOutcome returns the outcome of a first attempt whose request has no final answer yet.
func endedOutcome(requestID, serverID uint32, status AttemptStatus, millis float64) Outcome {
	return Outcome{RequestID: requestID, ServerID: serverID, Status: status, LatencyMillis: millis, Load: NoLoadReport}
}

// forAttempt returns the outcome for a later attempt.
func forAttempt(number int, o Outcome) Outcome {
	o.Attempt = number
	return o
}

// withCacheResult returns the outcome with a cache result.
func withCacheResult(result CacheResult, o Outcome) Outcome {
	o.CacheResult = result
	return o
}

// loadReport returns a report that has only a rate and a utilization.
func loadReport(perSecond, utilization float64) LoadReport {
	l := NoLoadReport
	l.RequestsPerSecond = perSecond
	l.Utilization = utilization
	return l
}
