package follow

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"dockhinge.example/dockhinge/internal/coord"
	"dockhinge.example/dockhinge/internal/coord/client"
	"dockhinge.example/dockhinge/internal/rollout"
)

// calls is a coordinator that counts how often it is asked what is drained.
type calls struct {
	mu    sync.Mutex
	first int // asked for at once
	waits int // asked for once it changes
}

func (c *calls) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/v1/drains" {
		_ = json.NewEncoder(w).Encode(coord.Response{Code: coord.CodeOK})
		return
	}
	c.mu.Lock()
	if r.URL.Query().Get("wait") == "true" {
		c.waits++
	} else {
		c.first++
	}
	c.mu.Unlock()
	_ = json.NewEncoder(w).Encode(rollout.DrainSet{}) // at once, as a coordinator of an older program does at version 0
}

// While nothing was ever drained a router waits for news instead of asking again and again, also before a coordinator that
// answers at once.
func TestWaitsForTheFirstDrain(t *testing.T) {
	var c calls
	s := httptest.NewServer(&c)
	defer s.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	one := client.New(client.Options{Coordinators: map[string]string{"c1": s.Listener.Addr().String()}, ClientName: "router/r", TTL: 10 * time.Second})
	var wg sync.WaitGroup
	wg.Go(func() { one.Run(ctx) })
	Run(ctx, Options{
		Client:          one,
		IsReady:         func() bool { return true },
		RequestCounts:   func() (int64, int64, []int64) { return 0, 0, nil },
		ObserveServers:  func(context.Context) ([]rollout.ServerObservation, error) { return nil, nil },
		SetDrained:      func(context.Context, string, bool) error { return nil },
		OpenAttempts:    func(context.Context, []string) (int, error) { return 0, nil },
		InheritedDrains: func(context.Context) []string { return nil },
		SetEjected:      func(context.Context, []rollout.EjectedServer) error { return nil },
	})
	wg.Wait()
	if c.first != 1 || c.waits == 0 {
		t.Errorf("asked at once %d times, and for news %d times", c.first, c.waits)
	}
	// Pauses between 0 and 20 ms, doubled up to 1 s: without that they would be some 200.
	if c.waits > 40 {
		t.Errorf("asked for news %d times in 2 s", c.waits)
	}
}
