package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// Sizes of the requests and answers that fill a router's memory.
const (
	longestValue = 4 << 20
	shortValue   = 64 << 10
	longestHead  = 4000
	// halfWritten is how much of a value a client writes before it stops.
	halfWritten = 40 << 10
	// pipelined is the number of commands that a client sends at once.
	pipelined = 16
	// slowRead is what a slow client reads at once, and slowReadPause how long it waits then.
	slowRead      = 8 << 10
	slowReadPause = 20 * time.Millisecond
	// serverDelay is how long the servers take for an answer.
	serverDelay = 300 * time.Millisecond
	// memoryLoadTime is how long the clients load a router.
	memoryLoadTime = 4 * time.Second
)

// buildRouter builds the program without the race detector, which takes several times the memory.
func buildRouter(t *testing.T) (program string) {
	t.Helper()
	program = filepath.Join(t.TempDir(), "dockhinge")
	if out, err := exec.Command("go", "build", "-o", program, ".").CombinedOutput(); err != nil {
		t.Fatalf("building the router: %v\n%s", err, out)
	}
	return program
}

// processLimits are the limits of a router's process.
type processLimits struct{ memoryMB, sockets int }

// limitedRouter is a router as a process whose memory is watched.
type limitedRouter struct {
	address string
	pid     int
	// peakMB is the most memory of its own that the process was seen to have.
	peakMB atomic.Int64
}

// startLimitedRouter starts a router with the given limits before a cache server and an origin.
func startLimitedRouter(t *testing.T, program string, limits processLimits, cacheServer, origin string) *limitedRouter {
	t.Helper()
	servers := []any{endpoint("s-0000000c", cacheServer, "box"), endpoint("s-00000063", origin, "origin")}
	list := map[string]any{"version": 2, "full": true, "servers": servers}
	config := readTestConfig(t)
	config["discovery"] = startDiscovery(t, list)
	config["known"] = list
	config["limits"] = map[string]any{"cores": 1.0, "memory_mb": limits.memoryMB, "sockets": limits.sockets}
	config["settings"].(map[string]any)["categories"] = []any{
		class("read", "repeatable"), class("put", "once"),
	}
	process := startProcess(t, exec.Command(program), config)
	return &limitedRouter{pid: process.pid, address: process.awaitAddress(t)}
}

// class returns a class of requests with a long deadline.
func class(name, effect string) map[string]any {
	return map[string]any{
		"name":      name,
		"effect":    effect,
		"keyScope":  "all",
		"target":    5000,
		"hardLimit": 10000,
		"gain":      1,
	}
}

// readTestConfig returns the configuration that CI starts the program with.
func readTestConfig(t *testing.T) (config map[string]any) {
	t.Helper()
	text, err := os.ReadFile("../../.ci/config.json")
	if err != nil {
		t.Fatal(err)
	}
	if err := json.Unmarshal(text, &config); err != nil {
		t.Fatal(err)
	}
	return config
}

// startDiscovery serves a list that never changes, and returns the address.
func startDiscovery(t *testing.T, list map[string]any) (addr string) {
	t.Helper()
	ln := listen(t, "127.0.0.1:0")
	serveDiscovery(t, ln, list)
	return ln.Addr().String()
}

// serveDiscovery serves a list that never changes on a listener.
func serveDiscovery(t *testing.T, ln net.Listener, list map[string]any) {
	t.Helper()
	answer, err := json.Marshal(list)
	if err != nil {
		t.Fatal(err)
	}
	service := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("wait_ms") != "" {
			<-r.Context().Done()
			return
		}
		w.Write(answer)
	})}
	done := make(chan struct{})
	go func() { defer close(done); service.Serve(ln) }()
	t.Cleanup(func() { service.Close(); <-done })
}

// watchMemory records the router's peak of memory until the returned function is called.
func (r *limitedRouter) watchMemory(t *testing.T) (stop func()) {
	end := make(chan struct{})
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for {
			r.peakMB.Store(max(r.peakMB.Load(), anonymousMB(r.pid)))
			select {
			case <-end:
				return
			case <-time.After(5 * time.Millisecond):
			}
		}
	}()
	stop = sync.OnceFunc(func() { close(end); <-ended })
	t.Cleanup(stop)
	return stop
}

