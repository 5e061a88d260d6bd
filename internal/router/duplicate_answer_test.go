package router

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"dockhinge.example/dockhinge/decide"
)

// duplicatingServer is a cache server that has every value. The first request with id a gets a given
// answer. Each answer comes a second time, at the worst moment: when the connection's next request
// has arrived, and before that is answered.
type duplicatingServer struct {
	// first is the answer to the first request with id a. {id} stands for the id.
	first string
	// hasAnsweredFirst is set once that answer was given.
	hasAnsweredFirst atomic.Bool
	// received has the id of each request.
	received chan string
	// connections counts the connections accepted.
	connections atomic.Int32
}

// workTime is how long a duplicatingServer works on a request.
const workTime = 20 * time.Millisecond

// start returns the server's address.
func (s *duplicatingServer) start(t *testing.T) (addr string) {
	t.Helper()
	s.received = make(chan string, 1000)
	return serveConns(t, s.serve)
}

func (s *duplicatingServer) serve(c net.Conn) {
	s.connections.Add(1)
	previous := ""
	for lines := bufio.NewScanner(c); lines.Scan(); {
		id := requestIDOf(lines.Text())
		s.received <- id
		io.WriteString(c, previous)
		time.Sleep(workTime)
		answer := "VA 5 O{id} h1\r\nhello\r\n"
		if lines.Text() == "stats load" {
			answer = "STAT qps 3\r\nSTAT util 0.1\r\nEND\r\n"
		}
		if id == "a" && s.hasAnsweredFirst.CompareAndSwap(false, true) {
			answer = s.first
		}
		previous = strings.ReplaceAll(answer, "{id}", id)
		io.WriteString(c, previous)
	}
}

// Guards against a request that is sent to two servers, or refused though it runs: a cache server's
// answer without an id came a second time and was taken for the answer to the next request of its
// connection.
func TestDuplicateOfErrorLineIsNotTakenForAnAnswer(t *testing.T) {
	for _, class := range []string{"read", "put", "bill"} {
		for _, first := range []string{"SERVER_ERROR busy\r\n", "SERVER_ERROR failed\r\n"} {
			t.Run(class+", "+strings.TrimSpace(first), func(t *testing.T) {
				s := &duplicatingServer{first: first}
				_, _, addr := startLoopAndClients(t, 192, 40, cacheEntry("s-0000000b", s.start(t)),
					originEntry("127.0.0.1:1"))
				c := dialClient(t, addr)
				c.exchange(readOfClass(class, "a"))
				for len(s.received) > 0 {
					<-s.received
				}
				if got := c.exchange(readOfClass(class, "b")); got != "VA 5 Ob hello" {
					t.Errorf("got %q", got)
				}
				if attempts := receivedSoFar(s.received); len(attempts) != 1 {
					t.Errorf("the server received %q, want one attempt", attempts)
				}
			})
		}
	}
}

// readOfClass returns a read of the given class.
func readOfClass(class, id string) string {
	return fmt.Sprintf("mg 7f3a9c21e0b4d655 v O%s Pc=%s,t=t,d=60000,k=%s", id, class, id)
}

// Guards against a request that fails, or is repeated at once, because the last answer of its
// connection came a second time: what has the id of the last request is discarded, and the
// connection is kept.
func TestDuplicateOfAnswerWithIDIsDiscarded(t *testing.T) {
	const valueBytes = maxBufferedValue + 1
	for name, first := range map[string]string{
		"value":       "VA 5 O{id} h1\r\nhello\r\n",
		"large value": fmt.Sprintf("VA %d O{id} h1\r\n%s\r\n", valueBytes, strings.Repeat("v", valueBytes)),
		"miss":        "EN O{id} h0\r\n",
	} {
		for _, class := range []string{"read", "put", "bill"} {
			t.Run(class+", "+name, func(t *testing.T) {
				s := &duplicatingServer{first: first}
				o := startFakeServer(t, originAnswer)
				_, _, addr := startLoopAndClients(t, 192, 40, cacheEntry("s-0000000b", s.start(t)),
					originEntry(o.addr))
				c := dialClient(t, addr)
				c.exchange(readOfClass(class, "a"))
				if got := c.exchange(readOfClass(class, "b")); got != "VA 5 Ob hello" {
					t.Errorf("got %.40q", got)
				}
				if attempts := receivedSoFar(s.received); len(attempts) != 2 {
					t.Errorf("the server received %q, want a and b", attempts)
				}
				if n := s.connections.Load(); n != 1 {
					t.Errorf("%d connections, want 1", n)
				}
			})
		}
	}
}

