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

// answers starts a router that gives to each read what say gives for its line: "" = nothing, "close" = the end, "close after X" = the end after these bytes.
func answers(t *testing.T, say func(line string) string) string {
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
					text := say(line)
					if part, closes := strings.CutPrefix(text, "close"); closes {
						_, _ = io.WriteString(c, strings.TrimPrefix(part, " after "))
						return
					}
					if _, err := c.Write([]byte(strings.ReplaceAll(text, "{id}", idOf(line)))); err != nil {
						return
					}
				}
			})
		}
	})
	return ln.Addr().String()
}

func idOf(line string) string {
	for f := range strings.FieldsSeq(line) {
		if f[0] == 'O' {
			return f[1:]
		}
	}
	return ""
}

// maxWait bounds what must come; a test that passes does not wait for it.
const maxWait = 20 * time.Second

// sendUntil sends requests until what the referee knows is enough.
func sendUntil(t *testing.T, isEnough func([]checker.Event) bool, change func(*Params), addr string) (Result, []checker.Event) {
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

// sendAll sends so many requests, and ends once the referee knows what became of each.
func sendAll(t *testing.T, requests int, change func(*Params), addr string) (Result, []checker.Event) {
	t.Helper()
	isEnough := func(events []checker.Event) bool {
		return count(events, func(e checker.Event) bool { return e.Kind == checker.Sent }) >= requests
	}
	return sendUntil(t, isEnough, func(p *Params) { p.MaxRequests = requests; change(p) }, addr)
}

func count(events []checker.Event, is func(checker.Event) bool) (n int) {
	for _, e := range events {
		if is(e) {
			n++
		}
	}
	return n
}

// send runs a load of reads against addresses, for a time or a number of requests.
func send(t *testing.T, change func(*Params), during time.Duration, addrs ...string) (Result, []checker.Event) {
	t.Helper()
	ctx, stop := context.WithTimeout(t.Context(), during)
	defer stop()
	return run(ctx, t, change, checker.NewJournal(1<<16), addrs...)
}

func run(ctx context.Context, t *testing.T, change func(*Params), journal *checker.Journal, addrs ...string) (Result, []checker.Event) {
	t.Helper()
	clock := fakes.NewClock()
	front := fakes.NewFront(clock)
	for i, a := range addrs {
		front.AddRouter(fmt.Sprintf("r%d", i), "", a)
	}
	p := Defaults()
	p.Classes = []Class{{Name: "read", Share: 1, Effect: "repeatable", AimMS: 300, LimitMS: 600, Worth: 1, WorkMS: 1, Bytes: [2]float64{10, 100}}}
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

const fine = "VA 5 O{id}\r\nhello\r\n"

func TestOpenLoopCountsFromTheIntendedTime(t *testing.T) {
	// A router that stops once, for half a second. A closed loop would see it once; those that were meant to be sent
	// meanwhile all waited.
	var mu sync.Mutex
	var stopped atomic.Bool
	addr := answers(t, func(string) string {
		mu.Lock()
		defer mu.Unlock()
		if stopped.CompareAndSwap(false, true) {
			time.Sleep(500 * time.Millisecond)
		}
		return fine
	})
	res, _ := send(t, func(p *Params) { p.MaxRequests, p.Classes[0].LimitMS, p.TryShare = 200, 5000, 1 }, 1200*time.Millisecond, addr)
	c := res.Classes["read"]
	if c.Served != c.Asked || c.Asked < 100 {
		t.Fatalf("%+v", c)
	}
	if waited := c.Served - c.InAim; waited < 10 {
		t.Errorf("%d requests felt a stop of 500 ms at 200 a second", waited)
	}
}

func TestBottleneckIsTold(t *testing.T) {
	addr := answers(t, func(string) string { return "" })
	res, _ := send(t, func(p *Params) { p.MaxOpen = 5 }, 500*time.Millisecond, addr)
	if res.Valid || !strings.Contains(res.Why, "max_open") || res.Over == 0 {
		t.Errorf("%+v", res)
	}
}

func TestRefusedClientsComeBackWhenTold(t *testing.T) {
	var mu sync.Mutex
	first := map[string]time.Time{} // by key
	var early, marked atomic.Int64
	addr := answers(t, func(line string) string {
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
			return fine
		}
		first[key] = time.Now()
		return "SERVER_ERROR busy 100\r\n"
	})
	isServed := func(e checker.Event) bool { return e.Kind == checker.Answered && e.Answer == checker.Served }
	res, events := sendUntil(t, func(events []checker.Event) bool { return count(events, isServed) >= 40 }, func(p *Params) {
		p.Retries, p.Honour, p.MaxRequests, p.Keys, p.Zipf, p.Drift, p.Classes[0].LimitMS = 2, 1, 50, 100000, 0, 0, 5000
	}, addr)
	c := res.Classes["read"]
	if early.Load() > 0 || marked.Load() < 20 || c.Served < 20 {
		t.Errorf("%d early, %d marked, %+v", early.Load(), marked.Load(), c)
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

func TestWhatTheRefereeIsTold(t *testing.T) {
	for answer, want := range map[string]checker.Kind{
		fine: checker.Answered, fine + fine: checker.ExtraAnswer, "": checker.ClientTimedOut, "VA 5 O{id}\r\nhe": checker.ClientTimedOut, "nonsense\r\n": checker.Answered,
	} {
		addr := answers(t, func(string) string { return answer })
		res, events := sendAll(t, 1, func(p *Params) { p.Classes[0].LimitMS = 200 }, addr)
		if len(events) < 2 || events[len(events)-1].Kind != want {
			t.Errorf("%q: %+v", answer, events)
		}
		if served := res.Classes["read"].Served == 1; served != strings.HasPrefix(answer, fine) {
			t.Errorf("%q: served %t", answer, served)
		}
	}
	addr := answers(t, func(string) string { return "close" })
	if _, events := sendAll(t, 1, func(*Params) {}, addr); len(events) != 2 || events[1].Kind != checker.ClosedByRouter || !events[1].NewConnection {
		t.Errorf("%+v", events)
	}
	addr = answers(t, func(string) string { return "close after VA" })
	if _, events := sendAll(t, 1, func(*Params) {}, addr); len(events) != 2 || events[1].Kind != checker.ClosedByRouter || events[1].NewConnection {
		t.Errorf("a connection closed after some bytes: %+v", events)
	}
	asked := 0
	addr = answers(t, func(string) string { // one after the other, on one connection
		if asked++; asked == 1 {
			return fine
		}
		return "close"
	})
	_, events := sendAll(t, 2, func(p *Params) { p.Shape, p.Workers = "closed", 1 }, addr)
	if len(events) != 4 || events[3].Kind != checker.ClosedByRouter || events[3].NewConnection {
		t.Errorf("a connection closed that had been used: %+v", events)
	}
}

func TestClosedLoopHasOneOpenEach(t *testing.T) {
	var open, most atomic.Int64
	addr := answers(t, func(string) string {
		n := open.Add(1)
		for m := most.Load(); n > m && !most.CompareAndSwap(m, n); m = most.Load() {
		}
		time.Sleep(2 * time.Millisecond)
		open.Add(-1)
		return fine
	})
	res, _ := send(t, func(p *Params) { p.Shape, p.Workers = "closed", 4 }, 300*time.Millisecond, addr)
	if most.Load() > 4 || res.Classes["read"].Served < 20 {
		t.Errorf("%d at once, %+v", most.Load(), res.Classes)
	}
}

func TestSizesAndWorkAreTheSameEachTime(t *testing.T) {
	c := Class{WorkMS: 100, WorkCV: 1, Bytes: [2]float64{10, 1000}}
	sum := 0.0
	for i := range 5000 {
		id := fmt.Sprint(i)
		if s := ValueBytes(c, id); s != ValueBytes(c, id) || s < 10 || s > 1000 {
			t.Fatalf("size %d", s)
		}
		if RequestWorkMillis(c, id) != RequestWorkMillis(c, id) {
			t.Fatal("work varies")
		}
		sum += RequestWorkMillis(c, id)
	}
	if mean := sum / 5000; mean < 90 || mean > 110 {
		t.Errorf("mean work %v", mean)
	}
}
