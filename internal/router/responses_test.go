package router

import (
	"runtime"
	"strings"
	"testing"
)

// onlyConn returns the connection of the only client.
func (s *clients) onlyConn(t *testing.T) *clientConn {
	t.Helper()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		return c
	}
	t.Fatal("no client is connected")
	return nil
}

// Guards against an answer that is due and waits for the turn of another goroutine: it must be with the
// system as soon as it is given.
func TestAnswerIsWrittenBeforeAnyOtherGoroutineRuns(t *testing.T) {
	_, s, addr := startLoopAndClients(t, 64, 100)
	client := dialClient(t, addr)
	client.Write([]byte("mn\r\n"))
	client.nextAnswer()
	c := s.onlyConn(t)
	response := c.appendResponse()
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	response.answer([]byte("SERVER_ERROR failed\r\n"))
	if !hasInput(client.Conn) {
		t.Error("the answer is not written yet")
	}
}

// Answers that the system doesn't take whole, and those of a pipeline, must still arrive whole and in order.
func TestLongAndPipelinedAnswersArriveInOrder(t *testing.T) {
	_, s, addr := startLoopAndClients(t, 64, 100)
	client := dialClient(t, addr)
	client.Write([]byte("mn\r\n"))
	client.nextAnswer()
	c := s.onlyConn(t)
	var responses []*response
	var want []string
	for i := range maxPipelined {
		responses = append(responses, c.appendResponse())
		want = append(want, strings.Repeat(string(rune('a'+i)), 1+i*maxWriteAtOnce/4))
	}
	for i := len(responses) - 1; i >= 0; i-- {
		responses[i].answer([]byte(want[i] + "\r\n"))
	}
	for i := range want {
		if got := client.nextAnswer(); got != want[i] {
			t.Fatalf("answer %d has %d bytes of %.1q, want %d of %.1q", i, len(got), got, len(want[i]), want[i])
		}
	}
}
