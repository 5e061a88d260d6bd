package router

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"
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
}

// workTime is how long a duplicatingServer works on a request.
const workTime = 20 * time.Millisecond

// start returns the server's address.
func (s *duplicatingServer) start(t *testing.T) (addr string) {
	t.Helper()
	s.received = make(chan string, 1000)
	ln := listenLocal(t)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go s.serve(c)
		}
	}()
	return ln.Addr().String()
}

func (s *duplicatingServer) serve(c net.Conn) {
	defer c.Close()
	previous := ""
	for lines := bufio.NewScanner(c); lines.Scan(); {
		id := requestIDOf(lines.Text())
		s.received <- id
		io.WriteString(c, previous)
		time.Sleep(workTime)
		answer := "VA 5 O{id} h1\r\nhello\r\n"
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
