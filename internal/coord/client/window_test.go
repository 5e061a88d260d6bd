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

// lateCoordinator carries commands out alone, and keeps back what asks for one lease until it is let go.
type lateCoordinator struct {
	mu    sync.Mutex
	state *coord.State
	late  string
	letGo chan struct{}
}

func (l *lateCoordinator) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var c coord.Command
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if c.Lease == l.late {
		select {
		case <-l.letGo:
		case <-r.Context().Done():
			return
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	c.Version = 1
	_ = json.NewEncoder(w).Encode(l.state.Apply(c, 1))
}

// One command whose answer doesn't come has no other refused: those beyond what the coordinators remember wait for it.
func TestLateCommandHoldsTheWindow(t *testing.T) {
	late := &lateCoordinator{state: coord.New(), late: "late", letGo: make(chan struct{})}
	server := httptest.NewServer(late)
	defer server.Close()
	c := New(Options{Coordinators: map[string]string{"c1": server.Listener.Addr().String()}, ClientName: "c", TTL: time.Minute})
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
	for under := 0; under == 0; { // until it is under way
		c.mu.Lock()
		under = len(c.pending)
		c.mu.Unlock()
		time.Sleep(time.Millisecond)
	}
	for i := range coord.MaxCachedResponses - 1 {
		if _, err := c.Acquire(ctx, fmt.Sprint("l", i), "", 10*time.Second); err != nil {
			t.Fatalf("number %d: %v", i, err)
		}
	}
	next := make(chan error, 1)
	wg.Go(func() {
		_, err := c.Acquire(ctx, "beyond", "", 10*time.Second)
		next <- err
	})
	brief, end := context.WithTimeout(ctx, 50*time.Millisecond)
	defer end()
	if _, err := c.Acquire(brief, "beyond too", "", 10*time.Second); err == nil {
		t.Error("a command beyond the window was carried out")
	}
	close(late.letGo)
	for what, c := range map[string]chan error{"late": errs, "beyond": next} {
		if err := <-c; err != nil {
			t.Errorf("%s: %v", what, err)
		}
	}
}
