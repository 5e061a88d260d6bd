package main

import (
	"errors"
	"net"
	"sync"
	"syscall"
	"time"
)

// relay stands in for the network between the router and a server. While the server is cut off, open connections
// stay open and quiet, and nothing passes.
type relay struct {
	scene    *scene
	listener net.Listener
	to       string

	mu sync.Mutex
	// cutUntil is the end of the time in which the server is cut off.
	cutUntil time.Time
	// bytesToCut is how much the server still sends until it is cut off for cutLength; 0 = it is not.
	bytesToCut int
	cutLength  time.Duration
}

// relayBuffer is the receive buffer of a relay's connection, as that of a small machine.
const relayBuffer = 64 << 10

func startRelay(s *scene, to string) (r *relay, err error) {
	r = &relay{scene: s, to: to}
	r.listener, err = listenAndServe(r.serve)
	return r, err
}

// limitSegments sets the longest segment on the connections of the router to the relay. On the loopback it would be 64
// KiB, and the system would take some 4 MB of a sender for a receiver that takes nothing.
func (r *relay) limitSegments(bytes int) error {
	raw, err := r.listener.(*net.TCPListener).SyscallConn()
	if err != nil {
		return err
	}
	var optionErr error
	err = raw.Control(func(fd uintptr) {
		optionErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, bytes)
	})
	return errors.Join(err, optionErr)
}

func (r *relay) addr() string { return r.listener.Addr().String() }

// cutOff cuts the server off for a time.
func (r *relay) cutOff(length time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.startCut(length)
}

// startCut is cutOff for a caller that holds mu.
func (r *relay) startCut(length time.Duration) {
	r.cutUntil = time.Now().Add(length)
	r.scene.log("network: the server is cut off for %v", length)
}

// cutOffAfter cuts the server off for a time once it has sent the given number of bytes.
func (r *relay) cutOffAfter(bytes int, length time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.bytesToCut = bytes
	r.cutLength = length
}

// countSent counts what the server has sent.
func (r *relay) countSent(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.bytesToCut == 0 {
		return
	}
	r.bytesToCut = max(0, r.bytesToCut-n)
	if r.bytesToCut == 0 {
		r.startCut(r.cutLength)
	}
}

// awaitPassage waits until data may pass.
func (r *relay) awaitPassage() {
	for {
		r.mu.Lock()
		wait := time.Until(r.cutUntil)
		r.mu.Unlock()
		if wait <= 0 {
			return
		}
		time.Sleep(wait)
	}
}

// serve relays a connection of the router.
func (r *relay) serve(conn net.Conn) {
	conn.(*net.TCPConn).SetReadBuffer(relayBuffer) //nolint:errcheck // only the size of a buffer
	r.awaitPassage()
	server, err := net.Dial("tcp", r.to)
	if err != nil {
		return
	}
	go func() { // ends with either connection
		r.pass(server, conn, func(int) {})
		server.Close()
	}()
	r.pass(conn, server, r.countSent)
	server.Close()
}

// pass passes data on until either side ends.
func (r *relay) pass(to, from net.Conn, count func(n int)) {
	chunk := make([]byte, 16<<10)
	for {
		n, err := from.Read(chunk)
		count(n)
		r.awaitPassage()
		if n > 0 {
			if _, err := to.Write(chunk[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
