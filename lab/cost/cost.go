// Package cost measures what a router costs compared with direct calls and with a plain byte relay.
// All three are measured in one run, so that other load on the machine affects them alike.
package cost

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"dockhinge.example/dockhinge/internal/admin"
	"dockhinge.example/dockhinge/lab/fleet"
	"dockhinge.example/dockhinge/lab/model"
)

// Params says what to measure.
type Params struct {
	Connections  []int         // numbers of client connections, each with one request at a time
	Bytes        []int         // value sizes
	CellDuration time.Duration // of each cell
	Router       []string      // command that starts the router
	Relay        []string      // command that starts the relay; listen and target address are appended
	OnCell       func(Cell)    // called after each cell; may be nil
}

// Cell is the result of one measurement.
type Cell struct {
	Path        string  `json:"path"` // direct, relay or router
	Connections int     `json:"connections"`
	Bytes       int     `json:"bytes"`
	PerSecond   float64 `json:"requests_a_second"`
	P50Micros   float64 `json:"p50_us"`
	P99Micros   float64 `json:"p99_us"`
	CPUMicros   float64 `json:"cpu_us_a_request"` // of the relay or router; 0 for direct calls
	PeakMB      float64 `json:"peak_mb"`
	Failed      int     `json:"failed"`
	// Failures counts the failed connections by cause; nil if none failed.
	Failures map[string]int `json:"failures,omitempty"`
}

// keyCount is the number of different keys requested.
const keyCount = 64

// Run measures all combinations of size, number of connections and path. On an error it also
// returns the cells measured so far.
func Run(ctx context.Context, p Params) (all []Cell, err error) {
	dir, err := os.MkdirTemp("", "dockhinge-cost-")
	if err != nil {
		return nil, fmt.Errorf("cost: %w", err)
	}
	defer os.RemoveAll(dir)
	for _, size := range p.Bytes {
		server, err := newServer(size)
		if err != nil {
			return nil, err
		}
		cells, err := measureSize(ctx, p, dir, server, size)
		server.close()
		all = append(all, cells...)
		if err != nil {
			return all, err
		}
	}
	return all, nil
}

// measureSize measures the cells of one value size.
func measureSize(ctx context.Context, p Params, dir string, server *cacheServer, size int) (all []Cell, err error) {
	relayAt, err := fleet.FreeAddr()
	if err != nil {
		return nil, err
	}
	log := filepath.Join(dir, "log")
	relay, err := fleet.Spawn(append(slices.Clip(p.Relay), relayAt, server.addr()), nil, log)
	if err != nil {
		return nil, err
	}
	defer killProcess(relay)
	stub, listen, adminAddr, err := writeConfig(server.addr(), dir)
	if err != nil {
		return nil, err
	}
	defer stub.close()
	router, err := fleet.Spawn(p.Router,
		[]string{"GW_CONFIG=" + filepath.Join(dir, "config.json"), "TMPDIR=" + dir}, log)
	if err != nil {
		return nil, err
	}
	defer killProcess(router)
	if err := awaitReady(ctx, relayAt, adminAddr); err != nil {
		return nil, err
	}
	for _, conns := range p.Connections {
		for _, c := range []struct {
			path, addr string
			pid        int
		}{{"direct", server.addr(), 0}, {"relay", relayAt, relay.Process.Pid}, {"router", listen, router.Process.Pid}} {
			if ctx.Err() != nil {
				return all, ctx.Err()
			}
			cell := measureCell(ctx, c.addr, conns, size, p.CellDuration, c.pid)
			cell.Path = c.path
			all = append(all, cell)
			if p.OnCell != nil {
				p.OnCell(cell)
			}
		}
	}
	return all, nil
}

// killProcess kills a process without a graceful shutdown, as it has no more requests to answer.
func killProcess(cmd *exec.Cmd) {
	_ = cmd.Process.Kill() // it may have exited already
	_ = cmd.Wait()
}

// stubServer serves as discovery and as origin; the router never sends requests to the origin.
type stubServer struct{ s *http.Server }

func (s stubServer) close() { s.s.Close() }

