package decide

import (
	"fmt"
	"testing"
)

// Guards against a latency per unit of work that is many times too high because light requests also
// take a fixed time: light and heavy requests alternate.
func TestLatencyPerWorkAccountsForFixedTime(t *testing.T) {
	b, h := newTestBalancer(t, testConfig(), readyEndpoints(1))
	for i := range uint32(400) {
		now := 100001 + 500*float64(i)
		hint := 1.0 + 9*float64(i%2)
		b.Request(now, Request{ID: i + 1, Class: "important", Key: 1, HasKey: true, RemainingMillis: 600,
			WorkHint: hint})
		latencyMillis := 50 + 10*hint
		b.AttemptEnded(now+latencyMillis,
			withCacheResult(CacheHit, servedOutcome(i+1, h.lastSend().server, latencyMillis)))
	}
	// The mean latency is 105 ms, at a mean work of 1.
	if v := b.membership.caches[0].load.latencyPerWork.value; v < 80 || v > 160 {
		t.Errorf("%v ms per unit of work, want about 105", v)
	}
}

// Guards against unsafe repeats: for each effect and each outcome, no attempt may be sent that
// could run the request twice, and no rejection that promises a safe repeat. Where a repeat is
// allowed it must be sent, and to the same server only after a malformed answer, as other servers
// lack the key.
func TestNoUnsafeRepeatForAnyOutcomeAndEffect(t *testing.T) {
	outcomes := []AttemptStatus{Failed, QueueFull, Timeout, ConnectError, Reset, Canceled, Unprocessed,
		MalformedResponse}
	for _, class := range []string{"read", "keyed", "zoned", "once"} {
		for _, status := range outcomes {
			t.Run(fmt.Sprint(class, "/", status), func(t *testing.T) {
				b, h := newTestBalancer(t, testConfig(), readyEndpoints(6))
				sendRequest(b, 100010, 1, class, 9)
				first := h.lastSend()
				b.AttemptEnded(100050, endedOutcome(1, first.server, status, 40))
				isSentAgain := len(h.sends) > 1
				switch {
				case class == "once" && !status.NeverRan():
					if isSentAgain || h.rejected[1] > 0 || h.failed[1] != 1 {
						t.Errorf("may have run: sends %v, rejected %d, failed %d", h.sends, h.rejected[1], h.failed[1])
					}
				case class == "zoned" && !status.NeverRan():
					if h.rejected[1] > 0 {
						t.Error("a rejection though a repeat is unsafe")
					}
					if isSentAgain &&
						b.membership.servers[h.lastSend().server].Zone != b.membership.servers[first.server].Zone {
						t.Error("sent again outside the group")
					}
				default:
					if !isSentAgain {
						t.Error("no further attempt though one is allowed")
					}
				}
				if isSentAgain && (h.lastSend().server == first.server) != (status == MalformedResponse) {
					t.Error("sent again to the failed server, or to another server after a malformed answer")
				}
			})
		}
	}
}

// Guards against a repeat of an attempt that failed at the end of its idempotency window: the
// router must not send it, and must not invite the client to, as the server would no longer drop
// it.
func TestKeyedRequestIsNotRepeatedAfterItsWindow(t *testing.T) {
	cfg := testConfig()
	cfg.Classes[2].IdempotencyWindowMillis = 100
	b, h := newTestBalancer(t, cfg, readyEndpoints(6))
	sendRequest(b, 100010, 1, "keyed", 9)
	b.AttemptEnded(100110, endedOutcome(1, h.lastSend().server, Failed, 100))
	if len(h.sends) != 1 || h.rejected[1] != 0 || h.failed[1] != 1 {
		t.Errorf("sends %v, rejected %d, failed %d: want one send and a failure", h.sends, h.rejected[1], h.failed[1])
	}
}

// Guards against the time of a server's own fetch being counted as the latency of the server. The
// latency of a hit must count.
func TestFetchTimeIsNotServerLatency(t *testing.T) {
	b, h := newTestBalancer(t, testConfig(), readyEndpoints(6))
	sendRequest(b, 100001, 1, "read", 5)
	s := b.membership.servers[h.lastSend().server]
	latencyBefore := s.load.latencyPerWork
	momentsBefore := b.serviceTime
	b.AttemptEnded(100301, withCacheResult(CacheMiss, servedOutcome(1, s.ID, 300)))
	if s.load.latencyPerWork != latencyBefore || b.serviceTime != momentsBefore {
		t.Errorf("latency %v, moments %v: changed by a fetch", s.load.latencyPerWork, b.serviceTime)
	}
	sendRequest(b, 100302, 2, "read", 5)
	b.AttemptEnded(100342, withCacheResult(CacheHit, servedOutcome(2, s.ID, 40)))
	if s.load.latencyPerWork.value != 40 || b.serviceTime.mean != 40 {
		t.Errorf("latency %v, mean %v after a hit of 40 ms", s.load.latencyPerWork.value, b.serviceTime.mean)
	}
}

// Guards against a latency per unit of work that is many times too high because a server's first
// answer is to a light request, which takes nearly as long as any other.
func TestFirstLatencyOfLightRequestIsNotOverestimated(t *testing.T) {
	cfg := testConfig()
	b, h := newTestBalancer(t, cfg, readyEndpoints(6))
	serve := func(id uint32, key uint64, hint float64) *server {
		b.Request(100000+float64(id), Request{ID: id, Class: "read", Key: key, HasKey: true, RemainingMillis: 600,
			WorkHint: hint})
		s := h.lastSend().server
		b.AttemptEnded(100010+float64(id), servedOutcome(id, s, 10))
		return b.membership.servers[s]
	}
	first := serve(1, 9, 100)
	for id := uint32(2); ; id++ { // looks for a key of another server
		if id == 100 {
			t.Fatal("one server is home to all keys")
		}
		s := serve(id, uint64(id), 5)
		if s == first {
			continue
		}
		if s.load.latencyPerWork.value > 30 {
			t.Errorf("latency per unit of work %.0f ms, want about 10", s.load.latencyPerWork.value)
		}
		return
	}
}
