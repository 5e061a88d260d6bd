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

// WorkFunc gives the work of a request at a server and the size of its value. It must be safe for concurrent use.
type WorkFunc func(id, key, class string) (work float64, size int)

// Options describe a server's stand-in.
type Options struct {
	ID       string
	Model    model.Params
	Seed     uint64
	Clock    *Clock
	Journal  *checker.Journal
	Work     WorkFunc
	Probes   bool    // `stats load` is answered
	Reports  bool    // answers hold load reports
	Pipeline int     // commands on a connection that are begun before those ahead are answered; 0 = 128
	IdleMS   float64 // a connection idle for this long is closed; 0 = never
	// OnComplete is told of each request that ended well or missed, from the server's own goroutine: the fleet stores what
	// the origin made where it was missing, and voids what a write changed.
	OnComplete func(s *Server, key, id string, o model.Outcome, write bool, size int)
}

// Faults are what goes wrong at a server, beside what its model does.
type Faults struct {
	Silent     bool    // it takes connections and says nothing; what it has to say is lost. The end of it resets all connections
	BytesPerS  float64 // answers go out this slowly; 0 = as fast as they can
	Corruption string  // how answers are spoilt: see Spoils
	Share      float64 // of the answers
}

// Corruptions are the ways to spoil an answer: cut (broken off anywhere), noise, wrong-id, twice (a second copy behind it),
// long (a length of 3 GB), endless (a line without an end), busy (turned away though nothing is full), reset (the
// connection is reset in place of an answer). In all but busy the request has run.
var Corruptions = []string{"cut", "noise", "wrong-id", "twice", "long", "endless", "busy", "reset"}

// Stats count what a server did.
type Stats struct{ Served, Missed, Turned, Failed, Conns, Probes int64 }

// Server is a cache server or the origin on a socket.
type Server struct {
	o      Options
	codec  codec
	addr   string
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
	kick   chan struct{}

	mu      sync.Mutex
	m       *model.Server
	ln      net.Listener // nil = down
	life    int          // counts processes: a connection of one that is gone has no say any more
	fell    bool
	conns   map[*serverConn]struct{}
	pending map[uint64]*slot
	next    uint64
	faults  Faults
	rng     *rand.Rand

	served, missed, turned, failed, taken, probes atomic.Int64
}

// slot is a request's place among the answers of its connection.
type slot struct {
	req   request
	job   uint64
	conn  *serverConn
	began float64
	ready chan struct{} // closed when a is there
	a     answer
	over  bool // its end is in the journal; guarded by mu
}

// Start listens at addr ("127.0.0.1:0" for any port) as a process that has run for long. Close ends it.
func Start(addr string, o Options) (*Server, error) {
	if o.Pipeline == 0 {
		o.Pipeline = 128
	}
	s := &Server{o: o, codec: meta{o.Probes, o.Reports}, addr: addr, kick: make(chan struct{}, 1),
		conns: map[*serverConn]struct{}{}, pending: map[uint64]*slot{}, rng: rand.New(rand.NewPCG(o.Seed, 4)),
		m: model.New(o.Model, o.Seed, o.Clock.Now())}
	if o.Model.Origin {
		s.codec = origin{}
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	if err := s.listen(); err != nil {
		return nil, err
	}
	s.wg.Go(s.run)
	return s, nil
}

func (s *Server) listen() error {
	ln, err := net.Listen("tcp", s.addr)
	if err != nil {
		return fmt.Errorf("server %s: %w", s.o.ID, err)
	}
	s.ln, s.addr = ln, ln.Addr().String()
	s.life++
	life := s.life
	s.wg.Go(func() { s.accept(ln, life) })
	return nil
}

// Addr is where the server listens, the same after a restart.
func (s *Server) Addr() string { return s.addr }

// ID is the server's name on the list.
func (s *Server) ID() string { return s.o.ID }

// Close ends the server and waits for all that it started.
func (s *Server) Close() {
	s.Kill()
	s.cancel()
	s.wg.Wait()
}

// Kill is the death of the process: its connections are reset, new ones refused, its memory is gone.
func (s *Server) Kill() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.kill()
}

