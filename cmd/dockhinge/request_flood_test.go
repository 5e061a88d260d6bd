package main

import (
	"bufio"
	"errors"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// requestFloodTime is how long each flood of sound requests lasts.
var requestFloodTime = flag.Duration("flood-time", 3*time.Second, "how long each flood of sound requests lasts")

const (
	// ordinaryInterval is the time between two requests of ordinary clients, each over a connection of
	// its own, and ordinaryWait how long each of them waits for its answer.
	ordinaryInterval = 10 * time.Millisecond
	ordinaryWait     = 114 * time.Millisecond
	// oneWriteIn: one ordinary request in that many is a write, the others read a stored key.
	oneWriteIn = 5
	// minServedShare is the least share of the ordinary requests that must be served.
	minServedShare = 0.5
)

// The environment variables that make the test program run a flood: its name and the router's address.
const (
	floodVariable        = "DOCKHINGE_TEST_FLOOD"
	floodAddressVariable = "DOCKHINGE_TEST_FLOOD_ADDRESS"
)

// requestFlood is a flood of sound requests, to a router that has a part of a processor.
type requestFlood struct {
	connections int
	// busyLoops is the number of processes that share the router's processor and never rest.
	busyLoops int
	// appendCommand appends the nth command of a connection.
	appendCommand func(b []byte, connection, n int) []byte
	// originMillis bounds how long the origin takes for a request.
	originMillis [2]int
	// memoryMB is the router's memory; 0 = 64.
	memoryMB int
	// connectionCommands is the number of commands after which a client opens another connection; 0 = it
	// keeps it.
	connectionCommands int
}

// appendRequest appends a command whose key, id and idempotency key have the given names.
func appendRequest(b []byte, head, key, id, metadata, idempotencyKey string) []byte {
	b = append(b, head...)
	b = append(b, key...)
	if strings.HasPrefix(head, "ms") {
		b = append(b, " 3"...)
	} else {
		b = append(b, " v"...)
	}
	b = append(b, " O"...)
	b = append(b, id...)
	b = append(b, " P"...)
	b = append(b, metadata...)
	if idempotencyKey != "" {
		b = append(b, ",k="...)
		b = append(b, idempotencyKey...)
	}
	b = append(b, "\r\n"...)
	if strings.HasPrefix(head, "ms") {
		b = append(b, "abc\r\n"...)
	}
	return b
}

// commandName returns the name of the nth command of a connection.
func commandName(connection, n int) string {
	return "f" + strconv.Itoa(connection) + "." + strconv.Itoa(n)
}

// The kinds of sound requests that a flood has.
var (
	writesOfNewKeys = func(b []byte, connection, n int) []byte {
		name := commandName(connection, n)
		return appendRequest(b, "ms ", name, name, "c=publish,d=500", name)
	}
	writesOfOneKey = func(b []byte, connection, n int) []byte {
		name := commandName(connection, n)
		return appendRequest(b, "ms ", "key", name, "c=publish,d=500", name)
	}
	unsafeWrites = func(b []byte, connection, n int) []byte {
		name := commandName(connection, n)
		return appendRequest(b, "ms ", name, name, "c=release,d=500", "")
	}
	readsOfNewKeys = func(b []byte, connection, n int) []byte {
		name := commandName(connection, n)
		return appendRequest(b, "mg ", name, name, "c=fetch,d=500", "")
	}
	readsOfOneKey = func(b []byte, connection, n int) []byte {
		return appendRequest(b, "mg ", "key", commandName(connection, n), "c=fetch,d=500", "")
	}
	readsWithShortDeadline = func(b []byte, connection, n int) []byte {
		name := commandName(connection, n)
		return appendRequest(b, "mg ", name, name, "c=fetch,d=20", "")
	}
)

// appendLongWrite appends a write of ever new names with a value of 40 KB.
func appendLongWrite(b []byte, connection, n int) []byte {
	name := commandName(connection, n)
	b = fmt.Appendf(b, "ms %s %d O%s Pc=publish,d=500,k=%s\r\n", name, len(longWriteValue), name, name)
	b = append(b, longWriteValue...)
	return append(b, "\r\n"...)
}

// longWriteValue is the value of a long write that the router still reads whole.
var longWriteValue = strings.Repeat("v", 40<<10)

// appendMixed appends commands of all kinds in turn, sound ones and others.
func appendMixed(b []byte, connection, n int) []byte {
	switch n % 6 {
	case 0:
		return append(b, "mn\r\n"...)
	case 1:
		return fmt.Appendf(b, "mg key v O%s Pc=none%d,d=500\r\n", commandName(connection, n), n)
	case 2:
		return appendLongWrite(b, connection, n)
	case 3:
		return readsOfNewKeys(b, connection, n)
	case 4:
		return unsafeWrites(b, connection, n)
	default:
		return writesOfNewKeys(b, connection, n)
	}
}

// requestFloods are floods of sound requests by kind, connections, part of a processor and servers.
func requestFloods() map[string]requestFlood {
	slow := [2]int{5, 15}
	fast := [2]int{0, 1}
	overloaded := [2]int{300, 400}
	return map[string]requestFlood{
		"none, 7 busy loops":                         {busyLoops: 7, appendCommand: readsOfOneKey, originMillis: slow},
		"writes of new keys, 8, a whole processor":   {8, 0, writesOfNewKeys, slow, 64, 0},
		"writes of new keys, 8, 3 busy loops":        {8, 3, writesOfNewKeys, slow, 64, 0},
		"writes of new keys, 8, 7 busy loops":        {8, 7, writesOfNewKeys, slow, 64, 0},
		"writes of new keys, 32, 3 busy loops":       {32, 3, writesOfNewKeys, slow, 64, 0},
		"writes of new keys, 64, a whole processor":  {64, 0, writesOfNewKeys, slow, 64, 0},
		"writes of new keys, 8, fast origin, 3 busy": {8, 3, writesOfNewKeys, fast, 32, 0},
		"writes of one key, 8, 7 busy loops":         {8, 7, writesOfOneKey, slow, 64, 0},
		"unsafe writes, 8, 7 busy loops":             {8, 7, unsafeWrites, slow, 64, 0},
		"reads of new keys, 8, 3 busy loops":         {8, 3, readsOfNewKeys, slow, 64, 0},
		"reads of new keys, 64, 3 busy loops":        {64, 3, readsOfNewKeys, slow, 64, 0},
		"reads of one key, 64, 3 busy loops":         {64, 3, readsOfOneKey, slow, 64, 0},
		"reads with 20 ms to wait, 32, 3 busy loops": {32, 3, readsWithShortDeadline, slow, 64, 0},
		"reads over new connections, 64, 3 busy":     {64, 3, readsOfNewKeys, slow, 64, 20},
		"one read a connection, 8, 3 busy loops":     {8, 3, readsOfNewKeys, slow, 64, 1},
		"writes of 40 KB, 8, 3 busy loops":           {8, 3, appendLongWrite, slow, 64, 0},
		"all kinds in turn, 32, 3 busy loops":        {32, 3, appendMixed, slow, 64, 0},
		"writes to an overloaded origin, 32, 3 busy": {32, 3, writesOfNewKeys, overloaded, 64, 0},
		"writes of new keys, 100, 3 busy, 32 MB":     {100, 3, writesOfNewKeys, slow, 32, 0},
	}
}

// startOnProcessor starts a command that runs on one processor only.
func startOnProcessor(t *testing.T, processor int, start func()) {
	t.Helper()
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	var before, only unix.CPUSet
	if err := unix.SchedGetaffinity(0, &before); err != nil {
		t.Fatal(err)
	}
	only.Set(processor)
	if err := unix.SchedSetaffinity(0, &only); err != nil { // inherited by the process that this thread starts
		t.Fatal(err)
	}
	start()
	if err := unix.SchedSetaffinity(0, &before); err != nil {
		t.Fatal(err)
	}
}

// leaveProcessor keeps the test's own threads off a processor until the test ends, so that clients and
// servers take no time of the router's.
func leaveProcessor(t *testing.T, processor int) {
	t.Helper()
	var before unix.CPUSet
	if err := unix.SchedGetaffinity(0, &before); err != nil {
		t.Fatal(err)
	}
	others := before
	others.Clear(processor)
	setThreads := func(set *unix.CPUSet) {
		threads, _ := filepath.Glob("/proc/self/task/*")
		for _, thread := range threads {
			id, _ := strconv.Atoi(filepath.Base(thread))
			unix.SchedSetaffinity(id, set) // a thread may have ended
		}
	}
	setThreads(&others)
	t.Cleanup(func() { setThreads(&before) })
}

// startBusyLoops starts processes that share a processor and never rest.
func startBusyLoops(t *testing.T, processor, count int) {
	for range count {
		loop := exec.Command("sh", "-c", "while :; do :; done")
		startOnProcessor(t, processor, func() {
			if err := loop.Start(); err != nil {
				t.Fatal(err)
			}
		})
		t.Cleanup(func() { loop.Process.Kill(); loop.Wait() })
	}
}

// startOrigin serves an origin that takes some time for each request.
func startOrigin(t *testing.T, millis [2]int) (address string) {
	ln := listen(t, "127.0.0.1:0")
	service := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		delay := time.Duration(millis[0]*1000+rand.IntN(1000*(millis[1]-millis[0]))) * time.Microsecond
		time.Sleep(delay)
		w.Header().Set("X-Receipt", r.Header.Get("X-Correlation-Id"))
		io.WriteString(w, "hello")
	})}
	done := make(chan struct{})
	go func() { defer close(done); service.Serve(ln) }()
	t.Cleanup(func() { service.Close(); <-done })
	return ln.Addr().String()
}

