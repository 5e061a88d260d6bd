package fakes

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"dockhinge.example/dockhinge/lab/checker"
	"dockhinge.example/dockhinge/lab/model"
)

// WorkFunc returns the work of a request at a server and the size of its value in bytes. It must be
// safe for concurrent use.
type WorkFunc func(id, key, class string) (work float64, size int)

// Options configures a fake server.
type Options struct {
	ID       string
	Model    model.Params
	Seed     uint64
	Clock    *Clock
	Journal  *checker.Journal
	Work     WorkFunc
	Probes   bool    // `stats load` is supported
	Reports  bool    // answers carry load reports
	Pipeline int     // maximum number of pipelined commands on a connection; 0 = 128
	IdleMS   float64 // a connection idle for this long is closed; 0 = never
	// OnComplete is called for each completed request from one of the server's goroutines. The fleet uses
	// it to store values from the origin at the servers that missed them, and to invalidate values that a
	// write changed.
	OnComplete func(s *Server, key, id string, o model.Outcome, write bool, size int)
}

// Faults are faults of a server in addition to those of its model.
type Faults struct {
	// Silent makes the server accept connections and send nothing. Pending answers are lost. When the
	// silence ends, all connections are reset.
	Silent    bool
	BytesPerS float64 // rate at which answers are written; 0 = no limit
	// ReadBytesPerS is the rate at which requests are read beyond their first fullSpeedBytes; 0 = no
	// limit.
	ReadBytesPerS float64
	Corruption    string  // how answers are corrupted: one of Corruptions, or "" for none
	Share         float64 // share of the answers that are corrupted
}

// Corruptions are the ways to corrupt an answer: cut (broken off at a random byte), noise, wrong-id,
// twice (the answer is sent twice), late (it is sent a second time some milliseconds later), long (a
// length of 3 GB), endless (a line without an end), busy (rejected although nothing is full), reset
// (the connection is reset in place of an answer). In all cases but busy the request has run.
var Corruptions = []string{"cut", "noise", "wrong-id", "twice", "late", "long", "endless", "busy", "reset"}

// Stats counts the requests, connections and load report calls of a server.
type Stats struct{ Served, Missed, Turned, Failed, Conns, Probes int64 }

// Server is a fake cache server or origin that listens on a socket.
type Server struct {
	options Options
	codec   codec
	addr    string
	ctx     context.Context
	cancel  context.CancelFunc
	wg      sync.WaitGroup
	wakeup  chan struct{}

	mu                 sync.Mutex
	serverModel        *model.Server
	ln                 net.Listener // nil = down
	generation         int          // number of the process; connections of earlier processes are ignored
	isCollapseRecorded bool
	conns              map[*serverConn]struct{}
	pending            map[uint64]*slot
	lastJob            uint64
	faults             Faults
	rng                *rand.Rand

	served, missed, rejected, failed, accepted, probes atomic.Int64
}

// slot is a request with its position in the sequence of answers of its connection.
type slot struct {
	req     request
	job     uint64
	conn    *serverConn
	beganAt float64
	ready   chan struct{} // closed when reply is set
	reply   answer
	isEnded bool // its end is recorded in the journal; guarded by mu
}

// Start starts a server that listens at addr ("127.0.0.1:0" for any port). Its process counts as
// started long ago. Close stops it.
func Start(addr string, o Options) (*Server, error) {
	if o.Pipeline == 0 {
		o.Pipeline = 128
	}
	s := &Server{options: o, codec: metaCodec{o.Probes, o.Reports}, addr: addr, wakeup: make(chan struct{}, 1),
		conns: map[*serverConn]struct{}{}, pending: map[uint64]*slot{}, rng: rand.New(rand.NewPCG(o.Seed, 4)),
		serverModel: model.New(o.Model, o.Seed, o.Clock.Now())}
	if o.Model.Origin {
		s.codec = originCodec{}
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	if err := s.listen(); err != nil {
		return nil, err
	}
	s.wg.Go(s.run)
	return s, nil
}

func (s *Server) listen() error {
	var config net.ListenConfig
	if s.options.Model.Origin {
		config.Control = limitReceiveBuffer
	}
	ln, err := config.Listen(s.ctx, "tcp", s.addr)
	if err != nil {
		return fmt.Errorf("server %s: %w", s.options.ID, err)
	}
	s.ln, s.addr = ln, ln.Addr().String()
	s.generation++
	generation := s.generation
	s.wg.Go(func() { s.accept(ln, generation) })
	return nil
}

// Addr returns the address at which the server listens; a restart keeps it.
func (s *Server) Addr() string { return s.addr }

// ID returns the server's name on the list.
func (s *Server) ID() string { return s.options.ID }

// Close stops the server and waits for its goroutines.
func (s *Server) Close() {
	s.Kill()
	s.cancel()
	s.wg.Wait()
}

// Kill simulates the death of the process: its connections are reset, and new ones refused.
func (s *Server) Kill() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.killLocked()
}

