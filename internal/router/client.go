package router

import (
	"bufio"
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"dockhinge.example/dockhinge/internal/metrics"
)

// Bounds on clients. What a client is owed an answer for is bounded by its own deadline.
const (
	maxPipelined = 16                      // commands of a connection that wait for their answer
	maxUnknown   = 4                       // commands of a connection that the router does not know
	firstTime    = 2700 * time.Millisecond // for the first command to come whole
	commandTime  = 2700 * time.Millisecond // for a later one to come whole once it has begun
	idleTime     = 3 * time.Second         // for the next one to begin
	rest         = 100 * time.Millisecond  // a connection that has just been answered is kept for
	answerTime   = 5 * time.Second         // for a client to take its answers
	lingerTime   = 500 * time.Millisecond  // for a client that was turned away to close
	lingerBytes  = 256 << 10               // of its input that are read meanwhile
	askSoon      = 200 * time.Millisecond  // a connection that has asked nothing after that
	asksNothing  = time.Second             // counts as idle for that much longer
)

// slot is the place of a command's answer among those of its connection.
type slot struct {
	c     *clientConn
	req   *request      // the loop's
	turn  chan struct{} // closed when a value that is passed through may be written; nil = the answer is text
	text  []byte        // guarded by c.mu, as the others
	ready bool
}

// clients serves the connections of clients.
type clients struct {
	l        *loop
	ln       net.Listener
	room     places    // one for each connection that may be open
	readers  sync.Pool // of *bufio.Reader: bad clients come and go by hundreds
	draining atomic.Bool
	over     atomic.Bool   // no further command is taken
	asked    atomic.Int64  // connections that have asked
	accepted chan struct{} // closed when no more are taken
	wg       sync.WaitGroup

	mu    sync.Mutex
	conns map[*clientConn]struct{}
}

// clientConn is a client's connection. One goroutine reads commands; while there are answers to write, another writes
// them in the order of the commands.
type clientConn struct {
	net.Conn
	s       *clients
	r       *bufio.Reader
	taking  atomic.Bool // a large value is coming
	counted atomic.Bool // among those that have asked
	left    atomic.Bool // the client has gone: what waits is not sent on

	mu       sync.Mutex
	queue    []*slot       // whose answers are not being written yet
	writing  int           // answers that are
	broken   bool          // nothing can be written any more,
	dead     chan struct{} // which closes this
	asked    bool          // a command has come
	reading  bool          // another has begun,
	by       time.Time     // and has to be whole by then
	watching bool          // the reader waits for the client to leave: the end of its time wakes it
	closing  bool          // ends as soon as nothing waits for its answer
	since    time.Time     // idle since, while nothing is open
	answered time.Time     // when an answer was last written
}

// past is a time for reading that is up.
var past = time.Unix(1, 0)

// Read is how commands are read. One that is being read when the connection is to give way is not cut off where the rest
// of it is there already: its client can't tell that it was not taken.
func (c *clientConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.crossed() {
		return c.Conn.Read(b)
	}
	return n, err
}

// crossed tells whether the end of the connection has crossed a command that is being read, which then has its time again.
func (c *clientConn) crossed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.closing || !c.reading || !time.Now().Before(c.by) || !waiting(c.Conn) {
		return false
	}
	c.SetReadDeadline(c.by)
	return true
}

// open counts the commands that are not answered. The caller holds mu.
func (c *clientConn) open() int { return len(c.queue) + c.writing }

func newClients(l *loop, ln net.Listener, limit int) *clients {
	return &clients{l: l, ln: ln, accepted: make(chan struct{}), room: places{limit: limit, whole: limit, freed: make(chan struct{}, 1)}, conns: map[*clientConn]struct{}{},
		readers: sync.Pool{New: func() any { return bufio.NewReaderSize(nil, maxLine) }}}
}