// startSharedRouter starts a router that shares a processor with busy loops, before two cache servers and
// an origin.
func (f requestFlood) startSharedRouter(t *testing.T, program string) (address string, pid int) {
	t.Helper()
	processor := runtime.NumCPU() - 1
	leaveProcessor(t, processor)
	servers := []any{
		endpoint("s-0000000c", startCacheServer(t), "box"),
		endpoint("s-0000000d", startCacheServer(t), "box"),
		endpoint("s-00000063", startOrigin(t, f.originMillis), "origin"),
	}
	list := map[string]any{"version": 2, "full": true, "servers": servers}
	config := readTestConfig(t)
	config["discovery"] = startDiscovery(t, list)
	config["known"] = list
	config["limits"] = map[string]any{"cores": 0.5, "memory_mb": max(f.memoryMB, 32), "sockets": 512}
	category := func(name, effect string) map[string]any {
		return map[string]any{"name": name, "effect": effect, "keyScope": "all", "window": 2000, "target": 100,
			"hardLimit": 1000, "gain": 1}
	}
	config["settings"].(map[string]any)["categories"] = []any{
		category("fetch", "repeatable"), category("publish", "by_key"), category("release", "once"),
	}
	var router process
	startOnProcessor(t, processor, func() { router = startProcess(t, exec.Command(program), config) })
	address = router.awaitAddress(t)
	startBusyLoops(t, processor, f.busyLoops)
	return address, router.pid
}

