package largefleet

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"math"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"dockhinge.example/dockhinge/lab/fakes"
)

// firstServerNet is the second byte of the first cache server's address. Each has an address of its
// own in 127.0.0.0/8, and all have the same port.
const firstServerNet = 16

// stepsPerByte is the number of addresses that the last byte of an address distinguishes.
const stepsPerByte = 256

// cacheServers stands in for thousands of cache servers with a single listener. Its goroutines are
// one for each open connection.
type cacheServers struct {
	clock    *fakes.Clock
	listener net.Listener
	// hangShare is the share of the servers that never answer.
	hangShare float64
	running   sync.WaitGroup

	mu    sync.Mutex
	conns map[net.Conn]struct{}
	// attempts holds all attempts received.
	attempts []attempt
	accepted int
	isClosed bool
}

// attempt is a request received by a cache server.
type attempt struct {
	atMillis float64
	host     string
	id       string
}

func startCacheServers(clock *fakes.Clock, hangShare float64) (*cacheServers, error) {
	listener, err := net.Listen("tcp4", "0.0.0.0:0") // every address in 127.0.0.0/8 leads here
	if err != nil {
		return nil, fmt.Errorf("cache servers: %w", err)
	}
	s := &cacheServers{clock: clock, listener: listener, hangShare: hangShare, conns: map[net.Conn]struct{}{}}
	s.running.Go(s.accept)
	return s, nil
}

// addr returns the address of the server with a number.
func (s *cacheServers) addr(number int) string {
	port := s.listener.Addr().(*net.TCPAddr).Port
	return fmt.Sprintf("%s:%d", serverHost(number), port)
}

func serverHost(number int) string {
	return fmt.Sprintf("127.%d.%d.%d", firstServerNet+number/stepsPerByte/stepsPerByte,
		number/stepsPerByte%stepsPerByte, number%stepsPerByte)
}

func (s *cacheServers) close() {
	s.listener.Close()
	s.mu.Lock()
	s.isClosed = true
	for conn := range s.conns {
		conn.Close()
	}
	s.mu.Unlock()
	s.running.Wait()
}

// received returns the attempts and the number of connections so far.
func (s *cacheServers) received() ([]attempt, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.attempts, s.accepted
}

func (s *cacheServers) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		if !s.add(conn) {
			conn.Close()
			return
		}
		s.running.Go(func() { s.serve(conn) })
	}
}

func (s *cacheServers) add(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isClosed {
		return false
	}
	s.conns[conn] = struct{}{}
	s.accepted++
	return true
}

// serve answers each read with a hit, whose value is the key.
func (s *cacheServers) serve(conn net.Conn) {
	defer func() {
		conn.Close()
		s.mu.Lock()
		delete(s.conns, conn)
		s.mu.Unlock()
	}()
	host, _, _ := net.SplitHostPort(conn.LocalAddr().String())
	hangs := hashShare(host) < s.hangShare
	lines := bufio.NewScanner(conn)
	for lines.Scan() {
		fields := strings.Fields(lines.Text())
		if len(fields) < 4 || fields[0] != "mg" {
			fmt.Fprint(conn, "CLIENT_ERROR only reads\r\n")
			return
		}
		s.mu.Lock()
		s.attempts = append(s.attempts, attempt{s.clock.Now(), host, strings.TrimPrefix(fields[3], "O")})
		s.mu.Unlock()
		if hangs {
			continue
		}
		fmt.Fprintf(conn, "VA %d %s h1\r\n%s\r\n", len(fields[1]), fields[3], fields[1])
	}
}

// hashShare returns a number from 0 to 1 that depends on a server's address only.
func hashShare(host string) float64 {
	h := fnv.New32a()
	_, _ = io.WriteString(h, host) // never fails
	return float64(h.Sum32()) / math.MaxUint32
}

// origin answers each write with its receipt.
type origin struct {
	server   *http.Server
	listener net.Listener
	running  sync.WaitGroup
}

// originLatency is how long the origin takes for a request.
const originLatency = 5 * time.Millisecond

func startOrigin() (*origin, error) {
	listener, err := net.Listen("tcp", fakes.LoopbackHost(fakes.Servers)+":0")
	if err != nil {
		return nil, fmt.Errorf("origin: %w", err)
	}
	o := &origin{listener: listener, server: &http.Server{Handler: http.HandlerFunc(answerAsOrigin)}}
	o.running.Go(func() {
		if err := o.server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			panic(err)
		}
	})
	return o, nil
}

func answerAsOrigin(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	time.Sleep(originLatency)
	w.Header().Set("X-Receipt", r.Header.Get("X-Correlation-Id"))
	fmt.Fprint(w, "stored")
}

func (o *origin) close() {
	_ = o.server.Shutdown(context.Background())
	o.running.Wait()
}