// accept takes connections until the listener is closed or its time is up.
func (s *clients) accept() {
	defer close(s.accepted)
	for {
		c, err := s.ln.Accept()
		if errors.Is(err, os.ErrDeadlineExceeded) && queued(s.ln) { // the end of the time comes before the queue, however full
			s.ln.(deadliner).SetDeadline(time.Now().Add(lastAccepts)) //nolint:errcheck // closed, and then Accept tells
			continue
		}
		if err != nil {
			if errors.Is(err, net.ErrClosed) || errors.Is(err, os.ErrDeadlineExceeded) {
				return
			}
			slog.Warn("accepting", "error", err)
			time.Sleep(100 * time.Millisecond) // as with no descriptor left: not in a tight loop
			continue
		}
		s.place()
		s.serve(c)
	}
}

// lastAccepts is how long connections that stand in the listener's queue are taken for once no new one is expected.
const lastAccepts = 10 * time.Millisecond

// deadliner is what waits until a time at most.
type deadliner interface{ SetDeadline(time.Time) error }

// acceptLast has accept end once the listener's queue is empty: closing the listener would reset what stands there.
func (s *clients) acceptLast() {
	if ln, ok := s.ln.(deadliner); ok && ln.SetDeadline(time.Now().Add(lastAccepts)) == nil {
		select {
		case <-s.accepted:
		case <-time.After(comeAfterStop): // each place is taken by a request
		}
	}
}

// place takes a place for a connection. When all are taken, the connection that has been idle for longest gives way;
// where each has a request open, the next one waits.
func (s *clients) place() {
	for !s.room.take() {
		s.evict(false)
		select {
		case <-s.room.freed:
		case <-time.After(10 * time.Millisecond): // it may have got a request just then
		}
	}
}

// share leaves this process an equal part of the places, while several processes are one router.
func (s *clients) share(processes int) {
	for range s.room.share(processes) {
		s.evict(false)
	}
}

// places bounds the connections that are open.
type places struct {
	mu           sync.Mutex
	used         int
	limit, whole int
	freed        chan struct{} // of capacity 1
}

func (p *places) take() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.used >= p.limit {
		return false
	}
	p.used++
	return true
}

func (p *places) give() {
	p.mu.Lock()
	p.used--
	p.mu.Unlock()
	select {
	case p.freed <- struct{}{}:
	default:
	}
}

// share sets the limit and returns how many are over it.
func (p *places) share(processes int) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit = p.whole / processes
	return max(0, p.used-p.limit)
}

func (p *places) half() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return int64(p.limit / 2)
}

// evict ends the connection that has been idle for longest. With asked set, only those that have asked and since rested
// for a moment count.
func (s *clients) evict(asked bool) {
	var oldest *clientConn
	var since time.Time
	s.mu.Lock()
	for c := range s.conns {
		at, idle := c.idle()
		if asked && (!c.counted.Load() || time.Since(at) < rest) {
			continue
		}
		if idle && (oldest == nil || at.Before(since)) {
			oldest, since = c, at
		}
	}
	s.mu.Unlock()
	if oldest != nil {
		oldest.drop()
	}
}

// crowd counts a connection that has asked for the first time. Where many ask once and keep their connection, its end by
// time comes too late: they would hold all that clients may have, and the next requests had none.
func (s *clients) crowd(c *clientConn) {
	c.counted.Store(true)
	if s.asked.Add(1) > s.room.half() {
		s.evict(true)
	}
}

func (s *clients) serve(nc net.Conn) {
	r := s.readers.Get().(*bufio.Reader)
	c := &clientConn{Conn: nc, s: s, r: r, since: time.Now(), dead: make(chan struct{})}
	r.Reset(c)
	c.by = c.since.Add(firstTime)
	nc.SetReadDeadline(c.by)
	s.mu.Lock()
	s.conns[c] = struct{}{}
	s.mu.Unlock()
	s.wg.Go(func() {
		turnedAway := c.read()
		c.finish(turnedAway)
		if c.counted.Load() {
			s.asked.Add(-1)
		}
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
		r.Reset(nil)
		s.readers.Put(r)
		s.room.give()
	})
	if s.draining.Load() {
		c.drain()
	}
}

