package load

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"dockhinge.example/dockhinge/lab/checker"
	"dockhinge.example/dockhinge/lab/fakes"
)

// slackMS is how long after its deadline a client still reads, so that a late answer is seen as late and not as none: an answer that
// is late by half a second only earns nothing.
const slackMS = 700

// draw picks what a request asks for.
func (l *Load) draw() (c Class, key, zone, tenant string, size int, u float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c = l.p.Classes[int(l.classes.Rand())]
	key = l.names[int(l.keys.Rand())]
	if len(l.p.Zones) > 0 {
		zone = l.p.Zones[int(l.zones.Rand())].Name
	}
	if l.p.Tenants > 0 {
		n := l.rng.IntN(l.p.Tenants)
		if l.p.Bully > 0 && l.p.Tenants > 1 {
			if n = 1 + l.rng.IntN(l.p.Tenants-1); l.rng.Float64() < l.p.Bully {
				n = 0
			}
		}
		tenant = fmt.Sprintf("tenant-%d", n)
	}
	return c, key, zone, tenant, ValueBytes(c, key), l.rng.Float64()
}

// ValueBytes is that of a key's value in a class: the same each time.
func ValueBytes(c Class, key string) int {
	low, high := max(c.Bytes[0], 1), max(c.Bytes[1], c.Bytes[0], 1)
	u := rand.New(rand.NewPCG(fakes.Checksum([]byte(key)), 8)).Float64()
	return int(low * math.Pow(high/low, u))
}

// RequestWorkMillis is that of a request of a class, by its id: lognormal around the mean.
func RequestWorkMillis(c Class, id string) float64 {
	if c.WorkCV <= 0 {
		return c.WorkMS
	}
	s2 := math.Log(1 + c.WorkCV*c.WorkCV)
	z := rand.New(rand.NewPCG(fakes.Checksum([]byte(id)), 9)).NormFloat64()
	return c.WorkMS * math.Exp(math.Sqrt(s2)*z-s2/2)
}

func (l *Load) newID() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.next++
	l.tries++
	return fmt.Sprintf("%08x%08x", uint32(l.p.Seed), l.next)
}

// request is one client's request with its further tries.
func (l *Load) request(intended float64) {
	c, key, zone, tenant, size, honours := l.draw()
	idem := ""
	if c.Effect == "by_key" {
		idem = l.newID()
	}
	until, end, answered := intended+c.LimitMS, checker.Failed, false
	for try := 0; ; try++ {
		now := l.clock.Now()
		patience := until - now
		if try < l.p.Retries {
			patience *= l.p.TryShare
		}
		if patience < 1 {
			break
		}
		id := l.newID()
		t := l.try(id, c, key, zone, tenant, idem, size, patience, try > 0)
		end, answered = t.end, t.answered
		if t.disconnected || try >= l.p.Retries || !mayRepeat(c, t) {
			break
		}
		if t.crossed {
			continue // once more at once, on a connection that is open
		}
		pause := l.p.BackoffMS * math.Pow(2, float64(try)) * (0.5 + honours)
		if answered && t.after > 0 && honours < l.p.Honour && t.after <= l.p.MaxAfterMS {
			pause = t.after
		}
		if l.clock.Now()+pause >= until {
			break
		}
		time.Sleep(time.Duration(pause * float64(time.Millisecond)))
	}
	l.record(c, tenant, intended, end, answered)
}

// mayRepeat reports whether an honest client asks again: what was refused, what no router can have read, and what does no harm
// when it runs twice.
func mayRepeat(c Class, t attempt) bool {
	switch {
	case t.answered && t.end == checker.Served:
		return false
	case t.answered && t.end == checker.Refused, !t.reached:
		return true
	}
	return c.Effect == "repeatable" || c.Effect == "by_key" && c.Scope == "all"
}

// attempt is how one try ended.
type attempt struct {
	end      checker.Answer
	after    float64 // come again in so many milliseconds; 0 = not told
	answered bool
	reached  bool // a router may have read it
	crossed  bool // a connection that had stood idle was closed as it was sent

	disconnected bool // the client closed its connection before its time was up
}

