package client

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"dockhinge.example/dockhinge/internal/coord/observer/protocol"
	"dockhinge.example/dockhinge/internal/coord/observer/watchlog"
)

// fakeObserver sends each watch the configured updates and then ends the watch or keeps it open.
type fakeObserver struct {
	mu                 sync.Mutex
	updates            []protocol.Update
	staysOpen          bool
	requestedRevisions []string // revisions from which watches were started
	acknowledged       []uint64
	answer             protocol.AcknowledgementResponse
}

func (f *fakeObserver) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.mu.Lock()
	updates, staysOpen, answer := f.updates, f.staysOpen, f.answer
	f.mu.Unlock()
	if r.URL.Path == protocol.AcknowledgePath {
		var a protocol.Acknowledgement
		_ = json.NewDecoder(r.Body).Decode(&a)
		f.mu.Lock()
		f.acknowledged = append(f.acknowledged, a.Revision)
		f.mu.Unlock()
		_ = json.NewEncoder(w).Encode(answer)
		return
	}
	f.mu.Lock()
	f.requestedRevisions = append(f.requestedRevisions, r.URL.Query().Get("after"))
	f.mu.Unlock()
	for _, update := range updates {
		_ = json.NewEncoder(w).Encode(update)
	}
	if staysOpen {
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
	}
}

func (f *fakeObserver) setUpdates(staysOpen bool, updates ...protocol.Update) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.updates, f.staysOpen = updates, staysOpen
}

// router is a client that records the states that it was given to apply.
type router struct {
	*Client
	mu     sync.Mutex
	states []State
	reject func(State) bool
}

// startRouter starts a client of observers with these handlers, until the end of the test.
func startRouter(t *testing.T, reject func(State) bool, observers ...http.Handler) *router {
	t.Helper()
	r := &router{reject: reject}
	var addresses []string
	var servers []*httptest.Server
	for _, handler := range observers {
		server := httptest.NewServer(handler)
		servers, addresses = append(servers, server), append(addresses, server.Listener.Addr().String())
	}
	r.Client = New(Options{Observers: addresses, WatcherName: "w", Apply: r.apply})
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { r.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		wg.Wait()
		for _, server := range servers {
			server.Close()
		}
	})
	return r
}

func (r *router) apply(_ context.Context, state State) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.reject != nil && r.reject(state) {
		return errors.New("rejected")
	}
	r.states = append(r.states, state)
	return nil
}

func eventually(t *testing.T, f func() error) {
	t.Helper()
	for {
		err := f()
		if err == nil {
			return
		}
		select {
		case <-t.Context().Done():
			t.Fatal(err)
		case <-time.After(5 * time.Millisecond):
		}
	}
}

func hasRevision(r *router, want uint64) func() error {
	return func() error {
		if got, _ := r.Revisions(); got != want {
			return fmt.Errorf("revision %d, want %d", got, want)
		}
		return nil
	}
}

func snapshot(through uint64, names ...string) protocol.Update {
	update := protocol.Update{Batch: watchlog.Batch{Through: through, Snapshot: true}, Newest: through}
	for i, name := range names {
		update.Changes = append(update.Changes, watchlog.Change{Revision: through - uint64(len(names)-1-i), Name: name})
	}
	return update
}

func changesBetween(after, through uint64, names ...string) protocol.Update {
	update := snapshot(through, names...)
	update.Snapshot, update.After = false, after
	return update
}

// A client's observer fails, and others are stale or send changes that don't follow the client's
// revision. The client must switch until an observer continues from its revision and never apply an
// older state; otherwise an old configuration could return.
func TestRevisionNeverDecreases(t *testing.T) {
	first, second := &fakeObserver{}, &fakeObserver{}
	first.setUpdates(false, snapshot(5, "a", "b"))
	second.setUpdates(false, snapshot(5, "a", "b"))
	r := startRouter(t, nil, first, second)
	eventually(t, hasRevision(r, 5))
	first.setUpdates(false, snapshot(3, "a"))           // stale
	second.setUpdates(false, changesBetween(6, 7, "c")) // doesn't follow revision 5
	before := countWatches(first) + countWatches(second)
	eventually(t, func() error {
		if countWatches(first)+countWatches(second) < before+3 {
			return errors.New("the client doesn't switch observers")
		}
		return hasRevision(r, 5)()
	})
	second.setUpdates(true, changesBetween(5, 6, "c"), changesBetween(6, 7, "d"))
	first.setUpdates(false)
	eventually(t, hasRevision(r, 7))
	r.mu.Lock()
	defer r.mu.Unlock()
	last := uint64(0)
	for _, state := range r.states {
		if state.Revision < last {
			t.Errorf("revision %d after %d", state.Revision, last)
		}
		last = state.Revision
	}
	if n := len(r.states[len(r.states)-1].Documents); n != 4 {
		t.Errorf("%d documents", n)
	}
}