// idle tells since when the connection has had no request open.
func (c *clientConn) idle() (since time.Time, idle bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if since = c.since; !c.asked && time.Since(since) > askSoon { // else silent ones would drive out the usual clients
		since = since.Add(-asksNothing)
	}
	return since, c.open() == 0 && !c.closing && !c.taking.Load()
}

// drain ends the connection once nothing waits for its answer and no command is coming. Until then it is read on: what a
// client sends on a connection that is open is taken, and its leaving is seen.
func (c *clientConn) drain() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing = true; !c.reading && c.open() == 0 {
		c.SetReadDeadline(past)
	}
}

// drop ends the connection at once if no request is open: half a command is none.
func (c *clientConn) drop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open() == 0 && !c.taking.Load() {
		c.closing = true
		c.SetReadDeadline(past)
	}
}

// begin tells that a command has begun. The first one's time has run since the connection came.
func (c *clientConn) begin(first bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.reading = true; !first || c.closing {
		c.by = time.Now().Add(commandTime)
		c.SetReadDeadline(c.by)
	}
}

// await waits until there is room for the next command and sets the time for it: none while requests are open, as then
// the client's leaving is waited for.
func (c *clientConn) await() error {
	c.mu.Lock()
	c.reading, c.asked = false, true
	c.mu.Unlock()
	if c.watch(func() bool { return c.open() < maxPipelined }, 0) {
		return io.EOF
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.broken:
		return net.ErrClosed
	case c.s.over.Load():
		return os.ErrDeadlineExceeded
	case c.open() > 0:
		c.SetReadDeadline(time.Time{})
	case c.closing: // what has come already is answered
		c.SetReadDeadline(past)
	default:
		c.SetReadDeadline(time.Now().Add(idleTime))
	}
	return nil
}

// watch waits until done holds or nothing can be written any more, and tells whether the client has left instead. Up to so many bytes of
// input are thrown away meanwhile, the rest is not read: the client's end is seen behind it. done is asked with mu held.
func (c *clientConn) watch(done func() bool, unwanted int) (left bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for !done() && !c.broken {
		c.watching = true
		c.SetReadDeadline(time.Time{})
		c.mu.Unlock()
		left := awaitEnd(c.Conn, &unwanted)
		c.mu.Lock()
		if c.watching = false; left {
			return true
		}
	}
	return false
}

// gone tells whether the client has left, as far as that can be known by now.
func (c *clientConn) gone() bool { return c.left.Load() || ended(c.Conn) }

// read reads commands until the client leaves, is turned away for what it sent, or the connection's time is up.
func (c *clientConn) read() (turnedAway bool) {
	unknown := 0
	for first := true; ; first = false {
		_, err := c.r.Peek(1)
		if errors.Is(err, os.ErrDeadlineExceeded) && !c.s.over.Load() && waiting(c.Conn) { // a command that crosses the end of the time
			c.begin(false)
			_, err = c.r.Peek(1)
		}
		if err != nil {
			return c.unread(err)
		}
		c.begin(first)
		cmd, err := readCommand(c.r) // the value is read only if the rest makes sense
		if err == nil {
			err = c.s.l.check(&cmd)
		}
		refuse := err == nil && (cmd.verb == "mg" || cmd.verb == "ms") && !c.s.l.room(&cmd)
		if err == nil && cmd.verb == "ms" {
			refuse, err = c.takeValue(&cmd, refuse)
		}
		read := c.s.l.now()
		if err != nil && !errors.Is(err, errMalformed) {
			return c.unread(err)
		}
		sl := c.push()
		switch {
		case err != nil:
			sl.answer([]byte("CLIENT_ERROR " + err.Error() + "\r\n"))
			return true
		case refuse: // many large writes at once must not cost the router its life
			c.s.l.metrics.Class(cmd.class).Ended(metrics.Overload)
			sl.answer(refused(c.s.l.rules.Load().away))
		case cmd.verb == "mg" || cmd.verb == "ms":
			c.s.l.post(func() { c.s.l.arrive(cmd, read, sl) })
		case cmd.verb == "mn":
			sl.answer(c.s.readiness())
		case cmd.verb == "quit":
			sl.answer(nil)
			return true
		default:
			sl.answer([]byte("ERROR\r\n"))
			if unknown++; unknown == maxUnknown {
				return true
			}
		}
		if first {
			c.s.crowd(c)
		}
		if err := c.await(); err != nil {
			return c.unread(err)
		}
	}
}

