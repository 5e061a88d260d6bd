package client

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"dockhinge.example/dockhinge/internal/coord"
)

// lateCoordinator is a coordinator without a group. It executes each command at once, except that
// commands for one lease wait until released is closed.
type lateCoordinator struct {
	mu       sync.Mutex
	state    *coord.State
	late     string // name of the lease whose commands wait
	released chan struct{}
}

func (l *lateCoordinator) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var c coord.Command
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if c.Lease == l.late {
		select {
		case <-l.released:
		case <-r.Context().Done():
			return
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	c.Version = 1
	_ = json.NewEncoder(w).Encode(l.state.Apply(c, 1))
}

// One command's response is late while the client sends others. The coordinators remember
// MaxCachedResponses from it on and reject commands beyond that window. The client must hold back
// such commands until the late response has arrived.
func TestCommandsBeyondTheWindowAreHeldBack(t *testing.T) {
	late := &lateCoordinator{state: coord.New(), late: "late", released: make(chan struct{})}
	server := httptest.NewServer(late)
	defer server.Close()
	coordinators := map[string]string{"c1": server.Listener.Addr().String()}
	c := New(Options{Coordinators: coordinators, ClientName: "c", TTL: time.Minute})
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	wg.Go(func() { c.Run(ctx) })
	errs := make(chan error, 1)
	wg.Go(func() {
		_, err := c.Acquire(ctx, "late", "", 10*time.Second)
		errs <- err
	})
	for inFlight := 0; inFlight == 0; { // until the command is in flight
		c.mu.Lock()
		inFlight = len(c.pending)
		c.mu.Unlock()
		time.Sleep(time.Millisecond)
	}
	for i := range coord.MaxCachedResponses - 1 {
		if _, err := c.Acquire(ctx, fmt.Sprint("l", i), "", 10*time.Second); err != nil {
			t.Fatalf("acquire %d: %v", i, err)
		}
	}
	next := make(chan error, 1)
	wg.Go(func() {
		_, err := c.Acquire(ctx, "beyond", "", 10*time.Second)
		next <- err
	})
	shortContext, end := context.WithTimeout(ctx, 50*time.Millisecond)
	defer end()
	if _, err := c.Acquire(shortContext, "beyond too", "", 10*time.Second); err == nil {
		t.Error("a command beyond the window was executed")
	}
	close(late.released)
	for what, c := range map[string]chan error{"late": errs, "beyond": next} {
		if err := <-c; err != nil {
			t.Errorf("%s: %v", what, err)
		}
	}
}
