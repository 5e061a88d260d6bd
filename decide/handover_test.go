package decide

import (
	"encoding/json"
	"testing"
)

// handOverToNew returns a new Balancer that took over a Balancer's state by way of JSON.
func handOverToNew(t *testing.T, b *Balancer, now float64) (*Balancer, *fakeHost) {
	t.Helper()
	text, err := json.Marshal(b.HandOver(now))
	if err != nil {
		t.Fatal(err)
	}
	var state Snapshot
	if err := json.Unmarshal(text, &state); err != nil {
		t.Fatal(err)
	}
	h := newFakeHost()
	successor, err := New(b.cfg, 8, h)
	if err != nil {
		t.Fatal(err)
	}
	if err := successor.TakeOver(now, state); err != nil {
		t.Fatal(err)
	}
	return successor, h
}

// Guards against requests from a new process to a server that was disabled, draining or ejected
// when the old process handed over.
func TestDisabledDrainingAndEjectedServersAreHandedOver(t *testing.T) {
	endpoints := readyEndpoints(6)
	endpoints[2].State = Draining
	b, h := newTestBalancer(t, testConfig(), endpoints)
	disabledID := serveRequest(t, b, h, 100000, 1, 77)
	b.Disable(100100, disabledID)
	failing := b.membership.caches[0]
	if failing.ID == disabledID || failing.ID == endpoints[2].ID {
		failing = b.membership.caches[1]
	}
	failing.health.isEjected = true
	failing.health.probeAt = 1e9
	failing.health.forcedProbeAt = 1e9
	successor, successorHost := handOverToNew(t, b, 100200)
	for id := range uint32(300) {
		serveRequest(t, successor, successorHost, 100300+float64(id)*20, id+1, uint64(id)*7919)
	}
	for _, s := range successorHost.sends {
		if s.server == disabledID || s.server == endpoints[2].ID || s.server == failing.ID {
			t.Fatalf("sent to server %d, which is disabled, draining or ejected", s.server)
		}
	}
	successor.UpdateEndpoints(100400, AllEndpoints, readyEndpoints(6)) // a list that shows no disabled server
	if !successor.membership.servers[disabledID].isDisabled {
		t.Error("the server is no longer disabled")
	}
	if successor.arrivals.value == 0 && b.arrivals.value != 0 {
		t.Error("the rate of arrivals is lost")
	}
}

// Guards against an overloaded cold server during a handover: the old and the new process together
// must send it no more than one process alone would.
func TestSlowStartBudgetIsSharedInAHandover(t *testing.T) {
	cfg := testConfig()
	cold := func() (*Balancer, *fakeHost, uint32) {
		endpoints := readyEndpoints(6)
		b, h := newTestBalancer(t, cfg, endpoints)
		home := serveRequest(t, b, h, 100000, 1, 77)
		entry := b.membership.servers[home].Endpoint
		entry.StartedAt = 101000
		b.UpdateEndpoints(101000, ChangedEndpoints, []Endpoint{entry})
		return b, h, home
	}
	sends := func(now float64, to uint32, b *Balancer, h *fakeHost, id *uint32) int {
		return countSentAtOnce(b, h, now, id, 77, to)
	}
	alone, aloneHost, home := cold()
	id := uint32(1000)
	single := 0
	both := 0
	for now := 101200.0; now < 103200; now += 100 {
		single += sends(now, home, alone, aloneHost, &id)
	}
	old, oldHost, _ := cold()
	both += sends(101200, home, old, oldHost, &id)
	successor, successorHost := handOverToNew(t, old, 101200)
	old.SetProcessCount(101200, 2)
	successor.SetProcessCount(101200, 2)
	for now := 101300.0; now < 103200; now += 100 {
		both += sends(now, home, old, oldHost, &id) + sends(now, home, successor, successorHost, &id)
	}
	if single == 0 || both == 0 || both > single+2 { // each process rounds up once
		t.Errorf("two processes sent %d, one alone %d", both, single)
	}
}

// Guards against invalid snapshots: only the disabled servers may be restored from them. A snapshot
// after another event must be rejected.
func TestInvalidSnapshotRestoresOnlyDisabledServers(t *testing.T) {
	b, _ := newTestBalancer(t, testConfig(), readyEndpoints(3))
	b.Disable(100000, readyEndpoints(3)[0].ID)
	valid := b.HandOver(100000)
	for name, invalidate := range map[string]func(*Snapshot){
		"fetches":        func(s *Snapshot) { s.FetchLimit = -1 },
		"future":         func(s *Snapshot) { s.StartedAt = 1e12 },
		"tolerated wait": func(s *Snapshot) { s.ToleratedWaitShare = 7 },
	} {
		invalid := valid
		invalidate(&invalid)
		successor, err := New(testConfig(), 1, newFakeHost())
		if err != nil {
			t.Fatal(err)
		}
		if successor.TakeOver(100000, invalid) == nil || len(successor.membership.servers) != 0 {
			t.Errorf("%s: accepted", name)
		}
		successor.UpdateEndpoints(100000, RestoredEndpoints, readyEndpoints(3))
		if _, avoided := successor.CountEndpoints(); avoided != 1 {
			t.Errorf("%s: %d avoided, want the disabled one", name, avoided)
		}
	}
	if b.TakeOver(100001, valid) == nil {
		t.Error("accepted after other events")
	}
}

// Guards against snapshots that differ between two Balancers that handled the same events.
func TestHandOverIsDeterministic(t *testing.T) {
	var states [2]string
	for i := range states {
		b, _ := newTestBalancer(t, testConfig(), readyEndpoints(9))
		for id := range uint32(50) {
			sendRequest(b, 100000, id+1, "read", uint64(id%7))
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

// Guards against a restored idle timeout that exceeds the one in the new process's settings.
func TestTakenOverIdleTimeoutIsBoundedBySettings(t *testing.T) {
	cfg := testConfig()
	cfg.IdleTimeoutMillis = 10000
	b, _ := newTestBalancer(t, cfg, readyEndpoints(3))
	state := b.HandOver(100000)
	cfg.IdleTimeoutMillis = 3000
	successor, err := New(cfg, 1, newFakeHost())
	if err != nil {
		t.Fatal(err)
	}
	if err := successor.TakeOver(100000, state); err != nil || successor.idleTimeoutMillis != 3000 ||
		len(successor.membership.caches) != 3 {
		t.Errorf("idle timeout %v, %d servers, %v", successor.idleTimeoutMillis, len(successor.membership.caches), err)
	}
}