// writeConfig starts a stub for discovery and origin, and writes the configuration of a router with
// one cache server to dir. It returns the router's listen address and its admin address.
func writeConfig(cache, dir string) (s stubServer, listen, adminAddr string, err error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return s, "", "", fmt.Errorf("cost: %w", err)
	}
	if listen, err = fleet.FreeAddr(); err == nil {
		adminAddr, err = fleet.FreeAddr()
	}
	if err != nil {
		ln.Close()
		return s, "", "", err
	}
	known := model.List{Version: 1, Full: true, Servers: []model.Entry{
		{ID: "s-00000001", Addr: cache, Zone: "a", Kind: "box", State: "active", Weight: 1},
		{ID: "s-0000ffff", Addr: ln.Addr().String(), Zone: "a", Kind: "origin", State: "active", Weight: 1}}}
	list, err := json.Marshal(known)
	if err != nil {
		return s, "", "", err
	}
	s = stubServer{&http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("after") != "" { // nothing ever changes
			select {
			case <-time.After(2 * time.Second):
			case <-r.Context().Done():
			}
			fmt.Fprint(w, `{"version":1,"full":false,"servers":[]}`)
			return
		}
		_, _ = w.Write(list) // fails only if the router has disconnected
	})}}
	go func() { _ = s.s.Serve(ln) }() // until close
	text, err := json.Marshal(map[string]any{"name": "cost", "listen": listen, "discovery": ln.Addr().String(),
		"admin_addr": adminAddr, "seed": "1", "known": known,
		"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"settings": map[string]any{"balancers": 1, "myNumber": 0, "zone": "a",
			"categories": []any{map[string]any{"name": "read", "effect": "repeatable", "keyScope": "all",
				"target": 5000, "hardLimit": 10000, "gain": 1}},
			"kinds":      []string{"box", "origin"},
			"familyInfo": map[string]any{"mode": "aside", "originKind": 1}, "discovery": "push",
			"caps":  map[string]any{"cancel": true, "maxAttempts": 3, "connIdle": 10000, "connectTimeout": 250},
			"rules": map[string]any{"cold": 1000, "coldFrom": 0.9, "overloadFactor": 1e6, "overloadFor": 2000}}})
	if err == nil {
		err = os.WriteFile(filepath.Join(dir, "config.json"), text, 0o600)
	}
	return s, listen, adminAddr, err
}

// awaitReady waits up to 20 s until the relay accepts connections and the router is ready.
func awaitReady(ctx context.Context, relay, adminAddr string) error {
	ctx, cancel := context.WithTimeout(ctx, 20*time.Second)
	defer cancel()
	for ; ctx.Err() == nil; time.Sleep(20 * time.Millisecond) {
		c, err := net.Dial("tcp", relay)
		if err != nil {
			continue
		}
		c.Close()
		if _, err := admin.Call(ctx, adminAddr, http.MethodGet, "/-/ready"); err == nil {
			return nil
		}
	}
	return errors.New("cost: the relay or the router is not ready")
}

// measureCell sends requests in a closed loop over conns connections for the given duration, and
// measures the resource use of the process pid; 0 stands for no process.
func measureCell(ctx context.Context, addr string, conns, size int, during time.Duration, pid int) Cell {
	ctx, stop := context.WithTimeout(ctx, during)
	defer stop()
	cell := Cell{Connections: conns, Bytes: size}
	var wg sync.WaitGroup
	var failures failureCounts
	hists := make([]*hdrhistogram.Histogram, conns)
	before, _ := fleet.ProcessUse(pid) // zero for pid 0
	began := time.Now()
	for i := range conns {
		hists[i] = hdrhistogram.New(1, 60_000_000, 3)
		wg.Go(func() {
			if err := runClient(ctx, addr, i, hists[i]); err != nil {
				failures.add(err)
			}
		})
	}
	var peak float64
	wg.Go(func() {
		for tick := time.NewTicker(50 * time.Millisecond); ; {
			select {
			case <-ctx.Done():
				tick.Stop()
				return
			case <-tick.C:
				if u, err := fleet.ProcessUse(pid); err == nil {
					peak = max(peak, u.RSSMB)
				}
			}
		}
	})
	wg.Wait()
	took := time.Since(began).Seconds()
	after, _ := fleet.ProcessUse(pid)
	all := hdrhistogram.New(1, 60_000_000, 3)
	for _, h := range hists {
		all.Merge(h)
	}
	n := float64(all.TotalCount())
	cell.PerSecond, cell.P50Micros, cell.P99Micros =
		n/took, float64(all.ValueAtQuantile(50)), float64(all.ValueAtQuantile(99))
	cell.PeakMB = peak
	cell.Failures, cell.Failed = failures.byKind()
	if n > 0 {
		cell.CPUMicros = (after.CPUMS - before.CPUMS) * 1000 / n
	}
	return cell
}

// failureCounts counts failed connections by cause. Its methods may be called concurrently.
type failureCounts struct {
	mu    sync.Mutex
	kinds map[string]int
}

func (f *failureCounts) add(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.kinds == nil {
		f.kinds = map[string]int{}
	}
	f.kinds[failureKind(err)]++
}

func (f *failureCounts) byKind() (kinds map[string]int, all int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, count := range f.kinds {
		all += count
	}
	return f.kinds, all
}

// rejectedError is an answer other than a value: the request was rejected or failed.
type rejectedError struct{ answer string }