// anonymousMB returns the memory of a process that no file backs, in MB, or 0 if it has ended.
func anonymousMB(pid int) int64 {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(status)) {
		fields := strings.Fields(line)
		if len(fields) > 1 && fields[0] == "RssAnon:" {
			kilobytes, _ := strconv.ParseInt(fields[1], 10, 64)
			return kilobytes >> 10
		}
	}
	return 0
}

// serveLines runs a server that calls answer with each line that it receives. The connection ends
// when answer returns false.
func serveLines(t *testing.T, answer func(conn net.Conn, line string) bool) (addr string) {
	t.Helper()
	ln := listen(t, "127.0.0.1:0")
	var served sync.WaitGroup
	var mu sync.Mutex
	open := map[net.Conn]struct{}{}
	isEnded := false
	t.Cleanup(func() {
		ln.Close()
		mu.Lock()
		isEnded = true
		for conn := range open {
			conn.Close()
		}
		mu.Unlock()
		served.Wait()
	})
	served.Go(func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			mu.Lock()
			open[conn] = struct{}{}
			if isEnded {
				conn.Close()
			}
			mu.Unlock()
			served.Go(func() {
				defer func() {
					conn.Close()
					mu.Lock()
					delete(open, conn)
					mu.Unlock()
				}()
				lines := bufio.NewScanner(conn)
				for lines.Scan() && answer(conn, lines.Text()) {
				}
			})
		}
	})
	return ln.Addr().String()
}

// memoryLoad is what clients and servers do that could fill a router's memory.
type memoryLoad struct {
	// command returns what a client sends.
	command func(id string) string
	// clients is the number of clients, and perSecond how many connect in a second.
	clients, perSecond int
	// isReadSlowly is set if the clients read their answers slowly; otherwise they don't read at all.
	isReadSlowly bool
	// valueBytes is the length of the cache server's values; 0 = it has none, and -1 = it never
	// answers.
	valueBytes int
}

// memoryLoads are the ways to fill a router's memory that clients and servers have.
func memoryLoads() map[string]memoryLoad {
	read := func(id string) string { return fmt.Sprintf("mg key-%s v O%s Pc=read,d=9000\r\n", id, id) }
	pipeline := func(one func(id string) string) func(id string) string {
		return func(id string) string {
			var text strings.Builder
			for n := range pipelined {
				text.WriteString(one(fmt.Sprint(id, ".", n)))
			}
			return text.String()
		}
	}
	manyFields := func(verb, behind string) func(id string) string {
		var fields strings.Builder
		for n := 0; n < 28; n++ {
			fmt.Fprintf(&fields, ",x%d=%s", n, strings.Repeat("y", longestHead/28-6))
		}
		return func(id string) string { return fmt.Sprintf(verb, id) + fields.String() + behind }
	}
	return map[string]memoryLoad{
		"long values without a length, read slowly": {command: read, clients: 100, perSecond: 320, isReadSlowly: true},
		"long values with a length, read slowly": {command: read, clients: 250, perSecond: 320, isReadSlowly: true,
			valueBytes: longestValue},
		"short values, not read": {command: pipeline(read), clients: 250, perSecond: 320, valueBytes: shortValue},
		"short writes that stop half way": {clients: 250, perSecond: 320, command: func(id string) string {
			return fmt.Sprintf("ms 7 %d O%s Pc=put,d=9000\r\n%s", shortValue, id, strings.Repeat("v", halfWritten))
		}},
		"long writes that stop half way": {clients: 250, perSecond: 320, command: func(id string) string {
			return fmt.Sprintf("ms 7 %d O%s Pc=put,d=9000\r\n%s", longestValue, id, strings.Repeat("v", 2*shortValue))
		}},
		"writes of 64 KiB, not answered": {clients: 250, perSecond: 320, command: pipeline(func(id string) string {
			return fmt.Sprintf("ms 7 %d O%s Pc=put,d=9000\r\n%s\r\n", shortValue, id, strings.Repeat("v", shortValue))
		})},
		"reads with heads of many fields, not answered": {clients: 250, perSecond: 320, valueBytes: -1,
			command: pipeline(manyFields("mg 7 v O%s Pc=read,d=9000", "\r\n"))},
		"writes with heads of many fields, not answered": {clients: 250, perSecond: 320, valueBytes: -1,
			command: pipeline(manyFields("ms 7 3 O%s Pc=put,d=9000", "\r\nabc\r\n"))},
		"heads of many fields, never complete": {clients: 250, perSecond: 320,
			command: manyFields("mg 7 v O%s Pc=read,d=9000", "")},
	}
}

