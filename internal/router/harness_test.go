package router

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"dockhinge.example/dockhinge/internal/admission"
	"dockhinge.example/dockhinge/internal/metrics"
)

// startLoop starts a loop and its clients, and returns the loop and the clients' address.
func startLoop(t *testing.T, memoryMB int64, maxConns int, entries ...listEntry) (*loop, string) {
	t.Helper()
	cfg := testConfig(t, "127.0.0.1:1", endpointList{})
	cfg.Limits.MemoryMB = memoryMB
	l, err := newLoop(cfg, newUpstreams(10*time.Second, time.Second, 100), metrics.New())
	if err != nil {
		t.Fatal(err)
	}
	ln := listenLocal(t)
	s := newClients(l, ln, maxConns)
	s.wg.Go(func() { l.run(t.Context()) })
	s.wg.Go(s.accept)
	l.post(func() { l.updateEndpoints(0, completeList(entries...)) })
	return l, ln.Addr().String()
}

// onLoop runs do on the loop, after the events posted earlier.
func onLoop(l *loop, do func()) {
	done := make(chan struct{})
	l.post(func() { do(); close(done) })
	<-done
}

// eventually waits until holds, which runs on the loop, returns true.
func eventually(t testing.TB, l *loop, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); ; time.Sleep(time.Millisecond) {
		var isTrue bool
		onLoop(l, func() { isTrue = holds() })
		if isTrue {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("timeout after %v waiting for %s", testTimeout, what)
		}
	}
}

// disconnect closes the connection, or resets it like a client whose process is killed.
func (c *client) disconnect(how string) {
	if how == "reset" {
		c.Conn.(*net.TCPConn).SetLinger(0)
	}
	c.Close()
}

// readCommandOfKey returns a read of the given key, with a deadline of d milliseconds.
func readCommandOfKey(key int, id string, d int) string {
	return fmt.Sprintf("mg %016x v O%s Pc=read,t=t,d=%d", key, id, d)
}

// receivedSoFar returns the elements that are in a channel now.
func receivedSoFar(ch chan string) (all []string) {
	for len(ch) > 0 {
		all = append(all, <-ch)
	}
	return all
}

// startLoopAndClients is startLoop with long deadlines; it also returns the clients.
func startLoopAndClients(t *testing.T, memoryMB int64, maxConns int, entries ...listEntry) (*loop, *clients, string) {
	t.Helper()
	cfg := withLongDeadlines(testConfig(t, "127.0.0.1:1", endpointList{}))
	cfg.Limits.MemoryMB = memoryMB
	return startLoopWith(t, cfg, maxConns, entries...)
}

// startLoopWith is startLoopAndClients with a given configuration.
func startLoopWith(t *testing.T, cfg *Config, maxConns int, entries ...listEntry) (*loop, *clients, string) {
	t.Helper()
	l, err := newLoop(cfg, newUpstreams(10*time.Second, time.Second, 100), metrics.New())
	if err != nil {
		t.Fatal(err)
	}
	ln := listenLocal(t)
	s := newClients(l, ln, maxConns)
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { defer close(ended); l.run(ctx) }()
	t.Cleanup(func() { stop(); <-ended })
	s.wg.Go(s.accept)
	l.post(func() { l.updateEndpoints(0, completeList(entries...)) })
	return l, s, ln.Addr().String()
}

// singleSlotAdmission returns a configuration that admits one request at a time.
func singleSlotAdmission() *AdmissionConfig {
	return &AdmissionConfig{
		Rules: admission.Config{OthersWeight: 1, Flows: 8, Buckets: 2, RehashMillis: 10000, QueueLimit: 2,
			ReservationLimit: 8, MaxWaitMillis: 1e6, MaxRetryAfterMillis: 1500,
			InitialLimit: 1, MinLimit: 1, MaxLimit: 1, RetryBudgetShare: 1, RetryBudgetBurst: 10},
		Tenants: admission.TenantRules{{Source: admission.TenantFromClient}},
	}
}

// closeAndAwaitEnd closes the listener and waits until all connections and their goroutines have
// ended.
func (s *clients) closeAndAwaitEnd(t *testing.T) {
	t.Helper()
	s.listener.Close()
	done := make(chan struct{})
	go func() { defer close(done); s.drain(context.Background(), context.Background()) }()
	receive(t, done, "end of all connections")
}

// withLongDeadlines sets all deadlines so high that none expires during a test.
func withLongDeadlines(cfg *Config) *Config {
	for i := range cfg.settings.Config.Classes {
		c := &cfg.settings.Config.Classes[i]
		c.LatencyObjectiveMillis, c.DeadlineMillis, c.IdempotencyWindowMillis = 30000, 60000, 60000
	}
	return cfg
}

// withSettings returns the test configuration with a part of its text replaced.
func withSettings(t *testing.T, cfg *Config, from, to string) *Config {
	t.Helper()
	text := strings.Replace(string(cfg.text), from, to, 1)
	if text == string(cfg.text) {
		t.Fatalf("%s: not in the configuration", from)
	}
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	got, err := LoadConfig(path, func(string) string { return "" })
	if err != nil {
		t.Fatal(err)
	}
	return got
}

