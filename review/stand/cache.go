package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// cache is a stand-in for a cache server. It speaks the meta commands, holds what it is told to hold, and answers a
// connection's commands in their order.
type cache struct {
	name   string
	record *record
	runs   *runs
	ln     net.Listener

	mu    sync.Mutex
	conns map[net.Conn]bool
	// sizes are the lengths of the values that it holds, by key.
	sizes map[string]int
	// delays are how long it works on a key.
	delays map[string]time.Duration
	// holdAfter is, by key, how many bytes of the value it gives before it stops until the connection ends.
	holdAfter map[string]int
}

func newCache(name string, rec *record, all *runs) (*cache, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	c := &cache{
		name: name, record: rec, runs: all, ln: ln, conns: map[net.Conn]bool{},
		sizes: map[string]int{}, delays: map[string]time.Duration{}, holdAfter: map[string]int{},
	}
	go c.accept()
	return c, nil
}

func (c *cache) addr() string { return c.ln.Addr().String() }

// hold makes the cache hold a value.
func (c *cache) hold(key string, size int, work time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sizes[key] = size
	c.delays[key] = work
}

func (c *cache) accept() {
	for {
		conn, err := c.ln.Accept()
		if err != nil {
			return
		}
		c.mu.Lock()
		c.conns[conn] = true
		c.mu.Unlock()
		go c.serve(conn)
	}
}

// breakOff makes the cache stop after a part of a value.
func (c *cache) breakOff(key string, after int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.holdAfter[key] = after
}

// resetAll resets all open connections, as the death of the process does.
func (c *cache) resetAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn := range c.conns {
		conn.(*net.TCPConn).SetLinger(0) //nolint:errcheck // it may be closed already
		conn.Close()
	}
}

func (c *cache) serve(conn net.Conn) {
	defer func() {
		c.mu.Lock()
		delete(c.conns, conn)
		c.mu.Unlock()
		conn.Close()
	}()
	in := bufio.NewReader(conn)
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			return
		}
		if err := c.answer(conn, in, strings.Fields(line)); err != nil {
			return
		}
	}
}

// answer carries out one command.
func (c *cache) answer(conn net.Conn, in *bufio.Reader, words []string) error {
	switch {
	case len(words) == 1 && words[0] == "mn":
		_, err := io.WriteString(conn, "MN\r\n")
		return err
	case len(words) != 5:
		_, err := io.WriteString(conn, "ERROR\r\n")
		return err
	}
	key, id := words[1], flagOf(words, 'O')
	one := c.runs.add(&run{server: c.name, id: id, key: key, write: words[0] == "ms"})
	c.record.event("%s got %s %s id=%s P=%s", c.name, words[0], key, id, flagOf(words, 'P'))
	if one.write {
		n, _ := strconv.Atoi(words[2])
		if _, err := in.Discard(n + len("\r\n")); err != nil {
			return err
		}
	}
	c.mu.Lock()
	size, isHeld := c.sizes[key]
	work := c.delays[key]
	stop, stops := c.holdAfter[key]
	c.mu.Unlock()
	time.Sleep(work)
	if !isHeld || one.write {
		_, err := fmt.Fprintf(conn, "EN O%s\r\n", id)
		return err
	}
	c.runs.finish(one)
	value := valueFor(key, id, size)
	if stops {
		fmt.Fprintf(conn, "VA %d O%s h1\r\n%s", size, id, value[:stop])
		c.record.event("%s gave %d of %d bytes of id=%s and stops", c.name, stop, size, id)
		_, err := in.Peek(1) // until the connection ends
		return err
	}
	_, err := fmt.Fprintf(conn, "VA %d O%s h1\r\n%s\r\n", size, id, value)
	c.record.event("%s answered id=%s with %d bytes", c.name, id, size)
	return err
}

// flagOf returns the flag of a command that begins with a letter.
func flagOf(words []string, letter byte) string {
	for _, w := range words[3:] {
		if w[0] == letter {
			return w[1:]
		}
	}
	return ""
}

// valueFor returns the value that is made for a request.
func valueFor(key, id string, size int) string {
	unit := key + "/" + id + ";"
	return strings.Repeat(unit, size/len(unit)+1)[:size]
}
