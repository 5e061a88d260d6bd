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

// The answers before an error reach the client, however much it goes on sending: the connection
// isn't reset at once.
func TestAnswersSurviveRejectedInput(t *testing.T) {
	r, _ := serving(t, box("s-0000000b", startFake(t, hit).addr), originAt(startFake(t, originOK).addr))
	for range 20 {
		c := dial(t, r.addr)
		input := readCommandOf("a1", 2000) + "\r\nms k 62914560 Oa2 Pc=put,d=900,k=1\r\n" +
			strings.Repeat("x", 100<<10)
		go io.WriteString(c, input)
		time.Sleep(20 * time.Millisecond) // so that an early reset would be there before the answers are read
		if got := c.line(); got != "VA 5 Oa1 hello" {
			t.Fatalf("got %q", got)
		}
		if got := c.line(); !strings.HasPrefix(got, "CLIENT_ERROR ") {
			t.Fatalf("got %q", got)
		}
		if got := c.line(); got != "EOF" {
			t.Fatalf("got %q", got)
		}
	}
}

// A client that sends for ever is read for a bounded time and number of bytes.
func TestEndlessInputIsCutOff(t *testing.T) {
	r, _ := serving(t, box("s-0000000b", startFake(t, hit).addr), originAt(startFake(t, originOK).addr))
	c := dial(t, r.addr)
	c.send("ms k 62914560 Oa2 Pc=put,d=900,k=1\r\n")
	chunk, sent := make([]byte, 64<<10), 0
	for sent < 60<<20 {
		n, err := c.Write(chunk)
		if sent += n; err != nil {
			break
		}
	}
	if sent >= 60<<20 {
		t.Error("all of a value of 60 MB was taken")
	}
	if got := dial(t, r.addr).ask(readCommandOf("a1", 2000)); got != "VA 5 Oa1 hello" {
		t.Errorf("got %q", got)
	}
}

// A command that comes just as the connection's time is up shows, though a read says only that the
// time is up.
func TestInputIsSeenWhenTheTimeIsUp(t *testing.T) {
	ln := listenLocal(t)
	c := dial(t, ln.Addr().String())
	s, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	s.SetReadDeadline(time.Unix(1, 0))
	if hasInput(s) {
		t.Error("input before any was sent")
	}
	c.send("mn\r\n")
	for end := time.Now().Add(wait); !hasInput(s); {
		if time.Now().After(end) {
			t.Fatal("the input does not show")
		}
	}
	if _, err := s.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("read: %v", err)
	}
}

// expiringListener is a listener whose connections' second read comes to the end of its time once
// it is let go.
type expiringListener struct {
	net.Listener
	at  chan<- *expiringConn
	let gate
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
		c.from.at <- c
		<-c.from.let.opened
		return 0, os.ErrDeadlineExceeded
	}
	return c.TCPConn.Read(b)
}

// A command of which the last part has come when its connection has to give way is taken.
func TestCommandThatCrossesItsConnectionsEndIsTaken(t *testing.T) {
	s := startFake(t, hit)
	l, _, _ := startLoopAndClients(t, 192, 40, box("s-0000000b", s.addr), originAt(s.addr))
	at, let := make(chan *expiringConn, 10), newGate(t)
	clients := newClients(l, expiringListener{listenLocal(t), at, let}, 10)
	clients.wg.Go(clients.accept)
	c := dial(t, clients.listener.Addr().String())
	c.send(readOf(1, "a", 60000)[:9])
	nc := receive(t, at, "a read behind the first part")
	clients.mu.Lock()
	for conn := range clients.conns {
		conn.mu.Lock() // as drop does, with the rest coming meanwhile
		conn.isDraining, conn.commandDeadline = true, time.Now().Add(time.Hour)
		conn.mu.Unlock()
	}
	clients.mu.Unlock()
	c.send(readOf(1, "a", 60000)[9:] + "\r\n")
	for !hasInput(nc) {
	}
	let.open()
	if got := c.line(); got != "VA 5 Oa hello" {
		t.Errorf("got %q", got)
	}
	if got := c.line(); got != "EOF" {
		t.Errorf("then %q", got)
	}
	c.Close()
	clients.awaitEnd(t)
}