func countWatches(f *fakeObserver) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.requestedRevisions)
}

// A state can't be applied. Neither it nor the following progress notice may be acknowledged, but
// the next state that is applied must be. Otherwise operators could conclude that the change is
// applied.
func TestStateThatFailsToApplyIsNotAcknowledged(t *testing.T) {
	observer := &fakeObserver{}
	observer.setUpdates(true, snapshot(4, "a"), changesBetween(4, 5, "bad"), changesBetween(5, 6))
	r := startRouter(t, func(s State) bool { return s.Revision == 5 }, observer)
	eventually(t, hasRevision(r, 6))
	if _, applied := r.Revisions(); applied != 4 {
		t.Errorf("revision %d is reported as applied, want 4", applied)
	}
	eventually(t, func() error {
		observer.mu.Lock()
		defer observer.mu.Unlock()
		if len(observer.acknowledged) == 0 || observer.acknowledged[len(observer.acknowledged)-1] != 4 {
			return fmt.Errorf("acknowledged: %v", observer.acknowledged)
		}
		return nil
	})
	other := &fakeObserver{}
	other.setUpdates(true, snapshot(4, "a"),
		changesBetween(4, 5, "bad"), changesBetween(5, 6), changesBetween(6, 7, "good"))
	r = startRouter(t, func(s State) bool { return s.Revision == 5 }, other)
	eventually(t, func() error {
		if _, applied := r.Revisions(); applied != 7 {
			return fmt.Errorf("revision %d is applied", applied)
		}
		return nil
	})
}

// The response to an acknowledgement has the observer's newest revision and age. The client's age
// must be unknown until such a response has no newer revision than its replica, and then be counted
// from when the acknowledgement was sent. Otherwise a lagging client could appear to be complete.
func TestAgeIsUnknownWhileClientLags(t *testing.T) {
	c := New(Options{})
	if err := c.replica.Apply(snapshot(5).Batch); err != nil {
		t.Fatal(err)
	}
	for _, answer := range []protocol.AcknowledgementResponse{{Newest: 6}, {Newest: 5, AgeMillis: -1}} {
		c.recordAge(answer, 0)
		if _, ok := c.Age(); ok {
			t.Errorf("%+v: an age is known", answer)
		}
	}
	c.recordAge(protocol.AcknowledgementResponse{Newest: 5, AgeMillis: 1000}, time.Hour)
	c.recordAge(protocol.AcknowledgementResponse{Newest: 5, AgeMillis: 9000}, time.Hour) // older: ignored
	if c.completeAt != time.Hour-time.Second {
		t.Errorf("complete at %v", c.completeAt)
	}
}

// An observer rejects many clients with the same Retry-After. Each must wait at least that long and
// up to a quarter longer, so that they don't retry at the same time. Without a Retry-After the
// pause is spread.
func TestReconnectDelayIsSpread(t *testing.T) {
	rejection := &protocol.Rejection{Code: protocol.CodeOverloaded, RetryAfterMillis: 8000}
	delays := map[time.Duration]bool{}
	for range 100 {
		got := reconnectDelay(fmt.Errorf("joining: %w", rejection), time.Second)
		if got < 8*time.Second || got > 10*time.Second {
			t.Fatalf("%v", got)
		}
		delays[got] = true
		if got := reconnectDelay(errors.New("reset"), time.Second); got < time.Second/2 || got > 3*time.Second/2 {
			t.Fatalf("%v", got)
		}
	}
	if len(delays) < 50 {
		t.Errorf("only %d distinct delays of 100", len(delays))
	}
}
