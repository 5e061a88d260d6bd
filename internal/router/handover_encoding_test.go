package router

import (
	"encoding/json"
	"testing"

	"dockhinge.example/dockhinge/decide"
)

// Guards against a state that successors, of earlier releases too, read differently since it is encoded in
// pieces.
func TestStateInPiecesEqualsTheStateAsAWhole(t *testing.T) {
	for _, servers := range []int{0, 1, yieldEntries - 1, yieldEntries, yieldEntries + 1, 1000} {
		l := newIdleLoop(t)
		list := largeFleet(servers)
		list.Servers[0].Zone = `z","servers":null,"Servers":null`
		l.updateEndpoints(decide.RestoredEndpoints, list)
		state := l.handoverState()
		want, err := json.Marshal(state)
		if err != nil {
			t.Fatal(err)
		}
		var yield yielder
		defer yield.close()
		got, err := state.encode(&yield)
		if err != nil || string(got) != string(want) {
			t.Errorf("%d servers: got %d bytes, want %d, error %v", servers, len(got), len(want), err)
		}
	}
	var empty handoverState
	want, _ := json.Marshal(empty)
	if got, err := empty.encode(nil); err != nil || string(got) != string(want) {
		t.Errorf("got %s, want %s, error %v", got, want, err)
	}
}