func (s *Server) kill() {
	if s.ln == nil {
		return
	}
	s.ln.Close()
	s.ln = nil
	s.life++
	for c := range s.conns {
		s.drop(c)
	}
}

// Restart starts the process again at the same address: cold and empty.
func (s *Server) Restart() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.kill()
	now := s.o.Clock.Now()
	s.m.Restart(now)
	s.fell = false
	s.o.Journal.Add(checker.Event{At: now, Kind: checker.Started, Server: s.o.ID})
	s.wake()
	return s.listen()
}

// IsUp reports whether the process runs.
func (s *Server) IsUp() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ln != nil
}

// SetFaults sets the faults. The end of silence resets the connections that lived through it.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Silent && !f.Silent {
		for c := range s.conns {
			s.drop(c)
		}
	}
	s.faults = f
}

// Store keeps a value, as a fetch that came back does.
func (s *Server) Store(key string, size int) { s.with(func(now float64) { s.m.Store(now, key, size) }) }

// Invalidate drops the copy of a key.
func (s *Server) Invalidate(key string) { s.with(func(float64) { s.m.Invalidate(key) }) }

// Load tells how many requests are held and how warm the server is.
func (s *Server) Load() (held int, warmth float64) {
	s.with(func(float64) { held, warmth = s.m.Held(), s.m.Warmth() })
	return held, warmth
}

// Stats counts since the start of the lab.
func (s *Server) Stats() Stats {
	return Stats{s.served.Load(), s.missed.Load(), s.turned.Load(), s.failed.Load(), s.taken.Load(), s.probes.Load()}
}

// with does something to the model at the present time.
func (s *Server) with(do func(now float64)) {
	s.mu.Lock()
	done := s.advance()
	do(s.o.Clock.Now())
	s.mu.Unlock()
	s.tell(done)
	s.wake()
}

func (s *Server) wake() {
	select {
	case s.kick <- struct{}{}:
	default:
	}
}

// run carries the model on whenever something happens in it by itself.
func (s *Server) run() {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		s.mu.Lock()
		done := s.advance()
		next := s.m.Next()
		s.mu.Unlock()
		s.tell(done)
		wait := time.Hour
		if !math.IsInf(next, 1) {
			wait = ms(max(0, next-s.o.Clock.Now()))
		}
		timer.Reset(wait)
		select {
		case <-s.ctx.Done():
			return
		case <-timer.C:
		case <-s.kick:
		}
	}
}

// advance brings the model up to now and hands out what is done. The caller holds mu, and tells the fleet once it has
// let go of it.
func (s *Server) advance() (told []*slot) {
	now := s.o.Clock.Now()
	for _, d := range s.m.Advance(now) {
		sl := s.pending[d.ID]
		delete(s.pending, d.ID)
		if sl == nil {
			continue
		}
		s.complete(sl, now, d.Outcome, d.Size)
		told = append(told, sl)
	}
	if s.m.HasCollapsed() && !s.fell {
		s.fell = true
		s.o.Journal.Add(checker.Event{At: now, Kind: checker.ServerCollapsed, Server: s.o.ID, Began: now - s.o.Model.FallForMS})
		s.kill()
	}
	return told
}

func (s *Server) tell(done []*slot) {
	if s.o.OnComplete == nil {
		return
	}
	for _, sl := range done {
		s.o.OnComplete(s, sl.req.key, sl.req.id, sl.a.Outcome, sl.req.kind == "set", len(sl.a.value))
	}
}

// complete gives a slot its answer. The caller holds mu.
func (s *Server) complete(sl *slot, now float64, o model.Outcome, size int) {
	sl.a.Outcome, sl.a.id = o, sl.req.id
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
			sl.a.value = []byte(receipt)
		} else {
			sl.a.value = NewValue(s.o.ID, sl.req.key, sl.req.id, size)
		}
		if o == model.Served && sl.req.kind == "set" {
			s.o.Journal.Add(checker.Event{At: now, Kind: checker.EffectExecuted, Request: sl.req.id, Server: s.o.ID, Idem: sl.req.idem})
		}
	case model.Busy:
		s.turned.Add(1)
	case model.Failed:
		s.failed.Add(1)
	default:
		s.missed.Add(1)
	}
	if s.o.Reports {
		if r, ok := s.m.Probe(now); ok {
			sl.a.report = &r
		}
	}
	s.over(sl, now, end)
	close(sl.ready)
}

