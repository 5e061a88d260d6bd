// Package client holds a session and leases at the coordinators, as routers and tools do. Whether a lease may be acted on is
// decided by Book alone, at the moment of asking; nothing here ever waits on the way of a request.
package client

import (
	"bytes"
	"context"
	crand "crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"slices"
	"sync"
	"time"

	"dockhinge.example/dockhinge/internal/coord"
	"dockhinge.example/dockhinge/internal/coord/clock"
	"dockhinge.example/dockhinge/internal/coord/observer/protocol"
	"dockhinge.example/dockhinge/internal/coord/observer/watchlog"
	"dockhinge.example/dockhinge/internal/rollout"
)

// Options are those of a client.
type Options struct {
	Coordinators map[string]string    // addresses for clients, by name
	Client       string               // its name, by which leases are handed over
	TTL          time.Duration        // of the session
	TryMS        int                  // one coordinator is given so long to answer; 0: a sixth of TTL, 1 s at most
	Clock        func() time.Duration // nil: clock.Now
	Log          *slog.Logger

	// Dial opens a connection; nil: a net.Dialer with a second's timeout. Tools that count bytes wrap it.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Bounds of a client.
const (
	maxUnderWay = coord.MaxRemembered / 2 // commands of a session under way at once
	maxAnswer   = 8 << 20                 // bytes
	leastPause  = 20 * time.Millisecond   // before a further try, doubled each time
	mostPause   = time.Second
	watchFor    = 10 * time.Second
	lookAgain   = 100 * time.Millisecond // whether a lease under which something runs is still there
)

// Errors of a client.
var (
	ErrNoSession = errors.New("no session with the coordinators")
	ErrLost      = errors.New("the lease's time is out")
)

// RefusedError is what the coordinators answered where it is no OK. With the code NoSession it isn't known whether the command was
// carried out: an earlier sending of it may have been, and what a session was answered is forgotten when it ends.
type RefusedError struct{ coord.Answer }

// Client is a session with what it holds.
type Client struct {
	o    Options
	http *http.Client
	room chan struct{}
	wg   sync.WaitGroup

	mu      sync.Mutex // guards what follows
	book    Book
	session string        // its id; also while it is not known whether it is there
	opened  chan struct{} // closed once a session is there; a new one after each loss
	life    context.Context
	seq     uint64
	under   map[uint64]bool // commands whose answer has not come
	settled chan struct{}   // closed, and replaced, once one of them is settled or the session is another
	leader  string
	refusal error // why there is no session, by the coordinators
	bytes   int64 // of all that was sent and answered
}

// New prepares a client; Run makes it live.
func New(o Options) *Client {
	if o.Clock == nil {
		o.Clock = clock.Now
	}
	if o.TryMS == 0 {
		o.TryMS = int(min(o.TTL/6, time.Second).Milliseconds())
	}
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	if o.Dial == nil {
		o.Dial = (&net.Dialer{Timeout: time.Second}).DialContext
	}
	return &Client{o: o, room: make(chan struct{}, maxUnderWay), opened: make(chan struct{}), under: map[uint64]bool{}, settled: make(chan struct{}),
		http: &http.Client{Transport: &http.Transport{DialContext: o.Dial, MaxConnsPerHost: 2 * maxUnderWay,
			MaxIdleConnsPerHost: 4, IdleConnTimeout: time.Minute, DisableCompression: true}}}
}

// Run opens a session, keeps it, and opens another where it was lost, until ctx ends; then it closes it.
func (c *Client) Run(ctx context.Context) {
	defer c.http.CloseIdleConnections()
	defer c.wg.Wait()
	for ctx.Err() == nil {
		life, end := context.WithCancel(ctx)
		if c.open(life) {
			c.keep(life)
		}
		c.mu.Lock()
		c.book.Lost()
		c.opened = make(chan struct{})
		c.mu.Unlock()
		end()
	}
}

// open asks for a session with a new id until there is one.
func (c *Client) open(ctx context.Context) bool {
	raw := make([]byte, 16)
	_, _ = crand.Read(raw) // never fails
	id := hex.EncodeToString(raw)
	c.mu.Lock()
	c.session, c.seq, c.under, c.life = id, 0, map[uint64]bool{}, ctx
	c.wakeWindow()
	c.mu.Unlock()
	within := c.patience()
	for pause := leastPause; ctx.Err() == nil; pause = min(2*pause, mostPause) {
		// Each try counts from its own sending: the coordinators count the newest that they carried out.
		sent := c.o.Clock()
		a, err := c.onceWithin(ctx, within.now, coord.Command{Op: coord.Open, Session: id, Client: c.o.Client, TTL: c.o.TTL})
		within.after(err)
		switch {
		case err == nil && a.Code == coord.OK:
			c.mu.Lock()
			c.book.Opened(c.o.TTL, sent, c.o.Clock())
			ok := c.book.Open(c.o.Clock())
			if ok {
				c.refusal = nil
				close(c.opened)
			}
			c.mu.Unlock()
			if ok {
				return true
			}
		case err == nil:
			c.o.Log.Warn("no session", "answer", a.Error())
			pause = mostPause
			err = &RefusedError{a}
		}
		c.mu.Lock()
		c.refusal = err
		c.mu.Unlock()
		if !clock.Sleep(ctx, Pause(err, jitter(pause))) {
			return false
		}
	}
	return false
}

// keep keeps the session until it is lost or ctx ends; then it is closed.
func (c *Client) keep(ctx context.Context) {
	pause, every := time.Duration(0), c.o.TTL/3
	next := jitter(every)
	for {
		if !clock.Sleep(ctx, next) {
			over, cancel := context.WithTimeout(context.WithoutCancel(ctx), c.try())
			_, _ = c.once(over, coord.Command{Op: coord.Close, Session: c.session}) // else it ends by its time
			cancel()
			return
		}
		sent := c.o.Clock()
		a, err := c.once(ctx, coord.Command{Op: coord.Keep, Session: c.session})
		now := c.o.Clock()
		c.mu.Lock()
		if err == nil && a.Code == coord.OK {
			c.book.Kept(sent, now)
		}
		open := c.book.Open(now)
		c.mu.Unlock()
		if err == nil && a.Code == coord.NoSession || !open {
			c.o.Log.Warn("session lost", "answer", a.Code, "error", err)
			return
		}
		if err == nil && a.Code != coord.OK {
			err = &RefusedError{a}
		}
		if next, pause = jitter(every), 0; err != nil { // sooner again, but not all at once
			pause = min(max(2*pause, leastPause), every)
			next = min(Pause(err, jitter(pause)), every) // later would lose the session
		}
	}
}

// jitter spreads a pause over half of it to one and a half.
func jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(rand.Int64N(int64(d)+1))
}

