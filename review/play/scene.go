package main

import (
	"errors"
	"fmt"
	"net"
	"os"
	"os/signal"
	"strings"
	"sync"
	"syscall"
	"time"
)

// scene holds what all stand-ins of a case share: the record, the temporary folder, and what has to
// be ended.
type scene struct {
	// trouble is false if the case is to be played without its disruption.
	trouble bool
	// folder is the temporary folder of the routers, which also is their TMPDIR.
	folder string
	// startedAt is the origin of the times in the record.
	startedAt  time.Time
	recordPath string

	mu     sync.Mutex
	record strings.Builder
	// ends are called by close, the latest first.
	ends []func()
}

// newScene creates a scene. It fails if it can't make a temporary folder.
func newScene(recordPath string, trouble bool) (*scene, error) {
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	s := &scene{trouble: trouble, folder: folder, startedAt: time.Now(), recordPath: recordPath}
	s.atEnd(func() { os.RemoveAll(folder) }) //nolint:errcheck // a rest in the temporary folder does no harm
	s.note("case", "with the disruption: %t; times in ms", trouble)
	return s, nil
}

// playTimeout is how long a case may take; the longest takes half a minute.
const playTimeout = 100 * time.Second

// runBounded runs a case until its end, until a signal ends it, or for playTimeout.
func (s *scene) runBounded(run func(*scene) error) error {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP, syscall.SIGINT, syscall.SIGTERM)
	ended := make(chan error, 1)
	go func() { ended <- run(s) }()
	select {
	case err := <-ended:
		return err
	case sent := <-signals:
		return fmt.Errorf("ended from outside: %v", sent)
	case <-time.After(playTimeout):
		return fmt.Errorf("not at its end after %v", playTimeout)
	}
}

// atEnd has a function called at the end of the case.
func (s *scene) atEnd(end func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ends = append(s.ends, end)
}

// close ends all that the case has started.
func (s *scene) close() {
	s.mu.Lock()
	ends := s.ends
	s.ends = nil
	s.mu.Unlock()
	for i := len(ends) - 1; i >= 0; i-- {
		ends[i]()
	}
}

// note writes a line to the record.
func (s *scene) note(who, format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	at := float64(time.Since(s.startedAt).Microseconds()) / 1000
	fmt.Fprintf(&s.record, "%10.1f %-10s %s\n", at, who, fmt.Sprintf(format, args...))
}

// writeRecord writes the record to its file.
func (s *scene) writeRecord() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return os.WriteFile(s.recordPath, []byte(s.record.String()), 0o644)
}

// listen listens on a free port of loopback and serves each connection on a goroutine.
func (s *scene) listen(serve func(net.Conn)) (addr string, err error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	var mu sync.Mutex
	var open []net.Conn
	s.atEnd(func() {
		ln.Close()
		mu.Lock()
		defer mu.Unlock()
		for _, c := range open {
			c.Close()
		}
	})
	go func() {
		for {
			c, err := ln.Accept()
			if errors.Is(err, net.ErrClosed) {
				return
			}
			if err != nil {
				continue
			}
			mu.Lock()
			open = append(open, c)
			mu.Unlock()
			go func() {
				defer c.Close()
				serve(c)
			}()
		}
	}()
	return ln.Addr().String(), nil
}

// freeAddr returns a free address of loopback.
func freeAddr() (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer ln.Close()
	return ln.Addr().String(), nil
}