// Guards against a health check that counts as unanswered, which is evidence against the server, and
// a request that fails, because the last answer of their connection came a second time.
func TestDuplicateIsDiscardedByAndAfterHealthCheck(t *testing.T) {
	s := &duplicatingServer{first: "VA 5 O{id} h1\r\nhello\r\n"}
	u := newTestUpstreams(t, 10*time.Second, 10)
	server := u.add(s.start(t), false)
	for _, id := range []string{"a", "b"} {
		cmd := newReadCommand()
		cmd.id = id
		got := u.roundTrip(t.Context(), server, cmd, unconditionalHooks)
		if got.status != decide.OK {
			t.Errorf("request %s: status %v", id, got.status)
		}
		status, load := u.checkHealth(t.Context(), server)
		if status != decide.OK || load.Utilization != 0.1 {
			t.Errorf("health check after %s: status %v, %+v", id, status, load)
		}
	}
	if n := s.connections.Load(); n != 1 {
		t.Errorf("%d connections, want 1", n)
	}
}

// Guards against an answer that is discarded though it is not a duplicate: one with the id of an
// earlier request, or of none.
func TestForeignAnswerIsMalformed(t *testing.T) {
	for _, answer := range []string{"VA 5 Oc h1\r\nhello\r\n", "EN Oc\r\n", "VA 5 h1\r\nhello\r\n"} {
		s := startFakeServer(t, answerOnce("VA 5 Oa h1\r\nhello\r\n", func(string) string { return answer }))
		u := newTestUpstreams(t, 10*time.Second, 10)
		server := u.add(s.addr, false)
		for n, want := range []decide.AttemptStatus{decide.OK, decide.MalformedResponse} {
			cmd := newReadCommand()
			cmd.id = string(rune('a' + n))
			if got := u.roundTrip(t.Context(), server, cmd, unconditionalHooks); got.status != want {
				t.Errorf("%q, request %s: status %v, want %v", answer, cmd.id, got.status, want)
			}
		}
	}
}

// serveDuplicatingOrigin answers a connection's requests as an origin, each with the given answer, and
// sends the last answer again when the next request has arrived.
func serveDuplicatingOrigin(c net.Conn, answer string) {
	previous := ""
	for r := bufio.NewReader(c); ; {
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		io.WriteString(c, previous)
		previous = answer
		answer = httpAnswer("200 OK", "fresh")
		io.WriteString(c, previous)
	}
}

// Guards against a request that is sent again, or refused though it runs: the origin's last refusal
// or error came a second time, later than its connection rests, and was taken for the answer to the
// next request.
func TestDuplicateOfOriginRefusalIsNotTakenForAnAnswer(t *testing.T) {
	for _, first := range []string{
		httpAnswer("503 Service Unavailable", "", "X-Unprocessed: 1"),
		httpAnswer("504 Gateway Timeout", "", "X-Unprocessed: 1"),
		httpAnswer("500 Internal Server Error", ""),
	} {
		t.Run(first[:len("HTTP/1.1 503")], func(t *testing.T) {
			t.Parallel()
			var connections atomic.Int32
			addr := serveConns(t, func(c net.Conn) {
				answer := first
				if connections.Add(1) > 1 {
					answer = httpAnswer("200 OK", "fresh")
				}
				serveDuplicatingOrigin(c, answer)
			})
			u := newTestUpstreams(t, 10*time.Second, 10)
			origin := u.add(addr, true)
			u.roundTrip(t.Context(), origin, newReadCommand(), unconditionalHooks)
			time.Sleep(originIdleMinimum)
			if got := u.roundTrip(t.Context(), origin, newReadCommand(), unconditionalHooks); got.status != decide.OK {
				t.Errorf("status %v", got.status)
			}
		})
	}
}