// once sends a command to the leader as far as it is known, following those who name another, until one has carried it out or
// all have been asked.
func (c *Client) once(ctx context.Context, cmd coord.Command) (coord.Answer, error) {
	return c.onceWithin(ctx, c.try(), cmd)
}

// onceWithin does so with another time for each coordinator to answer.
func (c *Client) onceWithin(ctx context.Context, within time.Duration, cmd coord.Command) (a coord.Answer, err error) {
	text, err := json.Marshal(cmd)
	if err != nil {
		return a, err
	}
	err = c.call(ctx, within, http.MethodPost, "/v1/command", text, &a)
	return a, err
}

// call asks coordinators in turn, the leader first, until one answers for all.
func (c *Client) call(ctx context.Context, within time.Duration, method, path string, body []byte, into any) error {
	c.mu.Lock()
	next := c.leader
	c.mu.Unlock()
	var order []string
	for name := range c.o.Coordinators {
		order = append(order, name)
	}
	rand.Shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
	var errs []error
	failed := map[string]bool{} // these gave no answer, or have reached a bound: they aren't asked again, whoever names them as the leader
	for tries := 0; tries < 2*len(c.o.Coordinators) && ctx.Err() == nil; tries++ {
		if c.o.Coordinators[next] == "" {
			if len(order) == 0 {
				break
			}
			next = order[0]
		}
		order = slices.DeleteFunc(order, func(s string) bool { return s == next })
		hint, err := c.ask(ctx, within, next, method, path, body, into)
		if err == nil {
			c.mu.Lock()
			c.leader = next
			c.mu.Unlock()
			return nil
		}
		errs = append(errs, fmt.Errorf("%s: %w", next, err))
		var elsewhere *elsewhereError
		failed[next] = !errors.As(err, &elsewhere)
		if hint != "" && failed[hint] {
			break // a command that is sent again while it waits there only adds to what has to wait
		}
		if hint == next {
			hint = ""
		}
		next = hint
	}
	c.mu.Lock()
	c.leader = ""
	c.mu.Unlock()
	return errors.Join(append(errs, ctx.Err())...)
}

