package node

import (
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
)

// Readers that come while a barrier is under way share the next one, never that one: it may have been proposed before they came.
func TestSharedBarrier(t *testing.T) {
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
		synctest.Wait() // the first is under way
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
			t.Errorf("%d of those who came later were served by the first barrier", n)
		}
		release <- failed
		others.Wait()
		if n := proposed.Load(); n != 2 {
			t.Errorf("%d barriers for %d readers", n, readers+1)
		}
		synctest.Wait()
		if b.running || b.next != nil {
			t.Error("it goes on with nobody waiting")
		}
	})
}
