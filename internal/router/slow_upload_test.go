package router

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// Sizes of an ordinary network, where loopback would buffer megabytes, and what the tests send over it.
const (
	networkSegmentBytes    = 1400
	originReceiveBytes     = 16 << 10
	originReadBytes        = 2 << 10
	uploadPieceBytes       = 8 << 10
	lateAnswerAllowance    = 550 * time.Millisecond // an answer that comes later after its time is lost
	soundUploadConcurrency = 8
)

// slowOrigin is an origin that reads the values of writes slowly.
type slowOrigin struct {
	// bytesPerSecond is the rate at which it reads; 0 = as fast as it can.
	bytesPerSecond int
	// stopAfter is how much of a value it reads before it stops for good; 0 = it does not stop.
	stopAfter int
	// restAfter is how much of a value it reads before it rests for rest.
	restAfter int
	rest      time.Duration
	// completed counts the writes that it has received completely.
	completed atomic.Int32
}

// start starts the origin and returns its address.
func (o *slowOrigin) start(t *testing.T) (addr string) {
	ln := listenLocal(t)
	raw, err := ln.(*net.TCPListener).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	raw.Control(func(fd uintptr) { // connections inherit both
		unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, originReceiveBytes)
		unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, syscall.TCP_MAXSEG, networkSegmentBytes)
	})
	ended := newGate(t)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				o.serve(c, ended)
			}()
		}
	}()
	return ln.Addr().String()
}

// serve reads one write and answers it.
func (o *slowOrigin) serve(c net.Conn, ended gate) {
	head := make([]byte, 0, maxHeadBytes)
	for !strings.HasSuffix(string(head), "\r\n\r\n") {
		head = append(head, 0)
		if _, err := c.Read(head[len(head)-1:]); err != nil {
			return
		}
	}
	_, text, _ := strings.Cut(string(head), "Content-Length: ")
	text, _, _ = strings.Cut(text, "\r")
	length, err := strconv.Atoi(text)
	if err != nil {
		return
	}
	if !o.readValue(c, length, ended) {
		return
	}
	o.completed.Add(1)
	io.WriteString(c, originAnswer("PUT"))
	c.Read(make([]byte, 1)) // until the router closes it
}

// readValue reads a value at the origin's rate, and reports whether it was complete.
func (o *slowOrigin) readValue(c net.Conn, length int, ended gate) bool {
	part := make([]byte, originReadBytes)
	beganAt := time.Now()
	for received := 0; received < length; {
		if o.stopAfter > 0 && received >= o.stopAfter {
			<-ended.opened
			return false
		}
		if o.rest > 0 && received >= o.restAfter {
			time.Sleep(o.rest)
			o.rest = 0
		}
		wanted := min(len(part), length-received)
		if o.stopAfter > 0 {
			wanted = min(wanted, o.stopAfter-received)
		}
		n, err := c.Read(part[:wanted])
		if err != nil {
			return false
		}
		received += n
		if o.bytesPerSecond > 0 {
			time.Sleep(time.Until(beganAt.Add(time.Duration(received) * time.Second / time.Duration(o.bytesPerSecond))))
		}
	}
	return true
}

// upstreamWrite is a large write of a client.
type upstreamWrite struct {
	class      string
	valueBytes int
	// wait is how long the client waits for the answer after its last byte.
	wait time.Duration
	// bytesPerSecond is the rate at which the client writes; 0 = as fast as it can.
	bytesPerSecond int
}

// send writes the command, and returns the answer and how long after the last byte it came.
func (w upstreamWrite) send(c *client, id string) (answer string, took time.Duration) {
	c.t.Helper()
	text := fmt.Sprintf("ms 7f3a9c21e0b4d655 %d O%s Pc=%s,t=t,k=%s,d=%d\r\n", w.valueBytes, id, w.class, id,
		w.wait.Milliseconds()) + strings.Repeat("v", w.valueBytes) + "\r\n"
	c.SetDeadline(time.Now().Add(3 * testTimeout))
	beganAt := time.Now()
	for sent := 0; sent < len(text); {
		n := len(text) - sent
		if w.bytesPerSecond > 0 {
			n = min(n, uploadPieceBytes)
		}
		c.send(text[sent : sent+n])
		sent += n
		if w.bytesPerSecond > 0 {
			time.Sleep(time.Until(beganAt.Add(time.Duration(sent) * time.Second / time.Duration(w.bytesPerSecond))))
		}
	}
	writtenAt := time.Now()
	return c.nextAnswer(), time.Since(writtenAt)
}

const (
	megabyte    = 1 << 20
	neverRepeat = "bill"
	keyed       = "put"
)

