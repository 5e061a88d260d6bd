package decide

import (
	"math/rand/v2"
	"testing"
)

// Guards against the ejection of a server whose requests time out while they wait for a fetch: it
// still answers others. A server that answers no request must be ejected.
func TestTimeoutIsNoEvidenceWhileServerAnswersOthers(t *testing.T) {
	b, _ := newTestBalancer(t, testConfig(), readyEndpoints(6))
	s := b.membership.caches[0]
	for range 20 {
		s.health.lastReplyAt = b.now
		b.recordOutcome(s, Timeout, b.now-400)
	}
	if s.health.acceptedShare < 1 || s.health.isEjected {
		t.Errorf("accepted share %.2f, ejected %v: want no effect, as it answers others", s.health.acceptedShare,
			s.health.isEjected)
	}
	for range 20 {
		b.recordOutcome(s, Timeout, b.now+1)
	}
	if !s.health.isEjected {
		t.Error("a server that does not answer is still in use")
	}
}

// Guards against a server that is not ejected after three attempts without an answer, against
// ejections when half of the fleet does not answer, and against a server that returns with full
// load: after its ejection time it is probed, returns with half of its channels, and one failure
// ejects it again.
func TestUnresponsiveServerIsEjectedAndReturnsWithReducedLoad(t *testing.T) {
	b, _ := newTestBalancer(t, testConfig(), readyEndpoints(6))
	s := b.membership.caches[0]
	for range maxUnanswered {
		b.recordOutcome(s, Timeout, b.now+1)
	}
	if !s.health.isEjected || b.isUsableFor(s, newReadRequest(b, b.trafficOf(Request{Key: 1, HasKey: true}))) {
		t.Fatal("three unanswered attempts did not eject the server")
	}
	for _, o := range b.membership.caches[1:3] {
		b.membership.setEjected(o, true)
	}
	fourth := b.membership.caches[3]
	for range 2 * maxUnanswered {
		b.recordOutcome(fourth, Timeout, b.now+1)
	}
	if fourth.health.isEjected {
		t.Error("a server was ejected though half of the fleet does not answer")
	}
	b.now = s.health.probeAt + 1
	if !b.isUsableFor(s, newReadRequest(b, b.trafficOf(Request{Key: 1, HasKey: true}))) {
		t.Fatal("no probe after the ejection time")
	}
	for _, o := range b.membership.caches {
		o.load.capacityPerSecond.update(b.now, 100, 1)
	}
	b.serviceTime.add(100)
	b.recordOutcome(s, OK, b.now)
	if b.prepareModels(); s.health.isEjected || s.model.channels > 6 || b.membership.caches[5].model.channels != 10 {
		t.Errorf("ejected %v, %d channels where others have %d: want it in use with about half", s.health.isEjected,
			s.model.channels, b.membership.caches[5].model.channels)
	}
	if b.recordOutcome(s, Failed, b.now); !s.health.isEjected {
		t.Error("one failure after the return did not eject the server again")
	}
}

// Guards against a server that is ejected, or connections that are closed, because of one damaged
// answer. A server all of whose answers are damaged must be ejected.
func TestOneMalformedAnswerDoesNotEject(t *testing.T) {
	b, h := newTestBalancer(t, testConfig(), readyEndpoints(6))
	idleTimeout := b.idleTimeoutMillis
	for id := uint32(1); id <= 8; id++ {
		now := 100000 + float64(id)*100
		sendRequest(b, now, id, "read", 9)
		b.AttemptEnded(now+10, endedOutcome(id, h.lastSend().server, MalformedResponse, 10))
		health := b.membership.servers[h.sends[0].server].health
		if id == 1 && (health.isEjected || health.unanswered > 0 || b.idleTimeoutMillis != idleTimeout) {
			t.Fatalf("after %d: ejected %v, unanswered %d, idle timeout %v", id, health.isEjected,
				health.unanswered, b.idleTimeoutMillis)
		}
		for a := 1; h.finalAnswers(id) == 0; a++ {
			b.AttemptEnded(now+20, forAttempt(a, endedOutcome(id, h.lastSend().server, MalformedResponse, 10)))
		}
	}
	if s := b.membership.servers[h.sends[0].server]; !s.health.isEjected {
		t.Error("a server whose answers are all damaged is still in use")
	}
}