// startProcess runs the flood in a process of its own, so that making its commands delays no other client,
// until the returned function is called.
func (f requestFlood) startProcess(t *testing.T, name, address string) (stop func()) {
	t.Helper()
	program, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	command := exec.Command(program)
	command.Env = append(os.Environ(), floodVariable+"="+name, floodAddressVariable+"="+address)
	input, err := command.StdinPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := command.Start(); err != nil {
		t.Fatal(err)
	}
	stop = sync.OnceFunc(func() { input.Close(); command.Wait() })
	t.Cleanup(stop)
	return stop
}

// runUntilInputEnds runs the flood until the standard input ends.
func (f requestFlood) runUntilInputEnds(address string) {
	end := make(chan struct{})
	go func() {
		io.Copy(io.Discard, os.Stdin)
		close(end)
	}()
	f.run(address, end)
}

// run sends the flood over its connections until end is closed.
func (f requestFlood) run(address string, end <-chan struct{}) {
	var clients sync.WaitGroup
	for i := range f.connections {
		clients.Go(func() {
			for round := i; !isClosed(end); round += f.connections {
				f.runConnection(address, round, end)
			}
		})
	}
	clients.Wait()
}

func isClosed(end <-chan struct{}) bool {
	select {
	case <-end:
		return true
	default:
		return false
	}
}