// testSettings disallows cancel: otherwise the Balancer would initially cancel reads after some 15
// ms, and results would depend on the speed of the machine.
const testSettings = `{"balancers":1,"myNumber":0,"zone":"a","categories":[` +
	`{"name":"read","effect":"repeatable","keyScope":"all","target":500,"hardLimit":2000,"gain":1},` +
	`{"name":"put","effect":"by_key","keyScope":"all","window":2000,"target":500,"hardLimit":2000,"gain":1},` +
	`{"name":"bill","effect":"once","keyScope":"all","target":500,"hardLimit":2000,"gain":2}],` +
	`"projects":[{"name":"t","quotaPerS":1000}],"kinds":["box","origin"],` +
	`"familyInfo":{"mode":"aside","originKind":1},` +
	`"discovery":"push","weights":"nominal","loadInfo":{"columns":["rps","cpu"],"how":"answers"},` +
	`"caps":{"cancel":false,"mayProbe":true,"maxAttempts":4,"connIdle":10000,"connectTimeout":250},` +
	`"rules":{"cold":8000,"coldFrom":0.3,"overloadFactor":3,"overloadFor":2000}}`

// testTimeout is the timeout for expected events. A passing test does not use it up.
const testTimeout = 10 * time.Second

func listenLocal(t testing.TB) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	return ln
}

// receive returns the next element of a channel, or fails the test after testTimeout.
func receive[T any](t testing.TB, ch <-chan T, what string) T {
	t.Helper()
	select {
	case v := <-ch:
		return v
	case <-time.After(testTimeout):
		t.Fatalf("timeout waiting for %s", what)
		panic("unreachable")
	}
}

// runningRouter is a router under test, with what a test needs to use and stop it.
type runningRouter struct {
	router  *Router
	addr    string
	stop    context.CancelFunc
	done    chan error
	updates chan *Config
}

func testConfig(t testing.TB, discovery string, known endpointList) *Config {
	t.Helper()
	text, err := json.Marshal(map[string]any{"name": "n0", "listen": "127.0.0.1:0", "discovery": discovery,
		"seed": "8c1f30d27a5be964",
		"limits": map[string]any{"cores": 1.0, "memory_mb": 192,
			"sockets": 256}, "known": known, "settings": json.RawMessage(testSettings)})
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		t.Fatal(err)
	}
	cfg, err := LoadConfig(path, func(string) string { return "" })
	if err != nil {
		t.Fatal(err)
	}
	return cfg
}

// newRouter returns a router for a listener.
func newRouter(t testing.TB, cfg *Config, listener net.Listener) *Router {
	t.Helper()
	r, err := New(cfg, listener, metrics.New())
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// startRouter starts a router on a loopback listener.
func startRouter(t testing.TB, cfg *Config) *runningRouter {
	t.Helper()
	listener := listenLocal(t)
	return runRouter(t, newRouter(t, cfg, listener), listener)
}

// runRouter runs a router until the test ends or stop is called.
func runRouter(t testing.TB, router *Router, ln net.Listener) *runningRouter {
	t.Helper()
	ctx, stop := context.WithCancel(t.Context())
	r := &runningRouter{router: router, addr: ln.Addr().String(), stop: stop, done: make(chan error, 1),
		updates: make(chan *Config)}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		r.done <- router.Run(ctx, r.updates)
	}()
	t.Cleanup(func() { stop(); <-ended })
	return r
}

// startReadyRouter starts a router with a fake discovery that lists the entries, and waits until
// it is ready.
func startReadyRouter(t testing.TB, entries ...listEntry) (*runningRouter, *fakeDiscovery) {
	t.Helper()
	d := startFakeDiscovery(t, completeList(entries...))
	r := startRouter(t, testConfig(t, d.Listener.Addr().String(), endpointList{}))
	receive(t, d.calls, "call for the list")
	receive(t, d.calls, "watch")
	c := dialClient(t, r.addr)
	for c.exchange("mn") != "MN" {
	}
	return r, d
}

// client is a client connection for tests.
type client struct {
	net.Conn
	t testing.TB
	r *bufio.Reader
}

func dialClient(t testing.TB, addr string) *client {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(testTimeout))
	return &client{c, t, bufio.NewReader(c)}
}

func (c *client) send(text string) {
	c.t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		c.t.Fatal(err)
	}
}

// nextAnswer returns the next answer and, if it has one, its value, or "EOF".
func (c *client) nextAnswer() string {
	c.t.Helper()
	l, err := c.r.ReadString('\n')
	if err != nil {
		if ne := net.Error(nil); errors.As(err, &ne) && ne.Timeout() {
			c.t.Fatal("no answer")
		}
		return "EOF"
	}
	l = strings.TrimSpace(l)
	if strings.HasPrefix(l, "VA ") {
		v, _ := c.r.ReadString('\n')
		l += " " + strings.TrimSpace(v)
	}
	return l
}

// exchange sends a command and returns its answer.
func (c *client) exchange(command string) string {
	c.t.Helper()
	c.send(command + "\r\n")
	return c.nextAnswer()
}

// readCommandOf returns a read of a fixed key, with a deadline of d milliseconds.
func readCommandOf(id string, d int) string {
	return fmt.Sprintf("mg 7f3a9c21e0b4d655 v O%s Pc=read,t=t,d=%d,h=52000,size=5", id, d)
}

// billCommandOf returns a write that must not run twice, with a deadline of d milliseconds.
func billCommandOf(id string, d int) string {
	return fmt.Sprintf("ms 7f3a9c21e0b4d655 3 O%s Pc=bill,t=t,d=%d\r\nabc", id, d)
}

// expectNoMoreInput fails the test if more input arrives within 100 ms.
func (c *client) expectNoMoreInput() {
	c.t.Helper()
	c.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
	if b, err := c.r.ReadByte(); err == nil {
		c.t.Errorf("unexpected input, first byte %q", b)
	}
}

// originTarget returns the loop's target for the origin.
func originTarget(l *loop) (at *target) {
	onLoop(l, func() {
		for _, t := range l.targets {
			if t.isOrigin {
				at = t
			}
		}
	})
	return at
}
