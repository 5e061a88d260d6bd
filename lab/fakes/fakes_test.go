package fakes

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"dockhinge.example/dockhinge/lab/checker"
	"dockhinge.example/dockhinge/lab/model"
)

const maxWait = 20 * time.Second // timeout for expected events; a test that passes does not wait for it

type rig struct {
	clock   *Clock
	journal *checker.Journal
}

func newRig() rig { return rig{NewClock(), checker.NewJournal(1 << 16)} }

var fastModel = model.Params{Cores: 4, Speed: 1, Queue: 50, Memory: 16 << 20, KeyedMS: 1000}

// server starts a fake server. By default each request costs a millisecond of work and has a value of 5
// bytes.
func (r rig) server(t testing.TB, id string, p model.Params, o Options) *Server {
	t.Helper()
	o.ID, o.Model, o.Clock, o.Journal = id, p, r.clock, r.journal
	if o.Work == nil {
		o.Work = func(string, string, string) (float64, int) { return 1, 5 }
	}
	s, err := Start("127.0.0.1:0", o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s
}

// peer is a client connection.
type peer struct {
	net.Conn
	r *bufio.Reader
	t testing.TB
}

func connect(t testing.TB, addr string) *peer {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	if err := c.SetDeadline(time.Now().Add(maxWait)); err != nil {
		t.Fatal(err)
	}
	return &peer{c, bufio.NewReader(c), t}
}

func (p *peer) send(form string, v ...any) {
	p.t.Helper()
	if _, err := fmt.Fprintf(p, form, v...); err != nil {
		p.t.Fatal(err)
	}
}

// line reads one line; it returns "closed" if the connection has ended.
func (p *peer) line() string {
	text, err := p.r.ReadString('\n')
	if err != nil {
		return "closed"
	}
	return strings.TrimRight(text, "\r\n")
}

func (p *peer) get(key, id string) string {
	p.send("mg %s v O%s Pc=read,d=500\r\n", key, id)
	return p.line()
}

// waitForEvent waits for an event in the journal that matches.
func (r rig) waitForEvent(t testing.TB, what string, matches func(checker.Event) bool) checker.Event {
	t.Helper()
	for end := time.Now().Add(maxWait); time.Now().Before(end); time.Sleep(time.Millisecond) {
		events, _ := r.journal.Events()
		for _, e := range events {
			if matches(e) {
				return e
			}
		}
	}
	t.Fatalf("no %s was recorded", what)
	panic("unreachable")
}

func TestServerAnswersMetaCommands(t *testing.T) {
	r := newRig()
	s := r.server(t, "s1", fastModel, Options{Probes: true})
	p := connect(t, s.Addr())
	p.send("mn\r\n")
	if got := p.line(); got != "MN" {
		t.Errorf("mn: got %q", got)
	}
	if got := p.get("k", "1"); got != "EN O1 h0" {
		t.Errorf("read of a missing key: got %q", got)
	}
	s.Store("k", 5)
	if got := p.get("k", "2"); got != "VA 5 O2 h1" {
		t.Errorf("read of a stored key: got %q", got)
	}
	if got := p.line(); got != "2 k s" {
		t.Errorf("value of the stored key: got %q", got)
	}
	p.send("ms k 3 O3 Pc=put,d=500\r\nabc\r\n") // cache servers execute no writes
	if got := p.line(); got != "EN O3" {
		t.Errorf("write: got %q", got)
	}
	p.send("stats load\r\n")
	if got := p.line(); !strings.HasPrefix(got, "STAT qps ") {
		t.Errorf("stats load: got %q", got)
	}
	for p.line() != "END" {
	}
	p.send("mg k\r\n")
	if got := p.line(); !strings.HasPrefix(got, "CLIENT_ERROR") || p.line() != "closed" {
		t.Errorf("malformed command: got %q", got)
	}
}

func TestPipelinedAnswersKeepRequestOrder(t *testing.T) {
	r := newRig()
	s := r.server(t, "s1", fastModel, Options{Work: func(id, _, _ string) (float64, int) {
		return map[string]float64{"1": 40}[id] + 1, 5
	}})
	s.Store("k", 5)
	p := connect(t, s.Addr())
	p.send("mg k v O1 Pc=read\r\nmg k v O2 Pc=read\r\n")
	for _, want := range []string{"VA 5 O1 h1", "1 k s", "VA 5 O2 h1", "2 k s"} {
		if got := p.line(); got != want {
			t.Errorf("got %q, want %q", got, want)
		}
	}
	events, _ := r.journal.Events() // the second request ran concurrently with the first, and ended before it
	if events[2].Kind != checker.AttemptEnded || events[2].Request != "2" {
		t.Errorf("got events %+v", events)
	}
}

func TestOriginAnswersHTTPAndDropsRepeats(t *testing.T) {
	r := newRig()
	p := fastModel
	p.Origin = true
	s := r.server(t, "o", p, Options{})
	do := func(method, key, id, facts, body string) (int, string) {
		req, err := http.NewRequest(method, "http://"+s.Addr()+"/"+key, strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		req.Header.Set("X-Correlation-Id", id)
		req.Header.Set("X-Facts", facts)
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		defer resp.Body.Close()
		text, err := io.ReadAll(resp.Body)
		if err != nil {
			t.Fatal(err)
		}
		return resp.StatusCode, string(text)
	}
	if code, body := do("GET", "k", "1", "c=read,d=500", ""); code != 200 || body != "1 k o" {
		t.Errorf("read: got %d %q", code, body)
	}
	for i, want := range []string{"w", "w"} { // the repeat gets the same receipt, and is not executed again
		if code, body := do("PUT", "k", fmt.Sprint(2+i), "c=put,d=500,k=w", "abc"); code != 200 || body != want {
			t.Errorf("write: got %d %q", code, body)
		}
	}
	executed := 0
	events, _ := r.journal.Events()
	for _, e := range events {
		if e.Kind == checker.EffectExecuted {
			executed++
		}
	}
	if executed != 1 {
		t.Errorf("the keyed write was executed %d times", executed)
	}
	s.SetFaults(Faults{Corruption: "busy", Share: 1})
	if code, _ := do("GET", "k", "9", "c=read", ""); code != 503 {
		t.Errorf("rejected request: got status %d", code)
	}
	if code, _ := do("GET", "k", "", "c=read", ""); code != 400 {
		t.Errorf("request without an id: got status %d", code)
	}
}

func TestEachCorruptionReachesTheClient(t *testing.T) {
	for _, corruption := range Corruptions {
		t.Run(corruption, func(t *testing.T) {
			r := newRig()
			s := r.server(t, "s1", fastModel, Options{})
			s.Store("k", 5)
			s.SetFaults(Faults{Corruption: corruption, Share: 1})
			p := connect(t, s.Addr())
			got := p.get("k", "1")
			isComplete := got == "VA 5 O1 h1" && p.line() == "1 k s"
			switch corruption {
			case "twice", "late":
				if !isComplete || p.line() != "VA 5 O1 h1" {
					t.Errorf("no second copy after %q", got)
				}
			case "busy":
				if got != "SERVER_ERROR busy" {
					t.Errorf("got %q", got)
				}
			case "cut", "reset", "endless":
				if isComplete {
					t.Errorf("got a complete answer: %q", got)
				}
			default:
				if isComplete || got == "closed" {
					t.Errorf("got %q", got)
				}
			}
			e := r.waitForEvent(t, "end of the attempt", func(e checker.Event) bool {
				return e.Kind == checker.AttemptEnded
			})
			if want := map[bool]checker.End{
				true: checker.Rejected, false: checker.Completed,
			}[corruption == "busy"]; e.End != want {
				t.Errorf("the attempt ended as %v", e.End)
			}
		})
	}
}

func TestClosedConnectionCancelsItsRequests(t *testing.T) {
	r := newRig()
	s := r.server(t, "s1", fastModel, Options{Work: func(string, string, string) (float64, int) { return 1e6, 5 }})
	s.Store("k", 5)
	p := connect(t, s.Addr())
	p.send("mg k v O1 Pc=read\r\n")
	r.waitForEvent(t, "attempt", func(e checker.Event) bool { return e.Kind == checker.AttemptReceived })
	p.Close()
	if e := r.waitForEvent(t, "end", func(e checker.Event) bool {
		return e.Kind == checker.AttemptEnded
	}); e.End != checker.Dropped {
		t.Errorf("the attempt ended as %v, want Dropped", e.End)
	}
	if held, _ := s.Load(); held != 0 {
		t.Errorf("%d requests held after the close", held)
	}
}

func TestKilledServerResetsConnectionsAndRestartsCold(t *testing.T) {
	r := newRig()
	p := fastModel
	p.ColdFrom, p.ColdMS = 0.3, 60000
	s := r.server(t, "s1", p, Options{Work: func(string, string, string) (float64, int) { return 1, MaxValue }})
	s.Store("k", MaxValue)
	s.SetFaults(Faults{BytesPerS: 100_000})
	c := connect(t, s.Addr())
	if got := c.get("k", "1"); got != fmt.Sprintf("VA %d O1 h1", MaxValue) {
		t.Fatalf("got %q", got)
	}
	if _, err := io.CopyN(io.Discard, c.r, 5000); err != nil {
		t.Fatal(err)
	}
	s.Kill()
	if n, err := io.Copy(io.Discard, c.r); err == nil || n >= MaxValue {
		t.Errorf("%d further bytes, %v: want a reset", n, err)
	}
	if _, err := net.Dial("tcp", s.Addr()); err == nil || s.IsUp() {
		t.Error("a killed server accepts connections")
	}
	if err := s.Restart(); err != nil {
		t.Fatal(err)
	}
	s.SetFaults(Faults{})
	if got := connect(t, s.Addr()).get("k", "2"); got != "EN O2 h0" {
		t.Errorf("read after the restart: got %q", got)
	}
	if _, warmth := s.Load(); warmth > 0.9 {
		t.Errorf("warmth %v after the restart", warmth)
	}
}

func TestEndOfSilenceResetsConnections(t *testing.T) {
	r := newRig()
	s := r.server(t, "s1", fastModel, Options{})
	p := connect(t, s.Addr())
	p.get("k", "1")
	s.SetFaults(Faults{Silent: true})
	p.send("mg k v O2 Pc=read\r\n")
	unanswered := connect(t, s.Addr()) // it connects, and gets no answer
	unanswered.send("mn\r\n")
	if err := unanswered.SetReadDeadline(time.Now().Add(50 * time.Millisecond)); err != nil {
		t.Fatal(err)
	}
	var timeout net.Error
	if _, err := unanswered.r.ReadByte(); !errors.As(err, &timeout) || !timeout.Timeout() {
		t.Errorf("read from a silent server: got %v, want a timeout", err)
	}
	s.SetFaults(Faults{})
	if got := p.line(); got != "closed" {
		t.Errorf("got %q", got)
	}
}

func TestConnectionLimitAndIdleTimeout(t *testing.T) {
	r := newRig()
	p := fastModel
	p.Conns = 1
	s := r.server(t, "s1", p, Options{IdleMS: 80})
	first := connect(t, s.Addr())
	first.get("k", "1")
	if c, err := net.Dial("tcp", s.Addr()); err == nil { // it may be reset before the dial returns
		defer c.Close()
		if got, err := bufio.NewReader(c).ReadString('\n'); err == nil {
			t.Errorf("a connection over the limit got %q", got)
		}
	}
	if got := first.line(); got != "closed" {
		t.Errorf("idle connection: got %q, want it closed", got)
	}
}

func TestCollapsedServerStaysDown(t *testing.T) {
	r := newRig()
	p := fastModel
	p.ColdFrom, p.ColdMS, p.Queue, p.FallMultiple, p.FallForMS = 0.3, 60000, 10000, 3, 100
	s := r.server(t, "s1", p, Options{Work: func(string, string, string) (float64, int) { return 100, 5 }})
	if err := s.Restart(); err != nil {
		t.Fatal(err)
	}
	c := connect(t, s.Addr())
	for i := range 50 { // the budget of a window is 3 * 1.2 work/ms * 100 ms = 360
		if _, err := fmt.Fprintf(c, "mg k v O%d Pc=read\r\n", i); err != nil {
			break // the server is down
		}
	}
	collapse := r.waitForEvent(t, "collapse", func(e checker.Event) bool { return e.Kind == checker.ServerCollapsed })
	if collapse.Began != collapse.At-100 {
		t.Errorf("the window began at %v, and the server collapsed at %v", collapse.Began, collapse.At)
	}
	if e := r.waitForEvent(t, "attempt", func(e checker.Event) bool {
		return e.Kind == checker.AttemptReceived
	}); e.Work != 100 {
		t.Errorf("got work %v of an attempt, want 100", e.Work)
	}
	for end := time.Now().Add(maxWait); s.IsUp(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the collapsed server is still up")
		}
	}
}

func TestDiscoveryAnswersListsAndWatchesUntilDown(t *testing.T) {
	r := newRig()
	d := NewDiscovery(model.DirectoryParams{}, 1,
		[]model.Entry{{ID: "s1", Addr: "1.1.1.1:1", State: "active"}}, r.clock, r.journal)
	t.Cleanup(d.Close)
	addr, err := d.OpenListener("r0", func(e model.Entry) string { return "via " + e.Addr })
	if err != nil {
		t.Fatal(err)
	}
	call := func(query string) (l model.List, code int) {
		resp, err := http.Get("http://" + addr + "/v1/servers" + query)
		if err != nil {
			t.Error(err)
			return l, 0
		}
		defer resp.Body.Close()
		_ = json.NewDecoder(resp.Body).Decode(&l) // errors are not JSON
		return l, resp.StatusCode
	}
	if l, _ := call(""); !l.Full || l.Servers[0].Addr != "via 1.1.1.1:1" {
		t.Errorf("full list: got %+v", l)
	}
	if l, _ := call("?after=1&wait_ms=1"); l.Full || len(l.Servers) != 0 || l.Version != 1 {
		t.Errorf("watch without changes: got %+v", l)
	}
	var wg sync.WaitGroup
	wg.Go(func() {
		if l, _ := call("?after=1&wait_ms=20000"); len(l.Servers) != 1 || l.Servers[0].State != "leaving" {
			t.Errorf("watch with a change: got %+v", l)
		}
	})
	d.ScheduleChange(model.Entry{ID: "s1", State: "leaving"})
	wg.Wait()
	r.waitForEvent(t, "state sent to the router", func(e checker.Event) bool {
		return e.Kind == checker.ServerStateSent && e.State == "leaving" && e.Router == "r0"
	})
	wg.Go(func() {
		if _, code := call("?after=2&wait_ms=20000"); code != http.StatusServiceUnavailable {
			t.Errorf("watch when discovery goes down: got status %d", code)
		}
	})
	d.SetDown(true)
	wg.Wait()
	d.SetDown(false)
	d.Rewind(1)
	if l, _ := call("?after=2&wait_ms=20000"); !l.Full || l.Version != 1 {
		t.Errorf("call after a rewind: got %+v", l)
	}
	if _, code := call("?after=x&wait_ms=1"); code != http.StatusBadRequest {
		t.Errorf("malformed call: got status %d", code)
	}
}

func TestRelayHoldsCutsAndDelaysTraffic(t *testing.T) {
	r := newRig()
	s := r.server(t, "s1", fastModel, Options{})
	relay, err := NewRelay(s.Addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(relay.Close)
	p := connect(t, relay.Addr())
	if got := p.get("k", "1"); got != "EN O1 h0" {
		t.Errorf("got %q", got)
	}
	relay.SetConditions(NetworkConditions{HoldFromTarget: true}) // the request arrives, and its answer is held back
	p.send("mg k v O2 Pc=read\r\n")
	r.waitForEvent(t, "attempt behind a one-way partition", func(e checker.Event) bool {
		return e.Kind == checker.AttemptEnded && e.Request == "2"
	})
	relay.SetConditions(NetworkConditions{})
	if got := p.line(); got != "EN O2 h0" {
		t.Errorf("after the partition: got %q", got)
	}
	relay.SetConditions(NetworkConditions{HoldToTarget: true})
	p.send("mg k v O3 Pc=read\r\n")
	relay.SetConditions(NetworkConditions{Cut: true})
	// The reset may arrive before the dial has completed: the dial fails then.
	if c, err := net.Dial("tcp", relay.Addr()); err == nil {
		refused := &peer{c, bufio.NewReader(c), t}
		if got := refused.line(); got != "closed" {
			t.Errorf("new connection during a cut: got %q", got)
		}
		c.Close()
	} else if !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("new connection during a cut: got %v", err)
	}
	relay.SetConditions(NetworkConditions{}) // resets the connections open during the cut
	if got := p.line(); got != "closed" {
		t.Errorf("connection after the cut: got %q", got)
	}
	events, _ := r.journal.Events()
	for _, e := range events {
		if e.Request == "3" {
			t.Error("a request that was held back arrived")
		}
	}
	relay.SetConditions(NetworkConditions{DelayMS: 30})
	began := r.clock.Now()
	if got := connect(t, relay.Addr()).get("k", "4"); got != "EN O4 h0" || r.clock.Now()-began < 60 {
		t.Errorf("delay of 30 ms each way: got %q after %.0f ms", got, r.clock.Now()-began)
	}
}

func TestFrontNoticesRouterDeathLate(t *testing.T) {
	f := NewFront(NewClock())
	if _, _, err := f.Pick(""); !errors.Is(err, ErrNoRouter) {
		t.Error(err)
	}
	f.AddRouter("r0", "a", "x:0")
	f.AddRouter("r1", "b", "x:1")
	for range 4 {
		if name, _, _ := f.Pick("b"); name != "r1" {
			t.Errorf("a client of zone b got router %s", name)
		}
	}
	f.ReportRouterDeath("r1", 1e6)
	if name, _, _ := f.Pick("b"); name != "r1" {
		t.Errorf("the death was noticed at once: got router %s", name)
	}
	f.ReportRouterDeath("r1", -1)
	if name, _, _ := f.Pick("b"); name != "r0" {
		t.Errorf("the death was not noticed: got router %s", name)
	}
	f.AddRouter("r1", "b", "x:2")
	if _, addr, _ := f.Pick("b"); addr != "x:2" {
		t.Errorf("the restarted router has address %s", addr)
	}
}
