package load

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"dockhinge.example/dockhinge/lab/checker"
	"dockhinge.example/dockhinge/lab/fakes"
)

// startRouter starts a fake router that answers each line with the result of answerTo: "" = no answer,
// "close" = closes the connection, "close after X" = closes it after sending X.
func startRouter(t *testing.T, answerTo func(line string) string) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var wg sync.WaitGroup
	t.Cleanup(func() { ln.Close(); wg.Wait() })
	wg.Go(func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			wg.Go(func() {
				defer c.Close()
				for r := bufio.NewReader(c); ; {
					line, err := r.ReadString('\n')
					if err != nil {
						return
					}
					text := answerTo(line)
					if part, closes := strings.CutPrefix(text, "close"); closes {
						_, _ = io.WriteString(c, strings.TrimPrefix(part, " after "))
						return
					}
					if _, err := c.Write([]byte(strings.ReplaceAll(text, "{id}", requestID(line)))); err != nil {
						return
					}
				}
			})
		}
	})
	return ln.Addr().String()
}

func requestID(line string) string {
	for f := range strings.FieldsSeq(line) {
		if f[0] == 'O' {
			return f[1:]
		}
	}
	return ""
}

// maxWait is the timeout for expected events; a test that passes does not wait for it.
const maxWait = 20 * time.Second

// sendUntil sends requests until isEnough accepts the recorded events.
func sendUntil(
	t *testing.T, isEnough func([]checker.Event) bool, change func(*Params), addr string,
) (Result, []checker.Event) {
	t.Helper()
	journal := checker.NewJournal(1 << 16)
	ctx, stop := context.WithTimeout(t.Context(), maxWait)
	defer stop()
	go func() { // ends with ctx at the latest
		defer stop()
		for ; ctx.Err() == nil; time.Sleep(time.Millisecond) {
			if events, _ := journal.Events(); isEnough(events) {
				return
			}
		}
	}()
	return run(ctx, t, change, journal, addr)
}

// sendAll sends a number of requests, and ends once each of them has its events.
func sendAll(t *testing.T, requests int, change func(*Params), addr string) (Result, []checker.Event) {
	t.Helper()
	isEnough := func(events []checker.Event) bool {
		return count(events, func(e checker.Event) bool { return e.Kind == checker.Sent }) >= requests
	}
	return sendUntil(t, isEnough, func(p *Params) { p.MaxRequests = requests; change(p) }, addr)
}

func count(events []checker.Event, matches func(checker.Event) bool) (n int) {
	for _, e := range events {
		if matches(e) {
			n++
		}
	}
	return n
}

// send runs a load of reads against router addresses, for a time or a number of requests.
func send(t *testing.T, change func(*Params), during time.Duration, addrs ...string) (Result, []checker.Event) {
	t.Helper()
	ctx, stop := context.WithTimeout(t.Context(), during)
	defer stop()
	return run(ctx, t, change, checker.NewJournal(1<<16), addrs...)
}

func run(
	ctx context.Context, t *testing.T, change func(*Params), journal *checker.Journal, addrs ...string,
) (Result, []checker.Event) {
	t.Helper()
	clock := fakes.NewClock()
	front := fakes.NewFront(clock)
	for i, a := range addrs {
		front.AddRouter(fmt.Sprintf("r%d", i), "", a)
	}
	p := Defaults()
	p.Classes = []Class{{Name: "read", Share: 1, Effect: "repeatable", AimMS: 300, LimitMS: 600, Worth: 1, WorkMS: 1,
		Bytes: [2]float64{10, 100}}}
	p.Rate, p.Seed, p.Retries = 200, 3, 0
	change(&p)
	l, err := New(p, front, clock, journal)
	if err != nil {
		t.Fatal(err)
	}
	res := l.Run(ctx)
	events, _ := journal.Events()
	return res, events
}

const validAnswer = "VA 5 O{id}\r\nhello\r\n"

func TestOpenLoopLatencyCountsFromIntendedTime(t *testing.T) {
	// The router pauses once for half a second. A closed loop would measure the pause in one request only;
	// with an open loop, all requests intended to be sent during the pause count as slow.
	var mu sync.Mutex
	var stopped atomic.Bool
	addr := startRouter(t, func(string) string {
		mu.Lock()
		defer mu.Unlock()
		if stopped.CompareAndSwap(false, true) {
			time.Sleep(500 * time.Millisecond)
		}
		return validAnswer
	})
	res, _ := send(t, func(p *Params) {
		p.MaxRequests, p.Classes[0].LimitMS, p.TryShare = 200, 5000, 1
	}, 1200*time.Millisecond, addr)
	c := res.Classes["read"]
	if c.Served != c.Asked || c.Asked < 100 {
		t.Fatalf("got result %+v", c)
	}
	if waited := c.Served - c.InAim; waited < 10 {
		t.Errorf("only %d requests were delayed by a pause of 500 ms at 200 requests/s", waited)
	}
}

func TestRunIsInvalidWhenLoadToolIsBottleneck(t *testing.T) {
	addr := startRouter(t, func(string) string { return "" })
	res, _ := send(t, func(p *Params) { p.MaxOpen = 5 }, 500*time.Millisecond, addr)
	if res.Valid || !strings.Contains(res.Why, "max_open") || res.Over == 0 {
		t.Errorf("got result %+v", res)
	}
}

