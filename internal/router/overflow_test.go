package router

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"
)

// Guards against requests that stay unread until after their deadline while every allowed
// connection waits for an answer: requests on further connections are rejected at once.
func TestRequestIsRejectedIfAllConnectionsAreBusy(t *testing.T) {
	const maxConns = 3
	silent := startFakeServer(t, func(string) string { return "" })
	l, _, addr := startLoopAndClients(t, 192, maxConns, cacheEntry("s-0000000b", silent.addr), originEntry(silent.addr))
	for i := range maxConns {
		busy := dialClient(t, addr)
		busy.send(readCommandOfKey(i+1, fmt.Sprint("busy", i), 20000) + "\r\n")
		receive(t, silent.received, "request at the silent server")
	}
	for i := range 5 * maxOverflowConns {
		sentAt := time.Now()
		got := dialClient(t, addr).exchange(readCommandOfKey(i+10, fmt.Sprint("more", i), 20000))
		if !strings.HasPrefix(got, "SERVER_ERROR busy") {
			t.Fatalf("request %d beyond the limit: got %q", i, got)
		}
		if took := time.Since(sentAt); took > time.Second {
			t.Errorf("request %d was rejected after %v", i, took)
		}
	}
	onLoop(l, func() {
		if len(l.requests) != maxConns {
			t.Errorf("%d requests in the loop, want %d: a rejected one was accepted", len(l.requests), maxConns)
		}
	})
}

// Guards against silent clients whose overflow connections keep all other clients out.
func TestSilentOverflowConnectionsAreClosedSoon(t *testing.T) {
	silent := startFakeServer(t, func(string) string { return "" })
	_, _, addr := startLoopAndClients(t, 192, 1, cacheEntry("s-0000000b", silent.addr), originEntry(silent.addr))
	busy := dialClient(t, addr)
	busy.send(readCommandOfKey(1, "busy", 20000) + "\r\n")
	receive(t, silent.received, "request at the silent server")
	for range 2 * maxOverflowConns {
		dialClient(t, addr)
	}
	if got := dialClient(t, addr).exchange(readCommandOfKey(2, "more", 20000)); !strings.HasPrefix(got,
		"SERVER_ERROR busy") {
		t.Errorf("after silent connections: got %q", got)
	}
}

// Guards against commands that are read and never answered: a connection beyond the limit had only
// its first command rejected, and those sent with it were dropped.
func TestAllCommandsOfOverflowConnectionAreRejected(t *testing.T) {
	for _, commands := range []int{2, maxPipelined + 1, 400} {
		t.Run(fmt.Sprint(commands), func(t *testing.T) {
			silent := startFakeServer(t, func(string) string { return "" })
			entries := []listEntry{cacheEntry("s-0000000b", silent.addr), originEntry(silent.addr)}
			_, _, addr := startLoopAndClients(t, 192, 1, entries...)
			busy := dialClient(t, addr)
			busy.send(readCommandOfKey(1, "busy", 20000) + "\r\n")
			receive(t, silent.received, "request at the silent server")
			c := dialClient(t, addr)
			c.send(pipelineOf(commands))
			for n := range commands {
				if got := c.nextAnswer(); !strings.HasPrefix(got, "SERVER_ERROR busy") {
					t.Fatalf("command %d: got %q", n, got)
				}
			}
			if got := c.nextAnswer(); got != "EOF" {
				t.Errorf("after the answers: got %q", got)
			}
		})
	}
}

// Guards against a client that keeps its overflow connection by sending without a pause: it keeps
// all other clients out.
func TestOverflowConnectionOfBusyClientIsClosedSoon(t *testing.T) {
	silent := startFakeServer(t, func(string) string { return "" })
	_, _, addr := startLoopAndClients(t, 192, 1, cacheEntry("s-0000000b", silent.addr), originEntry(silent.addr))
	busy := dialClient(t, addr)
	busy.send(readCommandOfKey(1, "busy", 20000) + "\r\n")
	receive(t, silent.received, "request at the silent server")
	c := dialClient(t, addr)
	go io.Copy(io.Discard, c)
	for sentSince := time.Now(); time.Since(sentSince) < testTimeout; {
		if _, err := io.WriteString(c, pipelineOf(1000)); err != nil {
			return
		}
	}
	t.Error("the connection is still open")
}

