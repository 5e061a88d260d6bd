package fleet

import (
	"testing"

	"dockhinge.example/dockhinge/lab/scenario"
)

// A server that is down when it is to leave comes back first, and none comes back once it has left.
func TestServerLeavesAfterItsCrash(t *testing.T) {
	f, err := scenario.Parse("fake", []byte(fakeScenario))
	if err != nil {
		t.Fatal(err)
	}
	fl := newFleet(f, Options{Dir: t.TempDir()})
	t.Cleanup(fl.close)
	if err := fl.build(); err != nil {
		t.Fatal(err)
	}
	m := fl.allMembers()[0]
	if !fl.tryOwn(m) {
		t.Fatal("a server that nothing has happened to is not free")
	}
	m.Kill()
	left := make(chan struct{})
	go func() {
		defer close(left)
		fl.leave(t.Context(), []*member{m}, 0)
	}()
	fl.back(m)
	if !m.IsUp() || fl.hasLeft(m) {
		t.Error("it left while it was down")
	}
	m.busy.Unlock()
	<-left
	if m.IsUp() || !fl.hasLeft(m) {
		t.Error("it has not left")
	}
	if fl.tryOwn(m) {
		t.Error("a fault meets a server that has left")
	}
	m.busy.Lock()
	fl.back(m)
	m.busy.Unlock()
	if m.IsUp() {
		t.Error("it came back after it had left")
	}
}