func (s *Server) killLocked() {
	if s.ln == nil {
		return
	}
	s.ln.Close()
	s.ln = nil
	s.generation++
	for c := range s.conns {
		s.dropConn(c)
	}
}

// Restart starts a new process at the same address, cold and empty.
func (s *Server) Restart() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.killLocked()
	now := s.options.Clock.Now()
	s.serverModel.Restart(now)
	s.isCollapseRecorded = false
	s.options.Journal.Add(checker.Event{At: now, Kind: checker.Started, Server: s.options.ID})
	s.wake()
	return s.listen()
}

// IsUp reports whether the process is running.
func (s *Server) IsUp() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ln != nil
}

// SetFaults replaces the faults. When a silence ends, the connections that were open during it are
// reset.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Silent && !f.Silent {
		for c := range s.conns {
			s.dropConn(c)
		}
	}
	s.faults = f
}

// Store stores a value of size bytes, as a completed fetch does.
func (s *Server) Store(key string, size int) {
	s.updateModel(func(now float64) { s.serverModel.Store(now, key, size) })
}

// Invalidate removes the stored value of a key.
func (s *Server) Invalidate(key string) {
	s.updateModel(func(float64) { s.serverModel.Invalidate(key) })
}

// Load returns the number of requests held and the server's warmth.
func (s *Server) Load() (held int, warmth float64) {
	s.updateModel(func(float64) { held, warmth = s.serverModel.Held(), s.serverModel.Warmth() })
	return held, warmth
}

// Stats returns the counts since Start.
func (s *Server) Stats() Stats {
	return Stats{s.served.Load(), s.missed.Load(), s.rejected.Load(), s.failed.Load(),
		s.accepted.Load(), s.probes.Load()}
}

// updateModel advances the model to the present time and calls do on it.
func (s *Server) updateModel(do func(now float64)) {
	s.mu.Lock()
	done := s.advance()
	do(s.options.Clock.Now())
	s.mu.Unlock()
	s.notifyCompleted(done)
	s.wake()
}

func (s *Server) wake() {
	select {
	case s.wakeup <- struct{}{}:
	default:
	}
}

// run advances the model at the times of its events.
func (s *Server) run() {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		s.mu.Lock()
		done := s.advance()
		next := s.serverModel.Next()
		s.mu.Unlock()
		s.notifyCompleted(done)
		wait := time.Hour
		if !math.IsInf(next, 1) {
			wait = millis(max(0, next-s.options.Clock.Now()))
		}
		timer.Reset(wait)
		select {
		case <-s.ctx.Done():
			return
		case <-timer.C:
		case <-s.wakeup:
		}
	}
}

// advance advances the model to now and returns the completed slots. The caller holds mu, and calls
// notifyCompleted with them after releasing it.
func (s *Server) advance() (completed []*slot) {
	now := s.options.Clock.Now()
	for _, d := range s.serverModel.Advance(now) {
		sl := s.pending[d.ID]
		delete(s.pending, d.ID)
		if sl == nil {
			continue
		}
		s.complete(sl, now, d.Outcome, d.Size)
		completed = append(completed, sl)
	}
	if s.serverModel.HasCollapsed() && !s.isCollapseRecorded {
		s.isCollapseRecorded = true
		s.options.Journal.Add(checker.Event{At: now, Kind: checker.ServerCollapsed, Server: s.options.ID,
			Began: now - s.options.Model.FallForMS})
		s.killLocked()
	}
	return completed
}

func (s *Server) notifyCompleted(done []*slot) {
	if s.options.OnComplete == nil {
		return
	}
	for _, sl := range done {
		s.options.OnComplete(s, sl.req.key, sl.req.id, sl.reply.Outcome, sl.req.kind == "set", len(sl.reply.value))
	}
}

// complete sets the reply of a slot. The caller holds mu.
func (s *Server) complete(sl *slot, now float64, o model.Outcome, size int) {
	sl.reply.Outcome, sl.reply.id = o, sl.req.id
	end := map[model.Outcome]checker.End{model.Busy: checker.Rejected, model.Missed: checker.Missed,
		model.Fetching: checker.Missed, model.Failed: checker.Errored}[o]
	switch o {
	case model.Served, model.Repeated:
		s.served.Add(1)
		if sl.req.kind == "set" {
			receipt := sl.req.idem
			if receipt == "" {
				receipt = sl.req.id
			}
			sl.reply.value = []byte(receipt)
		} else {
			sl.reply.value = NewValue(s.options.ID, sl.req.key, sl.req.id, size)
		}
		if o == model.Served && sl.req.kind == "set" {
			s.options.Journal.Add(checker.Event{At: now, Kind: checker.EffectExecuted, Request: sl.req.id,
				Server: s.options.ID, Idem: sl.req.idem})
		}
	case model.Busy:
		s.rejected.Add(1)
	case model.Failed:
		s.failed.Add(1)
	default:
		s.missed.Add(1)
	}
	if s.options.Reports {
		if r, ok := s.serverModel.Probe(now); ok {
			sl.reply.report = &r
		}
	}
	s.recordEnd(sl, now, end)
	close(sl.ready)
}

