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

// readSlackMillis is how long a client reads after its deadline, so that a late answer is recorded as late
// and not as missing. The checker tolerates single answers that are up to half a second late.
const readSlackMillis = 700

// drawRequest draws the class, key, zone, tenant, value size and a uniform random number of a request.
func (l *Load) drawRequest() (c Class, key, zone, tenant string, size int, u float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c = l.p.Classes[int(l.classes.Rand())]
	key = l.keyNames[int(l.keys.Rand())]
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

// ValueBytes returns the size of a key's value in a class, which is the same at each call.
func ValueBytes(c Class, key string) int {
	low, high := max(c.Bytes[0], 1), max(c.Bytes[1], c.Bytes[0], 1)
	u := rand.New(rand.NewPCG(fakes.Checksum([]byte(key)), 8)).Float64()
	return int(low * math.Pow(high/low, u))
}

// RequestWorkMillis returns the work of a request in a class, derived from its id: lognormal with the
// class's mean, in milliseconds on a core of speed 1.
func RequestWorkMillis(c Class, id string) float64 {
	if c.WorkCV <= 0 {
		return c.WorkMS
	}
	variance := math.Log(1 + c.WorkCV*c.WorkCV)
	z := rand.New(rand.NewPCG(fakes.Checksum([]byte(id)), 9)).NormFloat64()
	return c.WorkMS * math.Exp(math.Sqrt(variance)*z-variance/2)
}

func (l *Load) newID() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.next++
	l.tries++
	return fmt.Sprintf("%08x%08x", uint32(l.p.Seed), l.next)
}

// request sends one client's request with its further tries, and records the outcome.
func (l *Load) request(intended float64) {
	c, key, zone, tenant, size, uniform := l.drawRequest()
	idem := ""
	if c.Effect == "by_key" {
		idem = l.newID()
	}
	deadline, end, answered := intended+c.LimitMS, checker.Failed, false
	for try := 0; ; try++ {
		now := l.clock.Now()
		timeoutMillis := deadline - now
		if try < l.p.Retries {
			timeoutMillis *= l.p.TryShare
		}
		if timeoutMillis < 1 {
			break
		}
		id := l.newID()
		t := l.try(id, c, key, zone, tenant, idem, size, timeoutMillis, try > 0)
		end, answered = t.end, t.answered
		if t.disconnected || try >= l.p.Retries || !mayRepeat(c, t) {
			break
		}
		if t.isIdleClose {
			continue // retry at once on an open connection
		}
		pause := l.p.BackoffMS * math.Pow(2, float64(try)) * (0.5 + uniform)
		if answered && t.retryAfterMillis > 0 && uniform < l.p.Honour && t.retryAfterMillis <= l.p.MaxAfterMS {
			pause = t.retryAfterMillis
		}
		if l.clock.Now()+pause >= deadline {
			break
		}
		time.Sleep(time.Duration(pause * float64(time.Millisecond)))
	}
	l.record(c, tenant, intended, end, answered)
}

// mayRepeat reports whether a well-behaved client retries: after a refusal, if no router can have read
// the request, or if the request may run twice.
func mayRepeat(c Class, t attempt) bool {
	switch {
	case t.answered && t.end == checker.Served:
		return false
	case t.answered && t.end == checker.Refused, !t.mayHaveArrived:
		return true
	}
	return c.Effect == "repeatable" || c.Effect == "by_key" && c.Scope == "all"
}

// attempt is the result of one try.
type attempt struct {
	end              checker.Answer
	retryAfterMillis float64 // retry delay that the refusal asked for; 0 = none
	answered         bool
	mayHaveArrived   bool // a router may have read the request
	isIdleClose      bool // the router closed an idle connection while the request was sent on it

	disconnected bool // the client closed its connection before its deadline
}