func TestRefusedClientsRetryAfterTheRequestedDelay(t *testing.T) {
	var mu sync.Mutex
	first := map[string]time.Time{} // by key
	var early, marked atomic.Int64
	addr := startRouter(t, func(line string) string {
		key := strings.Fields(line)[1]
		mu.Lock()
		defer mu.Unlock()
		if at, ok := first[key]; ok {
			if time.Since(at) < 95*time.Millisecond {
				early.Add(1)
			}
			if strings.Contains(line, "r=1") {
				marked.Add(1)
			}
			delete(first, key)
			return validAnswer
		}
		first[key] = time.Now()
		return "SERVER_ERROR busy 100\r\n"
	})
	isServed := func(e checker.Event) bool { return e.Kind == checker.Answered && e.Answer == checker.Served }
	res, events := sendUntil(t, func(events []checker.Event) bool {
		return count(events, isServed) >= 40
	}, func(p *Params) {
		p.Retries, p.Honour, p.MaxRequests, p.Keys, p.Zipf, p.Drift, p.Classes[0].LimitMS = 2, 1, 50, 100000, 0, 0, 5000
	}, addr)
	c := res.Classes["read"]
	if early.Load() > 0 || marked.Load() < 20 || c.Served < 20 {
		t.Errorf("%d early retries, %d marked retries, result %+v", early.Load(), marked.Load(), c)
	}
	ids := map[string]bool{}
	for _, e := range events {
		if e.Kind == checker.Sent {
			if ids[e.Request] {
				t.Errorf("id %s was used twice", e.Request)
			}
			ids[e.Request] = true
		}
	}
}

func TestClientEventsAreRecorded(t *testing.T) {
	for answer, want := range map[string]checker.Kind{
		validAnswer: checker.Answered, validAnswer + validAnswer: checker.ExtraAnswer, "": checker.ClientTimedOut,
		"VA 5 O{id}\r\nhe": checker.ClientTimedOut, "nonsense\r\n": checker.Answered,
	} {
		addr := startRouter(t, func(string) string { return answer })
		res, events := sendAll(t, 1, func(p *Params) { p.Classes[0].LimitMS = 200 }, addr)
		if len(events) < 2 || events[len(events)-1].Kind != want {
			t.Errorf("answer %q: got events %+v", answer, events)
		}
		if served := res.Classes["read"].Served == 1; served != strings.HasPrefix(answer, validAnswer) {
			t.Errorf("answer %q: served %t", answer, served)
		}
	}
	addr := startRouter(t, func(string) string { return "close" })
	if _, events := sendAll(t, 1, func(*Params) {}, addr); len(events) != 2 ||
		events[1].Kind != checker.ClosedByRouter || !events[1].NewConnection {
		t.Errorf("new connection closed without an answer: got events %+v", events)
	}
	addr = startRouter(t, func(string) string { return "close after VA" })
	if _, events := sendAll(t, 1, func(*Params) {}, addr); len(events) != 2 ||
		events[1].Kind != checker.ClosedByRouter || events[1].NewConnection {
		t.Errorf("connection closed after some bytes: got events %+v", events)
	}
	asked := 0
	addr = startRouter(t, func(string) string { // the requests come one after the other on one connection
		if asked++; asked == 1 {
			return validAnswer
		}
		return "close"
	})
	_, events := sendAll(t, 2, func(p *Params) { p.Shape, p.Workers = "closed", 1 }, addr)
	if len(events) != 4 || events[3].Kind != checker.ClosedByRouter || events[3].NewConnection {
		t.Errorf("used connection closed: got events %+v", events)
	}
}

func TestClosedLoopKeepsOneRequestOpenPerWorker(t *testing.T) {
	var open, maxOpen atomic.Int64
	addr := startRouter(t, func(string) string {
		n := open.Add(1)
		for m := maxOpen.Load(); n > m && !maxOpen.CompareAndSwap(m, n); m = maxOpen.Load() {
		}
		time.Sleep(2 * time.Millisecond)
		open.Add(-1)
		return validAnswer
	})
	res, _ := send(t, func(p *Params) { p.Shape, p.Workers = "closed", 4 }, 300*time.Millisecond, addr)
	if maxOpen.Load() > 4 || res.Classes["read"].Served < 20 {
		t.Errorf("%d requests open at once, result %+v", maxOpen.Load(), res.Classes)
	}
}

func TestSizesAndWorkAreDeterministic(t *testing.T) {
	c := Class{WorkMS: 100, WorkCV: 1, Bytes: [2]float64{10, 1000}}
	sum := 0.0
	for i := range 5000 {
		id := fmt.Sprint(i)
		if s := ValueBytes(c, id); s != ValueBytes(c, id) || s < 10 || s > 1000 {
			t.Fatalf("got a size of %d bytes", s)
		}
		if RequestWorkMillis(c, id) != RequestWorkMillis(c, id) {
			t.Fatal("the work of a request varies between calls")
		}
		sum += RequestWorkMillis(c, id)
	}
	if mean := sum / 5000; mean < 90 || mean > 110 {
		t.Errorf("got mean work %v, want about 100", mean)
	}
}
