package fleet

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"dockhinge.example/dockhinge/lab/model"
	"dockhinge.example/dockhinge/lab/scenario"
)

// TestMain runs the test binary as a fake router if FAKE_ROUTER is set: a simple router that keeps
// the rules, or one that breaks the rule of its mode.
func TestMain(m *testing.M) {
	if mode := os.Getenv("FAKE_ROUTER"); mode != "" {
		if err := runFakeRouter(mode); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	code := m.Run()
	os.RemoveAll(builtDir) // "" where nothing was built
	os.Exit(code)
}

type fakeRouterState struct {
	mode      string
	discovery string

	mu   sync.Mutex
	list model.List
	turn int
}

func runFakeRouter(mode string) error {
	var c struct {
		Listen, Discovery string
		Admin             string `json:"admin_addr"`
		Known             model.List
	}
	text, err := os.ReadFile(os.Getenv("GW_CONFIG"))
	if err == nil {
		err = json.Unmarshal(text, &c)
	}
	if err != nil {
		return err
	}
	f := &fakeRouterState{mode: mode, discovery: c.Discovery, list: c.Known}
	ln, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return err
	}
	go f.pollList()
	var accepted atomic.Int64
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			if f.mode == "closes-unread" && accepted.Add(1)%3 == 0 {
				conn.Close()
				continue
			}
			go f.serve(conn)
		}
	}()
	return http.ListenAndServe(c.Admin, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if mode == "never-ready" {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		fmt.Fprintln(w, "ready")
	}))
}

// pollList polls the endpoint list. In mode "drained" it ignores the answers.
func (f *fakeRouterState) pollList() {
	for ; f.mode != "never-asks"; time.Sleep(50 * time.Millisecond) {
		resp, err := http.Get("http://" + f.discovery + "/v1/servers")
		if err != nil {
			continue
		}
		var l model.List
		err = json.NewDecoder(resp.Body).Decode(&l)
		resp.Body.Close()
		if err == nil && f.mode != "drained" {
			f.mu.Lock()
			f.list = l
			f.mu.Unlock()
		}
	}
}

// targets returns the active cache servers, rotated by one at each call, and the origin.
func (f *fakeRouterState) targets() (cache []model.Entry, origin model.Entry) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.turn++
	for _, e := range f.list.Servers {
		if e.Kind == "origin" {
			origin = e
		} else if e.State == "active" {
			cache = append(cache, e)
		}
	}
	slices.SortFunc(cache, func(a, b model.Entry) int { return strings.Compare(a.ID, b.ID) })
	if len(cache) > 0 {
		n := f.turn % len(cache)
		cache = append(cache[n:], cache[:n]...)
	}
	return cache, origin
}

func (f *fakeRouterState) serve(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	for n := 0; ; n++ {
		line, err := r.ReadString('\n')
		if err != nil {
			return
		}
		arrived := time.Now()
		w := strings.Fields(line)
		var body []byte
		if w[0] == "ms" {
			var size int
			fmt.Sscan(w[2], &size)
			body = make([]byte, size+2)
			if _, err := io.ReadFull(r, body); err != nil {
				return
			}
		}
		id := ""
		for _, x := range w {
			if x[0] == 'O' {
				id = x[1:]
			}
		}
		isConnected := func() bool { return f.mode == "ignores-disconnects" || !clientDisconnected(c, r) }
		answer := f.fetchAnswer(line, w, id, body, arrived, isConnected)
		switch {
		case f.mode == "no-answer" && n%5 == 4:
			continue
		case f.mode == "two-answers":
			answer += answer
		case f.mode == "altered" && strings.HasPrefix(answer, "VA"):
			answer = answer[:len(answer)-3] + "!\r\n"
		}
		if _, err := io.WriteString(c, answer); err != nil {
			return
		}
	}
}