// runConnection sends commands over one connection, as fast as they are taken, and drops the answers.
func (f requestFlood) runConnection(address string, connection int, end <-chan struct{}) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return
	}
	defer conn.Close()
	ended := make(chan struct{})
	go func() { defer close(ended); io.Copy(io.Discard, conn) }()
	defer func() { conn.Close(); <-ended }()
	block := make([]byte, 0, floodWriteBytes+4096)
	for n := 0; !isClosed(end); {
		block = block[:0]
		for len(block) < floodWriteBytes && (f.connectionCommands == 0 || n < f.connectionCommands) {
			block = f.appendCommand(block, connection, n)
			n++
		}
		for rest := block; len(rest) > 0 && !isClosed(end); {
			conn.SetWriteDeadline(time.Now().Add(100 * time.Millisecond))
			written, err := conn.Write(rest)
			rest = rest[written:]
			if err != nil && !os.IsTimeout(err) {
				return
			}
		}
		if n == f.connectionCommands {
			conn.(*net.TCPConn).CloseWrite()
			<-ended
			return
		}
	}
}

// askOrdinarily has ordinary clients ask, each over a connection of its own, for a given time. The name of
// the clients distinguishes their ids from those of others.
func askOrdinarily(address, clients string, duration time.Duration) *othersResult {
	result := &othersResult{}
	var mu sync.Mutex
	var running sync.WaitGroup
	begin := time.Now()
	for i := 0; time.Since(begin) < duration; i++ {
		running.Go(func() {
			line, took := exchangeOrdinarily(address, clients+strconv.Itoa(i), i%oneWriteIn == 0)
			mu.Lock()
			defer mu.Unlock()
			result.took = append(result.took, took)
			switch {
			case strings.HasPrefix(line, "VA ") || strings.HasPrefix(line, "HD "):
				result.served++
			case line != "":
				result.refused++
			default:
				result.unanswered++
			}
		})
		time.Sleep(time.Until(begin.Add(time.Duration(i+1) * ordinaryInterval)))
	}
	running.Wait()
	return result
}

// exchangeOrdinarily sends one request over a new connection. The line is empty if it has no answer.
func exchangeOrdinarily(address, name string, isWrite bool) (line string, took time.Duration) {
	askedAt := time.Now()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return "", time.Since(askedAt)
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(testTimeout))
	metadata := fmt.Sprintf("c=fetch,d=%d", ordinaryWait.Milliseconds())
	command := appendRequest(nil, "mg ", "stored", name, metadata, "")
	if isWrite {
		metadata = fmt.Sprintf("c=publish,d=%d", ordinaryWait.Milliseconds())
		command = appendRequest(nil, "ms ", name, name, metadata, name)
	}
	askedAt = time.Now()
	conn.Write(command)
	line, err = bufio.NewReader(conn).ReadString('\n')
	if err != nil {
		return "", time.Since(askedAt)
	}
	return line, time.Since(askedAt)
}

// Guards against a flood of sound requests that takes the processor from other clients: a request had no
// turn of its own, so all others waited behind as many as one client had in flight.
func TestRequestFloodDelaysNoOther(t *testing.T) {
	if runtime.NumCPU() < 3 {
		t.Skip("the router, its clients and its servers need a processor each")
	}
	program := buildRouter(t)
	for name, f := range requestFloods() {
		t.Run(strings.NewReplacer(", ", "-", " ", "-").Replace(name), func(t *testing.T) {
			address, pid := f.startSharedRouter(t, program)
			askOrdinarily(address, "before", 300*time.Millisecond)
			stop := f.startProcess(t, name, address)
			result := askOrdinarily(address, "beside", *requestFloodTime)
			stop()
			slices.Sort(result.took)
			t.Logf("%v; %d MB used", result, anonymousMB(pid))
			if late := result.later(ordinaryWait - otherClientWait + lateAfter); late > 0 || result.unanswered > 0 {
				t.Errorf("%d of the ordinary clients' answers were late, %d never came", late, result.unanswered)
			}
			if all := len(result.took); float64(result.served) < minServedShare*float64(all) {
				t.Errorf("%d of %d ordinary clients were served", result.served, all)
			}
		})
	}
}

