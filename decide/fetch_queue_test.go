package decide

import (
	"fmt"
	"testing"
)

// newOriginBalancer returns a Balancer that asks the origin for every write, with a limit on fetches.
func newOriginBalancer(t testing.TB, fetchLimit float64) (*Balancer, *fakeHost) {
	t.Helper()
	b, h := newTestBalancer(t, cacheAsideConfig(), append(readyEndpoints(3), Endpoint{ID: 77, Kind: "origin"}))
	b.originFetches.limit = fetchLimit
	return b, h
}

func sendWrite(b *Balancer, id uint32, class string, client *Client) {
	b.Request(b.now, Request{ID: id, Class: class, Key: uint64(id), HasKey: true, RemainingMillis: 600, IsWrite: true,
		Client: client})
}

// answerOldest answers the oldest write that the origin has, and returns its id.
func answerOldest(b *Balancer, h *fakeHost) (id uint32) {
	id = h.sends[0].id
	h.sends = h.sends[1:]
	b.AttemptEnded(b.now, servedOutcome(id, 77, 10))
	return id
}

// Guards against a client whose writes take all of the origin: others' wait behind at most one of each
// client, however many writes a client has sent before.
func TestWritesOfOneClientDelayNoOther(t *testing.T) {
	for _, clients := range []int{1, 8, 64} {
		t.Run(fmt.Sprint(clients), func(t *testing.T) {
			b, h := newOriginBalancer(t, 4)
			flood := make([]Client, clients)
			id := uint32(0)
			for range 16 {
				for i := range flood {
					id++
					sendWrite(b, id, "important", &flood[i])
				}
			}
			for range 3 * clients { // each client has had a turn by then
				answerOldest(b, h)
			}
			other := id + 1
			sendWrite(b, other, "important", &Client{})
			atOrigin := len(h.sends)
			for range atOrigin + 1 {
				if answerOldest(b, h) == other {
					return
				}
			}
			t.Errorf("the other client's write is not the first behind the %d that were at the origin", atOrigin)
		})
	}
}

// Writes of one client must reach the origin in the order of their arrival, and before writes of a lower
// priority.
func TestWaitingWritesKeepTheirOrder(t *testing.T) {
	b, h := newOriginBalancer(t, 1)
	client := &Client{}
	sendWrite(b, 1, "keyed", client)
	sendWrite(b, 2, "keyed", client)
	sendWrite(b, 3, "important", client)
	sendWrite(b, 4, "keyed", client)
	for i, want := range []uint32{1, 3, 2, 4} {
		b.originFetches.limit = 1
		b.resumeWaiting()
		if got := answerOldest(b, h); got != want {
			t.Errorf("answer %d is that of write %d, want %d", i, got, want)
		}
	}
}

// Guards against a count of expected fetches that drifts: fetches would stop once it had grown beyond
// the limit.
func TestExpectedFetchesAreCountedExactly(t *testing.T) {
	b, h := newTestBalancer(t, testConfig(), readyEndpoints(6))
	statuses := []AttemptStatus{OK, Failed, QueueFull, Timeout, ConnectError, Reset, Miss, Canceled, MalformedResponse}
	for i := range uint32(400) {
		b.now += 3
		sendRequest(b, b.now, i+1, "read", uint64(i%50))
		if i%7 == 0 {
			b.ClientDisconnected(b.now, i/2)
		}
		if len(h.sends) > 0 && i%3 != 0 {
			s := h.sends[0]
			h.sends = h.sends[1:]
			status := statuses[int(i)%len(statuses)]
			o := endedOutcome(s.id, s.server, status, 10)
			o.IsFinal = status == OK
			if r := b.requests[s.id]; r != nil {
				b.AttemptEnded(b.now, forAttempt(len(r.attempts)-1, o))
			}
		}
		expected := 0
		for _, r := range b.requests {
			if r.isServerFetch && !r.isAnswered {
				expected++
			}
		}
		if b.originFetches.expectedAtServers != expected {
			t.Fatalf("after request %d: %d fetches are counted, %d are expected", i,
				b.originFetches.expectedAtServers, expected)
		}
	}
}

func BenchmarkArrivalBesideWaitingWrites(b *testing.B) {
	balancer, h := newOriginBalancer(b, 8)
	client := &Client{}
	for i := range uint32(4000) {
		sendWrite(balancer, i+1, "important", client)
	}
	id := uint32(10000)
	for b.Loop() {
		id++
		sendRequest(balancer, balancer.now, id, "important", 1)
		balancer.AttemptEnded(balancer.now, servedOutcome(id, h.lastSend().server, 10))
	}
}
