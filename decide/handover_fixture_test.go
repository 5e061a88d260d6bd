package decide

import (
	"encoding/json"
	"os"
	"reflect"
	"testing"
)

// The files in testdata were written by a release with other Go names. handover.json is a state
// handed over at fixtureHandOverMillis, with servers that are disabled, ejected, cold, draining and
// removed. handover_continued.json is what a process of that release did after it took over that
// state: where it sent the requests of playFixture, and the state that it handed over in turn. Two
// figures of that state are of a later release, which works the slow-start budget out from what warm
// servers carry: the budget of the cold server, and WarmCapacities.
const (
	fixtureHandOverMillis  = 110000.0
	fixtureContinuedMillis = 114000.0
)

// fixtureContinuation is the content of handover_continued.json.
type fixtureContinuation struct {
	Sends    [][2]uint32 // request and server, in order
	HandedOn json.RawMessage
}

func fixtureConfig() Config {
	cfg := cacheAsideConfig()
	cfg.IdleTimeoutMillis = 20000
	return cfg
}

// playFixture sends a request every 20 ms and answers each attempt by rules that depend only on
// IDs.
func playFixture(b *Balancer, h *fakeHost, from, to float64, firstID uint32) {
	servers := readyEndpoints(8)
	id := firstID
	answered := 0
	attempts := map[uint32]int{}
	for now := from; now < to; now += 20 {
		id++
		class := []string{"read", "important", "keyed"}[id%3]
		b.Request(now, Request{ID: id, Class: class, Key: uint64(id*id) % 37, HasKey: true,
			RemainingMillis: 600, WorkHint: float64(10 + id%7)})
		for ; answered < len(h.sends); answered++ {
			s := h.sends[answered]
			o := Outcome{RequestID: s.id, Attempt: attempts[s.id], ServerID: s.server, Status: OK, LatencyMillis: 10,
				IsFinal: true, CacheResult: CacheHit, Load: NoLoadReport}
			attempts[s.id]++
			switch {
			case s.server == servers[1].ID:
				o.Status = Reset
				o.IsFinal = false
			case s.server == servers[2].ID && s.id%2 == 0:
				continue // never answered
			case s.id%11 == 0 && s.server != 77:
				o.Status = Miss
				o.IsFinal = false
				o.CacheResult = CacheMiss
			case s.server == 77:
				o.LatencyMillis = 60
			}
			if s.server != servers[3].ID && o.Status == OK {
				o.Load.RequestsPerSecond = 20 + float64(s.id%5)
				o.Load.Utilization = 0.3
			}
			b.AttemptEnded(now+10, o)
		}
		b.TimerExpired(now+15, housekeepingToken)
	}
}

func readFixture(t *testing.T, name string, into any) {
	t.Helper()
	text, err := os.ReadFile("testdata/" + name)
	if err != nil {
		t.Fatal(err)
	}
	if err := json.Unmarshal(text, into); err != nil {
		t.Fatalf("%s: %v", name, err)
	}
}

// Guards against a field of a handed-over state that changes its meaning between releases: after an
// upgrade, the new process must send each request to the server that the old release would have
// chosen, and hand over the same state under the same JSON names.
func TestSnapshotOfEarlierReleaseLeadsToTheSameDecisions(t *testing.T) {
	var state Snapshot
	readFixture(t, "handover.json", &state)
	var want fixtureContinuation
	readFixture(t, "handover_continued.json", &want)

	h := newFakeHost()
	b, err := New(fixtureConfig(), 8, h)
	if err != nil {
		t.Fatal(err)
	}
	if err := b.TakeOver(fixtureHandOverMillis, state); err != nil {
		t.Fatal(err)
	}
	playFixture(b, h, fixtureHandOverMillis+10, fixtureContinuedMillis, 20000)

	if len(h.sends) != len(want.Sends) {
		t.Errorf("%d sends, the earlier release made %d", len(h.sends), len(want.Sends))
	}
	for i, s := range h.sends[:min(len(h.sends), len(want.Sends))] {
		if w := want.Sends[i]; s.id != w[0] || s.server != w[1] {
			t.Fatalf("send %d: request %d to server %d, the earlier release sent %d to %d", i, s.id, s.server,
				w[0], w[1])
		}
	}
	text, err := json.Marshal(b.HandOver(fixtureContinuedMillis))
	if err != nil {
		t.Fatal(err)
	}
	if got, wanted := asMaps(t, text), asMaps(t, want.HandedOn); !reflect.DeepEqual(got, wanted) {
		t.Errorf("handed over %v, the earlier release handed over %v", got, wanted)
	}
}

// Guards against a state that loses or renames fields, absent ones included, when it is read and
// written.
func TestSnapshotOfEarlierReleaseKeepsItsFields(t *testing.T) {
	var state Snapshot
	readFixture(t, "handover.json", &state)
	var want json.RawMessage
	readFixture(t, "handover.json", &want)
	text, err := json.Marshal(state)
	if err != nil {
		t.Fatal(err)
	}
	if got, wanted := asMaps(t, text), asMaps(t, want); !reflect.DeepEqual(got, wanted) {
		t.Errorf("written again as %v, read as %v", got, wanted)
	}
}

// asMaps decodes JSON without the types of this package.
func asMaps(t *testing.T, text []byte) (v any) {
	t.Helper()
	if err := json.Unmarshal(text, &v); err != nil {
		t.Fatal(err)
	}
	return v
}