// Guards against an answer that comes seconds after its time because the origin takes a large write
// slowly or not at all: the client's last byte lay unread while the router waited for the origin.
func TestLargeWriteIsAnsweredInTimeIfOriginReadsSlowly(t *testing.T) {
	for name, c := range map[string]struct {
		origin *slowOrigin
		write  upstreamWrite
	}{
		"72 KB a second": {
			&slowOrigin{bytesPerSecond: 71970},
			upstreamWrite{neverRepeat, 825756, 600, 0},
		},
		"101 KB a second": {
			&slowOrigin{bytesPerSecond: 101054},
			upstreamWrite{neverRepeat, 965516, 684, 0},
		},
		"300 KB a second": {
			&slowOrigin{bytesPerSecond: 300e3},
			upstreamWrite{keyed, 3 * megabyte, 1200, 0},
		},
		"40 KB a second": {
			&slowOrigin{bytesPerSecond: 40e3},
			upstreamWrite{keyed, 120e3, 500, 0},
		},
		"40 KB a second, short time": {
			&slowOrigin{bytesPerSecond: 40e3},
			upstreamWrite{keyed, 120e3, 50, 0},
		},
		"stops at 300 KB": {
			&slowOrigin{stopAfter: 300e3},
			upstreamWrite{keyed, 2 * megabyte, 1500, 0},
		},
		"stops at 300 KB, short time": {
			&slowOrigin{stopAfter: 300e3},
			upstreamWrite{keyed, 2 * megabyte, 100, 0},
		},
		"stops at 2 KB": {
			&slowOrigin{stopAfter: 2298},
			upstreamWrite{keyed, 184960, 800, 0},
		},
		"stops at 22 KB": {
			&slowOrigin{stopAfter: 22605},
			upstreamWrite{neverRepeat, 198313, 400, 0},
		},
		"stops, slow client": {
			&slowOrigin{stopAfter: 13179},
			upstreamWrite{neverRepeat, 185e3, 600, 150e3},
		},
		"stops, very slow client": {
			&slowOrigin{stopAfter: 3990},
			upstreamWrite{keyed, 400e3, 600, 100e3},
		},
		"slower than its client": {
			&slowOrigin{bytesPerSecond: 60e3},
			upstreamWrite{keyed, 400e3, 300, 120e3},
		},
		"stops, of 4 MiB": {
			&slowOrigin{stopAfter: 3 * megabyte},
			upstreamWrite{keyed, 4 * megabyte, 700, 0},
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c.write.wait *= time.Millisecond
			addr := c.origin.start(t)
			r, _ := startReadyRouter(t, cacheEntry("s-0000000b", "127.0.0.1:1"), originEntry(addr))
			answer, took := c.write.send(dialClient(t, r.addr), "w1")
			if took > c.write.wait+lateAnswerAllowance {
				t.Errorf("answered %q after %v, the client waits for %v", answer, took, c.write.wait)
			}
			if !strings.HasPrefix(answer, "SERVER_ERROR busy") {
				t.Errorf("got %q for a write whose last byte was never sent", answer)
			}
			time.Sleep(lateAnswerAllowance)
			if n := c.origin.completed.Load(); n > 0 {
				t.Errorf("the origin received the rejected write completely")
			}
		})
	}
}

// randomUploadSeed is the seed of the writes and origins that are drawn.
const randomUploadSeed = 64

// Guards against late answers to large writes at rates, pauses, sizes and waits that no table has.
func TestLargeWritesAreAnsweredInTimeAtRandomRates(t *testing.T) {
	random := rand.New(rand.NewPCG(randomUploadSeed, 0))
	pick := func(values ...int) int { return values[random.IntN(len(values))] }
	for range 24 {
		origin := &slowOrigin{
			bytesPerSecond: pick(0, 100e3, 250e3, megabyte),
			stopAfter:      pick(0, 1, random.IntN(100e3)+1, random.IntN(megabyte/2)+1),
			restAfter:      random.IntN(megabyte / 2),
			rest:           time.Duration(pick(0, 50, 300, 900, 2500)) * time.Millisecond,
		}
		write := upstreamWrite{
			class:          []string{neverRepeat, keyed}[random.IntN(2)],
			valueBytes:     maxBufferedValue + 1 + random.IntN(megabyte/2),
			wait:           time.Duration(pick(20, 100, 300, 600, 1200, 1900)) * time.Millisecond,
			bytesPerSecond: pick(0, 0, 200e3, 600e3, 4*megabyte),
		}
		t.Run(fmt.Sprintf("%+v, origin %d B/s, stop %d, rest %v at %d", write, origin.bytesPerSecond,
			origin.stopAfter, origin.rest, origin.restAfter), func(t *testing.T) {
			t.Parallel()
			r, _ := startReadyRouter(t, cacheEntry("s-0000000b", "127.0.0.1:1"), originEntry(origin.start(t)))
			answer, took := write.send(dialClient(t, r.addr), "w1")
			if took > write.wait+lateAnswerAllowance || answer == "EOF" {
				t.Errorf("answered %q after %v", answer, took)
			}
			time.Sleep(lateAnswerAllowance)
			if strings.HasPrefix(answer, "SERVER_ERROR busy") && origin.completed.Load() > 0 {
				t.Error("the origin received the rejected write completely")
			}
		})
	}
}

