package router

import (
	"net"
	"runtime"
	"testing"
	"time"
)

// Guards against long work on a list that keeps the process from its input: the runtime asks the poller
// late while any goroutine can run, and the process has one processor.
func TestLongWorkLetsInputThatIsReadyBeRead(t *testing.T) {
	ln := listenLocal(t)
	conn, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	server, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	isRead := make(chan struct{})
	go func() {
		defer close(isRead)
		server.Read(make([]byte, 1))
	}()
	time.Sleep(50 * time.Millisecond) // until it waits
	if _, err := conn.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	var yield yielder
	defer yield.close()
	for range 2 * yieldEntries {
		yield.entryDone()
	}
	select {
	case <-isRead:
	default:
		t.Error("the input was not read before the end of the work")
	}
}
