package decide

import (
	"testing"
)

// An operator disables a server. It must get nothing while the list says that it is there, gone, or
// back under its id; one call to enable it ends two to disable it.
func TestDisabledServerGetsNothingWhateverTheListSays(t *testing.T) {
	es := fleet(6)
	b, h := start(t, testConfig(), es)
	out := homeOf(t, b, h, 100000, 1, 77)
	b.Disable(100100, out)
	b.Disable(100100, out) // repeated calls are harmless
	id := uint32(2)
	now := 100100.0
	for _, update := range []func(){
		func() {},
		func() { b.UpdateEndpoints(now, AllEndpoints, es) },
		func() { b.UpdateEndpoints(now, ChangedEndpoints, []Endpoint{{ID: out, State: Removed}}) },
		func() { // back under its id
			b.UpdateEndpoints(now, ChangedEndpoints, []Endpoint{{ID: out, Size: 1, StartedAt: now}})
		},
	} {
		now += 1000
		update()
		for range 20 {
			id++
			if got := homeOf(t, b, h, now, id, 77); got == out {
				t.Fatal("sent to a disabled server")
			}
		}
	}
	if listed, avoided := b.CountEndpoints(); listed != 6 || avoided != 1 {
		t.Errorf("listed %d, %d avoided", listed, avoided)
	}
	b.Enable(now, out) // one call ends two
	if _, avoided := b.CountEndpoints(); avoided != 0 {
		t.Errorf("after it was enabled: %d avoided", avoided)
	}
	if got := homeOf(t, b, h, now+1000, id+1, 77); got != out {
		t.Errorf("after it was enabled: sent to %d, want %d", got, out)
	}
}

// All servers are disabled. A request must be rejected at once: none may go to a disabled server as
// a last resort.
func TestAllDisabledRejects(t *testing.T) {
	es := fleet(3)
	b, h := start(t, testConfig(), es)
	for _, e := range es {
		b.Disable(100000, e.ID)
	}
	ask(b, 100001, 1, "read", 5)
	if len(h.sends) != 0 || h.rejected[1] != 1 {
		t.Errorf("sent %d, rejected %d", len(h.sends), h.rejected[1])
	}
}

// A disabled server was restarted and is enabled. It must be cold even if the list has not said so
// yet; if the list has told of a start long ago, it must be warm.
func TestEnabledServerIsCold(t *testing.T) {
	cfg := testConfig()
	for _, isListed := range []bool{false, true} {
		es := fleet(6)
		b, h := start(t, cfg, es)
		out := homeOf(t, b, h, 100000, 1, 77)
		id := uint32(10)
		b.Disable(101000, out)
		now := 101000 + 2*cfg.SlowStartMillis
		if isListed { // it restarted as soon as it was disabled, and is warm by now
			e := *b.membership.servers[out]
			e.StartedAt = 101001
			b.UpdateEndpoints(102000, ChangedEndpoints, []Endpoint{e.Endpoint})
		}
		b.Enable(now, out)
		got := sentAtOnce(b, h, now+1000, &id, 77, out)
		if cold := now < b.membership.servers[out].slowStart.startedAt+cfg.SlowStartMillis; cold == isListed {
			t.Errorf("start listed %t: cold %t", isListed, cold)
		}
		if !isListed && (got < 1 || got > 20) {
			t.Errorf("%d of 200 requests at once at a server that may be cold", got)
		}
	}
}

// A disabled server must get no health checks; the others do.
func TestDisabledServerGetsNoHealthChecks(t *testing.T) {
	cfg := testConfig()
	cfg.LoadByHealthCheck = true
	cfg.HealthChecks = true
	es := fleet(2)
	b, h := start(t, cfg, es)
	b.Disable(100000, es[0].ID)
	b.healthChecks.budget = 4
	for i := range 20 {
		b.TimerExpired(100000+float64(i)*500, housekeepingToken)
	}
	if len(h.healthChecks) == 0 {
		t.Error("the other server was not checked")
	}
	for _, p := range h.healthChecks {
		if p == es[0].ID {
			t.Fatal("a disabled server was checked")
		}
	}
}