// recordEnd records the end of an attempt once. It is called before the answer is written, so that the
// event precedes any reaction of the router in the journal. The caller holds mu.
func (s *Server) recordEnd(sl *slot, now float64, end checker.End) {
	if sl.isEnded {
		return
	}
	sl.isEnded = true
	delete(sl.conn.held, sl)
	s.options.Journal.Add(checker.Event{At: now, Kind: checker.AttemptEnded, Request: sl.req.id,
		Server: s.options.ID, End: end, Sum: Checksum(sl.reply.value)})
}

// accept accepts connections for one process.
func (s *Server) accept(ln net.Listener, generation int) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		ok := s.generation == generation && s.serverModel.Connect()
		sc := &serverConn{Conn: c, s: s, generation: generation, queue: make(chan *slot, s.options.Pipeline),
			closed: make(chan struct{}), held: map[*slot]struct{}{}}
		if ok {
			s.conns[sc] = struct{}{}
		}
		s.mu.Unlock()
		if !ok { // at the connection limit, or no longer the running process
			reset(c)
			continue
		}
		s.accepted.Add(1)
		s.wg.Go(sc.serve)
		s.wg.Go(sc.writeAnswers)
	}
}

// dropConn resets a connection and cancels its open requests. The caller holds mu.
func (s *Server) dropConn(c *serverConn) {
	if _, ok := s.conns[c]; !ok {
		return
	}
	delete(s.conns, c)
	if c.generation == s.generation {
		s.serverModel.Disconnect()
	}
	now := s.options.Clock.Now()
	for sl := range c.held {
		delete(s.pending, sl.job)
		s.serverModel.Cancel(sl.job)
		s.recordEnd(sl, now, checker.Dropped)
	}
	close(c.closed)
	reset(c.Conn)
}

// serverConn is a connection to a server.
type serverConn struct {
	net.Conn
	s          *Server
	generation int
	queue      chan *slot
	closed     chan struct{}
	// requestBytes is how much was read of the current request. It belongs to serve.
	requestBytes int
	unanswered   atomic.Int64       // number of requests read and not yet answered
	held         map[*slot]struct{} // requests whose attempts have not ended; guarded by the server's mu
}

func (c *serverConn) close() {
	c.s.mu.Lock()
	c.s.dropConn(c)
	c.s.mu.Unlock()
	c.s.wake()
}

// serve reads commands until the connection ends.
func (c *serverConn) serve() {
	defer close(c.queue)
	defer c.close()
	r := bufio.NewReaderSize(c, maxLineBytes)
	for {
		c.requestBytes = r.Buffered()
		if c.s.options.IdleMS > 0 {
			if c.SetReadDeadline(time.Now().Add(millis(c.s.options.IdleMS))) != nil {
				return
			}
		}
		_, err := r.Peek(1)
		for errors.Is(err, os.ErrDeadlineExceeded) && c.unanswered.Load() > 0 { // requests are open, so it is not idle
			_ = c.SetReadDeadline(time.Now().Add(millis(c.s.options.IdleMS)))
			_, err = r.Peek(1)
		}
		if err != nil {
			return
		}
		began := c.s.options.Clock.Now()
		_ = c.SetReadDeadline(time.Time{}) // a large value may take longer
		req, err := c.s.codec.read(r)
		if err != nil || req.kind == "bad" {
			if req.kind == "bad" || errors.Is(err, errLineTooLong) {
				c.s.options.Journal.Add(checker.Event{At: c.s.options.Clock.Now(), Kind: checker.Malformed,
					Server: c.s.options.ID})
			}
			if err == nil || errors.Is(err, errLineTooLong) { // answer the error and close the connection
				_, _ = c.Write(c.s.codec.write(request{kind: "bad"}, answer{}))
			}
			return
		}
		sl := &slot{req: req, conn: c, beganAt: began, ready: make(chan struct{})}
		c.unanswered.Add(1)
		if !c.submit(sl) {
			return
		}
		select {
		case c.queue <- sl:
		case <-c.closed:
			return
		}
	}
}