// takeValue reads the value of a write, or passes a large one on while it comes. It tells whether the write is to be
// refused; what was held for it is then given back, as after an error.
func (c *clientConn) takeValue(cmd *command, refuse bool) (bool, error) {
	l := c.s.l
	if cmd.length <= maxWhole {
		v, err := readValue(c.r, cmd.length, refuse)
		if cmd.value = v; err != nil && !refuse {
			l.letGo(cmd)
		}
		return refuse, err
	}
	full := refuse
	if !refuse {
		up, err := l.startUpload(cmd)
		cmd.up, refuse = up, err != nil
	}
	err := c.readLarge(cmd.length, cmd.up)
	if !full && (refuse || err != nil) {
		l.letGo(cmd)
	}
	return refuse, err
}

// unread ends the reading of a connection after an error. Where the client has not left, what was taken is answered.
func (c *clientConn) unread(err error) (turnedAway bool) {
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		c.leave()
	}
	return false
}

// leave gives up what waits for its answer, as nobody takes it any more.
func (c *clientConn) leave() {
	c.left.Store(true) // before the loop is told: an attempt that is about to be written sees it
	c.mu.Lock()
	open := c.queue
	c.queue = nil
	c.breakOff()
	for _, sl := range open {
		if sl.ready {
			c.s.l.queued.give(len(sl.text))
		}
	}
	c.mu.Unlock()
	for _, sl := range open {
		c.s.l.post(func() { c.s.l.gone(sl) })
	}
}

// breakOff tells that nothing can be written any more. The caller holds mu.
func (c *clientConn) breakOff() {
	if !c.broken {
		c.broken = true
		close(c.dead)
	}
}

// finish waits until all answers are out, or the client has left, and closes the connection. A close with input unread, or
// before input that is on its way, would reset it, and might destroy answers on theirs: a client that was turned away, whose
// next command has crossed the end, or that has just been answered sees the end of the answers first, and is read on for a
// bounded time.
func (c *clientConn) finish(turnedAway bool) {
	unwanted := 0
	if turnedAway {
		unwanted = lingerBytes
	}
	left := c.watch(func() bool { return c.open() == 0 }, unwanted)
	c.mu.Lock()
	broken, until := c.broken, c.answered.Add(rest)
	c.mu.Unlock()
	if turnedAway || c.r.Buffered() > 0 || waiting(c.Conn) {
		until = time.Now().Add(lingerTime)
	}
	if left || broken {
		c.leave()
	} else if half, ok := c.Conn.(interface{ CloseWrite() error }); ok && time.Now().Before(until) && half.CloseWrite() == nil {
		c.SetReadDeadline(until)
		io.CopyBuffer(io.Discard, io.LimitReader(onlyReader{c.Conn}, lingerBytes), make([]byte, maxLine)) //nolint:errcheck // it is unwanted
	}
	c.Close()
}

// onlyReader hides the methods by which a copy would do without the buffer it is given.
type onlyReader struct{ io.Reader }

// push makes a place for the answer to a command that has come.
func (c *clientConn) push() *slot {
	sl := &slot{c: c}
	c.mu.Lock()
	c.queue = append(c.queue, sl)
	c.mu.Unlock()
	return sl
}

