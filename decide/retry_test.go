package decide

import (
	"fmt"
	"testing"
)

// Light and heavy requests alternate, and each takes a fixed time besides its work. The latency of
// a unit of work must not come out many times too high for it.
func TestLatencyCountsForItsWork(t *testing.T) {
	b, h := start(t, testConfig(), fleet(1))
	for i := range uint32(400) {
		now := 100001 + 500*float64(i)
		hint := 1.0 + 9*float64(i%2)
		b.Request(now, Request{ID: i + 1, Class: "important", Key: 1, HasKey: true, RemainingMillis: 600,
			WorkHint: hint})
		took := 50 + 10*hint
		b.AttemptEnded(now+took, withResult(CacheHit, served(i+1, h.last().server, took)))
	}
	// The mean is 105 ms, at a mean work of 1.
	if v := b.membership.caches[0].load.latencyPerWork.value; v < 80 || v > 160 {
		t.Errorf("%v ms a unit of work, want about 105", v)
	}
}

// One request of each effect meets each outcome. A repeat that could run twice must not be sent, a
// rejection must be true, and where a repeat is allowed it is sent, to the same server only after a
// malformed answer, as the others lack the key.
func TestEveryOutcomeAndEffect(t *testing.T) {
	all := []AttemptStatus{Failed, QueueFull, Timeout, ConnectError, Reset, Cancelled, Unprocessed, MalformedResponse}
	for _, class := range []string{"read", "keyed", "zoned", "once"} {
		for _, st := range all {
			t.Run(fmt.Sprint(class, "/", st), func(t *testing.T) {
				b, h := start(t, testConfig(), fleet(6))
				ask(b, 100010, 1, class, 9)
				first := h.last()
				b.AttemptEnded(100050, ended(1, first.server, st, 40))
				again := len(h.sends) > 1
				switch {
				case class == "once" && !st.NeverRan():
					if again || h.rejected[1] > 0 || h.failed[1] != 1 {
						t.Errorf("may have run: sends %v, rejected %d, failed %d", h.sends, h.rejected[1], h.failed[1])
					}
				case class == "zoned" && !st.NeverRan():
					if h.rejected[1] > 0 {
						t.Error("a rejection that is not true")
					}
					if again && b.membership.servers[h.last().server].Zone != b.membership.servers[first.server].Zone {
						t.Error("sent again outside the group")
					}
				default:
					if !again {
						t.Error("no further attempt though one is allowed")
					}
				}
				if again && (h.last().server == first.server) != (st == MalformedResponse) {
					t.Error("sent again to the server that just failed, or after a malformed answer to another")
				}
			})
		}
	}
}

// An attempt fails just as its window for repeats ends. It must not be sent again, nor may the client
// be invited to send it again, as the server would no longer drop the repeat.
func TestKeyedIsNotSentAfterItsWindow(t *testing.T) {
	cfg := testConfig()
	cfg.Classes[2].IdempotencyWindowMillis = 100
	b, h := start(t, cfg, fleet(6))
	ask(b, 100010, 1, "keyed", 9)
	b.AttemptEnded(100110, ended(1, h.last().server, Failed, 100))
	if len(h.sends) != 1 || h.rejected[1] != 0 || h.failed[1] != 1 {
		t.Errorf("sends %v, rejected %d, failed %d: want one send and a failure", h.sends, h.rejected[1], h.failed[1])
	}
}

// Where servers fetch by themselves, an answer that waited for a fetch takes long. That must not
// count as the latency of the server; a hit must.
func TestWaitForAFetchIsNotTheServersLatency(t *testing.T) {
	b, h := start(t, testConfig(), fleet(6))
	ask(b, 100001, 1, "read", 5)
	s := b.membership.servers[h.last().server]
	was := s.load.latencyPerWork
	x := b.serviceTime
	b.AttemptEnded(100301, withResult(CacheMiss, served(1, s.ID, 300)))
	if s.load.latencyPerWork != was || b.serviceTime != x {
		t.Errorf("latency %v, moments %v: changed by a fetch", s.load.latencyPerWork, b.serviceTime)
	}
	ask(b, 100302, 2, "read", 5)
	b.AttemptEnded(100342, withResult(CacheHit, served(2, s.ID, 40)))
	if s.load.latencyPerWork.value != 40 || b.serviceTime.mean != 40 {
		t.Errorf("latency %v, mean %v after a hit of 40 ms", s.load.latencyPerWork.value, b.serviceTime.mean)
	}
}

// The first answer of a server is to a light request, which takes nearly as long as any other. Its
// latency for a unit of work must not come out many times too high.
func TestFirstLatencyCountsForItsWork(t *testing.T) {
	cfg := testConfig()
	b, h := start(t, cfg, fleet(6))
	hint := func(id uint32, key uint64, hint float64) *server {
		b.Request(100000+float64(id), Request{ID: id, Class: "read", Key: key, HasKey: true, RemainingMillis: 600,
			WorkHint: hint})
		s := h.last().server
		b.AttemptEnded(100010+float64(id), served(id, s, 10))
		return b.membership.servers[s]
	}
	first := hint(1, 9, 100)
	for id := uint32(2); ; id++ { // the key of another server
		if id == 100 {
			t.Fatal("one server has all keys")
		}
		s := hint(id, uint64(id), 5)
		if s == first {
			continue
		}
		if s.load.latencyPerWork.value > 30 {
			t.Errorf("latency of a unit of work %.0f ms, want some 10", s.load.latencyPerWork.value)
		}
		return
	}
}