func (e *rejectedError) Error() string { return "answer " + e.answer }

// failureKind names the cause of a failure: the answer that rejected a request, or the kind of
// network error.
func failureKind(err error) string {
	var rejected *rejectedError
	var timeout net.Error
	switch {
	case errors.As(err, &rejected):
		return rejected.answer
	case errors.As(err, &timeout) && timeout.Timeout():
		return "timeout"
	case errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF):
		return "closed"
	case errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE):
		return "reset"
	}
	return err.Error()
}

// runClient requests one key after the other over one connection until ctx ends, and records the
// latencies in microseconds.
func runClient(ctx context.Context, addr string, number int, h *hdrhistogram.Histogram) error {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		return err
	}
	defer c.Close()
	r := bufio.NewReaderSize(c, 64<<10)
	var wire []byte
	for n := 0; ctx.Err() == nil; n++ {
		wire = fmt.Appendf(wire[:0], "mg %016x v O%08x%08x Pc=read,d=9000\r\n", (n+number)%keyCount, number, n)
		if err := c.SetDeadline(time.Now().Add(10 * time.Second)); err != nil {
			return err
		}
		began := time.Now()
		if _, err := c.Write(wire); err != nil {
			return err
		}
		line, err := r.ReadSlice('\n')
		if err != nil {
			return err
		}
		f := strings.Fields(string(line))
		if len(f) < 2 || f[0] != "VA" {
			return &rejectedError{strings.Join(f[:min(len(f), 2)], " ")}
		}
		size, err := strconv.Atoi(f[1])
		if err != nil {
			return err
		}
		if _, err := io.CopyN(io.Discard, r, int64(size)+2); err != nil {
			return err
		}
		if err := h.RecordValue(time.Since(began).Microseconds()); err != nil {
			return err
		}
	}
	return nil
}

// cacheServer is a cache server that answers a request for any key at once, with the same value.
type cacheServer struct {
	ln    net.Listener
	wg    sync.WaitGroup
	value []byte

	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

func newServer(size int) (*cacheServer, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("cost: %w", err)
	}
	s := &cacheServer{ln: ln, value: append(make([]byte, size), "\r\n"...), conns: map[net.Conn]struct{}{}}
	s.wg.Go(func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.conns[c] = struct{}{}
			s.mu.Unlock()
			s.wg.Go(func() { s.serve(c) })
		}
	})
	return s, nil
}

func (s *cacheServer) addr() string { return s.ln.Addr().String() }

func (s *cacheServer) serve(c net.Conn) {
	defer func() {
		c.Close()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
	r := bufio.NewReader(c)
	var wire []byte
	for {
		line, err := r.ReadSlice('\n')
		if err != nil {
			return
		}
		switch f := strings.Fields(string(line)); {
		case len(f) == 1 && f[0] == "mn":
			wire = append(wire[:0], "MN\r\n"...)
		case len(f) >= 4 && f[0] == "mg":
			wire = fmt.Appendf(wire[:0], "VA %d %s h1\r\n", len(s.value)-2, f[3])
			wire = append(wire, s.value...)
		default:
			wire = append(wire[:0], "ERROR\r\n"...)
		}
		if _, err := c.Write(wire); err != nil {
			return
		}
	}
}

func (s *cacheServer) close() {
	s.ln.Close()
	s.mu.Lock()
	for c := range s.conns {
		c.Close()
	}
	s.mu.Unlock()
	s.wg.Wait()
}

// Relay runs the byte relay that serves as the baseline: it forwards bytes without parsing them. It
// returns nil when ctx ends.
func Relay(ctx context.Context, listen, target string) error {
	ln, err := net.Listen("tcp", listen)
	if err != nil {
		return fmt.Errorf("relay: %w", err)
	}
	var wg sync.WaitGroup
	defer wg.Wait()
	defer context.AfterFunc(ctx, func() { ln.Close() })()
	for {
		near, err := ln.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return fmt.Errorf("relay: %w", err)
		}
		wg.Go(func() {
			defer near.Close()
			far, err := net.Dial("tcp", target)
			if err != nil {
				return
			}
			defer far.Close()
			defer context.AfterFunc(ctx, func() { near.Close(); far.Close() })()
			var both sync.WaitGroup
			both.Go(func() { copyBytes(far, near) })
			both.Go(func() { copyBytes(near, far) })
			both.Wait()
		})
	}
}

// copyBytes copies through a buffer, as a router must, and not from socket to socket within the
// kernel.
func copyBytes(to, from net.Conn) {
	_, _ = io.CopyBuffer(struct{ io.Writer }{to}, struct{ io.Reader }{from}, make([]byte, 32<<10))
	to.Close()
	from.Close()
}