// startServers starts the cache server and the origin of a load.
func (m memoryLoad) startServers(t *testing.T) (cacheServer, origin string) {
	t.Helper()
	value := strings.Repeat("v", max(m.valueBytes, 0))
	cacheServer = serveLines(t, func(conn net.Conn, line string) bool {
		fields := strings.Fields(line)
		switch {
		case len(fields) < 4 || fields[0] != "mg" || m.valueBytes < 0:
			return true
		case m.valueBytes == 0:
			_, err := fmt.Fprintf(conn, "EN %s\r\n", fields[3])
			return err == nil
		}
		time.Sleep(serverDelay)
		_, err := fmt.Fprintf(conn, "VA %d %s\r\n%s\r\n", len(value), fields[3], value)
		return err == nil
	})
	body := strings.Repeat("v", longestValue)
	origin = serveLines(t, func(conn net.Conn, line string) bool {
		if strings.HasPrefix(line, "GET ") {
			time.Sleep(serverDelay)
			io.WriteString(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"+body)
			return false
		}
		return true // a write is never answered
	})
	return cacheServer, origin
}

// runClient sends the load's commands on a connection, and reads the answers slowly or not at all
// until the end.
func (m memoryLoad) runClient(address, id string, end <-chan struct{}) {
	var dialer net.Dialer
	dialer.Control = func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, slowRead)
		})
	}
	conn, err := dialer.Dial("tcp", address)
	if err != nil {
		return
	}
	defer conn.Close()
	go io.WriteString(conn, m.command(id)) // ends with the connection
	part := make([]byte, slowRead)
	for {
		select {
		case <-end:
			return
		case <-time.After(slowReadPause):
		}
		if !m.isReadSlowly {
			continue
		}
		if _, err := conn.Read(part); err != nil {
			return
		}
	}
}

// Guards against a router that is killed for its memory, whatever hundreds of clients and the servers
// do at once: long values without a length stayed in memory until their clients had read them, and
// heads were in no budget.
func TestMemoryStaysUnderLimit(t *testing.T) {
	program := buildRouter(t)
	for name, load := range memoryLoads() {
		t.Run(name, func(t *testing.T) {
			for _, limits := range []processLimits{{32, 512}, {64, 512}, {192, 1024}} {
				t.Run(fmt.Sprint(limits.memoryMB, " MB"), func(t *testing.T) {
					t.Parallel()
					peak := load.peakMemory(t, program, limits)
					t.Logf("up to %d MB", peak)
					if peak > int64(limits.memoryMB) {
						t.Errorf("up to %d MB of %d MB", peak, limits.memoryMB)
					}
				})
			}
		})
	}
}

// peakMemory plays the load on a router with the given limits, and returns its peak of memory in MB.
func (m memoryLoad) peakMemory(t *testing.T, program string, limits processLimits) int64 {
	t.Helper()
	cacheServer, origin := m.startServers(t)
	router := startLimitedRouter(t, program, limits, cacheServer, origin)
	stopWatch := router.watchMemory(t)
	end := make(chan struct{})
	var clients sync.WaitGroup
	for i := range m.clients * limits.sockets / 512 {
		clients.Go(func() { m.runClient(router.address, fmt.Sprint("c", i), end) })
		time.Sleep(time.Second / time.Duration(m.perSecond))
	}
	time.Sleep(memoryLoadTime)
	router.expectServing(t)
	close(end)
	clients.Wait()
	stopWatch()
	return router.peakMB.Load()
}

// expectServing fails the test if the router has ended or leaves an ordinary client without an
// answer.
func (r *limitedRouter) expectServing(t *testing.T) {
	t.Helper()
	conn, err := net.Dial("tcp", r.address)
	if err != nil {
		t.Fatalf("the router does not serve: %v", err)
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(testTimeout))
	fmt.Fprint(conn, "mg other v Oother Pc=read,d=1000\r\n")
	if line, err := bufio.NewReader(conn).ReadString('\n'); err != nil {
		t.Errorf("an ordinary client got %q, %v", line, err)
	}
}