// Guards against new clients that have no answer in their time, as connections of a flood stand before them in
// the listener's queue and each holds a descriptor beyond the limit while it is read.
func TestFloodsBeyondTheLimitHoldUpNoNewClient(t *testing.T) {
	const floodConns = 12 * maxOverflowConns
	silent := startFakeServer(t, func(string) string { return "" })
	_, _, addr := startLoopAndClients(t, 192, 1, cacheEntry("s-0000000b", silent.addr), originEntry(silent.addr))
	busy := dialClient(t, addr)
	busy.send(readCommandOfKey(1, "busy", 20000) + "\r\n")
	receive(t, silent.received, "request at the silent server")
	commands := pipelineOf(100)
	for range floodConns {
		flooding := dialClient(t, addr)
		flooding.Conn.(*net.TCPConn).SetWriteBuffer(32 << 10) // a larger one only takes time to fill
		go io.Copy(io.Discard, flooding)
		go func() {
			for err := error(nil); err == nil; {
				_, err = io.WriteString(flooding, commands)
			}
		}()
	}
	const wait = time.Second
	askedAt := time.Now()
	got := dialClient(t, addr).exchange(readCommandOfKey(2, "more", int(wait.Milliseconds())))
	if !strings.HasPrefix(got, "SERVER_ERROR busy") {
		t.Errorf("beside a flood beyond the limit: got %q", got)
	}
	if took := time.Since(askedAt); took > wait {
		t.Errorf("the answer took %v, the client waits %v", took, wait)
	}
}

// Guards against a flood that keeps new clients out for as long as it lasts, as it holds all connections and none
// of them is ever idle.
func TestFloodOverAllConnectionsGivesWayToNewClients(t *testing.T) {
	const maxConns = 3
	server := startFakeServer(t, hitAnswer)
	silent := startFakeServer(t, func(string) string { return "" })
	_, _, addr := startLoopAndClients(t, 64, maxConns, cacheEntry("s-0000000b", server.addr), originEntry(silent.addr))
	for i := range maxConns {
		flooding := dialClient(t, addr)
		go func() {
			for n := 0; ; n++ {
				id := fmt.Sprintf("f%d.%d", i, n)
				_, err := fmt.Fprintf(flooding, "ms %016x 3 O%s Pc=%s,t=t,k=%s,d=300\r\nabc\r\n", n, id, keyed, id)
				if err != nil {
					return
				}
			}
		}()
		receive(t, silent.received, "request at the silent origin")
	}
	for end := time.Now().Add(testTimeout); ; time.Sleep(20 * time.Millisecond) {
		asking := dialClient(t, addr)
		line, err := asking.answers(readCommandOfKey(1, fmt.Sprint("r", time.Now().UnixNano()), 2000))
		if err == nil && strings.HasPrefix(line, "VA ") {
			return
		}
		asking.Close()
		if time.Now().After(end) {
			t.Fatal("no new client was served")
		}
	}
}

// answers sends a command and returns the first line of the answer.
func (c *client) answers(command string) (line string, err error) {
	if _, err := c.Write([]byte(command + "\r\n")); err != nil {
		return "", err
	}
	return c.r.ReadString('\n')
}

// Guards against a sound write that is cut off to make room: a client that is still sending its only command, or
// waits for the answer to it, must keep its connection, whatever the command's length.
func TestClientWithOneCommandIsNotEvicted(t *testing.T) {
	silent := startFakeServer(t, func(string) string { return "" })
	_, s, addr := startLoopAndClients(t, 64, 2, cacheEntry("s-0000000b", silent.addr), originEntry(silent.addr))
	head := func(id string) string {
		return fmt.Sprintf("ms 7 %d O%s Pc=%s,t=t,k=%s,d=9000\r\n", maxBufferedValue, id, keyed, id)
	}
	waiting := dialClient(t, addr)
	waiting.send(head("w1") + strings.Repeat("v", maxBufferedValue) + "\r\n")
	receive(t, silent.received, "write at the silent origin")
	sending := dialClient(t, addr)
	sending.send(head("w2") + strings.Repeat("v", maxBufferedValue/2))
	for range 3 {
		dialClient(t, addr).answers(readCommandOfKey(1, fmt.Sprint("r", time.Now().UnixNano()), 2000))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if c.isEvicted.Load() {
			t.Errorf("the connection of %v is evicted", c.RemoteAddr())
		}
	}
}
