package node

import (
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"

	"dockhinge.example/dockhinge/internal/coord"
)

// A numbered command that is sent again while the first waits is carried out once, and all get its answer; one that comes later, one
// with another number and one without any are carried out by themselves.
func TestRepeats(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var r duplicateCommands
		var carried atomic.Int64
		release := make(chan struct{})
		lost := errors.New("not the leader")
		slow := func() (coord.Response, error) {
			carried.Add(1)
			<-release
			return coord.Response{Code: coord.CodeOK, Token: 7}, lost
		}
		var wg sync.WaitGroup
		send := func(c coord.Command) {
			wg.Go(func() {
				if a, err := r.do(c, slow); a.Token != 7 || !errors.Is(err, lost) {
					t.Errorf("%+v, %v", a, err)
				}
			})
		}
		for range 10 {
			send(coord.Command{SessionID: "s", Sequence: 1})
		}
		synctest.Wait()
		if n := carried.Load(); n != 1 {
			t.Errorf("carried out %d times", n)
		}
		send(coord.Command{SessionID: "s", Sequence: 2})
		send(coord.Command{SessionID: "t", Sequence: 1})
		send(coord.Command{SessionID: "s"})
		send(coord.Command{SessionID: "s"})
		synctest.Wait()
		if n := carried.Load(); n != 5 {
			t.Errorf("%d were carried out, 5 differ", n)
		}
		close(release)
		wg.Wait()
		if _, err := r.do(coord.Command{SessionID: "s", Sequence: 1}, slow); !errors.Is(err, lost) || carried.Load() != 6 {
			t.Errorf("one that came later: %v", err)
		}
		if len(r.pending) != 0 {
			t.Errorf("%d are kept", len(r.pending))
		}
	})
}
