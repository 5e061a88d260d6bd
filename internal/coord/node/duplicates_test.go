package node

import (
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"

	"dockhinge.example/dockhinge/internal/coord"
)

// A slow leader gets the same numbered command ten times. It must execute the command once and send
// all the same response; executing each retry would make it even slower. A later retry, a command
// with another number and commands without a number are executed separately.
func TestRetriedCommandIsExecutedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var r duplicateCommands
		var executions atomic.Int64
		release := make(chan struct{})
		notLeader := errors.New("not the leader")
		slow := func() (coord.Response, error) {
			executions.Add(1)
			<-release
			return coord.Response{Code: coord.CodeOK, Token: 7}, notLeader
		}
		var wg sync.WaitGroup
		send := func(c coord.Command) {
			wg.Go(func() {
				if a, err := r.do(c, slow); a.Token != 7 || !errors.Is(err, notLeader) {
					t.Errorf("%+v, %v", a, err)
				}
			})
		}
		for range 10 {
			send(coord.Command{SessionID: "s", Sequence: 1})
		}
		synctest.Wait()
		if n := executions.Load(); n != 1 {
			t.Errorf("executed %d times, want 1", n)
		}
		send(coord.Command{SessionID: "s", Sequence: 2})
		send(coord.Command{SessionID: "t", Sequence: 1})
		send(coord.Command{SessionID: "s"})
		send(coord.Command{SessionID: "s"})
		synctest.Wait()
		if n := executions.Load(); n != 5 {
			t.Errorf("%d commands were executed, want 5", n)
		}
		close(release)
		wg.Wait()
		_, err := r.do(coord.Command{SessionID: "s", Sequence: 1}, slow)
		if !errors.Is(err, notLeader) || executions.Load() != 6 {
			t.Errorf("a later retry: %v", err)
		}
		if len(r.pending) != 0 {
			t.Errorf("%d commands are still pending", len(r.pending))
		}
	})
}