// submit passes a request to the model, and reports whether the connection is still in use.
func (c *serverConn) submit(sl *slot) bool {
	s := c.s
	s.mu.Lock()
	done := s.advance()
	ok := c.generation == s.generation
	if _, here := s.conns[c]; ok && here {
		now := s.options.Clock.Now()
		switch {
		case s.faults.Silent: // the request is ignored; earlier ones may have run
		case sl.req.kind == "ready":
			close(sl.ready)
		case sl.req.kind == "load":
			s.probes.Add(1)
			if r, up := s.serverModel.Probe(now); up {
				sl.reply.report = &r
			}
			close(sl.ready)
		default:
			work, size := s.options.Work(sl.req.id, sl.req.key, sl.req.class)
			s.options.Journal.Add(checker.Event{At: now, Kind: checker.AttemptReceived, Request: sl.req.id,
				Server: s.options.ID, Began: sl.beganAt, TimeoutHint: sl.req.hint, Work: work})
			if sl.req.kind == "set" {
				size = sl.req.size
			}
			s.lastJob++
			sl.job = s.lastJob
			c.held[sl] = struct{}{}
			if s.faults.Corruption == "busy" && s.rng.Float64() < s.faults.Share {
				s.complete(sl, now, model.Busy, 0)
			} else if s.serverModel.Arrive(now, model.Job{ID: sl.job, Key: sl.req.key, Idem: sl.req.idem,
				Work: work, Size: size, Write: sl.req.kind == "set"}) {
				s.pending[sl.job] = sl
			} else {
				s.complete(sl, now, model.Busy, 0)
			}
		}
	} else {
		ok = false
	}
	s.mu.Unlock()
	s.notifyCompleted(done)
	s.wake()
	return ok
}

// writeAnswers writes the answers in the order of the requests.
func (c *serverConn) writeAnswers() {
	for sl := range c.queue {
		select {
		case <-sl.ready:
		case <-c.closed:
			continue // drain the queue
		}
		if !c.writeAnswer(sl) {
			c.close()
		}
		c.unanswered.Add(-1)
	}
}

// writeAnswer writes one answer as modified by the faults, and reports whether the connection stays open.
func (c *serverConn) writeAnswer(sl *slot) bool {
	s := c.s
	s.mu.Lock()
	f := s.faults
	isControl := sl.req.kind != "get" && sl.req.kind != "set"
	corrupts := f.Corruption != "" && !isControl && s.rng.Float64() < f.Share
	cut, n := s.rng.Float64(), s.rng.Uint64()
	s.mu.Unlock()
	if f.Silent {
		<-c.closed // the answer is lost
		return false
	}
	text := s.codec.write(sl.req, sl.reply)
	if !corrupts {
		return c.writeThrottled(text, f.BytesPerS) == nil
	}
	switch f.Corruption {
	case "cut":
		_ = c.writeThrottled(text[:int(cut*float64(len(text)))], f.BytesPerS)
		return false
	case "noise":
		return c.writeThrottled(fmt.Appendf(nil, "%x\x00%x\r\n", n, n), 0) == nil
	case "wrong-id":
		a := sl.reply
		a.id = fmt.Sprintf("%016x", n)
		return c.writeThrottled(s.codec.write(sl.req, a), f.BytesPerS) == nil
	case "twice":
		return c.writeThrottled(append(text, text...), f.BytesPerS) == nil
	case "late":
		err := c.writeThrottled(text, f.BytesPerS)
		c.duplicateLate(text)
		return err == nil
	case "long":
		_ = c.writeThrottled(fmt.Appendf(nil, "VA 3221225472 O%s h1\r\n", sl.req.id), 0)
		return c.writeEndless("x")
	case "endless":
		return c.writeEndless("VA 5 ")
	case "busy": // submit rejected the request
		return c.writeThrottled(text, f.BytesPerS) == nil
	}
	return false // reset
}

// writeEndless writes copies of a text until the other side closes the connection, or up to 64 MiB.
func (c *serverConn) writeEndless(of string) bool {
	chunk := make([]byte, 0, 16<<10)
	for len(chunk) < cap(chunk) {
		chunk = append(chunk, of...)
	}
	for written := 0; written < 64<<20; written += len(chunk) {
		if _, err := c.Write(chunk); err != nil {
			return false
		}
	}
	return false
}

// writeThrottled writes text at a rate of at most perS bytes per second; 0 = no limit.
func (c *serverConn) writeThrottled(text []byte, perS float64) error {
	if perS <= 0 {
		_, err := c.Write(text)
		return err
	}
	piece := max(1, int(perS/50)) // fifty pieces per second
	for len(text) > 0 {
		n := min(piece, len(text))
		if _, err := c.Write(text[:n]); err != nil {
			return err
		}
		text = text[n:]
		select {
		case <-time.After(20 * time.Millisecond):
		case <-c.closed:
			return io.ErrClosedPipe
		}
	}
	return nil
}
