package router

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"dockhinge.example/dockhinge/decide"
)

// Guards against a connection reset that destroys answers: the answers before an error reach the
// client, however much input it continues to send.
func TestAnswersBeforeRejectedInputAreDelivered(t *testing.T) {
	r, _ := startReadyRouter(t, cacheEntry("s-0000000b", startFakeServer(t, hitAnswer).addr),
		originEntry(startFakeServer(t, originAnswer).addr))
	for range 20 {
		c := dialClient(t, r.addr)
		input := readCommandOf("a1", 2000) + "\r\nms k 62914560 Oa2 Pc=put,d=900,k=1\r\n" +
			strings.Repeat("x", 100<<10)
		go io.WriteString(c, input)
		time.Sleep(20 * time.Millisecond) // an early reset would arrive before the answers are read
		if got := c.nextAnswer(); got != "VA 5 Oa1 hello" {
			t.Fatalf("got %q", got)
		}
		if got := c.nextAnswer(); !strings.HasPrefix(got, "CLIENT_ERROR ") {
			t.Fatalf("got %q", got)
		}
		if got := c.nextAnswer(); got != "EOF" {
			t.Fatalf("got %q", got)
		}
	}
}

// Guards against clients that send input forever: reading is limited in time and bytes.
func TestReadingOfOversizedInputIsLimited(t *testing.T) {
	r, _ := startReadyRouter(t, cacheEntry("s-0000000b", startFakeServer(t, hitAnswer).addr),
		originEntry(startFakeServer(t, originAnswer).addr))
	c := dialClient(t, r.addr)
	c.send("ms k 62914560 Oa2 Pc=put,d=900,k=1\r\n")
	chunk, sent := make([]byte, 64<<10), 0
	for sent < 60<<20 {
		n, err := c.Write(chunk)
		if sent += n; err != nil {
			break
		}
	}
	if sent >= 60<<20 {
		t.Error("a value of 60 MB was read completely")
	}
	if got := dialClient(t, r.addr).exchange(readCommandOf("a1", 2000)); got != "VA 5 Oa1 hello" {
		t.Errorf("got %q", got)
	}
}

// Guards against losing a command that arrives just as the connection's read deadline passes:
// hasInput reports it even though a read only returns the deadline error.
func TestHasInputIgnoresReadDeadline(t *testing.T) {
	ln := listenLocal(t)
	c := dialClient(t, ln.Addr().String())
	s, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	s.SetReadDeadline(time.Unix(1, 0))
	if hasInput(s) {
		t.Error("input reported before any was sent")
	}
	c.send("mn\r\n")
	for end := time.Now().Add(testTimeout); !hasInput(s); {
		if time.Now().After(end) {
			t.Fatal("the input is not reported")
		}
	}
	if _, err := s.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("read: %v", err)
	}
}

// expiringListener is a listener whose connections block in their second read until expire is
// opened; that read then returns a deadline error.
type expiringListener struct {
	net.Listener
	secondReads chan<- *expiringConn
	expire      gate
}

type expiringConn struct {
	*net.TCPConn
	from  expiringListener
	reads atomic.Int32
}

func (l expiringListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &expiringConn{TCPConn: c.(*net.TCPConn), from: l}, nil
}

func (c *expiringConn) Read(b []byte) (int, error) {
	if c.reads.Add(1) == 2 {
		c.from.secondReads <- c
		<-c.from.expire.opened
		return 0, os.ErrDeadlineExceeded
	}
	return c.TCPConn.Read(b)
}

// Guards against dropping a command whose last part arrives while its connection is being evicted.
func TestCommandReceivedDuringEvictionIsAnswered(t *testing.T) {
	s := startFakeServer(t, hitAnswer)
	l, _, _ := startLoopAndClients(t, 192, 40, cacheEntry("s-0000000b", s.addr), originEntry(s.addr))
	secondReads, expire := make(chan *expiringConn, 10), newGate(t)
	clients := newClients(l, expiringListener{listenLocal(t), secondReads, expire}, 10)
	clients.wg.Go(clients.accept)
	c := dialClient(t, clients.listener.Addr().String())
	c.send(readCommandOfKey(1, "a", 60000)[:9])
	nc := receive(t, secondReads, "a read after the first part")
	clients.mu.Lock()
	for conn := range clients.conns {
		conn.mu.Lock() // as in clientConn.drain, with the rest arriving in the meantime
		conn.isDraining, conn.commandDeadline = true, time.Now().Add(time.Hour)
		conn.mu.Unlock()
	}
	clients.mu.Unlock()
	c.send(readCommandOfKey(1, "a", 60000)[9:] + "\r\n")
	for !hasInput(nc) {
	}
	expire.open()
	if got := c.nextAnswer(); got != "VA 5 Oa hello" {
		t.Errorf("got %q", got)
	}
	if got := c.nextAnswer(); got != "EOF" {
		t.Errorf("after the answer: got %q", got)
	}
	c.Close()
	clients.closeAndAwaitEnd(t)
}

