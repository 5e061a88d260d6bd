package admin

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
)

type fakeRouter struct {
	mu       sync.Mutex
	unready  bool
	disabled map[string]bool
	err      error
}

func (f *fakeRouter) Ready() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.unready
}

func (f *fakeRouter) Metrics() ([]byte, error) { return []byte(`{"concurrent":3}`), nil }

func (f *fakeRouter) SetDisabled(_ context.Context, id string, disabled bool) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, known := f.disabled[id]; !known {
		return ErrUnknownServer
	}
	if f.err == nil {
		f.disabled[id] = disabled
	}
	return f.err
}

func (f *fakeRouter) AdmissionState(context.Context) ([]byte, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.unready {
		return nil, ErrNotEnabled
	}
	return []byte(`{"waiting":3}`), f.err
}

func start(t *testing.T, r Router) (addr string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { Serve(ctx, ln, r) })
	t.Cleanup(func() { stop(); wg.Wait() })
	return ln.Addr().String()
}

func call(t *testing.T, addr, text string) (code int, body string) {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatalf("%.60q: %v", text, err)
	}
	defer resp.Body.Close()
	b, _ := io.ReadAll(resp.Body) // where the call was not read whole, the close may cross it
	return resp.StatusCode, strings.TrimSpace(string(b))
}

func TestCalls(t *testing.T) {
	f := &fakeRouter{disabled: map[string]bool{"s-0b": false}}
	addr := start(t, f)
	for _, c := range []struct {
		method, path string
		code         int
		body         string
	}{
		{"GET", "/-/ready", 200, "ready"},
		{"GET", "/-/metrics", 200, `{"concurrent":3}`},
		{"PUT", "/-/cache-servers/s-0b/disable", 204, ""},
		{"PUT", "/-/cache-servers/s-0b/disable", 204, ""},
		{"PUT", "/-/cache-servers/s-0b/enable", 204, ""},
		{"PUT", "/-/cache-servers/s-0c/disable", 404, ErrUnknownServer.Error()},
		{"PUT", "/-/cache-servers/s-0c/enable", 404, ErrUnknownServer.Error()},
		{"POST", "/-/cache-servers/s-0b/disable", 405, "Method Not Allowed"},
		{"PUT", "/-/ready", 405, "Method Not Allowed"},
		{"DELETE", "/-/metrics", 405, "Method Not Allowed"},
		{"GET", "/", 404, "404 page not found"},
		{"GET", "/-/nothing", 404, "404 page not found"},
		{"GET", "/-//ready", 404, "404 page not found"},
		{"GET", "/-/x/../ready", 404, "404 page not found"},
		{"PUT", "/-/cache-servers//disable", 404, "404 page not found"},
	} {
		code, body := call(t, addr, fmt.Sprintf("%s %s HTTP/1.1\r\nHost: x\r\n\r\n", c.method, c.path))
		if code != c.code || body != c.body {
			t.Errorf("%s %s: got %d %q, want %d %q", c.method, c.path, code, body, c.code, c.body)
		}
	}
	f.mu.Lock()
	f.unready, f.err = true, errors.New("too busy")
	f.mu.Unlock()
	if code, _ := call(t, addr, "GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n"); code != 503 {
		t.Errorf("not ready: got %d", code)
	}
	if code, body := call(t, addr, "PUT /-/cache-servers/s-0b/disable HTTP/1.1\r\nHost: x\r\n\r\n"); code != 503 || body != "too busy" {
		t.Errorf("not done: got %d %q", code, body)
	}
}

func TestMalformedAndOversizedCallsGetANo(t *testing.T) {
	addr := start(t, &fakeRouter{disabled: map[string]bool{"s-0b": false}})
	for name, c := range map[string]struct {
		text string
		code int
	}{
		"noise":       {"what is this\r\n\r\n", 400},
		"no host":     {"GET /-/ready HTTP/1.1\r\n\r\n", 400},
		"bad escape":  {"GET /-/%zz HTTP/1.1\r\nHost: x\r\n\r\n", 400},
		"long head":   {"GET /-/ready HTTP/1.1\r\nHost: x\r\nX: " + strings.Repeat("a", 64<<10) + "\r\n\r\n", 431},
		"long body":   {"PUT /-/cache-servers/s-0b/disable HTTP/1.1\r\nHost: x\r\nContent-Length: 5000\r\n\r\n" + strings.Repeat("a", 5000), 413},
		"bad chunk":   {"PUT /-/cache-servers/s-0b/disable HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n\r\n", 400},
		"small body":  {"PUT /-/cache-servers/s-0b/disable HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\n{}", 204},
		"bad version": {"GET /-/ready HTTP/3.9\r\nHost: x\r\n\r\n", 505},
	} {
		if code, _ := call(t, addr, c.text); code != c.code {
			t.Errorf("%s: got %d, want %d", name, code, c.code)
		}
	}
}

// A call whose body has not come whole asks for nothing.
func TestHalfACallDoesNothing(t *testing.T) {
	f := &fakeRouter{disabled: map[string]bool{"s-0b": false}}
	addr := start(t, f)
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	io.WriteString(c, "PUT /-/cache-servers/s-0b/disable HTTP/1.1\r\nHost: x\r\nContent-Length: 20\r\n\r\nhalf")
	c.(*net.TCPConn).CloseWrite()
	io.ReadAll(c) //nolint:errcheck // until it is closed
	c.Close()
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.disabled["s-0b"] {
		t.Error("half a call was carried out")
	}
}

// Callers that say nothing, or keep dribbling, by more than the address takes: a usual call is answered beside them.
func TestSilentCallersGiveWay(t *testing.T) {
	addr := start(t, &fakeRouter{})
	for i := range 3 * MaxConns {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		if i%2 == 0 {
			io.WriteString(c, "GET /-/rea")
		}
	}
	for range 5 {
		if code, _ := call(t, addr, "GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n"); code != 200 {
			t.Fatalf("got %d", code)
		}
	}
}
