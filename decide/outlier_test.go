package decide

import (
	"math/rand/v2"
	"testing"
)

// Requests that wait for a fetch time out while their server answers others: it must not be
// ejected. If it answers nobody it must.
func TestTimeOutWhileOthersAreAnsweredIsNoSign(t *testing.T) {
	b, _ := start(t, testConfig(), fleet(6))
	s := b.membership.caches[0]
	for range 20 {
		s.health.lastReplyAt = b.now
		b.observe(s, Timeout, b.now-400)
	}
	if s.health.acceptedShare < 1 || s.health.isEjected {
		t.Errorf("accepted share %.2f, ejected %v: a server that answers others was blamed", s.health.acceptedShare,
			s.health.isEjected)
	}
	for range 20 {
		b.observe(s, Timeout, b.now+1)
	}
	if !s.health.isEjected {
		t.Error("a silent server is still in use")
	}
}

// A server gives no sign of life three times and is ejected; if half of the fleet is silent, that
// is no server's fault. After its pause it is probed, comes back with half of its channels, and one
// failure ejects it again.
func TestSilentServerIsEjectedAndTakenBackSlowly(t *testing.T) {
	b, _ := start(t, testConfig(), fleet(6))
	s := b.membership.caches[0]
	for range maxUnanswered {
		b.observe(s, Timeout, b.now+1)
	}
	if !s.health.isEjected || b.isUsableFor(s, read(b, b.trafficOf(Request{Key: 1, HasKey: true}))) {
		t.Fatal("three signs of silence did not take it out")
	}
	for _, o := range b.membership.caches[1:3] {
		o.health.isEjected = true
	}
	o := b.membership.caches[3]
	for range 2 * maxUnanswered {
		b.observe(o, Timeout, b.now+1)
	}
	if o.health.isEjected {
		t.Error("silence of half the fleet was not taken for a fault of the router's own")
	}
	b.now = s.health.probeAt + 1
	if !b.isUsableFor(s, read(b, b.trafficOf(Request{Key: 1, HasKey: true}))) {
		t.Fatal("no probe after the pause")
	}
	for _, o := range b.membership.caches {
		o.load.capacityPerSecond.update(b.now, 100, 1)
	}
	b.serviceTime.add(100)
	b.observe(s, OK, b.now)
	if b.prepareModels(); s.health.isEjected || s.model.channels > 6 || b.membership.caches[5].model.channels != 10 {
		t.Errorf("ejected %v, %d channels where others have %d: want it back with about half", s.health.isEjected,
			s.model.channels, b.membership.caches[5].model.channels)
	}
	if b.observe(s, Failed, b.now); !s.health.isEjected {
		t.Error("one failure after the return did not take it out again")
	}
}

// Answers arrive damaged. One says little of its server: it is not ejected and connections are kept
// as long as before. A server all of whose answers are damaged must be ejected.
func TestMalformedAnswersAreNoSignOfADeadServer(t *testing.T) {
	b, h := start(t, testConfig(), fleet(6))
	idleTimeout := b.idleTimeoutMillis
	for id := uint32(1); id <= 8; id++ {
		now := 100000 + float64(id)*100
		ask(b, now, id, "read", 9)
		b.AttemptEnded(now+10, ended(id, h.last().server, MalformedResponse, 10))
		health := b.membership.servers[h.sends[0].server].health
		if id == 1 && (health.isEjected || health.unanswered > 0 || b.idleTimeoutMillis != idleTimeout) {
			t.Fatalf("after %d: ejected %v, unanswered %d, connections kept for %v", id, health.isEjected,
				health.unanswered, b.idleTimeoutMillis)
		}
		for a := 1; h.answers(id) == 0; a++ {
			b.AttemptEnded(now+20, ofAttempt(a, ended(id, h.last().server, MalformedResponse, 10)))
		}
	}
	if s := b.membership.servers[h.sends[0].server]; !s.health.isEjected {
		t.Error("a server whose answers are all damaged is still in use")
	}
}

