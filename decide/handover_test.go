package decide

import (
	"encoding/json"
	"testing"
)

// moved hands a Balancer's state to a new one, as text.
func moved(t *testing.T, b *Balancer, now float64) (*Balancer, *fakeHost) {
	t.Helper()
	text, err := json.Marshal(b.HandOver(now))
	if err != nil {
		t.Fatal(err)
	}
	var st Snapshot
	if err := json.Unmarshal(text, &st); err != nil {
		t.Fatal(err)
	}
	h := newHost()
	n, err := New(b.cfg, 8, h)
	if err != nil {
		t.Fatal(err)
	}
	if err := n.TakeOver(now, st); err != nil {
		t.Fatal(err)
	}
	return n, h
}

// A process hands over while one server is disabled, one drains and one is ejected. The new process
// must send nothing to any of the three.
func TestBansDrainsAndHealthGoOver(t *testing.T) {
	es := fleet(6)
	es[2].State = Draining
	b, h := start(t, testConfig(), es)
	out := homeOf(t, b, h, 100000, 1, 77)
	b.Disable(100100, out)
	failing := b.membership.caches[0]
	if failing.ID == out || failing.ID == es[2].ID {
		failing = b.membership.caches[1]
	}
	failing.health.isEjected = true
	failing.health.probeAt = 1e9
	failing.health.forcedProbeAt = 1e9
	n, h2 := moved(t, b, 100200)
	for id := range uint32(300) {
		homeOf(t, n, h2, 100300+float64(id)*20, id+1, uint64(id)*7919)
	}
	for _, s := range h2.sends {
		if s.server == out || s.server == es[2].ID || s.server == failing.ID {
			t.Fatalf("sent to %d", s.server)
		}
	}
	n.UpdateEndpoints(100400, AllEndpoints, fleet(6)) // which knows nothing of the ban
	if !n.membership.servers[out].isDisabled {
		t.Error("the server is no longer disabled")
	}
	if n.arrivals.value == 0 && b.arrivals.value != 0 {
		t.Error("the rate of arrivals is lost")
	}
}

// A process hands over while a server is cold. The old and the new one together must send it no
// more than one alone would have.
func TestColdBudgetHoldsOverAHandover(t *testing.T) {
	cfg := testConfig()
	cold := func() (*Balancer, *fakeHost, uint32) {
		es := fleet(6)
		b, h := start(t, cfg, es)
		home := homeOf(t, b, h, 100000, 1, 77)
		e := b.membership.servers[home].Endpoint
		e.StartedAt = 101000
		b.UpdateEndpoints(101000, ChangedEndpoints, []Endpoint{e})
		return b, h, home
	}
	sends := func(now float64, to uint32, b *Balancer, h *fakeHost, id *uint32) int {
		return sentAtOnce(b, h, now, id, 77, to)
	}
	alone, h, home := cold()
	id := uint32(1000)
	single := 0
	both := 0
	for now := 101200.0; now < 103200; now += 100 {
		single += sends(now, home, alone, h, &id)
	}
	old, oh, _ := cold()
	both += sends(101200, home, old, oh, &id)
	young, yh := moved(t, old, 101200)
	old.SetProcessCount(101200, 2)
	young.SetProcessCount(101200, 2)
	for now := 101300.0; now < 103200; now += 100 {
		both += sends(now, home, old, oh, &id) + sends(now, home, young, yh, &id)
	}
	if single == 0 || both == 0 || both > single+2 { // each rounds up once
		t.Errorf("two processes sent %d, one alone %d", both, single)
	}
}

// A snapshot holds values that can't be true. Only what operators have disabled may be taken; and
// none may be taken after another event.
func TestImpossibleSnapshotRestoresOnlyDisabledServers(t *testing.T) {
	b, _ := start(t, testConfig(), fleet(3))
	b.Disable(100000, fleet(3)[0].ID)
	good := b.HandOver(100000)
	for name, damage := range map[string]func(*Snapshot){
		"fetches":        func(c *Snapshot) { c.FetchLimit = -1 },
		"future":         func(c *Snapshot) { c.StartedAt = 1e12 },
		"tolerated wait": func(c *Snapshot) { c.ToleratedWaitShare = 7 },
	} {
		bad := good
		damage(&bad)
		n, err := New(testConfig(), 1, newHost())
		if err != nil {
			t.Fatal(err)
		}
		if n.TakeOver(100000, bad) == nil || len(n.membership.servers) != 0 {
			t.Errorf("%s: taken", name)
		}
		n.UpdateEndpoints(100000, RestoredEndpoints, fleet(3))
		if _, avoided := n.CountEndpoints(); avoided != 1 {
			t.Errorf("%s: %d avoided, want the disabled one", name, avoided)
		}
	}
	if b.TakeOver(100001, good) == nil {
		t.Error("taken in the middle of things")
	}
}

// Two Balancers see the same events. They must hand over the same bytes.
func TestHandingOverIsDeterministic(t *testing.T) {
	var states [2]string
	for i := range states {
		b, _ := start(t, testConfig(), fleet(9))
		for id := range uint32(50) {
			ask(b, 100000, id+1, "read", uint64(id%7))
		}
		text, err := json.Marshal(b.HandOver(100100))
		if err != nil {
			t.Fatal(err)
		}
		states[i] = string(text)
	}
	if states[0] != states[1] {
		t.Errorf("two states after the same events differ: %s\n%s", states[0], states[1])
	}
}

// The new process has a shorter idle timeout than the old one. What it takes over must come within
// it.
func TestStateMeetsOtherSettings(t *testing.T) {
	cfg := testConfig()
	cfg.IdleTimeoutMillis = 10000
	b, _ := start(t, cfg, fleet(3))
	st := b.HandOver(100000)
	cfg.IdleTimeoutMillis = 3000
	n, err := New(cfg, 1, newHost())
	if err != nil {
		t.Fatal(err)
	}
	if err := n.TakeOver(100000, st); err != nil || n.idleTimeoutMillis != 3000 || len(n.membership.caches) != 3 {
		t.Errorf("idle timeout %v, %d servers, %v", n.idleTimeoutMillis, len(n.membership.caches), err)
	}
}
