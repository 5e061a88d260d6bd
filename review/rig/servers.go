package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// valueOf returns the value of a key, of the given length.
func valueOf(key string, length int) []byte {
	return bytes.Repeat([]byte(key+"."), length/(len(key)+1)+1)[:length]
}

// listenAndServe serves each connection to a new address on a goroutine.
func listenAndServe(serve func(net.Conn)) (net.Listener, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	go func() { // ends with this process
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				serve(conn)
			}()
		}
	}()
	return listener, nil
}

// cacheServer is a sound cache server. It has the keys that were stored, and misses all others.
type cacheServer struct {
	scene *scene
	name  string
	relay *relay

	mu sync.Mutex
	// lengths are the lengths of the values by key.
	lengths map[string]int
	// missed has the keys that were missed, by request.
	missed map[string]string
	// work is the least time that a read takes, and spread is how much longer it may take.
	work, spread time.Duration
	// copyShare is the share of misses that are sent a second time, some milliseconds late.
	copyShare float64
}

// maxCopyDelay is how late a second copy is at most.
const maxCopyDelay = 10 * time.Millisecond

func startCacheServer(s *scene, name string) (*cacheServer, error) {
	c := &cacheServer{scene: s, name: name, lengths: map[string]int{}, missed: map[string]string{}}
	listener, err := listenAndServe(c.serve)
	if err != nil {
		return nil, err
	}
	c.relay, err = startRelay(s, listener.Addr().String())
	return c, err
}

// store stores a value of the given length.
func (c *cacheServer) store(key string, length int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lengths[key] = length
}

// storeMissed stores the value that the origin has given for a request, if the request was a miss here.
func (c *cacheServer) storeMissed(id string, length int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if key, hasMissed := c.missed[id]; hasMissed {
		c.lengths[key] = length
	}
}

// lookUp remembers a miss and returns the length of the value, if there is one.
func (c *cacheServer) lookUp(key, id string) (length int, isStored bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	length, isStored = c.lengths[key]
	if !isStored {
		c.missed[id] = key
	}
	return length, isStored
}

// serve answers the commands on a connection in turn.
func (c *cacheServer) serve(conn net.Conn) {
	r := bufio.NewReader(conn)
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			return
		}
		parts := strings.Fields(line)
		switch {
		case strings.TrimSpace(line) == "mn":
			fmt.Fprint(conn, "MN\r\n")
		case strings.TrimSpace(line) == "stats load":
			fmt.Fprint(conn, "STAT rps 20\r\nSTAT cpu 0.3\r\nSTAT x0 0.9\r\nEND\r\n")
		case len(parts) == 5 && parts[0] == "mg":
			c.answer(conn, parts[1], strings.TrimPrefix(parts[3], "O"))
		default:
			fmt.Fprint(conn, "CLIENT_ERROR form\r\n")
			return
		}
	}
}

// answer answers a read.
func (c *cacheServer) answer(conn net.Conn, key, id string) {
	if c.spread > 0 {
		c.scene.log("cache server %s: read %s of %s: begun", c.name, id, key)
		time.Sleep(c.work + rand.N(c.spread))
	}
	length, isStored := c.lookUp(key, id)
	if !isStored {
		c.scene.log("cache server %s: read %s of %s: a miss", c.name, id, key)
		miss := fmt.Sprintf("EN O%s h0\r\n", id)
		io.WriteString(conn, miss) //nolint:errcheck // the next read of the connection fails too
		if rand.Float64() < c.copyShare {
			time.AfterFunc(rand.N(maxCopyDelay), func() {
				c.scene.log("cache server %s: read %s: the miss is sent a second time", c.name, id)
				io.WriteString(conn, miss) //nolint:errcheck // the router may have closed the connection
			})
		}
		return
	}
	c.scene.log("cache server %s: read %s of %s: run, a hit of %d bytes", c.name, id, key, length)
	c.scene.countRun(id)
	_, err := fmt.Fprintf(conn, "VA %d O%s h1\r\n%s\r\n", length, id, valueOf(key, length))
	if err != nil {
		c.scene.log("cache server %s: read %s: the router has ended the connection: %v", c.name, id, err)
	}
}

// origin is a sound origin.
type origin struct {
	scene *scene
	relay *relay
	// work is the least time that a request takes, and spread is how much longer it may take.
	work, spread time.Duration
	// valueBytes is the length of its values.
	valueBytes int
	// hasNoLength leaves the length out of answers with a value, which then end with the connection.
	hasNoLength bool
}

func startOrigin(s *scene) (*origin, error) {
	o := &origin{scene: s, valueBytes: 1000, work: 80 * time.Millisecond, spread: 80 * time.Millisecond}
	listener, err := listenAndServe(o.serve)
	if err != nil {
		return nil, err
	}
	o.relay, err = startRelay(s, listener.Addr().String())
	if err == nil && s.originSegment > 0 {
		err = o.relay.limitSegments(s.originSegment)
	}
	return o, err
}

// serve answers the requests on a connection in turn.
func (o *origin) serve(conn net.Conn) {
	r := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		id := request.Header.Get("X-Correlation-Id")
		body, err := io.ReadAll(request.Body)
		if err != nil {
			o.scene.log("origin: %s %s: broken off after %d bytes, so not run", request.Method, id, len(body))
			return
		}
		o.scene.log("origin: %s %s: %d bytes, run", request.Method, id, len(body))
		time.Sleep(o.work + rand.N(o.spread))
		o.scene.countRun(id)
		for _, c := range o.scene.caches {
			c.storeMissed(id, o.valueBytes)
		}
		if !o.answer(conn, request, id) {
			return
		}
	}
}

// answer answers a request, and reports whether the connection may carry another one.
func (o *origin) answer(conn net.Conn, request *http.Request, id string) bool {
	body := []byte("r" + id)
	length := "Content-Length: " + strconv.Itoa(len(body))
	if request.Method == http.MethodGet {
		body = valueOf(strings.TrimPrefix(request.URL.Path, "/"), o.valueBytes)
		length = "Content-Length: " + strconv.Itoa(len(body))
		if o.hasNoLength {
			length = "Connection: close"
		}
	}
	_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s\r\n\r\n%s", length, body)
	o.scene.log("origin: %s: an answer of %d bytes (%s) is written, error %v", id, len(body), length, err)
	return err == nil && length != "Connection: close"
}