// Guards against a router that, once it runs again after it was held up in a flood, serves what has come
// meanwhile in its order, and so everybody late.
func TestRouterAnswersInTimeRightAfterItWasHeldUp(t *testing.T) {
	if runtime.NumCPU() < 3 {
		t.Skip("the router, its clients and its servers need a processor each")
	}
	const floodName = "writes of new keys, 32, 3 busy loops"
	program := buildRouter(t)
	for _, heldUp := range []time.Duration{200 * time.Millisecond, 1300 * time.Millisecond} {
		t.Run(heldUp.String(), func(t *testing.T) {
			f := requestFloods()[floodName]
			address, pid := f.startSharedRouter(t, program)
			stop := f.startProcess(t, floodName, address)
			askOrdinarily(address, "before", 500*time.Millisecond)
			var running sync.WaitGroup
			unix.Kill(pid, unix.SIGSTOP)
			running.Go(func() { askOrdinarily(address, "during", heldUp) })
			time.Sleep(heldUp)
			unix.Kill(pid, unix.SIGCONT)
			result := askOrdinarily(address, "after", time.Second)
			running.Wait()
			stop()
			t.Logf("%v", result)
			if late := result.later(ordinaryWait - otherClientWait + lateAfter); late > 0 || result.unanswered > 0 {
				t.Errorf("%d of the answers after the stop were late, %d never came", late, result.unanswered)
			}
			if all := len(result.took); float64(result.served) < minServedShare*float64(all) {
				t.Errorf("%d of %d ordinary clients were served after the stop", result.served, all)
			}
		})
	}
}

// Guards against a flood that keeps a router from its signals: it must take new settings and end in time.
func TestFloodKeepsRouterFromNoSignal(t *testing.T) {
	if runtime.NumCPU() < 3 {
		t.Skip("the router, its clients and its servers need a processor each")
	}
	const (
		floodName = "all kinds in turn, 32, 3 busy loops"
		// killAfter is when the platform would kill the router: its longest deadline and 0.7 s after SIGTERM.
		killAfter = 1700 * time.Millisecond
		// latestKill is the same for the longest deadline that a deployment may have.
		latestKill = 3700 * time.Millisecond
	)
	f := requestFloods()[floodName]
	address, pid := f.startSharedRouter(t, buildRouter(t))
	stop := f.startProcess(t, floodName, address)
	defer stop()
	kept, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer kept.Close()
	for range 3 {
		unix.Kill(pid, unix.SIGHUP)
		askOrdinarily(address, fmt.Sprint("reload", time.Now().UnixNano()), 300*time.Millisecond)
	}
	endAt := time.Now()
	unix.Kill(pid, unix.SIGTERM)
	late := 0
	answers := bufio.NewReader(kept)
	for n := 0; time.Since(endAt) < killAfter; n++ {
		askedAt := time.Now()
		name := "kept" + strconv.Itoa(n)
		kept.SetDeadline(askedAt.Add(testTimeout))
		metadata := fmt.Sprintf("c=fetch,d=%d", ordinaryWait.Milliseconds())
		if _, err := kept.Write(appendRequest(nil, "mg ", "stored", name, metadata, "")); err != nil {
			break // closed between two requests
		}
		line, err := answers.ReadString('\n')
		if err != nil {
			break
		}
		if strings.HasPrefix(line, "VA ") {
			answers.ReadString('\n')
		}
		if time.Since(askedAt) > ordinaryWait+lateAfter {
			late++
		}
	}
	if late > 0 {
		t.Errorf("%d answers on the open connection were late", late)
	}
	stop()
	await(t, "end of the router", func() error {
		if _, err := os.Stat(fmt.Sprintf("/proc/%d/task", pid)); err == nil && time.Since(endAt) > latestKill {
			t.Fatalf("the router runs %v after SIGTERM", time.Since(endAt))
		}
		if threads, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid)); len(threads) > 0 {
			return errors.New("it still has descriptors")
		}
		return nil
	})
}
