package largefleet

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	"dockhinge.example/dockhinge/lab/fakes"
)

const (
	// keyCount is the number of different keys read.
	keyCount = 100000
	// oneWriteIn: one request in that many is a write.
	oneWriteIn = 10
	// answerSlack is how long after a client's time an answer still counts.
	answerSlack = 500 * time.Millisecond
	// lateAfter is the latency from which an answer counts as late.
	lateAfter = 50 * time.Millisecond
	// readLimit ends the wait for an answer that has not come.
	readLimit = 4 * time.Second
	// leaveWithin bounds when clients leave that don't wait for their answers.
	leaveWithin = 100 * time.Millisecond
)

// ending is how a request ended for its client.
type ending int

const (
	endServed ending = iota
	endRejected
	endFailed
	endWrong
	endUnanswered
	endCut
	endNotConnected
	endLeft
)

// exchange is one request of a client.
type exchange struct {
	id       string
	ending   ending
	line     string
	latency  time.Duration
	leftAtMs float64 // when the client left without an answer, on the lab's clock; 0 = it stayed
}

// load sends requests at a constant rate, each over a connection of its own.
type load struct {
	clock   *fakes.Clock
	address string
	params  Params
	rng     *rand.Rand

	mu        sync.Mutex
	exchanges []exchange
}

// run sends requests until ctx ends, and returns when all have ended.
func (l *load) run(ctx context.Context) {
	var running sync.WaitGroup
	defer running.Wait()
	interval := time.Duration(float64(time.Second) / l.params.PerSecond)
	begin := time.Now()
	for i := 0; ctx.Err() == nil; i++ {
		key := fmt.Sprintf("key-%d", l.rng.IntN(keyCount))
		leaves := l.rng.Float64() < l.params.LeaveShare
		leaveAfter := time.Duration(l.rng.Int64N(int64(leaveWithin)))
		running.Go(func() {
			e := l.exchange(fmt.Sprintf("%x.%d", l.params.Seed, i), key, i%oneWriteIn == 0, leaves, leaveAfter)
			l.mu.Lock()
			defer l.mu.Unlock()
			l.exchanges = append(l.exchanges, e)
		})
		time.Sleep(time.Until(begin.Add(time.Duration(i+1) * interval)))
	}
}

// exchange sends one request over a new connection and waits for its answer, or leaves before.
func (l *load) exchange(id, key string, isWrite, leaves bool, leaveAfter time.Duration) exchange {
	result := exchange{id: id}
	conn, err := net.Dial("tcp", l.address)
	if err != nil {
		result.ending = endNotConnected
		return result
	}
	defer conn.Close()
	command := fmt.Sprintf("mg %s v O%s Pc=fetch,d=%d\r\n", key, id, l.params.Wait.Milliseconds())
	if isWrite {
		command = fmt.Sprintf("ms %s 3 O%s Pc=publish,d=%d,k=%s\r\nabc\r\n", key, id, l.params.Wait.Milliseconds(), id)
	}
	askedAt := time.Now()
	_ = conn.SetDeadline(askedAt.Add(l.params.Wait + readLimit))
	if leaves {
		_ = conn.SetDeadline(askedAt.Add(leaveAfter))
	}
	if _, err = io.WriteString(conn, command); err == nil {
		result.line, err = readAnswer(bufio.NewReader(conn))
	}
	result.latency = time.Since(askedAt)
	result.ending = classify(result.line, key, isWrite, err)
	if leaves && result.ending == endUnanswered {
		result.ending = endLeft
		conn.Close()
		result.leftAtMs = l.clock.Now()
	}
	return result
}

// readAnswer returns the head of an answer and its value, if any.
func readAnswer(r *bufio.Reader) (answer string, err error) {
	line, err := r.ReadString('\n')
	if err != nil || !strings.HasPrefix(line, "VA ") {
		return strings.TrimSpace(line), err
	}
	value, err := r.ReadString('\n')
	return strings.TrimSpace(line) + " " + strings.TrimSpace(value), err
}

func classify(answer, key string, isWrite bool, err error) ending {
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return endUnanswered
	case errors.Is(err, syscall.ECONNREFUSED):
		return endNotConnected
	case err != nil:
		return endCut
	case strings.HasPrefix(answer, "SERVER_ERROR busy"):
		return endRejected
	case strings.HasPrefix(answer, "SERVER_ERROR"):
		return endFailed
	case isWrite && strings.HasPrefix(answer, "HD "):
		return endServed
	case !isWrite && strings.HasPrefix(answer, "VA ") && strings.HasSuffix(answer, " "+key):
		return endServed
	}
	return endWrong
}
