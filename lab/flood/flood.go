// Package flood is a client that sends commands at full speed over many connections and drops the
// answers. It runs in a process of its own: goroutines that always have something to write would delay
// the laboratory's servers and clients, whose times are what a run is checked by.
package flood

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"time"
)

const (
	// dialTimeout is how long a client waits for its connection.
	dialTimeout = time.Second
	// writeTimeout is how long a client waits until a part of its commands is taken.
	writeTimeout = 100 * time.Millisecond
)

// Plan describes a flood.
type Plan struct {
	// Address is the router's address.
	Address string
	// Connections is the number of connections.
	Connections int
	// Local is the kind of commands, from 0 to LocalKinds-1, if Requests is nil.
	Local int
	// Requests describes the requests. With nil, commands are sent for which no server is asked.
	Requests *Requests
}

// commandSource makes the commands of one connection.
type commandSource interface {
	// next returns the next commands. They are valid until the next call.
	next() []byte
	// writeBufferBytes returns how much the system may hold of the commands; 0 stands for its default.
	writeBufferBytes() int
}

// run sends commands until ctx ends.
func (p Plan) run(ctx context.Context) {
	var clients sync.WaitGroup
	defer clients.Wait()
	if p.Requests != nil {
		for connection := range p.Connections {
			clients.Go(func() { sendAll(ctx, p.Address, p.Requests.source(connection)) })
		}
		return
	}
	blocks := localBlocks(localCommands[p.Local])
	for range p.Connections {
		clients.Go(func() { sendAll(ctx, p.Address, &localSource{blocks: blocks}) })
	}
}

// sendAll sends commands over one connection as fast as they are taken, and drops the answers.
func sendAll(ctx context.Context, address string, source commandSource) {
	conn, err := net.DialTimeout("tcp", address, dialTimeout)
	if err != nil {
		return
	}
	defer conn.Close()
	if limit := source.writeBufferBytes(); limit > 0 {
		_ = conn.(*net.TCPConn).SetWriteBuffer(limit) // a larger buffer only takes more of the processor
	}
	go func() { _, _ = io.Copy(io.Discard, conn) }() // ends with the connection
	for ctx.Err() == nil {
		for rest := source.next(); len(rest) > 0 && ctx.Err() == nil; {
			_ = conn.SetWriteDeadline(time.Now().Add(writeTimeout))
			written, err := conn.Write(rest)
			rest = rest[written:]
			if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
				return
			}
		}
	}
}