// Guards against an ejected server that is never probed because no queue makes a request try
// further servers of its list: after the ejection time, a request of its own keys must be sent as a
// probe.
func TestEjectedServerIsProbedWithoutQueues(t *testing.T) {
	b, h := newTestBalancer(t, testConfig(), readyEndpoints(6))
	sendRequest(b, 100010, 1, "read", 9)
	home := b.membership.servers[h.lastSend().server]
	b.AttemptEnded(100015, servedOutcome(1, home.ID, 5))
	b.recordOutcome(home, Reset, 100020)
	if home.health.isEjected { // one reset is not enough evidence
		t.Fatal("ejected after one reset")
	}
	b.recordOutcome(home, Reset, 100020)
	if !home.health.isEjected {
		t.Fatal("two resets do not eject a server")
	}
	isProbed := false
	for i := range 40 {
		id := uint32(100 + i)
		now := 100100 + float64(i)*200
		sendRequest(b, now, id, "read", 9)
		s := h.lastSend()
		if s.server == home.ID && !isProbed {
			isProbed = true
			if now < home.health.probeAt {
				t.Errorf("probed before it was due")
			}
		}
		b.AttemptEnded(now+10, servedOutcome(id, s.server, 10))
	}
	if !isProbed || home.health.isEjected {
		t.Errorf("probed %v, ejected %v", isProbed, home.health.isEjected)
	}
}

// Guards against the ejection of healthy servers when connections break everywhere, two or three
// times in a row by chance. A server that fails every second attempt must be ejected soon, and a
// dead one sooner.
func TestFailuresCountRelativeToTheFleet(t *testing.T) {
	b, _ := newTestBalancer(t, testConfig(), readyEndpoints(9))
	rng := rand.New(rand.NewPCG(5, 5))
	ejectedOutcomes := 0
	for range 3000 {
		for _, s := range b.membership.caches {
			status := OK
			if rng.Float64() < 0.12 {
				status = Reset
			}
			if b.recordOutcome(s, status, b.now); s.health.isEjected {
				ejectedOutcomes++
			}
		}
	}
	if ejectedOutcomes > 15 { // of 27,000 outcomes
		t.Errorf("healthy servers were ejected after %d outcomes", ejectedOutcomes)
	}
	for _, c := range []struct {
		name    string
		fails   func(i int) bool
		atLeast int
		within  int
	}{{"every second", func(i int) bool { return i%2 == 0 }, 3, 40}, {"dead", func(int) bool { return true }, 4, 10}} {
		s := b.membership.caches[4]
		n := 0
		s.health.evidence = 0
		b.membership.setEjected(s, false)
		for ; !s.health.isEjected && n < 1000; n++ {
			status := OK
			if c.fails(n) {
				status = Reset
			}
			b.recordOutcome(s, status, b.now)
		}
		if n < c.atLeast || n > c.within {
			t.Errorf("%s: ejected after %d outcomes, want %d to %d", c.name, n, c.atLeast, c.within)
		}
	}
}

// Guards against attempts that were in flight when their server was ejected and then count as
// failed probes: the ejection time must not change. When a probe fails, it must double.
func TestAttemptsBeforeEjectionAreNotFailedProbes(t *testing.T) {
	b, _ := newTestBalancer(t, testConfig(), readyEndpoints(6))
	s := b.membership.caches[2]
	for range 2 {
		b.recordOutcome(s, Reset, b.now)
	}
	if !s.health.isEjected {
		t.Fatal("two resets do not eject a server of a healthy fleet")
	}
	probeAt := s.health.probeAt
	for range 10 {
		b.recordOutcome(s, Reset, b.now)
		b.eject(s, true)
	}
	if s.health.probeAt != probeAt || s.health.forcedProbeAt != probeAt {
		t.Errorf("probe due at %.0f, later at %.0f (forced at %.0f)", probeAt, s.health.probeAt,
			s.health.forcedProbeAt)
	}
	b.now = probeAt + 1
	if b.recordOutcome(s, Reset, b.now); s.health.probeAt <= probeAt+minEjectionMillis {
		t.Errorf("the next probe is due %.0f ms after the failed one", s.health.probeAt-probeAt)
	}
}

// Guards against further attempts at a dead server: one that refuses a connection and has not
// answered for long must be ejected at once, and the retry must not use the budget. One that has
// just answered must not be ejected.
func TestConnectErrorEjectsServerWithoutRecentReply(t *testing.T) {
	b, h := newTestBalancer(t, testConfig(), readyEndpoints(6))
	b.retryBudget = 0
	sendRequest(b, 105000, 1, "read", 9)
	dead := b.membership.servers[h.lastSend().server]
	b.AttemptEnded(105001, endedOutcome(1, dead.ID, ConnectError, 1))
	if !dead.health.isEjected || len(h.sends) != 2 || h.lastSend().server == dead.ID {
		t.Errorf("ejected %v, sent %v", dead.health.isEjected, h.sends)
	}
	other := b.membership.servers[h.lastSend().server]
	b.AttemptEnded(105050, forAttempt(1, servedOutcome(1, other.ID, 49)))
	b.recordOutcome(other, ConnectError, 105040)
	if other.health.isEjected {
		t.Error("a server that has just answered was ejected after one refused connection")
	}
}