// Guards against requests and reserved answer bytes that remain after a failed write: if an answer
// can't be written, the requests and answers queued after it end too.
func TestFailedWriteEndsPendingRequestsAndAnswers(t *testing.T) {
	first, second := newGate(t), newGate(t)
	s := startFakeServer(t, missAnswer)
	o := startFakeServer(t, func(line string) string {
		if strings.Contains(line, fmt.Sprintf("%016x", 1)) {
			<-first.opened
		} else {
			<-second.opened
		}
		return originAnswer(line)
	})
	l, clients, addr := startLoopAndClients(t, 192, 40, cacheEntry("s-0000000b", s.addr), originEntry(o.addr))
	c := dialClient(t, addr)
	for i := range 2 {
		c.send(fmt.Sprintf("ms %016x 3 Oa%d Pc=bill,t=t,d=60000\r\nabc\r\n", 1+i, i))
		receive(t, o.received, "a write")
	}
	c.send(strings.Repeat("mn\r\n", maxPipelined-2))
	eventually(t, l, "answers queued after both", func() bool {
		return l.answers.buffered.used.Load() >= int64(len("MN\r\n"))*(maxPipelined-2)
	})
	var conn *clientConn
	clients.mu.Lock()
	for conn = range clients.conns {
	}
	clients.mu.Unlock()
	// From now on no write succeeds, and the reader, which waits for capacity, is not notified.
	conn.Conn.(*net.TCPConn).CloseWrite()
	first.open()
	eventually(t, l, "the end of both requests, and no reserved bytes",
		func() bool { return l.answers.buffered.used.Load() == 0 && len(l.unanswered) == 0 })
	second.open()
	clients.closeAndAwaitEnd(t)
}

// Guards against a command that arrives just before its connection is closed: closing would reset
// the connection and destroy the answer before it.
func TestLateCommandDoesNotDestroyAnswer(t *testing.T) {
	ln := listenLocal(t)
	client := dialClient(t, ln.Addr().String())
	nc, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	c := &clientConn{Conn: nc, reader: bufio.NewReader(nc), unwritable: make(chan struct{})}
	client.send(readCommandOfKey(1, "late", 60000) + "\r\n")
	for !hasInput(nc) {
	}
	io.WriteString(nc, "HD Oa c5c0f\r\n")
	ended := make(chan struct{})
	go func() { defer close(ended); c.closeAfterAnswers(false) }()
	if got := client.nextAnswer(); got != "HD Oa c5c0f" {
		t.Errorf("got %q", got)
	}
	if _, err := client.r.ReadByte(); err != io.EOF {
		t.Errorf("after the answer: got %v", err)
	}
	client.Close()
	receive(t, ended, "end")
}

// Guards against repeating a request that may have run: a server may close an idle connection just
// as a request is written to it. The outcome is a reset, and the request is sent once.
func TestServerCloseDuringWriteIsReset(t *testing.T) {
	closeConn := newGate(t)
	var armed atomic.Bool
	o := startFakeServer(t, func(line string) string {
		if armed.Load() {
			<-closeConn.opened
			return "close"
		}
		return originAnswer(line)
	})
	u := newTestUpstreams(t, 10*time.Second, 10)
	target := u.add(o.addr, true)
	if got := u.roundTrip(t.Context(), target, newWriteCommand(), unconditionalHooks); got.status != decide.OK {
		t.Fatalf("got %v", got.status)
	}
	armed.Store(true)
	time.Sleep(originIdleMinimum) // until then the connection is not used again
	hooks := unconditionalHooks
	hooks.afterWrite = closeConn.open // the request is written completely; the server closes without an answer
	if got := u.roundTrip(t.Context(), target, newWriteCommand(), hooks); got.status != decide.Reset {
		t.Errorf("got %v, want a reset", got.status)
	}
	if o.connCount.Load() != 1 || len(o.received) != 2 {
		t.Errorf("%d connections, %d requests", o.connCount.Load(), len(o.received))
	}
}

// shutdownRecorder is a connection that reports how it is shut down.
type shutdownRecorder struct {
	*net.TCPConn
	how chan<- string
}

func (c shutdownRecorder) CloseWrite() error {
	c.how <- "end of the answers"
	return c.TCPConn.CloseWrite()
}

func (c shutdownRecorder) Close() error { c.how <- "close"; return c.TCPConn.Close() }

// Guards against a close just after an answer, while the client's next command may be in transit:
// the connection would be reset, and the reset could destroy the answer. The answers are ended
// first.
func TestConnectionLingersAfterRecentAnswer(t *testing.T) {
	for name, offset := range map[string]time.Duration{"just answered": time.Hour, "answered long ago": -time.Hour} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ln := listenLocal(t)
			client := dialClient(t, ln.Addr().String())
			nc, err := ln.Accept()
			if err != nil {
				t.Fatal(err)
			}
			shutdowns := make(chan string, 10)
			c := &clientConn{Conn: shutdownRecorder{nc.(*net.TCPConn), shutdowns}, reader: bufio.NewReader(nc),
				unwritable: make(chan struct{}), lastAnswerAt: time.Now().Add(offset)}
			ended := make(chan struct{})
			go func() { defer close(ended); c.closeAfterAnswers(false) }()
			if got := client.nextAnswer(); got != "EOF" {
				t.Errorf("got %q", got)
			}
			if offset > 0 {
				if got := receive(t, shutdowns, "shutdown"); got != "end of the answers" {
					t.Errorf("first shutdown: got %q", got)
				}
				client.send(readCommandOfKey(1, "late", 60000) + "\r\n")
				for range 2 { // the input is not read as commands and causes no reset
					client.send("mn\r\n")
				}
				client.Close()
			}
			if got := receive(t, shutdowns, "shutdown"); got != "close" {
				t.Errorf("last shutdown: got %q", got)
			}
			receive(t, ended, "end")
		})
	}
}
