package admin

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
)

// fakeRouter is a Router whose answers a test sets.
type fakeRouter struct {
	mu       sync.Mutex
	unready  bool
	disabled map[string]bool // by the id of a known cache server
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

// serve serves r at an admin address until the test ends.
func serve(t *testing.T, r Router) (addr string) {
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

// exchange sends the text of a call over a new connection, and returns the response.
func exchange(t *testing.T, addr, text string) (code int, body string) {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if _, err := io.WriteString(conn, text); err != nil {
		t.Fatal(err)
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatalf("%.60q: %v", text, err)
	}
	defer response.Body.Close()
	b, _ := io.ReadAll(response.Body) // fails if the server closes before it has read the whole call
	return response.StatusCode, strings.TrimSpace(string(b))
}

// requestHeader returns the header of a call, with additional lines.
func requestHeader(method, path string, lines ...string) string {
	text := method + " " + path + " HTTP/1.1\r\nHost: x\r\n"
	for _, line := range lines {
		text += line + "\r\n"
	}
	return text + "\r\n"
}

// Each documented call must have its status and body, and anything else a status for an unknown
// call.
func TestCallsAreAnswered(t *testing.T) {
	f := &fakeRouter{disabled: map[string]bool{"s-0b": false}}
	addr := serve(t, f)
	for _, c := range []struct {
		method, path string
		code         int
		body         string
	}{
		{"GET", "/-/ready", 200, "ready"},
		{"GET", "/-/metrics", 200, `{"concurrent":3}`},
		{"GET", "/-/admission", 200, `{"waiting":3}`},
		{"PUT", "/-/cache-servers/s-0b/disable", 204, ""},
		{"PUT", "/-/cache-servers/s-0b/disable", 204, ""},
		{"PUT", "/-/cache-servers/s-0b/enable", 204, ""},
		{"PUT", "/-/cache-servers/s-0c/disable", 404, "no such cache server"},
		{"PUT", "/-/cache-servers/s-0c/enable", 404, "no such cache server"},
		{"POST", "/-/cache-servers/s-0b/disable", 405, "Method Not Allowed"},
		{"PUT", "/-/ready", 405, "Method Not Allowed"},
		{"DELETE", "/-/metrics", 405, "Method Not Allowed"},
		{"GET", "/", 404, "404 page not found"},
		{"GET", "/-/nothing", 404, "404 page not found"},
		{"GET", "/-//ready", 404, "404 page not found"},
		{"GET", "/-/x/../ready", 404, "404 page not found"},
		{"PUT", "/-/cache-servers//disable", 404, "404 page not found"},
	} {
		code, body := exchange(t, addr, requestHeader(c.method, c.path))
		if code != c.code || body != c.body {
			t.Errorf("%s %s: got %d %q, want %d %q", c.method, c.path, code, body, c.code, c.body)
		}
	}
	f.mu.Lock()
	f.unready = true
	f.err = errors.New("too busy")
	f.mu.Unlock()
	if code, _ := exchange(t, addr, requestHeader("GET", "/-/ready")); code != 503 {
		t.Errorf("not ready: got %d", code)
	}
	code, body := exchange(t, addr, requestHeader("PUT", "/-/cache-servers/s-0b/disable"))
	if code != 503 || body != "too busy" {
		t.Errorf("call that fails: got %d %q", code, body)
	}
	if code, body := exchange(t, addr, requestHeader("GET", "/-/admission")); code != 404 || body != "not switched on" {
		t.Errorf("admission not enabled: got %d %q", code, body)
	}
}

// Malformed and oversized calls must be rejected with a matching status. A small body is accepted.
func TestMalformedAndOversizedCallsAreRejected(t *testing.T) {
	const disable = "/-/cache-servers/s-0b/disable"
	addr := serve(t, &fakeRouter{disabled: map[string]bool{"s-0b": false}})
	for name, c := range map[string]struct {
		text string
		code int
	}{
		"not HTTP":    {"what is this\r\n\r\n", 400},
		"no host":     {"GET /-/ready HTTP/1.1\r\n\r\n", 400},
		"bad escape":  {requestHeader("GET", "/-/%zz"), 400},
		"long header": {requestHeader("GET", "/-/ready", "X: "+strings.Repeat("a", 64<<10)), 431},
		"long body":   {requestHeader("PUT", disable, "Content-Length: 5000") + strings.Repeat("a", 5000), 413},
		"bad chunk":   {requestHeader("PUT", disable, "Transfer-Encoding: chunked") + "zz\r\n\r\n", 400},
		"small body":  {requestHeader("PUT", disable, "Content-Length: 2") + "{}", 204},
		"bad version": {"GET /-/ready HTTP/3.9\r\nHost: x\r\n\r\n", 505},
	} {
		t.Run(name, func(t *testing.T) {
			if code, _ := exchange(t, addr, c.text); code != c.code {
				t.Errorf("got %d, want %d", code, c.code)
			}
		})
	}
}

// A caller disconnects in the middle of a call's body. The call must have no effect, as the caller
// may not have intended it.
func TestIncompleteCallHasNoEffect(t *testing.T) {
	f := &fakeRouter{disabled: map[string]bool{"s-0b": false}}
	addr := serve(t, f)
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	io.WriteString(c, requestHeader("PUT", "/-/cache-servers/s-0b/disable", "Content-Length: 20")+"half")
	c.(*net.TCPConn).CloseWrite()
	io.ReadAll(c) //nolint:errcheck // until the server closes the connection
	c.Close()
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.disabled["s-0b"] {
		t.Error("an incomplete call had an effect")
	}
}

// Three times as many callers connect as the address accepts, and send nothing or half a call. An
// ordinary call must still be answered; if the first connections were kept, operators would be
// locked out.
func TestSilentCallersDoNotBlockOthers(t *testing.T) {
	addr := serve(t, &fakeRouter{})
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
		if code, _ := exchange(t, addr, requestHeader("GET", "/-/ready")); code != 200 {
			t.Fatalf("got %d", code)
		}
	}
}
