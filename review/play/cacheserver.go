package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// command is a command as a cache server reads it.
type command struct {
	verb, key, id string
}

// cacheConn is a router's connection to a cache server.
type cacheConn struct {
	net.Conn
	// received counts the commands received, probes included.
	received atomic.Int64
	// isClosed is set once the router has closed its side.
	isClosed atomic.Bool

	mu sync.Mutex
}

// write writes an answer, whole and not mixed with another.
func (c *cacheConn) write(text string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	io.WriteString(c.Conn, text) //nolint:errcheck // the router has gone
}

// cacheServer is a cache server. Requests of a connection are answered in their order.
type cacheServer struct {
	scene *scene
	name  string
	addr  string
	// answer answers a read or a write.
	answer func(c *cacheConn, cmd command)
}

// startCacheServer starts a cache server that answers requests with answer and probes by itself.
func (s *scene) startCacheServer(name string, answer func(c *cacheConn, cmd command)) (*cacheServer, error) {
	server := &cacheServer{scene: s, name: name, answer: answer}
	var err error
	server.addr, err = s.listen(func(conn net.Conn) { server.serve(&cacheConn{Conn: conn}) })
	return server, err
}

// maxQueued is how many commands of a connection wait behind one another.
const maxQueued = 1024

// serve serves a connection. It is read all the time, so that its end is noticed at once.
func (s *cacheServer) serve(c *cacheConn) {
	commands := make(chan command, maxQueued)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for cmd := range commands {
			s.perform(c, cmd)
		}
	}()
	r := bufio.NewReader(c.Conn)
	for {
		cmd, err := readServerCommand(r)
		if err != nil {
			break
		}
		c.received.Add(1)
		commands <- cmd
	}
	c.isClosed.Store(true)
	close(commands)
	<-done
}

// perform performs a command.
func (s *cacheServer) perform(c *cacheConn, cmd command) {
	switch cmd.verb {
	case "mg", "ms":
		s.answer(c, cmd)
	case "stats":
		c.write("STAT qps 20\r\nSTAT util 0.3\r\nSTAT x0 0.9\r\nEND\r\n")
	case "mn":
		c.write("MN\r\n")
	default:
		s.scene.note(s.name, "can't be read: %q", cmd.verb)
		c.write("CLIENT_ERROR\r\n")
	}
}

// readServerCommand reads a command and, for a write, its value.
func readServerCommand(r *bufio.Reader) (command, error) {
	line, err := r.ReadString('\n')
	if err != nil {
		return command{}, err
	}
	fields := strings.Fields(line)
	if len(fields) == 0 {
		return command{}, errors.New("an empty line")
	}
	cmd := command{verb: fields[0]}
	if cmd.verb != "mg" && cmd.verb != "ms" {
		return cmd, nil
	}
	if len(fields) < 4 {
		return command{}, fmt.Errorf("too short: %q", line)
	}
	cmd.key = fields[1]
	cmd.id = strings.TrimPrefix(fields[3], "O")
	if cmd.verb == "ms" {
		n, err := strconv.Atoi(fields[2])
		if err != nil {
			return command{}, err
		}
		_, err = r.Discard(n + len("\r\n"))
		return cmd, err
	}
	return cmd, nil
}

// value is the value that servers make for a request.
func value(id string) string { return "value-of-" + id }

// hit returns the answer with the value for a request.
func hit(id string) string {
	v := value(id)
	return fmt.Sprintf("VA %d O%s h1\r\n%s\r\n", len(v), id, v)
}

// work lets time pass for a request, and reports whether the router still waits for it: work stops
// when its request is cancelled.
func (c *cacheConn) work(d time.Duration) (isAwaited bool) {
	const step = time.Millisecond
	for end := time.Now().Add(d); time.Now().Before(end) && !c.isClosed.Load(); {
		time.Sleep(min(step, time.Until(end)))
	}
	return !c.isClosed.Load()
}