// elsewhereError is what a coordinator says that doesn't lead.
type elsewhereError struct{ text string }

func (e *elsewhereError) Error() string { return e.text }

// ask asks one coordinator. It returns the leader's name where that one knows another.
func (c *Client) ask(ctx context.Context, within time.Duration, name, method, path string, body []byte, into any) (leader string, err error) {
	if method == http.MethodGet {
		within += watchFor
	}
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.o.Coordinators[name]+path, bytes.NewReader(body))
	if err != nil {
		return "", err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if err != nil {
		return "", err
	}
	c.mu.Lock()
	c.bytes += int64(len(body) + len(text))
	c.mu.Unlock()
	switch resp.StatusCode {
	case http.StatusOK:
		return "", json.Unmarshal(text, into)
	case http.StatusMisdirectedRequest:
		var x struct{ Leader, Text string }
		_ = json.Unmarshal(text, &x) // a body that can't be read names nobody
		return x.Leader, &elsewhereError{x.Text}
	case http.StatusServiceUnavailable:
		return "", retryLater(resp.Header, text)
	}
	return "", fmt.Errorf("%s: %s", resp.Status, bytes.TrimSpace(text))
}

// Bytes is how much was sent and answered so far, bodies only.
func (c *Client) Bytes() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.bytes
}

// outcome is what became of a command.
type outcome struct {
	a     coord.Answer
	first time.Duration // when it was sent first
	in    string        // the session in which it was sent
	err   error
}

// do has a numbered command carried out once, however often it must be sent, and waits for its answer until ctx ends. Where
// the caller doesn't wait any more, the command is settled all the same, and late gets what became of it.
// A command with a session is carried out in that one or not at all (ErrLost).
func (c *Client) do(ctx context.Context, cmd coord.Command, late func(outcome)) outcome {
	c.mu.Lock()
	opened := c.opened
	c.mu.Unlock()
	select {
	case <-opened:
	case <-ctx.Done():
		return outcome{err: c.noSession()}
	}
	select {
	case c.room <- struct{}{}:
	case <-ctx.Done():
		return outcome{err: ctx.Err()}
	}
	if err := c.lockWindow(ctx); err != nil {
		<-c.room
		return outcome{err: err}
	}
	if !c.book.Open(c.o.Clock()) {
		c.mu.Unlock()
		<-c.room
		return outcome{err: ErrNoSession}
	}
	if cmd.Session != "" && cmd.Session != c.session {
		c.mu.Unlock()
		<-c.room
		return outcome{err: ErrLost}
	}
	c.seq++
	cmd.Seq, cmd.Session = c.seq, c.session
	c.under[cmd.Seq] = true
	life, session := c.life, c.session
	got := make(chan outcome)
	gone := make(chan struct{})
	c.wg.Add(1)
	c.mu.Unlock()
	go func() {
		defer c.wg.Done()
		o := c.settle(life, session, cmd)
		<-c.room
		select {
		case got <- o:
		case <-gone:
			if late != nil {
				late(o)
			}
		}
	}()
	select {
	case o := <-got:
		return o
	case <-ctx.Done():
		close(gone)
		return outcome{err: ctx.Err()}
	}
}