// try sends a request once, under an id that was never sent before. A client can't tell whether a router that closed the
// connection, or was killed, had read the request: it never sends the same one again, and request decides by its class whether
// there is a further try.
func (l *Load) try(id string, c Class, key, zone, tenant, idem string, size int, patience float64, again bool) attempt {
	router, addr, kept, err := l.pick(zone)
	if err != nil {
		return attempt{end: checker.Failed}
	}
	var wire strings.Builder
	facts := fmt.Sprintf("c=%s,d=%d", c.Name, int(patience))
	for _, f := range []struct{ k, v string }{{"k", idem}, {"t", tenant}} {
		if f.v != "" {
			facts += "," + f.k + "=" + f.v
		}
	}
	if again && l.p.Marks {
		facts += ",r=1"
	}
	if c.Write {
		fmt.Fprintf(&wire, "ms %s %d O%s P%s\r\n", key, size, id, facts)
		wire.Write(fakes.NewValue("client", key, id, size))
		wire.WriteString("\r\n")
	} else {
		fmt.Fprintf(&wire, "mg %s v O%s P%s\r\n", key, id, facts)
	}
	book := func(sent float64, k checker.Kind, newConnection bool) { // a request that reached a router, and what else came of it than an answer
		l.journal.Add(checker.Event{At: sent, Kind: checker.Sent, Request: id, Router: router, Class: c.Name, Idem: idem, Deadline: patience})
		l.journal.Add(checker.Event{At: l.clock.Now(), Kind: k, Request: id, Router: router, NewConnection: newConnection})
	}
	conn, used := kept, true
	if conn == nil {
		conn, used, err = l.pool.take(addr, patience)
	}
	if err != nil {
		return attempt{end: checker.Failed}
	}
	sent := l.clock.Now()
	waitMillis, disconnects := l.waitFor(patience)
	_ = conn.SetDeadline(time.Now().Add(time.Duration(waitMillis * float64(time.Millisecond))))
	if n, err := io.WriteString(conn, wire.String()); err != nil {
		conn.Close()
		if n == 0 { // nothing of it has left
			if !used {
				book(sent, checker.ClosedByRouter, true)
			}
			return attempt{end: checker.Failed, crossed: used}
		}
		book(sent, checker.ClosedByRouter, !used)
		return attempt{end: checker.Failed, reached: true, crossed: used}
	}
	end, after, sum, err := readAnswer(conn.r)
	var timeout net.Error
	switch {
	case disconnects && errors.As(err, &timeout) && timeout.Timeout():
		conn.Close()
		book(sent, checker.Disconnected, false)
		return attempt{end: checker.Failed, reached: true, disconnected: true}
	case errors.As(err, &timeout) && timeout.Timeout():
		conn.Close()
		book(sent, checker.ClientTimedOut, false)
		return attempt{end: checker.Failed, reached: true}
	case err != nil:
		conn.Close()
		book(sent, checker.ClosedByRouter, !used && errors.Is(err, errNothing))
		return attempt{end: checker.Failed, reached: true, crossed: used && errors.Is(err, errNothing)}
	}
	l.journal.Add(checker.Event{At: sent, Kind: checker.Sent, Request: id, Router: router, Class: c.Name, Idem: idem, Deadline: patience})
	now := l.clock.Now()
	l.journal.Add(checker.Event{At: now, Kind: checker.Answered, Request: id, Router: router, Answer: end, Sum: sum})
	if conn.r.Buffered() > 0 { // more than one answer
		l.journal.Add(checker.Event{At: now, Kind: checker.ExtraAnswer, Request: id, Router: router})
		conn.Close()
	} else if l.again() {
		l.pool.put(addr, conn)
	} else {
		conn.Close()
	}
	return attempt{end: end, after: after, answered: true, reached: true}
}

// pick chooses a router for a client of a zone. A client of a router that was told to end stays on its connection while that is
// open: it is returned too.
func (l *Load) pick(zone string) (router, addr string, kept *conn, err error) {
	for _, ending := range l.front.EndingRouters() {
		if l.uniform() >= ending.Share {
			continue
		}
		if kept = l.pool.takeIdle(ending.Addr); kept != nil {
			return ending.Name, ending.Addr, kept, nil
		}
	}
	router, addr, err = l.front.Pick(zone)
	return router, addr, nil, err
}

