package fleet

import (
	"testing"

	"dockhinge.example/dockhinge/lab/scenario"
)

// A server that is down when it is to leave must be restarted first, and must not be restarted once
// it has left.
func TestCrashedServerLeavesOnlyAfterItsRestart(t *testing.T) {
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
	if !fl.tryLockServer(m) {
		t.Fatal("a server without a fault is locked")
	}
	m.Kill()
	left := make(chan struct{})
	go func() {
		defer close(left)
		fl.drainServers(t.Context(), []*member{m}, 0)
	}()
	fl.restartServer(m)
	if !m.IsUp() || fl.hasLeft(m) {
		t.Error("it left while it was down")
	}
	m.downMu.Unlock()
	<-left
	if m.IsUp() || !fl.hasLeft(m) {
		t.Error("it has not left")
	}
	if fl.tryLockServer(m) {
		t.Error("a fault can lock a server that has left")
	}
	m.downMu.Lock()
	fl.restartServer(m)
	m.downMu.Unlock()
	if m.IsUp() {
		t.Error("it came back after it had left")
	}
}