// lockWindow locks mu once the next command's number lies within what the coordinators remember beyond the oldest one whose answer
// hasn't come: others may have been answered by the dozen while that one is sent again and again. After an error mu isn't locked.
func (c *Client) lockWindow(ctx context.Context) error {
	for {
		c.mu.Lock()
		oldest := c.seq + 1
		for seq := range c.under {
			oldest = min(oldest, seq)
		}
		if c.seq+1 < oldest+coord.MaxRemembered {
			return nil
		}
		settled := c.settled
		c.mu.Unlock()
		select {
		case <-settled:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// wakeWindow has those look again who wait for room in the window. The caller holds mu.
func (c *Client) wakeWindow() {
	close(c.settled)
	c.settled = make(chan struct{})
}

// noSession is ErrNoSession, with what the coordinators said where they refused one.
func (c *Client) noSession() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.refusal == nil {
		return ErrNoSession
	}
	return fmt.Errorf("%w: %w", ErrNoSession, c.refusal)
}

// settle repeats a command until it is answered or the session is over.
func (c *Client) settle(life context.Context, session string, cmd coord.Command) outcome {
	o := outcome{first: c.o.Clock(), in: session}
	within := c.patience()
	for pause := leastPause; ; pause = min(2*pause, mostPause) {
		c.mu.Lock()
		cmd.Acked = c.seq
		for q := range c.under {
			cmd.Acked = min(cmd.Acked, q-1)
		}
		c.mu.Unlock()
		o.a, o.err = c.onceWithin(life, within.now, cmd)
		within.after(o.err)
		if o.err == nil {
			break
		}
		if !clock.Sleep(life, Pause(o.err, jitter(pause))) {
			o.err = ErrNoSession
			return o
		}
	}
	c.mu.Lock()
	if c.session == session {
		delete(c.under, cmd.Seq)
	}
	c.wakeWindow()
	c.mu.Unlock()
	if o.a.Code != coord.OK {
		o.err = &RefusedError{o.a}
	}
	return o
}

// Lease is one that was acquired.
type Lease struct {
	c       *Client
	session string // in which it was acquired: in another one it isn't held
	Name    string
	Token   uint64
}

// Acquire asks for a lease once. A RefusedError with the code Held tells who holds it.
func (c *Client) Acquire(ctx context.Context, name, purpose string, ttl time.Duration) (*Lease, error) {
	o := c.do(ctx, coord.Command{Op: coord.Acquire, Lease: name, Purpose: purpose, TTL: ttl}, func(o outcome) {
		if o.err == nil { // nobody waits for it any more
			c.mu.Lock()
			life := c.life
			c.mu.Unlock()
			c.do(life, coord.Command{Op: coord.Release, Session: o.in, Lease: name, Token: o.a.Token}, nil)
		}
	})
	if o.err != nil {
		return nil, o.err
	}
	c.mu.Lock()
	ok := c.session == o.in && c.book.Granted(name, o.a.Token, ttl, o.first, c.o.Clock())
	c.mu.Unlock()
	if !ok {
		return nil, ErrLost
	}
	return &Lease{c, o.in, name, o.a.Token}, nil
}

// Left is how much of the lease's time is left now: 0 where it must not be acted on. It is the check before an act; the act
// itself must go through what checks the token, or be harmless twice.
func (l *Lease) Left() time.Duration {
	l.c.mu.Lock()
	defer l.c.mu.Unlock()
	token, left, ok := l.c.book.Held(l.Name, l.c.o.Clock())
	if !ok || token != l.Token {
		return 0
	}
	return left
}

// Context ends margin before the lease's time is out, or once it is lost.
func (l *Lease) Context(parent context.Context, margin time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(parent)
	done := make(chan struct{})
	go func() { // ended by the function that is returned, which waits for it
		defer close(done)
		for {
			left := l.Left() - margin
			if left <= 0 {
				cancel(ErrLost)
				return
			}
			if !clock.Sleep(ctx, min(left, lookAgain)) { // it may be lost before its time
				return
			}
		}
	}()
	return ctx, func() { cancel(context.Canceled); <-done }
}

// Release gives the lease back. Nothing may be acted on it from the call on.
func (l *Lease) Release(ctx context.Context) error {
	l.c.mu.Lock()
	l.c.book.Drop(l.Name, l.Token)
	l.c.mu.Unlock()
	return l.c.do(ctx, coord.Command{Op: coord.Release, Session: l.session, Lease: l.Name, Token: l.Token}, nil).err
}

// HandOver gives the lease to the client of that name, and tells that one's token. Nothing may be acted on it from the call on;
// where it is refused, the lease is this client's to acquire again, and Acquire gives it back at once.
func (l *Lease) HandOver(ctx context.Context, to string) (token uint64, err error) {
	l.c.mu.Lock()
	l.c.book.Drop(l.Name, l.Token)
	l.c.mu.Unlock()
	o := l.c.do(ctx, coord.Command{Op: coord.HandOver, Session: l.session, Lease: l.Name, Token: l.Token, To: to}, nil)
	return o.a.Token, o.err
}

// Write sets the lease's record, if it is still held with its token when the write is carried out: an act that the agreed
// state itself checks.
func (l *Lease) Write(ctx context.Context, record []byte) error {
	return l.c.do(ctx, coord.Command{Op: coord.Write, Session: l.session, Lease: l.Name, Token: l.Token, Record: record}, nil).err
}

// Rows are the leases that are held, of one name or all (""), not older than the call.
func (c *Client) Rows(ctx context.Context, name string) (rows []coord.Row, err error) {
	err = c.call(ctx, c.try(), http.MethodGet, "/v1/leases?name="+url.QueryEscape(name), nil, &rows)
	return rows, err
}

// Under are the leases whose names begin so, not older than the call.
func (c *Client) Under(ctx context.Context, prefix string) (rows []coord.Row, err error) {
	err = c.call(ctx, c.try(), http.MethodGet, "/v1/leases?prefix="+url.QueryEscape(prefix), nil, &rows)
	return rows, err
}

// Roll has a command about who may be out carried out. An error is a RefusedError where the coordinators refused it.
func (c *Client) Roll(ctx context.Context, cmd rollout.Command) (coord.Answer, error) {
	o := c.do(ctx, coord.Command{Op: coord.Roll, Roll: &cmd}, nil)
	return o.a, o.err
}

// Rollout tells who is out, once it is newer than the version after or some seconds have passed; at once for 0.
func (c *Client) Rollout(ctx context.Context, after uint64) (r rollout.Report, err error) {
	err = c.call(ctx, c.try(), http.MethodGet, fmt.Sprintf("/v1/rollout?after=%d", after), nil, &r)
	return r, err
}

// Drains tells which servers are drained, once that is newer than the version after or some seconds have passed; at once for 0.
func (c *Client) Drains(ctx context.Context, after uint64) (d rollout.DrainSet, err error) {
	err = c.call(ctx, c.try(), http.MethodGet, fmt.Sprintf("/v1/drains?after=%d", after), nil, &d)
	return d, err
}

// NextDrains waits as Drains does, also for the first version after 0: while nothing was ever drained nobody asks again and again.
func (c *Client) NextDrains(ctx context.Context, after uint64) (d rollout.DrainSet, err error) {
	err = c.call(ctx, c.try(), http.MethodGet, fmt.Sprintf("/v1/drains?after=%d&wait=true", after), nil, &d)
	return d, err
}

// Put has a document of the agreed configuration put, and tells its revision. An error is a RefusedError where the coordinators
// refused it; with the code Conflict it tells the document's revision.
func (c *Client) Put(ctx context.Context, put coord.DocumentPut) (revision uint64, err error) {
	o := c.do(ctx, coord.Command{Op: coord.Put, Document: &put}, nil)
	return o.a.Revision, o.err
}

// History tells what the coordinators keep of a document's changes, the oldest first, not older than the call.
func (c *Client) History(ctx context.Context, name string) (history []watchlog.Change, err error) {
	err = c.call(ctx, c.try(), http.MethodGet, protocol.HistoryPath+"?name="+url.QueryEscape(name), nil, &history)
	return history, err
}

// Documents lists the documents whose names begin with prefix, not older than the call.
func (c *Client) Documents(ctx context.Context, prefix string) (rows []protocol.DocumentRow, err error) {
	err = c.call(ctx, c.try(), http.MethodGet, protocol.DocumentsPath+"?prefix="+url.QueryEscape(prefix), nil, &rows)
	return rows, err
}

// Session is the id of the session that is there; "" where none is.
func (c *Client) Session() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.book.Open(c.o.Clock()) {
		return ""
	}
	return c.session
}

// Watch waits until a lease is held with another token (0: is free), for some seconds at most.
func (c *Client) Watch(ctx context.Context, name string, token uint64) error {
	ctx, cancel := context.WithTimeout(ctx, watchFor)
	defer cancel()
	var a coord.Answer
	return c.call(ctx, c.try(), http.MethodGet, fmt.Sprintf("/v1/watch?lease=%s&token=%d", url.QueryEscape(name), token), nil, &a)
}

// Hold waits until the lease is held, runs f under it, and gives it back; f's context ends margin before the lease's time is
// out. It returns f's error, or why there is no lease once ctx has ended.
func (c *Client) Hold(ctx context.Context, name, purpose string, ttl, margin time.Duration, f func(context.Context, *Lease) error) error {
	for pause := leastPause; ; {
		l, err := c.Acquire(ctx, name, purpose, ttl)
		if err == nil {
			inner, end := l.Context(ctx, margin)
			err := f(inner, l)
			end()
			over, cancel := context.WithTimeout(context.WithoutCancel(ctx), c.try())
			defer cancel()
			_ = l.Release(over) // else it ends by its time
			return err
		}
		var held *RefusedError
		switch {
		case ctx.Err() != nil:
			return errors.Join(err, ctx.Err())
		case errors.As(err, &held) && held.Code == coord.Held:
			if c.Watch(ctx, name, held.Token) == nil {
				pause = leastPause
				if !clock.Sleep(ctx, jitter(pause)) { // who waits for the same doesn't come all at once
					return ctx.Err()
				}
				continue
			}
		case errors.As(err, &held) && held.Code == coord.Bad:
			return err
		}
		if !clock.Sleep(ctx, Pause(err, jitter(pause))) {
			return errors.Join(err, ctx.Err())
		}
		pause = min(2*pause, mostPause)
	}
}

// ErrNotLeader tells that another coordinator must be asked.
var ErrNotLeader = errors.New("not the leader")

// Call asks one coordinator at addr, for operators' tools: body and into are JSON, and nil where there is none.
func Call(ctx context.Context, method, addr, path string, body, into any) error {
	var text []byte
	if body != nil {
		var err error
		if text, err = json.Marshal(body); err != nil {
			return err
		}
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, bytes.NewReader(text))
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	got, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	switch {
	case err != nil:
		return err
	case resp.StatusCode == http.StatusMisdirectedRequest:
		return ErrNotLeader
	case resp.StatusCode != http.StatusOK:
		var x struct{ Text string }
		if json.Unmarshal(got, &x) == nil && x.Text != "" {
			return errors.New(x.Text)
		}
		return fmt.Errorf("%s: %s", resp.Status, bytes.TrimSpace(got))
	case into == nil:
		return nil
	}
	return json.Unmarshal(got, into)
}