// try sends a request once, under an id that was not used before. A client can't tell whether a router
// that closed the connection, or was killed, had read the request. So it never sends the same id again,
// and the method request decides by the class whether to make a further try.
func (l *Load) try(
	id string, c Class, key, zone, tenant, idem string, size int, timeoutMillis float64, isRetry bool,
) attempt {
	router, addr, kept, err := l.pick(zone)
	if err != nil {
		return attempt{end: checker.Failed}
	}
	var wire strings.Builder
	facts := fmt.Sprintf("c=%s,d=%d", c.Name, int(timeoutMillis))
	for _, f := range []struct{ k, v string }{{"k", idem}, {"t", tenant}} {
		if f.v != "" {
			facts += "," + f.k + "=" + f.v
		}
	}
	if isRetry && l.p.Marks {
		facts += ",r=1"
	}
	if c.Write {
		fmt.Fprintf(&wire, "ms %s %d O%s P%s\r\n", key, size, id, facts)
		wire.Write(fakes.NewValue("client", key, id, size))
		wire.WriteString("\r\n")
	} else {
		fmt.Fprintf(&wire, "mg %s v O%s P%s\r\n", key, id, facts)
	}
	// record adds the events of a request that was sent, and ended without an answer.
	record := func(sent float64, k checker.Kind, newConnection bool) {
		l.journal.Add(checker.Event{At: sent, Kind: checker.Sent, Request: id, Router: router, Class: c.Name,
			Idem: idem, Deadline: timeoutMillis})
		l.journal.Add(checker.Event{At: l.clock.Now(), Kind: k, Request: id, Router: router,
			NewConnection: newConnection})
	}
	conn, used := kept, true
	if conn == nil {
		conn, used, err = l.pool.take(addr, timeoutMillis)
	}
	if err != nil {
		return attempt{end: checker.Failed}
	}
	sent := l.clock.Now()
	waitMillis, disconnects := l.waitFor(timeoutMillis)
	_ = conn.SetDeadline(time.Now().Add(time.Duration(waitMillis * float64(time.Millisecond))))
	n, err := 0, error(nil)
	if isLarge := c.Write && size > largeValueBytes; isLarge {
		n, err = l.writeLarge(conn, wire.String())
		sent = l.clock.Now() // a request's time counts from its last byte
		_ = conn.SetDeadline(time.Now().Add(time.Duration(waitMillis * float64(time.Millisecond))))
	} else {
		n, err = io.WriteString(conn, wire.String())
	}
	if err != nil {
		conn.Close()
		if n == 0 { // no byte was written
			if !used {
				record(sent, checker.ClosedByRouter, true)
			}
			return attempt{end: checker.Failed, isIdleClose: used}
		}
		record(sent, checker.ClosedByRouter, !used)
		return attempt{end: checker.Failed, mayHaveArrived: true, isIdleClose: used}
	}
	end, after, sum, err := readAnswer(conn.r)
	var timeout net.Error
	switch {
	case disconnects && errors.As(err, &timeout) && timeout.Timeout():
		conn.Close()
		record(sent, checker.Disconnected, false)
		return attempt{end: checker.Failed, mayHaveArrived: true, disconnected: true}
	case errors.As(err, &timeout) && timeout.Timeout():
		conn.Close()
		record(sent, checker.ClientTimedOut, false)
		return attempt{end: checker.Failed, mayHaveArrived: true}
	case err != nil:
		conn.Close()
		record(sent, checker.ClosedByRouter, !used && errors.Is(err, errNoAnswer))
		return attempt{end: checker.Failed, mayHaveArrived: true, isIdleClose: used && errors.Is(err, errNoAnswer)}
	}
	l.journal.Add(checker.Event{At: sent, Kind: checker.Sent, Request: id, Router: router, Class: c.Name,
		Idem: idem, Deadline: timeoutMillis})
	now := l.clock.Now()
	l.journal.Add(checker.Event{At: now, Kind: checker.Answered, Request: id, Router: router, Answer: end, Sum: sum})
	if conn.r.Buffered() > 0 { // more than one answer
		l.journal.Add(checker.Event{At: now, Kind: checker.ExtraAnswer, Request: id, Router: router})
		conn.Close()
	} else if l.keepsConnection() {
		l.pool.put(addr, conn)
	} else {
		conn.Close()
	}
	return attempt{end: end, retryAfterMillis: after, answered: true, mayHaveArrived: true}
}

// pick chooses a router for a client of a zone. A client of a router that is shutting down keeps using
// its open connection, which pick returns as kept.
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

// uniform returns a random number from 0 to 1.
func (l *Load) uniform() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rng.Float64()
}

// keepsConnection draws whether the client keeps its connection after a request.
func (l *Load) keepsConnection() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rng.Float64() >= l.p.Reconnect
}

// errNoAnswer is returned for a connection that ended before the first byte of an answer.
var errNoAnswer = errors.New("closed without an answer")

// readAnswer reads a router's answer. Any line that is not a value, a receipt or a refusal is a failure.
func readAnswer(r *bufio.Reader) (end checker.Answer, after float64, sum uint64, err error) {
	if _, err := r.Peek(1); err != nil {
		var timeout net.Error
		if errors.As(err, &timeout) && timeout.Timeout() {
			return checker.Failed, 0, 0, err
		}
		return checker.Failed, 0, 0, errNoAnswer
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
			return checker.Failed, 0, 0, fmt.Errorf("invalid value length %q", w[1])
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
			after, _ = strconv.ParseFloat(w[2], 64) // 0 if it is not a number
		}
		return checker.Refused, after, 0, nil
	}
	return checker.Failed, 0, 0, nil
}

type conn struct {
	net.Conn
	r         *bufio.Reader
	idleSince float64
}

// isOpen reports whether an idle connection is open, as far as the client's kernel knows.
func (c *conn) isOpen() bool {
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

// pool keeps idle connections by address, up to maxIdle for each.
type pool struct {
	maxIdle int
	clock   *fakes.Clock

	mu           sync.Mutex
	idle         map[string][]*conn
	dialFailures int
}

func newPool(maxIdle int, clock *fakes.Clock) *pool {
	return &pool{maxIdle: maxIdle, clock: clock, idle: map[string][]*conn{}}
}

// maxIdleMillis is how long an idle connection may be reused: a router may close it after 2 s.
const maxIdleMillis = 1500

// take returns an idle or a new connection, and whether it has been used before.
func (p *pool) take(addr string, withinMS float64) (c *conn, used bool, err error) {
	if c := p.takeIdle(addr); c != nil {
		return c, true, nil
	}
	raw, err := net.DialTimeout("tcp", addr, time.Duration(withinMS*float64(time.Millisecond)))
	if err != nil {
		p.mu.Lock()
		p.dialFailures++
		p.mu.Unlock()
		return nil, false, err
	}
	return &conn{Conn: raw, r: bufio.NewReaderSize(raw, 4096)}, false, nil
}

// takeIdle returns an idle connection that is open as far as known; nil if there is none.
func (p *pool) takeIdle(addr string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for list := p.idle[addr]; len(list) > 0; list = p.idle[addr] {
		c := list[len(list)-1]
		p.idle[addr] = list[:len(list)-1]
		if p.clock.Now()-c.idleSince < maxIdleMillis && c.isOpen() {
			return c
		}
		c.Close()
	}
	return nil
}

func (p *pool) put(addr string, c *conn) {
	_ = c.SetDeadline(time.Time{})
	c.idleSince = p.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[addr]) >= p.maxIdle {
		c.Close()
		return
	}
	p.idle[addr] = append(p.idle[addr], c)
}

func (p *pool) dialFailureCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dialFailures
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
