package client

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"dockhinge.example/dockhinge/internal/coord"
)

// A hundred clients get the same Retry-After. None retries sooner, and their retries are spread
// over half of it. Otherwise they would overload the coordinator again.
func TestRetryDelayIsSpread(t *testing.T) {
	const retryAfter = time.Second
	for _, err := range []error{
		&RetryLaterError{"full", retryAfter},
		errors.Join(errors.New("another"), &RetryLaterError{"full", retryAfter}),
		&RejectedError{coord.Response{Code: coord.CodeLimitReached, RetryAfter: retryAfter}},
	} {
		delays := map[time.Duration]bool{}
		for range 100 {
			d := RetryDelay(err, time.Millisecond)
			if d < retryAfter || d > retryAfter*3/2 {
				t.Fatalf("%v: %v", err, d)
			}
			delays[d] = true
		}
		if len(delays) < 50 {
			t.Errorf("%v: %d distinct delays of 100", err, len(delays))
		}
	}
	if d := RetryDelay(errors.New("another"), time.Millisecond); d != time.Millisecond {
		t.Errorf("%v after an error without a Retry-After", d)
	}
	if d := RetryDelay(&RetryLaterError{"full", time.Hour}, 0); d > maxRetryAfter*3/2 {
		t.Errorf("a Retry-After of an hour gives a delay of %v", d)
	}
	if d := RetryDelay(newRetryLaterError(http.Header{"Retry-After": {"2"}}, []byte("no JSON")), 0); d < 2*time.Second {
		t.Errorf("a delay of %v from the header alone", d)
	}
}

// The session table is full. The client retries no sooner than the Retry-After, and a caller that
// waits for the session gets the coordinators' reason. Otherwise the client would add load to an
// overloaded coordinator, and an operator would not learn why there is no lease.
func TestRejectedClientWaitsForRetryAfter(t *testing.T) {
	const asked = 200 * time.Millisecond
	var mu sync.Mutex
	var attemptTimes []time.Time
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		mu.Lock()
		attemptTimes = append(attemptTimes, time.Now())
		mu.Unlock()
		full := coord.Response{Code: coord.CodeLimitReached, Text: "sessions: 3 at most", RetryAfter: asked}
		_ = json.NewEncoder(w).Encode(full)
	}))
	defer s.Close()
	coordinators := map[string]string{"c1": s.Listener.Addr().String()}
	c := New(Options{Coordinators: coordinators, ClientName: "r", TTL: 10 * time.Second})
	ctx, stop := context.WithTimeout(t.Context(), 6*asked)
	defer stop()
	var wg sync.WaitGroup
	wg.Go(func() { c.Run(ctx) })
	_, err := c.Acquire(ctx, "l", "", 5*time.Second)
	if !errors.Is(err, ErrNoSession) || !strings.Contains(err.Error(), "sessions: 3 at most") {
		t.Errorf("%v", err)
	}
	wg.Wait()
	for i := 1; i < len(attemptTimes); i++ {
		if interval := attemptTimes[i].Sub(attemptTimes[i-1]); interval < asked {
			t.Errorf("attempt %d came %v after the previous one", i, interval)
		}
	}
	if len(attemptTimes) < 2 {
		t.Errorf("%d attempts", len(attemptTimes))
	}
}

// The leader has reached its limit of watchers, and four followers redirect to it. It must be asked
// once; a client that followed each redirect would ask it five times in one call.
func TestFullLeaderIsAskedOnce(t *testing.T) {
	var asked atomic.Int64
	leader := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		asked.Add(1)
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = w.Write([]byte(`{"text":"watchers: 3 at most","retry_after":1000000000}`))
	}))
	defer leader.Close()
	coordinators := map[string]string{"leader": leader.Listener.Addr().String()}
	for _, name := range []string{"f1", "f2", "f3", "f4"} {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusMisdirectedRequest)
			_, _ = w.Write([]byte(`{"leader":"leader","text":"not the leader"}`))
		}))
		defer s.Close()
		coordinators[name] = s.Listener.Addr().String()
	}
	c := New(Options{Coordinators: coordinators, ClientName: "r", TTL: 10 * time.Second})
	_, err := c.Drains(t.Context(), 0)
	var later *RetryLaterError
	if !errors.As(err, &later) || later.RetryAfter != time.Second {
		t.Errorf("%v", err)
	}
	if n := asked.Load(); n != 1 {
		t.Errorf("the leader was asked %d times", n)
	}
}

// The leader doesn't respond in time, and four followers redirect to it. It must be asked once per
// call: the command waits there already, and a retry would lengthen its queue.
func TestSilentLeaderIsAskedOnce(t *testing.T) {
	var asked atomic.Int64
	ended := make(chan struct{})
	leader := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		asked.Add(1)
		select {
		case <-ended:
		case <-r.Context().Done():
		}
	}))
	defer leader.Close()
	defer close(ended)
	coordinators := map[string]string{"leader": leader.Listener.Addr().String()}
	for _, name := range []string{"f1", "f2", "f3", "f4"} {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusMisdirectedRequest)
			_, _ = w.Write([]byte(`{"leader":"leader","text":"not the leader"}`))
		}))
		defer s.Close()
		coordinators[name] = s.Listener.Addr().String()
	}
	c := New(Options{
		Coordinators: coordinators, ClientName: "r", TTL: 10 * time.Second, RequestTimeoutMillis: 50,
	})
	if _, err := c.send(t.Context(), coord.Command{Op: coord.OpKeepAlive}); err == nil {
		t.Error("the command was answered")
	}
	if n := asked.Load(); n != 1 {
		t.Errorf("the leader was asked %d times", n)
	}
}
