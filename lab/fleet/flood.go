package fleet

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"time"

	"dockhinge.example/dockhinge/lab/scenario"
)

const (
	// floodBlockBytes is how much a flooding client writes at once.
	floodBlockBytes = 64 << 10
	// floodBlocks is the number of different blocks that a flood repeats, so that the laboratory needs
	// little time for it.
	floodBlocks = 16
	// floodWriteTimeout is how long a client waits until a part of that is taken.
	floodWriteTimeout = 100 * time.Millisecond
)

// floodCommands are the commands that a client can send at full speed without a server being asked.
// Each takes the number of the command, so that names are ever new.
var floodCommands = []func(n int) string{
	func(int) string { return "mn\r\n" },
	func(n int) string { return fmt.Sprintf("mg k v Of%d Pc=class%d,d=500\r\n", n, n) },
	func(n int) string {
		var fields strings.Builder
		for i := range 30 {
			fmt.Fprintf(&fields, ",x%d=%d", i, n)
		}
		return fmt.Sprintf("mg k v Of%d Pc=none,d=500%s\r\n", n, fields.String())
	},
	func(n int) string {
		return fmt.Sprintf("ms k %d Of%d Pc=none,d=500\r\n%s\r\n", floodBlockBytes, n,
			strings.Repeat("v", floodBlockBytes))
	},
}

// flood has one client send commands of one kind at full speed to one router, over as many connections
// as the fault counts, until the fault is over.
func (fl *Fleet) flood(ctx context.Context, f scenario.Fault) {
	name, address, err := fl.front.Pick("")
	if err != nil {
		return
	}
	command := floodCommands[fl.draw(len(floodCommands))]
	fl.mark("a client sends commands such as %.20q at full speed over %d connections to %s", command(0), f.Count, name)
	ctx, cancel := context.WithTimeout(ctx, time.Duration(f.ForS*float64(time.Second)))
	defer cancel()
	blocks := floodText(command)
	var clients sync.WaitGroup
	for range f.Count {
		clients.Go(func() { floodConnection(ctx, address, blocks) })
	}
	clients.Wait()
	fl.mark("the flood of %s is over", name)
}

// floodText returns blocks of commands, each of at least floodBlockBytes.
func floodText(command func(n int) string) (blocks []string) {
	n := 0
	for range floodBlocks {
		var block strings.Builder
		for block.Len() < floodBlockBytes {
			block.WriteString(command(n))
			n++
		}
		blocks = append(blocks, block.String())
	}
	return blocks
}

// floodConnection sends the blocks over one connection, again and again, as fast as they are taken, and
// drops the answers.
func floodConnection(ctx context.Context, address string, blocks []string) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return
	}
	defer conn.Close()
	go func() { _, _ = io.Copy(io.Discard, conn) }() // ends with the connection
	for n := 0; ctx.Err() == nil; n++ {
		for text := blocks[n%len(blocks)]; len(text) > 0 && ctx.Err() == nil; {
			_ = conn.SetWriteDeadline(time.Now().Add(floodWriteTimeout))
			written, err := io.WriteString(conn, text)
			text = text[written:]
			if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
				return
			}
		}
	}
}