// over books the end of an attempt, once, before its answer goes out: the router can't act on it sooner than the
// referee knows of it. The caller holds mu.
func (s *Server) over(sl *slot, now float64, end checker.End) {
	if sl.over {
		return
	}
	sl.over = true
	delete(sl.conn.held, sl)
	s.o.Journal.Add(checker.Event{At: now, Kind: checker.AttemptEnded, Request: sl.req.id, Server: s.o.ID, End: end, Sum: Checksum(sl.a.value)})
}

// accept takes connections of one process.
func (s *Server) accept(ln net.Listener, life int) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		ok := s.life == life && s.m.Connect()
		sc := &serverConn{Conn: c, s: s, life: life, queue: make(chan *slot, s.o.Pipeline),
			gone: make(chan struct{}), held: map[*slot]struct{}{}}
		if ok {
			s.conns[sc] = struct{}{}
		}
		s.mu.Unlock()
		if !ok { // it holds all that it may
			reset(c)
			continue
		}
		s.taken.Add(1)
		s.wg.Go(sc.serve)
		s.wg.Go(sc.answer)
	}
}

// drop ends a connection with all that is open on it. The caller holds mu.
func (s *Server) drop(c *serverConn) {
	if _, ok := s.conns[c]; !ok {
		return
	}
	delete(s.conns, c)
	if c.life == s.life {
		s.m.Disconnect()
	}
	now := s.o.Clock.Now()
	for sl := range c.held {
		delete(s.pending, sl.job)
		s.m.Cancel(sl.job)
		s.over(sl, now, checker.Dropped)
	}
	close(c.gone)
	reset(c.Conn)
}

// serverConn is a connection to a server.
type serverConn struct {
	net.Conn
	s     *Server
	life  int
	queue chan *slot
	gone  chan struct{}
	open  atomic.Int64       // requests read and not answered
	held  map[*slot]struct{} // those whose attempts are not over; guarded by the server's mu
}

func (c *serverConn) close() {
	c.s.mu.Lock()
	c.s.drop(c)
	c.s.mu.Unlock()
	c.s.wake()
}

// serve reads commands until the connection ends.
func (c *serverConn) serve() {
	defer close(c.queue)
	defer c.close()
	r := bufio.NewReaderSize(c.Conn, maxLine)
	for {
		if c.s.o.IdleMS > 0 {
			if c.SetReadDeadline(time.Now().Add(ms(c.s.o.IdleMS))) != nil {
				return
			}
		}
		_, err := r.Peek(1)
		for errors.Is(err, os.ErrDeadlineExceeded) && c.open.Load() > 0 { // not idle
			_ = c.SetReadDeadline(time.Now().Add(ms(c.s.o.IdleMS)))
			_, err = r.Peek(1)
		}
		if err != nil {
			return
		}
		began := c.s.o.Clock.Now()
		_ = c.SetReadDeadline(time.Time{}) // a large value may take its time
		req, err := c.s.codec.read(r)
		if err != nil || req.kind == "bad" {
			if req.kind == "bad" || errors.Is(err, errLine) {
				c.s.o.Journal.Add(checker.Event{At: c.s.o.Clock.Now(), Kind: checker.Malformed, Server: c.s.o.ID})
			}
			if err == nil || errors.Is(err, errLine) { // it is told, and the connection is over
				_, _ = c.Write(c.s.codec.write(request{kind: "bad"}, answer{}))
			}
			return
		}
		sl := &slot{req: req, conn: c, began: began, ready: make(chan struct{})}
		c.open.Add(1)
		if !c.take(sl) {
			return
		}
		select {
		case c.queue <- sl:
		case <-c.gone:
			return
		}
	}
}