// A write that the origin has received and not answered may have run.
func TestReceivedLargeWriteFailsAtItsDeadline(t *testing.T) {
	const valueBytes = 120e3
	origin := &slowOrigin{stopAfter: valueBytes - 1}
	r, _ := startReadyRouter(t, cacheEntry("s-0000000b", "127.0.0.1:1"), originEntry(origin.start(t)))
	write := upstreamWrite{neverRepeat, valueBytes, 400 * time.Millisecond, 0}
	answer, took := write.send(dialClient(t, r.addr), "w1")
	if answer != "SERVER_ERROR failed" || took > write.wait+lateAnswerAllowance {
		t.Errorf("got %q after %v", answer, took)
	}
}

// A sound large write is served: its client is slow and the origin keeps up, or the origin rests for
// less than the client waits.
func TestSoundLargeWriteIsServed(t *testing.T) {
	for name, c := range map[string]struct {
		origin *slowOrigin
		write  upstreamWrite
	}{
		"slow client": {
			&slowOrigin{},
			upstreamWrite{keyed, 400e3, 600, 120e3},
		},
		"slow client, origin just faster": {
			&slowOrigin{bytesPerSecond: 150e3},
			upstreamWrite{keyed, 400e3, 800, 120e3},
		},
		"origin rests for 0.4 s": {
			&slowOrigin{rest: 400, restAfter: 100e3},
			upstreamWrite{keyed, 500e3, 1200, 120e3},
		},
		"origin rests for 0.7 s": {
			&slowOrigin{rest: 700, restAfter: 100e3},
			upstreamWrite{keyed, 500e3, 1200, 120e3},
		},
		"rests, fast client": {
			&slowOrigin{rest: 400, restAfter: 100e3},
			upstreamWrite{keyed, 3 * megabyte, 1500, 0},
		},
		"fast": {
			&slowOrigin{},
			upstreamWrite{neverRepeat, 4 * megabyte, 1500, 0},
		},
		"1 MB a second": {
			&slowOrigin{bytesPerSecond: megabyte},
			upstreamWrite{keyed, 900e3, 1500, 0},
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c.write.wait *= time.Millisecond
			c.origin.rest *= time.Millisecond
			addr := c.origin.start(t)
			r, _ := startReadyRouter(t, cacheEntry("s-0000000b", "127.0.0.1:1"), originEntry(addr))
			if answer, took := c.write.send(dialClient(t, r.addr), "w1"); !strings.HasPrefix(answer, "HD Ow1") {
				t.Errorf("got %q after %v", answer, took)
			}
		})
	}
}

// Many sound large writes at once, under the least memory, are all served.
func TestSoundLargeWritesAtOnceAreServed(t *testing.T) {
	origin := &slowOrigin{}
	addr := origin.start(t)
	_, s, routerAddr := startLoopAndClients(t, 32, 100, cacheEntry("s-0000000b", "127.0.0.1:1"), originEntry(addr))
	done := make(chan string, soundUploadConcurrency)
	for i := range soundUploadConcurrency {
		c := dialClient(t, routerAddr)
		go func() {
			write := upstreamWrite{keyed, 300e3, 1200 * time.Millisecond, 200e3}
			answer, took := write.send(c, fmt.Sprint("w", i))
			done <- fmt.Sprint(answer, " after ", took)
		}()
	}
	for range soundUploadConcurrency {
		if got := receive(t, done, "answer"); !strings.HasPrefix(got, "HD ") {
			t.Errorf("got %s", got)
		}
	}
	s.closeAndAwaitEnd(t)
}

// BenchmarkLargeWrite measures a write of 1 MiB to an origin that takes it at once.
func BenchmarkLargeWrite(b *testing.B) {
	origin := startFakeServer(b, originAnswer)
	r, _ := startReadyRouter(b, cacheEntry("s-0000000b", "127.0.0.1:1"), originEntry(origin.addr))
	c := dialClient(b, r.addr)
	write := upstreamWrite{neverRepeat, megabyte, 2 * time.Second, 0}
	go func() {
		for range origin.received {
		}
	}()
	for i := 0; b.Loop(); i++ {
		if answer, _ := write.send(c, fmt.Sprint("w", i)); !strings.HasPrefix(answer, "HD ") {
			b.Fatalf("got %q", answer)
		}
	}
}