// fetchAnswer returns the answer to a request: that of a cache server, or of the origin after a miss
// and for a write.
func (f *fakeRouterState) fetchAnswer(line string, w []string, id string, body []byte,
	arrived time.Time, isConnected func() bool) string {
	if f.mode == "rejects" {
		return "SERVER_ERROR busy\r\n"
	}
	cache, origin := f.targets()
	if f.mode == "cold" {
		for _, e := range cache {
			sendToServer(e.Addr, strings.Repeat(strings.ReplaceAll(line, "O"+id, "Onone"), 120), false)
		}
	}
	if w[0] == "mg" {
		asked := cache[:min(1, len(cache))]
		if f.mode == "attempts" {
			asked = []model.Entry{cache[0], cache[0], cache[0], cache[0]}
		}
		for _, e := range asked {
			if f.mode == "copies" {
				sendToServer(cache[len(cache)-1].Addr, line, false)
			}
			if got := sendToServer(e.Addr, line, true); strings.HasPrefix(got, "VA") && f.mode != "attempts" {
				return got
			}
		}
	}
	facts := strings.TrimPrefix(w[len(w)-1], "P")
	if f.mode != "long-hint" {
		facts = withRemaining(facts, arrived)
	} else {
		facts = strings.ReplaceAll(facts, "d=", "d=1") // over 10 s more than the client waits
	}
	http := "GET /" + w[1] + " HTTP/1.1\r\nHost: o\r\n"
	if body != nil {
		http = fmt.Sprintf("PUT /%s HTTP/1.1\r\nHost: o\r\nContent-Length: %d\r\n", w[1], len(body)-2)
		body = body[:len(body)-2]
	}
	http += "X-Correlation-Id: " + id + "\r\nX-Facts: " + facts + "\r\n\r\n" + string(body)
	if !isConnected() {
		return ""
	}
	got := fetchFromOrigin(origin.Addr, http)
	if f.mode == "repeats" && strings.Contains(facts, "c=tag") {
		got = fetchFromOrigin(origin.Addr, http)
	}
	switch {
	case f.mode == "refuses" && body != nil:
		return "SERVER_ERROR busy\r\n"
	case got == "":
		return "SERVER_ERROR failed\r\n"
	case body != nil:
		return "HD O" + id + " c" + got + "\r\n"
	}
	return fmt.Sprintf("VA %d O%s\r\n%s\r\n", len(got), id, got)
}

// clientDisconnected reports whether the client is known to have closed its connection.
func clientDisconnected(c net.Conn, r *bufio.Reader) bool {
	_ = c.SetReadDeadline(time.Now().Add(time.Millisecond))
	defer c.SetReadDeadline(time.Time{})
	_, err := r.Peek(1)
	return err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
}

// withRemaining replaces the deadline in a list of names and values by the time that is left of it.
func withRemaining(facts string, arrived time.Time) string {
	list := strings.Split(facts, ",")
	for i, fact := range list {
		if millis, ok := strings.CutPrefix(fact, "d="); ok {
			atFirst, _ := strconv.ParseInt(millis, 10, 64) // the lab's clients send numbers
			list[i] = fmt.Sprintf("d=%d", max(0, atFirst-time.Since(arrived).Milliseconds()))
		}
	}
	return strings.Join(list, ",")
}

// sendToServer writes to a cache server over a connection of its own, and reads one answer or
// leaves it open for a while.
func sendToServer(addr, text string, read bool) string {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		return ""
	}
	if _, err := io.WriteString(c, text); err != nil || !read {
		time.AfterFunc(300*time.Millisecond, func() { c.Close() })
		return ""
	}
	defer c.Close()
	r := bufio.NewReader(c)
	line, err := r.ReadString('\n')
	if err != nil || !strings.HasPrefix(line, "VA ") {
		return line
	}
	var n int
	fmt.Sscanf(line, "VA %d", &n)
	value := make([]byte, n+2)
	if _, err := io.ReadFull(r, value); err != nil {
		return ""
	}
	return line + string(value)
}

func fetchFromOrigin(addr, text string) string {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		return ""
	}
	defer c.Close()
	if _, err := io.WriteString(c, text); err != nil {
		return ""
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return ""
	}
	defer resp.Body.Close()
	value, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode != 200 {
		return ""
	}
	return string(value)
}