// A server is ejected, and no queue makes a request look further along its list. A request of its
// own keys must still be sent to it as a probe, after the pause, and bring it back.
func TestProbeComesWithoutAQueue(t *testing.T) {
	b, h := start(t, testConfig(), fleet(6))
	ask(b, 100010, 1, "read", 9)
	home := b.membership.servers[h.last().server]
	b.AttemptEnded(100015, served(1, home.ID, 5))
	b.observe(home, Reset, 100020)
	if home.health.isEjected { // a reset is one connection's end
		t.Fatal("out after a reset")
	}
	b.observe(home, Reset, 100020)
	if !home.health.isEjected {
		t.Fatal("two resets do not take a server out")
	}
	tried := false
	for i := range 40 {
		id := uint32(100 + i)
		now := 100100 + float64(i)*200
		ask(b, now, id, "read", 9)
		s := h.last()
		if s.server == home.ID && !tried {
			tried = true
			if now < home.health.probeAt {
				t.Errorf("tried before it was due")
			}
		}
		b.AttemptEnded(now+10, served(id, s.server, 10))
	}
	if !tried || home.health.isEjected {
		t.Errorf("tried %v, out %v", tried, home.health.isEjected)
	}
}

// Connections break everywhere, and a healthy server's do two and three times in a row by chance:
// it must stay. One that fails every second attempt must be ejected soon, and a dead one sooner.
func TestFailuresCountAgainstTheFleets(t *testing.T) {
	b, _ := start(t, testConfig(), fleet(9))
	rng := rand.New(rand.NewPCG(5, 5))
	out := 0
	for range 3000 {
		for _, s := range b.membership.caches {
			st := OK
			if rng.Float64() < 0.12 {
				st = Reset
			}
			if b.observe(s, st, b.now); s.health.isEjected {
				out++
			}
		}
	}
	if out > 15 { // of 27,000 outcomes
		t.Errorf("healthy servers were out after %d outcomes", out)
	}
	for _, c := range []struct {
		name    string
		fails   func(i int) bool
		atLeast int
		within  int
	}{{"every second", func(i int) bool { return i%2 == 0 }, 3, 40}, {"dead", func(int) bool { return true }, 4, 10}} {
		s := b.membership.caches[4]
		n := 0
		for s.health.evidence, s.health.isEjected = 0, false; !s.health.isEjected && n < 1000; n++ {
			st := OK
			if c.fails(n) {
				st = Reset
			}
			b.observe(s, st, b.now)
		}
		if n < c.atLeast || n > c.within {
			t.Errorf("%s: out after %d outcomes, want %d to %d", c.name, n, c.atLeast, c.within)
		}
	}
}

// What was in flight when a server was ejected fails after that. No probe has failed, so the pause
// must stay; when a probe fails it must double.
func TestOldAttemptsAreNoFailedProbes(t *testing.T) {
	b, _ := start(t, testConfig(), fleet(6))
	s := b.membership.caches[2]
	for range 2 {
		b.observe(s, Reset, b.now)
	}
	if !s.health.isEjected {
		t.Fatal("two resets do not take a server out of a quiet fleet")
	}
	probeAt := s.health.probeAt
	for range 10 {
		b.observe(s, Reset, b.now)
		b.eject(s, true)
	}
	if s.health.probeAt != probeAt || s.health.forcedProbeAt != probeAt {
		t.Errorf("probe due at %.0f, at %.0f (forced at %.0f) after what was sent before", probeAt, s.health.probeAt,
			s.health.forcedProbeAt)
	}
	b.now = probeAt + 1
	if b.observe(s, Reset, b.now); s.health.probeAt <= probeAt+minEjectionMillis {
		t.Errorf("a failed probe is followed by another after %.0f ms", s.health.probeAt-probeAt)
	}
}

// A server lets no connection come up and has not answered for long: it must be ejected at once,
// and the retry is free. One that has just answered must stay.
func TestAConnectErrorIsEnough(t *testing.T) {
	b, h := start(t, testConfig(), fleet(6))
	b.retryBudget = 0
	ask(b, 105000, 1, "read", 9)
	dead := b.membership.servers[h.last().server]
	b.AttemptEnded(105001, ended(1, dead.ID, ConnectError, 1))
	if !dead.health.isEjected || len(h.sends) != 2 || h.last().server == dead.ID {
		t.Errorf("ejected %v, sent %v", dead.health.isEjected, h.sends)
	}
	other := b.membership.servers[h.last().server]
	b.AttemptEnded(105050, ofAttempt(1, served(1, other.ID, 49)))
	b.observe(other, ConnectError, 105040)
	if other.health.isEjected {
		t.Error("a server that has just answered is ejected after one connection that did not come up")
	}
}
