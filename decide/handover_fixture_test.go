package decide

import (
	"encoding/json"
	"os"
	"reflect"
	"testing"
)

// The files in testdata were written by the program as it was before its names were changed: handover.json is what it
// handed over at fixtureHandOverMillis with servers out by hand, ejected, cold, draining and removed, and
// handover_continued.json what a process of it did that took over: where it sent the requests of playFixture, and what
// it handed on in turn.
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
	cfg := testConfig()
	cfg.CacheAside = true
	cfg.OriginKind = "origin"
	cfg.IdleTimeoutMillis = 20000
	return cfg
}

// playFixture sends a request every 20 ms and answers each attempt by rules that follow from ids only.
func playFixture(b *Balancer, h *fakeHost, from, to float64, firstID uint32) {
	servers := fleet(8)
	id := firstID
	answered := 0
	attempts := map[uint32]int{}
	for now := from; now < to; now += 20 {
		id++
		b.Request(now, Request{ID: id, Class: []string{"read", "dear", "keyed"}[id%3], Key: uint64(id*id) % 37, HasKey: true,
			RemainingMillis: 600, WorkHint: float64(10 + id%7)})
		for ; answered < len(h.sends); answered++ {
			s := h.sends[answered]
			o := Outcome{RequestID: s.id, Attempt: attempts[s.id], ServerID: s.server, Status: OK, LatencyMillis: 10,
				IsFinal: true, CacheResult: CacheHit, Load: NoLoadReport}
			attempts[s.id]++
			switch {
			case s.server == servers[1].ID:
				o.Status, o.IsFinal = Reset, false
			case s.server == servers[2].ID && s.id%2 == 0:
				continue // never comes back
			case s.id%11 == 0 && s.server != 77:
				o.Status, o.IsFinal, o.CacheResult = Miss, false, CacheMiss
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

// An upgrade starts a new process beside an old one, which hands it what it has learnt. The new one must understand
// every field: it goes on to send each request to the server that the old program would have chosen, and hands on the
// same state in the same words.
func TestStateOfTheEarlierProgramMeansTheSame(t *testing.T) {
	var state Snapshot
	readFixture(t, "handover.json", &state)
	var want fixtureContinuation
	readFixture(t, "handover_continued.json", &want)

	h := newHost()
	b, err := New(fixtureConfig(), 8, h)
	if err != nil {
		t.Fatal(err)
	}
	if err := b.TakeOver(fixtureHandOverMillis, state); err != nil {
		t.Fatal(err)
	}
	playFixture(b, h, fixtureHandOverMillis+10, fixtureContinuedMillis, 20000)

	if len(h.sends) != len(want.Sends) {
		t.Errorf("%d sends, the earlier program made %d", len(h.sends), len(want.Sends))
	}
	for i, s := range h.sends[:min(len(h.sends), len(want.Sends))] {
		if w := want.Sends[i]; s.id != w[0] || s.server != w[1] {
			t.Fatalf("send %d: request %d to server %d, the earlier program sent %d to %d", i, s.id, s.server, w[0], w[1])
		}
	}
	text, err := json.Marshal(b.HandOver(fixtureContinuedMillis))
	if err != nil {
		t.Fatal(err)
	}
	if got, wanted := asMaps(t, text), asMaps(t, want.HandedOn); !reflect.DeepEqual(got, wanted) {
		t.Errorf("handed on %v, the earlier program handed on %v", got, wanted)
	}
}

// A state that is read and written again keeps every field and its name, those that are absent among them.
func TestStateOfTheEarlierProgramKeepsItsBytes(t *testing.T) {
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

// asMaps reads JSON without the module's types.
func asMaps(t *testing.T, text []byte) (v any) {
	t.Helper()
	if err := json.Unmarshal(text, &v); err != nil {
		t.Fatal(err)
	}
	return v
}
