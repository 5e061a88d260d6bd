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

// countingCoordinator counts the polls and watches for the drain set, and answers them at once.
type countingCoordinator struct {
	mu      sync.Mutex
	polls   int
	watches int
}

func (c *countingCoordinator) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/v1/drains" {
		_ = json.NewEncoder(w).Encode(coord.Response{Code: coord.CodeOK})
		return
	}
	c.mu.Lock()
	if r.URL.Query().Get("wait") == "true" {
		c.watches++
	} else {
		c.polls++
	}
	c.mu.Unlock()
	_ = json.NewEncoder(w).Encode(rollout.DrainSet{}) // as an earlier program version does at version 0
}

// Guards against a busy loop of watches. A coordinator that runs an earlier program version answers
// each watch at once, without a change, until the first drain. A router that did not pause would
// watch some 200 times in two seconds, and so would each router of the fleet.
func TestUnchangedWatchesAreRepeatedWithPauses(t *testing.T) {
	var c countingCoordinator
	s := httptest.NewServer(&c)
	defer s.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	session := client.New(client.Options{
		Coordinators: map[string]string{"c1": s.Listener.Addr().String()},
		ClientName:   "router/r",
		TTL:          10 * time.Second,
	})
	var wg sync.WaitGroup
	wg.Go(func() { session.Run(ctx) })
	Run(ctx, Options{
		Client:          session,
		IsReady:         func() bool { return true },
		RequestCounts:   func() (int64, int64, []int64) { return 0, 0, nil },
		ObserveServers:  func(context.Context) ([]rollout.ServerObservation, error) { return nil, nil },
		SetDrained:      func(context.Context, string, bool) error { return nil },
		OpenAttempts:    func(context.Context, []string) (int, error) { return 0, nil },
		InheritedDrains: func(context.Context) []string { return nil },
		SetEjected:      func(context.Context, []rollout.EjectedServer) error { return nil },
	})
	wg.Wait()
	if c.polls != 1 || c.watches == 0 {
		t.Errorf("polled %d times, watched %d times", c.polls, c.watches)
	}
	// Pauses are random: below 20 ms at first, with a limit that doubles up to 1 s.
	if c.watches > 40 {
		t.Errorf("watched %d times in 2 s", c.watches)
	}
}

// Guards against a client that stalls while it receives a value, and thereby delays the drain, and
// each later one, without limit.
func TestStalledAttemptDelaysADrainForALimitedTime(t *testing.T) {
	polls := 0
	f := &follower{
		maxAttemptsWait: 100 * time.Millisecond,
		options: Options{OpenAttempts: func(context.Context, []string) (int, error) {
			polls++
			return 1, nil
		}},
	}
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	if !f.awaitOpenAttempts(ctx, []string{"server/s1"}) || ctx.Err() != nil {
		t.Error("the wait lasted until the context ended")
	}
	if polls < 2 {
		t.Errorf("open attempts were polled %d times, want at least 2", polls)
	}
}