// uniform draws a number from 0 to 1.
func (l *Load) uniform() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rng.Float64()
}

// again draws whether a connection is kept.
func (l *Load) again() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rng.Float64() >= l.p.Reconnect
}

// errNothing tells that a connection ended before the first byte of an answer.
var errNothing = errors.New("closed without an answer")

// readAnswer reads a router's answer. Any line that is no value, receipt or refusal is a failure.
func readAnswer(r *bufio.Reader) (end checker.Answer, after float64, sum uint64, err error) {
	if _, err := r.Peek(1); err != nil {
		var timeout net.Error
		if errors.As(err, &timeout) && timeout.Timeout() {
			return checker.Failed, 0, 0, err
		}
		return checker.Failed, 0, 0, errNothing
	}
	line, err := r.ReadString('\n')
	if err != nil {
		return checker.Failed, 0, 0, err
	}
	w := strings.Fields(line)
	switch {
	case len(w) >= 2 && w[0] == "VA":
		n, err := strconv.Atoi(w[1])
		if err != nil || n < 0 || n > fakes.MaxValue {
			return checker.Failed, 0, 0, fmt.Errorf("length %q", w[1])
		}
		value := make([]byte, n+2)
		if _, err := io.ReadFull(r, value); err != nil {
			return checker.Failed, 0, 0, err
		}
		return checker.Served, 0, fakes.Checksum(value[:n]), nil
	case len(w) >= 1 && w[0] == "HD":
		receipt := ""
		for _, f := range w[1:] {
			if f[0] == 'c' {
				receipt = f[1:]
			}
		}
		return checker.Served, 0, fakes.Checksum([]byte(receipt)), nil
	case len(w) >= 2 && w[0] == "SERVER_ERROR" && w[1] == "busy":
		if len(w) > 2 {
			after, _ = strconv.ParseFloat(w[2], 64) // 0 where it is no number
		}
		return checker.Refused, after, 0, nil
	}
	return checker.Failed, 0, 0, nil
}

type conn struct {
	net.Conn
	r     *bufio.Reader
	since float64
}

// alive reports whether the other side has not closed an idle connection yet, as far as is known here.
func (c *conn) alive() bool {
	raw, err := c.Conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		n, _, err := unix.Recvfrom(int(fd), make([]byte, 1), unix.MSG_PEEK|unix.MSG_DONTWAIT)
		open = n > 0 || err == unix.EAGAIN
		return true
	})
	return open && err == nil
}

// pool keeps idle connections by address, up to a bound for each.
type pool struct {
	most  int
	clock *fakes.Clock

	mu    sync.Mutex
	idle  map[string][]*conn
	fails int
}

func newPool(most int, clock *fakes.Clock) *pool {
	return &pool{most: most, clock: clock, idle: map[string][]*conn{}}
}

// keepMS is how long an idle connection is used again: a router may close it after 2 s.
const keepMS = 1500

// take gives a connection, and whether it has been used before.
func (p *pool) take(addr string, withinMS float64) (c *conn, used bool, err error) {
	if c := p.takeIdle(addr); c != nil {
		return c, true, nil
	}
	raw, err := net.DialTimeout("tcp", addr, time.Duration(withinMS*float64(time.Millisecond)))
	if err != nil {
		p.mu.Lock()
		p.fails++
		p.mu.Unlock()
		return nil, false, err
	}
	return &conn{Conn: raw, r: bufio.NewReaderSize(raw, 4096)}, false, nil
}

// takeIdle gives an idle connection that is still open as far as is known; nil = there is none.
func (p *pool) takeIdle(addr string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for list := p.idle[addr]; len(list) > 0; list = p.idle[addr] {
		c := list[len(list)-1]
		p.idle[addr] = list[:len(list)-1]
		if p.clock.Now()-c.since < keepMS && c.alive() {
			return c
		}
		c.Close()
	}
	return nil
}

func (p *pool) put(addr string, c *conn) {
	_ = c.SetDeadline(time.Time{})
	c.since = p.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[addr]) >= p.most {
		c.Close()
		return
	}
	p.idle[addr] = append(p.idle[addr], c)
}

func (p *pool) failed() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fails
}

func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, list := range p.idle {
		for _, c := range list {
			c.Close()
		}
	}
	p.idle = nil
}
