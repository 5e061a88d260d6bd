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

// A coordinator is slow, then others refuse connections. The timeout doubles only where a response
// didn't come in time, up to half of the session's TTL. A client that doubled it after every error
// would wait long for a coordinator that is back; one that never did would lengthen a slow leader's
// queue.
func TestRequestTimeoutBackoff(t *testing.T) {
	p := New(Options{TTL: 10 * time.Second}).newRequestTimeout()
	if p.current != time.Second {
		t.Errorf("it begins with %v", p.current)
	}
	p.observe(nil)
	p.observe(errors.New("connection refused"))
	if p.current != time.Second {
		t.Errorf("%v after other errors", p.current)
	}
	for range 5 {
		p.observe(errors.Join(context.DeadlineExceeded))
	}
	if p.current != 5*time.Second {
		t.Errorf("%v after many", p.current)
	}
}

// The leader needs 300 ms for each response, and the client waits 50 ms at first. The timeout grows
// until the response comes in time, so that the session is opened; with a fixed timeout the client
// would ask for ever and never have a session.
func TestSlowLeader(t *testing.T) {
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
		t.Errorf("asked %d times", opens)
	}
}