const fakeScenario = `version = 1
name = "fake"
duration_s = 2.5
warm_s = 0
[fleet]
routers = 1
drain_grace_s = 0.3
warm = false
[discovery]
late_ms = [0.0, 0.0]
calls_s = 0
[[kind]]
name = "box"
count = 3
model = { cores = 16, speed = 1, queue = 100, miss_work = 200, memory = 100000, cold_from = 0.3, cold_ms = 60000, fall_multiple = 3, fall_for_ms = 30 }
[origin]
cores = 50
[[class]]
name = "read"
share = 0.7
effect = "repeatable"
worth = 1
work_ms = 5
aim_ms = 1900
deadline_ms = 2000
bytes = [10, 100]
[[class]]
name = "tag"
share = 0.3
effect = "once"
write = true
worth = 1
work_ms = 5
aim_ms = 1900
deadline_ms = 2000
bytes = [10, 100]
[load]
rate = 60
keys = 300
retries = 0
try_share = 1.0
disconnect_ms = [20.0, 80.0]
[[fault]]
at_s = 0.3
what = "crash"
count = 1
for_s = 0.2
[[fault]]
at_s = 0.9
what = "shrink"
count = 1
drain_s = 1.3
`

// The checker must report a router that breaks a rule, and none that keeps the rules.
func TestCheckerReportsEachRuleViolation(t *testing.T) {
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	f, err := scenario.Parse("fake", []byte(fakeScenario))
	if err != nil {
		t.Fatal(err)
	}
	for mode, rule := range map[string]string{"right": "", "two-answers": "answer",
		"no-answer": "answer", "altered": "value", "copies": "copies",
		"repeats": "effect", "refuses": "effect", "drained": "drain", "cold": "cold", "attempts": "attempts",
		"long-hint": "timeout-hint", "ignores-disconnects": "lost", "closes-unread": "lost"} {
		t.Run(mode, func(t *testing.T) {
			t.Parallel()
			f := f
			if mode == "ignores-disconnects" {
				f.Load.DisconnectShare = 0.3
			}
			res, err := Run(t.Context(), f,
				Options{RouterCommand: []string{"/usr/bin/env", "FAKE_ROUTER=" + mode, self}, Dir: t.TempDir()})
			if err != nil {
				t.Fatal(err)
			}
			rules := map[string]int{}
			for _, b := range res.Breaches {
				rules[b.Rule]++
			}
			switch {
			case rule == "" && len(res.Failures) > 0:
				t.Errorf("%v", res.Failures)
			case rule != "" && rules[rule] == 0:
				t.Errorf("caught by %v, not by %s", rules, rule)
			}
			if res.Load.Tries < 50 {
				t.Errorf("%d tries only", res.Load.Tries)
			}
		})
	}
}

// The checker must report a router that rejects all requests although there is no fault.
func TestRouterThatRejectsAllIsCaught(t *testing.T) {
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	f, err := scenario.Parse("fake", []byte(fakeScenario))
	if err != nil {
		t.Fatal(err)
	}
	f.Faults, f.DurationS = nil, 6
	res, err := Run(t.Context(), f, Options{RouterCommand: []string{"/usr/bin/env", "FAKE_ROUTER=rejects", self},
		Dir: t.TempDir()})
	if err != nil {
		t.Fatal(err)
	}
	if len(res.Breaches) != 1 || res.Breaches[0].Rule != "rejecting" {
		t.Errorf("%v", res.Breaches)
	}
}

// The checker must report a router that never polls the endpoint list and so misses a long drain.
func TestRouterThatNeverPollsDiscoveryIsCaught(t *testing.T) {
	t.Parallel()
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	f, err := scenario.Parse("fake", []byte(fakeScenario))
	if err != nil {
		t.Fatal(err)
	}
	f.DurationS, f.Faults = 10, []scenario.Fault{{AtS: 0.1, What: "shrink", Count: 1, DrainS: 9}}
	res, err := Run(t.Context(), f, Options{RouterCommand: []string{"/usr/bin/env", "FAKE_ROUTER=never-asks", self},
		Dir: t.TempDir()})
	if err != nil {
		t.Fatal(err)
	}
	if len(res.Breaches) == 0 || res.Breaches[0].Rule != "drain" {
		t.Errorf("%v", res.Breaches)
	}
}
