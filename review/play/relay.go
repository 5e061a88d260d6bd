package main

import (
	"io"
	"net"
	"time"
)

// chunk is what a relay has received in one piece; nil stands for the end.
type chunk struct {
	data []byte
	due  time.Time
}

// startRelay starts a network path to an address with a one-way delay.
func (s *scene) startRelay(to string, delay time.Duration) (addr string, err error) {
	return s.listen(func(from net.Conn) {
		onward, err := net.Dial("tcp", to)
		if err != nil {
			return
		}
		defer onward.Close()
		done := make(chan struct{})
		go func() {
			defer close(done)
			carry(from, onward, delay)
		}()
		carry(onward, from, delay)
		<-done
	})
}

// carry passes on what is received, and its end, after the delay.
func carry(from, to net.Conn, delay time.Duration) {
	const maxChunks = 4096
	chunks := make(chan chunk, maxChunks)
	go func() {
		defer close(chunks)
		for {
			data := make([]byte, 16<<10)
			n, err := from.Read(data)
			if n > 0 {
				chunks <- chunk{data[:n], time.Now().Add(delay)}
			}
			if err != nil {
				chunks <- chunk{nil, time.Now().Add(delay)}
				return
			}
		}
	}()
	for c := range chunks {
		time.Sleep(time.Until(c.due))
		if c.data == nil {
			to.Close()
			return
		}
		if _, err := to.Write(c.data); err != nil {
			break
		}
	}
	from.Close()
	io.Copy(io.Discard, from) //nolint:errcheck // it is closed
	for range chunks {        //revive:disable-line:empty-block // the reader ends
	}
}
