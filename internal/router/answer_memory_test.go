package router

import (
	"net"
	"strings"
	"testing"
)

// unsizedAnswer is an origin's answer whose value of n bytes ends with the connection.
func unsizedAnswer(n int) string {
	return "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + strings.Repeat("v", n) + "{cut}"
}

// Guards against a router that runs out of memory: an answer beyond the budgets is not read. A read
// without effect is rejected at once; another one has run and fails.
func TestAnswerBeyondMemoryIsRejected(t *testing.T) {
	const (
		short = "mg short v Oa Pc=read,t=t,d=60000"
		long  = "mg long v Oa Pc=read,t=t,d=60000"
	)
	asBill := strings.NewReplacer("c=read", "c=bill")
	for name, c := range map[string]struct {
		command string
		budget  func(l *loop) *byteBudget
		want    string
	}{
		"short value": {short, func(l *loop) *byteBudget { return &l.answers.buffered }, "SERVER_ERROR busy"},
		"value of unknown length": {long, func(l *loop) *byteBudget { return &l.answers.unsized },
			"SERVER_ERROR busy"},
		"short value of a request that must run once": {asBill.Replace(short),
			func(l *loop) *byteBudget { return &l.answers.buffered }, "SERVER_ERROR failed"},
		"value of unknown length of a request that must run once": {asBill.Replace(long),
			func(l *loop) *byteBudget { return &l.answers.unsized }, "SERVER_ERROR failed"},
	} {
		t.Run(name, func(t *testing.T) {
			s := startFakeServer(t, func(line string) string {
				if strings.HasPrefix(line, "mg short") {
					return "VA 60000 O{id} h1\r\n" + strings.Repeat("v", 60000) + "\r\n"
				}
				return missAnswer(line)
			})
			o := startFakeServer(t, func(string) string { return unsizedAnswer(3 * maxBufferedValue) })
			l, _, addr := startLoopAndClients(t, 64, 40, cacheEntry("s-0000000b", s.addr), originEntry(o.addr))
			budget := c.budget(l)
			onLoop(l, func() {}) // the loop has its limits
			taken := int(budget.limit.Load()) - 1000
			budget.reserve(taken)
			conn := dialClient(t, addr)
			if got := conn.exchange(c.command); got != c.want {
				t.Errorf("without memory: got %.100q, want %q", got, c.want)
			}
			if attempts := len(s.received) + len(o.received); attempts > 2 {
				t.Errorf("%d attempts: an answer that can't be kept was asked for again", attempts)
			}
			budget.release(taken)
			next := strings.Replace(c.command, " O", " Onext", 1)
			if got := conn.exchange(next); !strings.HasPrefix(got, "VA ") {
				t.Errorf("with memory: got %.100q", got)
			}
			eventually(t, l, "no reserved memory", func() bool {
				return l.answers.buffered.used.Load() == 0 && l.answers.unsized.used.Load() == 0 &&
					l.requestBytes.used.Load() == 0
			})
		})
	}
}

// smallBufferListener is a listener for whose connections the system holds few written bytes.
type smallBufferListener struct{ net.Listener }

func (l smallBufferListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return c, c.(*net.TCPConn).SetWriteBuffer(slowReaderBytes)
}

// Guards against a budget that is given back too early: the memory of an answer is reserved until its
// client has taken it, and is returned if the client disconnects.
func TestAnswerMemoryIsReservedUntilWritten(t *testing.T) {
	const n = 3 << 20
	s := startFakeServer(t, missAnswer)
	o := startFakeServer(t, func(string) string { return unsizedAnswer(n) })
	l, _, _ := startLoopAndClients(t, 192, 40, cacheEntry("s-0000000b", s.addr), originEntry(o.addr))
	clients := newClients(l, smallBufferListener{listenLocal(t)}, 10)
	clients.wg.Go(clients.accept)
	for _, end := range []string{"read", "close", "reset"} {
		c := dialSlowReader(t, clients.listener.Addr().String())
		c.send(readCommandOf(end, 60000) + "\r\n")
		eventually(t, l, "the value in memory", func() bool {
			return l.answers.unsized.used.Load() == n-maxBufferedValue
		})
		if end == "read" {
			if got := c.nextAnswer(); len(got) < n {
				t.Fatalf("got %.100q", got)
			}
		} else {
			c.disconnect(end)
		}
		eventually(t, l, "no reserved memory after "+end, func() bool {
			return l.answers.unsized.used.Load() == 0 && l.answers.buffered.used.Load() == 0
		})
	}
	clients.closeAndAwaitEnd(t)
}