// Where an answer can't be written, what stands behind it ends too: requests that are open, and
// answers that are counted.
func TestWhatStandsBehindABrokenAnswerEnds(t *testing.T) {
	first, second := newGate(t), newGate(t)
	s := startFake(t, miss)
	o := startFake(t, func(line string) string {
		if strings.Contains(line, fmt.Sprintf("%016x", 1)) {
			<-first.opened
		} else {
			<-second.opened
		}
		return originOK(line)
	})
	l, clients, addr := startLoopAndClients(t, 192, 40, box("s-0000000b", s.addr), originAt(o.addr))
	c := dial(t, addr)
	for i := range 2 {
		c.send(readOf(1+i, fmt.Sprint("a", i), 60000) + "\r\n")
		receive(t, o.seen, "a fetch")
	}
	c.send(strings.Repeat("mn\r\n", maxPipelined-2))
	eventually(t, l, "answers behind both", func() bool {
		return l.answerBytes.used.Load() >= int64(len("MN\r\n"))*(maxPipelined-2)
	})
	var conn *clientConn
	clients.mu.Lock()
	for conn = range clients.conns {
	}
	clients.mu.Unlock()
	// no write succeeds from now on, and the reader, which waits for room, isn't told
	conn.Conn.(*net.TCPConn).CloseWrite()
	first.open()
	eventually(t, l, "the end of both, and no bytes counted",
		func() bool { return l.answerBytes.used.Load() == 0 && len(l.unanswered) == 0 })
	second.open()
	clients.awaitEnd(t)
}

// A command that comes when its connection is about to be closed destroys no answer: the close
// would be a reset.
func TestCommandThatCrossesTheCloseDestroysNoAnswer(t *testing.T) {
	ln := listenLocal(t)
	client := dial(t, ln.Addr().String())
	nc, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	c := &clientConn{Conn: nc, reader: bufio.NewReader(nc), unwritable: make(chan struct{})}
	client.send(readOf(1, "late", 60000) + "\r\n")
	for !hasInput(nc) {
	}
	io.WriteString(nc, "HD Oa c5c0f\r\n")
	ended := make(chan struct{})
	go func() { defer close(ended); c.closeAfterAnswers(false) }()
	if got := client.line(); got != "HD Oa c5c0f" {
		t.Errorf("got %q", got)
	}
	if _, err := client.r.ReadByte(); err != io.EOF {
		t.Errorf("then %v", err)
	}
	client.Close()
	receive(t, ended, "end")
}

// A server may close a kept connection just when a request is written to it. That request may have
// run: what must not be repeated fails, once.
func TestCloseThatCrossesAWriteIsAReset(t *testing.T) {
	shut := newGate(t)
	var armed atomic.Bool
	o := startFake(t, func(line string) string {
		if armed.Load() {
			<-shut.opened
			return "close"
		}
		return originOK(line)
	})
	u := testUpstreams(t, 10*time.Second, 10)
	target := u.add(o.addr, true)
	if got := u.roundTrip(t.Context(), target, putCommand(), writeAlways); got.status != decide.OK {
		t.Fatalf("got %v", got.status)
	}
	armed.Store(true)
	time.Sleep(originIdleMinimum) // which the kept one rests
	on := writeAlways
	on.afterWrite = shut.open // it is written whole, and the server, which has it, says nothing
	if got := u.roundTrip(t.Context(), target, putCommand(), on); got.status != decide.Reset {
		t.Errorf("got %v, want a reset", got.status)
	}
	if o.conns.Load() != 1 || len(o.seen) != 2 {
		t.Errorf("%d connections, %d requests", o.conns.Load(), len(o.seen))
	}
}

// shutdownRecorder is a connection that tells how it is shut.
type shutdownRecorder struct {
	*net.TCPConn
	how chan<- string
}

func (c shutdownRecorder) CloseWrite() error {
	c.how <- "end of the answers"
	return c.TCPConn.CloseWrite()
}

func (c shutdownRecorder) Close() error { c.how <- "close"; return c.TCPConn.Close() }

// A close that a command is on its way to would be a reset too, and might overtake the answer
// before it.
func TestAnswerThatHasJustGoneOutArrivesBeforeTheClose(t *testing.T) {
	for name, at := range map[string]time.Duration{"just answered": time.Hour, "answered long ago": -time.Hour} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ln := listenLocal(t)
			client := dial(t, ln.Addr().String())
			nc, err := ln.Accept()
			if err != nil {
				t.Fatal(err)
			}
			how := make(chan string, 10)
			c := &clientConn{Conn: shutdownRecorder{nc.(*net.TCPConn), how}, reader: bufio.NewReader(nc),
				unwritable: make(chan struct{}), lastAnswerAt: time.Now().Add(at)}
			ended := make(chan struct{})
			go func() { defer close(ended); c.closeAfterAnswers(false) }()
			if got := client.line(); got != "EOF" {
				t.Errorf("got %q", got)
			}
			if at > 0 {
				if got := receive(t, how, "shutdown"); got != "end of the answers" {
					t.Errorf("first %q", got)
				}
				client.send(readOf(1, "late", 60000) + "\r\n")
				for range 2 { // it is not read as a command, and does not reset
					client.send("mn\r\n")
				}
				client.Close()
			}
			if got := receive(t, how, "shutdown"); got != "close" {
				t.Errorf("then %q", got)
			}
			receive(t, ended, "end")
		})
	}
}
