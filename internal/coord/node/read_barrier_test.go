package node

import (
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
)

// A thousand readers arrive while a barrier is in progress. They must share the next one: the
// current one was proposed before they arrived, and they could read a state older than their call.
func TestReadersNeverShareAnEarlierBarrier(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var proposed atomic.Int64
		release := make(chan error)
		b := &sharedBarrier{propose: func() error { proposed.Add(1); return <-release }}
		var first, others sync.WaitGroup
		first.Go(func() {
			if err := b.wait(); err != nil {
				t.Errorf("the first: %v", err)
			}
		})
		synctest.Wait() // the first barrier is in progress
		failed := errors.New("not the leader")
		const readers = 1000
		var returned atomic.Int64
		for range readers {
			others.Go(func() {
				if err := b.wait(); !errors.Is(err, failed) {
					t.Errorf("another: %v", err)
				}
				returned.Add(1)
			})
		}
		synctest.Wait()
		release <- nil
		first.Wait()
		synctest.Wait()
		if n := returned.Load(); n != 0 {
			t.Errorf("the first barrier served %d later readers", n)
		}
		release <- failed
		others.Wait()
		if n := proposed.Load(); n != 2 {
			t.Errorf("%d barriers for %d readers", n, readers+1)
		}
		synctest.Wait()
		if b.running || b.next != nil {
			t.Error("it still runs with no reader waiting")
		}
	})
}
