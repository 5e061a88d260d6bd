package client

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"dockhinge.example/dockhinge/internal/coord"
)

// The timeout doubles only after a timeout, up to half of the session's TTL, not after other errors
// such as a refused connection. If it doubled after every error, clients would wait too long for a
// restarted coordinator; if it never doubled, they would lengthen a slow leader's queue.
func TestTimeoutDoublesOnlyAfterTimeouts(t *testing.T) {
	timeout := New(Options{TTL: 10 * time.Second}).newRequestTimeout()
	if timeout.current != time.Second {
		t.Errorf("the initial timeout is %v", timeout.current)
	}
	timeout.observe(nil)
	timeout.observe(errors.New("connection refused"))
	if timeout.current != time.Second {
		t.Errorf("%v after errors other than timeouts", timeout.current)
	}
	for range 5 {
		timeout.observe(errors.Join(context.DeadlineExceeded))
	}
	if timeout.current != 5*time.Second {
		t.Errorf("%v after five timeouts", timeout.current)
	}
}

// The leader takes 300 ms for each response, and the client's first timeout is 50 ms. The timeout
// must grow until a response arrives in time; with a fixed timeout the client would never get a
// session.
func TestTimeoutGrowsUntilSlowLeaderResponds(t *testing.T) {
	const slow = 300 * time.Millisecond
	var mu sync.Mutex
	opens := 0
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		mu.Lock()
		opens++
		mu.Unlock()
		time.Sleep(slow)
		_ = json.NewEncoder(w).Encode(coord.Response{Code: coord.CodeOK})
	}))
	defer s.Close()
	c := New(Options{
		Coordinators:         map[string]string{"c1": s.Listener.Addr().String()},
		ClientName:           "r",
		TTL:                  10 * time.Second,
		RequestTimeoutMillis: 50,
	})
	ctx, stop := context.WithTimeout(t.Context(), 10*time.Second)
	defer stop()
	if !c.openSession(ctx) {
		t.Error("no session")
	}
	if opens > 5 { // 50, 100, 200, 400 ms
		t.Errorf("%d open commands, want 5 at most", opens)
	}
}