// take hands a request to the model.
func (c *serverConn) take(sl *slot) bool {
	s := c.s
	s.mu.Lock()
	done := s.advance()
	ok := c.life == s.life
	if _, here := s.conns[c]; ok && here {
		now := s.o.Clock.Now()
		switch {
		case s.faults.Silent: // it reaches nobody, and what went before may have run
		case sl.req.kind == "ready":
			close(sl.ready)
		case sl.req.kind == "load":
			s.probes.Add(1)
			if r, up := s.m.Probe(now); up {
				sl.a.report = &r
			}
			close(sl.ready)
		default:
			work, size := s.o.Work(sl.req.id, sl.req.key, sl.req.class)
			s.o.Journal.Add(checker.Event{At: now, Kind: checker.AttemptReceived, Request: sl.req.id, Server: s.o.ID, Began: sl.began,
				TimeoutHint: sl.req.hint, Work: work})
			if sl.req.kind == "set" {
				size = sl.req.size
			}
			s.next++
			sl.job = s.next
			c.held[sl] = struct{}{}
			if s.faults.Corruption == "busy" && s.rng.Float64() < s.faults.Share {
				s.complete(sl, now, model.Busy, 0)
			} else if s.m.Arrive(now, model.Job{ID: sl.job, Key: sl.req.key, Idem: sl.req.idem, Work: work, Size: size, Write: sl.req.kind == "set"}) {
				s.pending[sl.job] = sl
			} else {
				s.complete(sl, now, model.Busy, 0)
			}
		}
	} else {
		ok = false
	}
	s.mu.Unlock()
	s.tell(done)
	s.wake()
	return ok
}

// answer writes answers in the order of their requests.
func (c *serverConn) answer() {
	for sl := range c.queue {
		select {
		case <-sl.ready:
		case <-c.gone:
			continue // so that the queue is emptied
		}
		if !c.say(sl) {
			c.close()
		}
		c.open.Add(-1)
	}
}

// say writes one answer as the faults have it, and reports whether the connection goes on.
func (c *serverConn) say(sl *slot) bool {
	s := c.s
	s.mu.Lock()
	f := s.faults
	plain := sl.req.kind != "get" && sl.req.kind != "set"
	spoil := f.Corruption != "" && !plain && s.rng.Float64() < f.Share
	cut, n := s.rng.Float64(), s.rng.Uint64()
	s.mu.Unlock()
	if f.Silent {
		<-c.gone // what it has to say is lost
		return false
	}
	text := s.codec.write(sl.req, sl.a)
	if !spoil {
		return c.put(text, f.BytesPerS) == nil
	}
	switch f.Corruption {
	case "cut":
		_ = c.put(text[:int(cut*float64(len(text)))], f.BytesPerS)
		return false
	case "noise":
		return c.put(fmt.Appendf(nil, "%x\x00%x\r\n", n, n), 0) == nil
	case "wrong-id":
		a := sl.a
		a.id = fmt.Sprintf("%016x", n)
		return c.put(s.codec.write(sl.req, a), f.BytesPerS) == nil
	case "twice":
		return c.put(append(text, text...), f.BytesPerS) == nil
	case "long":
		_ = c.put(fmt.Appendf(nil, "VA 3221225472 O%s h1\r\n", sl.req.id), 0)
		return c.endless("x")
	case "endless":
		return c.endless("VA 5 ")
	case "busy": // it was turned away when it came
		return c.put(text, f.BytesPerS) == nil
	}
	return false // reset
}

// endless writes until the other side has enough.
func (c *serverConn) endless(of string) bool {
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

// put writes text, at most so many bytes a second.
func (c *serverConn) put(text []byte, perS float64) error {
	if perS <= 0 {
		_, err := c.Write(text)
		return err
	}
	piece := max(1, int(perS/50)) // fifty a second
	for len(text) > 0 {
		n := min(piece, len(text))
		if _, err := c.Write(text[:n]); err != nil {
			return err
		}
		text = text[n:]
		select {
		case <-time.After(20 * time.Millisecond):
		case <-c.gone:
			return io.ErrClosedPipe
		}
	}
	return nil
}
