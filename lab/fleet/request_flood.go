package fleet

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"runtime"
	"sync"
	"time"

	"dockhinge.example/dockhinge/lab/checker"
	"dockhinge.example/dockhinge/lab/load"
	"dockhinge.example/dockhinge/lab/scenario"
)

// requestFlood has one client send sound requests of one class at full speed to one router, under ever new
// names, over as many connections as the fault counts, until the fault is over.
func (fl *Fleet) requestFlood(ctx context.Context, f scenario.Fault) {
	name, address, err := fl.front.Pick("")
	if err != nil {
		return
	}
	class := fl.File.Classes[fl.draw(len(fl.File.Classes))]
	names := fmt.Sprintf("%s%x-", checker.FloodPrefix, fl.draw(1<<30))
	fl.mark("a client sends requests of class %s at full speed over %d connections to %s", class.Name, f.Count, name)
	ctx, cancel := context.WithTimeout(ctx, time.Duration(f.ForS*float64(time.Second)))
	defer cancel()
	var clients sync.WaitGroup
	for i := range f.Count {
		connection := fmt.Sprint(names, i, ".")
		clients.Go(func() { floodRequests(ctx, address, class, connection) })
	}
	clients.Wait()
	fl.mark("the flood of requests to %s is over", name)
}

// floodRequests sends requests over one connection as fast as they are taken, and drops the answers.
func floodRequests(ctx context.Context, address string, class load.Class, connection string) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return
	}
	defer conn.Close()
	_ = conn.(*net.TCPConn).SetWriteBuffer(floodWriteBufferBytes)
	go func() { _, _ = io.Copy(io.Discard, conn) }() // ends with the connection
	var block []byte
	for n := 0; ctx.Err() == nil; {
		block = block[:0]
		for len(block) < floodRequestBlockBytes {
			block = appendFloodRequest(block, class, fmt.Sprint(connection, n))
			n++
		}
		runtime.Gosched() // the laboratory's servers and clients go first
		for rest := block; len(rest) > 0 && ctx.Err() == nil; {
			_ = conn.SetWriteDeadline(time.Now().Add(floodWriteTimeout))
			written, err := conn.Write(rest)
			rest = rest[written:]
			if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
				return
			}
		}
	}
}

const (
	// floodRequestBlockBytes is how many requests, in bytes, a flooding client makes at once.
	floodRequestBlockBytes = 4 << 10
	// floodWriteBufferBytes is what the system holds of a flood. With its usual megabytes the laboratory
	// would be busy for a second with making requests that nobody reads.
	floodWriteBufferBytes = 32 << 10
)

// appendFloodRequest appends a request with a name of its own.
func appendFloodRequest(b []byte, class load.Class, name string) []byte {
	metadata := fmt.Sprintf("c=%s,d=%.0f", class.Name, class.LimitMS)
	if class.Effect == "by_key" {
		metadata += ",k=" + name
	}
	if class.Write {
		return fmt.Appendf(b, "ms %s 3 O%s P%s\r\nabc\r\n", name, name, metadata)
	}
	return fmt.Appendf(b, "mg %s v O%s P%s\r\n", name, name, metadata)
}