// answer gives the answer to a command. It does not block.
func (sl *slot) answer(text []byte) {
	c := sl.c
	c.s.l.queued.add(len(text))
	c.mu.Lock()
	defer c.mu.Unlock()
	if sl.text, sl.ready = text, true; c.broken {
		c.s.l.queued.give(len(text))
		return
	}
	c.begun()
}

// begun has answers written if some are there and none is being written. The caller holds mu.
func (c *clientConn) begun() {
	if c.writing == 0 && c.queue[0].ready {
		if out, size := c.batch(); len(out) > 0 {
			c.s.wg.Go(func() { c.write(out, size) })
		}
	}
}

// batch takes the answers that are there off the queue, in the order of the commands. Where a value that is passed
// through comes next, it returns none: the writing is then up to the value's sink. The caller holds mu.
func (c *clientConn) batch() (out net.Buffers, size int) {
	c.writing = 0
	for len(c.queue) > 0 && c.queue[0].ready {
		if turn := c.queue[0].turn; turn != nil {
			if len(out) == 0 {
				c.queue, c.writing = c.queue[1:], 1
				close(turn)
			}
			return out, size
		}
		out, size = append(out, c.queue[0].text), size+len(c.queue[0].text)
		c.queue, c.writing = c.queue[1:], c.writing+1
	}
	return out, size
}

// write writes answers until none is there.
func (c *clientConn) write(out net.Buffers, size int) {
	for len(out) > 0 {
		c.SetWriteDeadline(time.Now().Add(answerTime))
		_, err := out.WriteTo(c.Conn)
		c.s.l.queued.give(size)
		out, size = c.written(err)
	}
}

// written books what has been written and returns what is next.
func (c *clientConn) written(err error) (out net.Buffers, size int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil && !c.broken {
		c.breakOff()
		c.Close() // which ends the reader too; it tells the loop
	}
	if c.broken {
		c.writing = 0
		return nil, 0
	}
	c.answered = time.Now()
	if out, size = c.batch(); c.open() == 0 {
		c.queue = nil // and the answers that its array holds
		c.since = c.answered
	}
	switch {
	case c.watching: // it may be what is waited for
		c.SetReadDeadline(past)
	case c.open() > 0 || c.reading && c.closing: // a command that has begun has its own time
	case c.closing:
		c.SetReadDeadline(past)
	default:
		c.SetReadDeadline(c.since.Add(idleTime))
	}
	return out, size
}

// readiness answers mn: the router is used from MN on, so it must be able to serve.
func (s *clients) readiness() []byte {
	if s.l.ready.Load() && !s.draining.Load() {
		return []byte("MN\r\n")
	}
	return []byte("SERVER_ERROR not ready\r\n")
}

// drain has every connection closed once it has nothing to answer, and returns when all are, or end is over. Some always
// have something open, as their clients send on: no further command is taken once noMore is over.
func (s *clients) drain(noMore, end context.Context) {
	s.startDrain()
	closed := make(chan struct{})
	go func() {
		s.wg.Wait()
		close(closed)
	}()
	select {
	case <-closed:
		return
	case <-noMore.Done():
		s.takeNoMore()
	case <-end.Done():
	}
	select {
	case <-closed:
	case <-end.Done():
		s.mu.Lock()
		for c := range s.conns {
			c.Close()
		}
		s.mu.Unlock()
		<-closed
	}
}

// takeNoMore ends the reading of every connection: a client sends what is not read elsewhere. What has come whole of a command
// that has begun is still taken, and so is a large value that is coming.
func (s *clients) takeNoMore() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.over.Store(true)
	for c := range s.conns {
		c.mu.Lock()
		if !c.taking.Load() {
			c.SetReadDeadline(past)
		}
		c.mu.Unlock()
	}
}

// startDrain has every connection closed once it has nothing to answer.
func (s *clients) startDrain() {
	s.draining.Store(true)
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.drain()
	}
}
