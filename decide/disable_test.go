package decide

import (
	"testing"
)

// Guards against requests to a disabled server when the endpoint list contains it, removes it, or
// adds it again under its ID. One Enable must end two Disable calls.
func TestDisabledServerGetsNoRequestsWhateverTheListSays(t *testing.T) {
	endpoints := readyEndpoints(6)
	b, h := newTestBalancer(t, testConfig(), endpoints)
	disabledID := serveRequest(t, b, h, 100000, 1, 77)
	b.Disable(100100, disabledID)
	b.Disable(100100, disabledID) // a repeated call has no effect
	id := uint32(2)
	now := 100100.0
	for _, update := range []func(){
		func() {},
		func() { b.UpdateEndpoints(now, AllEndpoints, endpoints) },
		func() { b.UpdateEndpoints(now, ChangedEndpoints, []Endpoint{{ID: disabledID, State: Removed}}) },
		func() { // added again under its ID
			b.UpdateEndpoints(now, ChangedEndpoints, []Endpoint{{ID: disabledID, Size: 1, StartedAt: now}})
		},
	} {
		now += 1000
		update()
		for range 20 {
			id++
			if got := serveRequest(t, b, h, now, id, 77); got == disabledID {
				t.Fatal("sent to a disabled server")
			}
		}
	}
	if listed, avoided := b.CountEndpoints(); listed != 6 || avoided != 1 {
		t.Errorf("listed %d, %d avoided", listed, avoided)
	}
	b.Enable(now, disabledID) // one call ends two Disable calls
	if _, avoided := b.CountEndpoints(); avoided != 0 {
		t.Errorf("after it was enabled: %d avoided", avoided)
	}
	if got := serveRequest(t, b, h, now+1000, id+1, 77); got != disabledID {
		t.Errorf("after it was enabled: sent to %d, want %d", got, disabledID)
	}
}

// Guards against disabled servers that are tried as a last resort: if all are disabled, a request
// must be rejected at once.
func TestRequestIsRejectedWhenAllServersAreDisabled(t *testing.T) {
	endpoints := readyEndpoints(3)
	b, h := newTestBalancer(t, testConfig(), endpoints)
	for _, e := range endpoints {
		b.Disable(100000, e.ID)
	}
	sendRequest(b, 100001, 1, "read", 5)
	if len(h.sends) != 0 || h.rejected[1] != 1 {
		t.Errorf("sent %d, rejected %d", len(h.sends), h.rejected[1])
	}
}

// Guards against too many requests to a server that was restarted while it was disabled: after
// Enable it must be cold even if the endpoint list does not show the start yet. If the list showed
// a start long ago, the server must be warm.
func TestEnabledServerIsColdUnlessItsStartIsListed(t *testing.T) {
	cfg := testConfig()
	for _, isListed := range []bool{false, true} {
		endpoints := readyEndpoints(6)
		b, h := newTestBalancer(t, cfg, endpoints)
		disabledID := serveRequest(t, b, h, 100000, 1, 77)
		id := uint32(10)
		b.Disable(101000, disabledID)
		now := 101000 + 2*cfg.SlowStartMillis
		if isListed { // it restarted when it was disabled, and is warm by now
			entry := *b.membership.servers[disabledID]
			entry.StartedAt = 101001
			b.UpdateEndpoints(102000, ChangedEndpoints, []Endpoint{entry.Endpoint})
		}
		b.Enable(now, disabledID)
		got := countSentAtOnce(b, h, now+1000, &id, 77, disabledID)
		if cold := now < b.membership.servers[disabledID].slowStart.startedAt+cfg.SlowStartMillis; cold == isListed {
			t.Errorf("start listed %t: is cold %t", isListed, cold)
		}
		if !isListed && (got < 1 || got > 20) {
			t.Errorf("%d of 200 requests at once to a server that may be cold", got)
		}
	}
}

// Guards against health checks of a disabled server: only the others are checked.
func TestDisabledServerGetsNoHealthChecks(t *testing.T) {
	cfg := testConfig()
	cfg.LoadByHealthCheck = true
	cfg.HealthChecksAllowed = true
	endpoints := readyEndpoints(2)
	b, h := newTestBalancer(t, cfg, endpoints)
	b.Disable(100000, endpoints[0].ID)
	b.healthChecks.budget = 4
	for i := range 20 {
		b.TimerExpired(100000+float64(i)*500, housekeepingToken)
	}
	if len(h.healthChecks) == 0 {
		t.Error("the other server was not checked")
	}
	for _, id := range h.healthChecks {
		if id == endpoints[0].ID {
			t.Fatal("a disabled server was checked")
		}
	}
}
