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
	Coordinators         map[string]string    // addresses for clients, by name
	ClientName           string               // its name, by which leases are handed over
	TTL                  time.Duration        // of the session
	RequestTimeoutMillis int                  // one coordinator is given so long to answer; 0: a sixth of TTL, 1 s at most
	Clock                func() time.Duration // nil: clock.Now
	Log                  *slog.Logger

	// Dial opens a connection; nil: a net.Dialer with a second's timeout. Tools that count bytes wrap it.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Bounds of a client.
const (
	maxCommandsInFlight = coord.MaxCachedResponses / 2 // commands of a session under way at once
	maxResponseBytes    = 8 << 20                      // bytes
	minRetryPause       = 20 * time.Millisecond        // before a further try, doubled each time
	maxRetryPause       = time.Second
	watchDuration       = 10 * time.Second
	leaseCheckInterval  = 100 * time.Millisecond // whether a lease under which something runs is still there
)

// Errors of a client.
var (
	ErrNoSession = errors.New("no session with the coordinators")
	ErrLeaseLost = errors.New("the lease's time is out")
)

// RejectedError is what the coordinators answered where it is no OK. With the code NoSession it isn't known whether the command was
// carried out: an earlier sending of it may have been, and what a session was answered is forgotten when it ends.
type RejectedError struct{ coord.Response }

// Client is a session with what it holds.
type Client struct {
	options      Options
	http         *http.Client
	commandSlots chan struct{}
	wg           sync.WaitGroup

	mu               sync.Mutex // guards what follows
	leases           LeaseTable
	sessionID        string        // its id; also while it is not known whether it is there
	sessionReady     chan struct{} // closed once a session is there; a new one after each loss
	sessionContext   context.Context
	lastSequence     uint64
	pending          map[uint64]bool // commands whose answer has not come
	windowMoved      chan struct{}   // closed, and replaced, once one of them is settled or the session is another
	leader           string
	sessionError     error // why there is no session, by the coordinators
	transferredBytes int64 // of all that was sent and answered
}

// New prepares a client; Run makes it live.
func New(o Options) *Client {
	if o.Clock == nil {
		o.Clock = clock.Now
	}
	if o.RequestTimeoutMillis == 0 {
		o.RequestTimeoutMillis = int(min(o.TTL/6, time.Second).Milliseconds())
	}
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	if o.Dial == nil {
		o.Dial = (&net.Dialer{Timeout: time.Second}).DialContext
	}
	return &Client{options: o, commandSlots: make(chan struct{}, maxCommandsInFlight), sessionReady: make(chan struct{}), pending: map[uint64]bool{}, windowMoved: make(chan struct{}),
		http: &http.Client{Transport: &http.Transport{DialContext: o.Dial, MaxConnsPerHost: 2 * maxCommandsInFlight,
			MaxIdleConnsPerHost: 4, IdleConnTimeout: time.Minute, DisableCompression: true}}}
}

// Run opens a session, keeps it, and opens another where it was lost, until ctx ends; then it closes it.
func (c *Client) Run(ctx context.Context) {
	defer c.http.CloseIdleConnections()
	defer c.wg.Wait()
	for ctx.Err() == nil {
		life, end := context.WithCancel(ctx)
		if c.openSession(life) {
			c.keepSessionAlive(life)
		}
		c.mu.Lock()
		c.leases.SessionLost()
		c.sessionReady = make(chan struct{})
		c.mu.Unlock()
		end()
	}
}

// openSession asks for a session with a new id until there is one.
func (c *Client) openSession(ctx context.Context) bool {
	raw := make([]byte, 16)
	_, _ = crand.Read(raw) // never fails
	id := hex.EncodeToString(raw)
	c.mu.Lock()
	c.sessionID, c.lastSequence, c.pending, c.sessionContext = id, 0, map[uint64]bool{}, ctx
	c.wakeWindow()
	c.mu.Unlock()
	within := c.newRequestTimeout()
	for pause := minRetryPause; ctx.Err() == nil; pause = min(2*pause, maxRetryPause) {
		// Each try counts from its own sending: the coordinators count the newest that they carried out.
		sent := c.options.Clock()
		a, err := c.sendWithin(ctx, within.current, coord.Command{Op: coord.OpOpenSession, SessionID: id, Client: c.options.ClientName, TTL: c.options.TTL})
		within.observe(err)
		switch {
		case err == nil && a.Code == coord.CodeOK:
			c.mu.Lock()
			c.leases.SessionOpened(c.options.TTL, sent, c.options.Clock())
			ok := c.leases.HasSession(c.options.Clock())
			if ok {
				c.sessionError = nil
				close(c.sessionReady)
			}
			c.mu.Unlock()
			if ok {
				return true
			}
		case err == nil:
			c.options.Log.Warn("no session", "answer", a.Error())
			pause = maxRetryPause
			err = &RejectedError{a}
		}
		c.mu.Lock()
		c.sessionError = err
		c.mu.Unlock()
		if !clock.Sleep(ctx, RetryDelay(err, jitter(pause))) {
			return false
		}
	}
	return false
}

// keepSessionAlive keeps the session until it is lost or ctx ends; then it is closed.
func (c *Client) keepSessionAlive(ctx context.Context) {
	pause, every := time.Duration(0), c.options.TTL/3
	next := jitter(every)
	for {
		if !clock.Sleep(ctx, next) {
			over, cancel := context.WithTimeout(context.WithoutCancel(ctx), c.baseRequestTimeout())
			_, _ = c.send(over, coord.Command{Op: coord.OpCloseSession, SessionID: c.sessionID}) // else it ends by its time
			cancel()
			return
		}
		sent := c.options.Clock()
		a, err := c.send(ctx, coord.Command{Op: coord.OpKeepAlive, SessionID: c.sessionID})
		now := c.options.Clock()
		c.mu.Lock()
		if err == nil && a.Code == coord.CodeOK {
			c.leases.KeptAlive(sent, now)
		}
		open := c.leases.HasSession(now)
		c.mu.Unlock()
		if err == nil && a.Code == coord.CodeNoSession || !open {
			c.options.Log.Warn("session lost", "answer", a.Code, "error", err)
			return
		}
		if err == nil && a.Code != coord.CodeOK {
			err = &RejectedError{a}
		}
		if next, pause = jitter(every), 0; err != nil { // sooner again, but not all at once
			pause = min(max(2*pause, minRetryPause), every)
			next = min(RetryDelay(err, jitter(pause)), every) // later would lose the session
		}
	}
}

// jitter spreads a pause over half of it to one and a half.
func jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(rand.Int64N(int64(d)+1))
}

// send sends a command to the leader as far as it is known, following those who name another, until one has carried it out or
// all have been asked.
func (c *Client) send(ctx context.Context, cmd coord.Command) (coord.Response, error) {
	return c.sendWithin(ctx, c.baseRequestTimeout(), cmd)
}

// sendWithin does so with another time for each coordinator to answer.
func (c *Client) sendWithin(ctx context.Context, within time.Duration, cmd coord.Command) (a coord.Response, err error) {
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
	for name := range c.options.Coordinators {
		order = append(order, name)
	}
	rand.Shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
	var errs []error
	failed := map[string]bool{} // these gave no answer, or have reached a bound: they aren't asked again, whoever names them as the leader
	for tries := 0; tries < 2*len(c.options.Coordinators) && ctx.Err() == nil; tries++ {
		if c.options.Coordinators[next] == "" {
			if len(order) == 0 {
				break
			}
			next = order[0]
		}
		order = slices.DeleteFunc(order, func(s string) bool { return s == next })
		hint, err := c.requestOne(ctx, within, next, method, path, body, into)
		if err == nil {
			c.mu.Lock()
			c.leader = next
			c.mu.Unlock()
			return nil
		}
		errs = append(errs, fmt.Errorf("%s: %w", next, err))
		var elsewhere *redirectError
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

// redirectError is what a coordinator says that doesn't lead.
type redirectError struct{ text string }

func (e *redirectError) Error() string { return e.text }

// requestOne asks one coordinator. It returns the leader's name where that one knows another.
func (c *Client) requestOne(ctx context.Context, within time.Duration, name, method, path string, body []byte, into any) (leader string, err error) {
	if method == http.MethodGet {
		within += watchDuration
	}
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.options.Coordinators[name]+path, bytes.NewReader(body))
	if err != nil {
		return "", err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return "", err
	}
	c.mu.Lock()
	c.transferredBytes += int64(len(body) + len(text))
	c.mu.Unlock()
	switch resp.StatusCode {
	case http.StatusOK:
		return "", json.Unmarshal(text, into)
	case http.StatusMisdirectedRequest:
		var x struct{ Leader, Text string }
		_ = json.Unmarshal(text, &x) // a body that can't be read names nobody
		return x.Leader, &redirectError{x.Text}
	case http.StatusServiceUnavailable:
		return "", retryLater(resp.Header, text)
	}
	return "", fmt.Errorf("%s: %s", resp.Status, bytes.TrimSpace(text))
}

// TransferredBytes is how much was sent and answered so far, bodies only.
func (c *Client) TransferredBytes() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.transferredBytes
}

// outcome is what became of a command.
type outcome struct {
	response    coord.Response
	firstSentAt time.Duration // when it was sent first
	sessionID   string        // the session in which it was sent
	err         error
}

// execute has a numbered command carried out once, however often it must be sent, and waits for its answer until ctx ends. Where
// the caller doesn't wait any more, the command is settled all the same, and late gets what became of it.
// A command with a session is carried out in that one or not at all (ErrLost).
func (c *Client) execute(ctx context.Context, cmd coord.Command, late func(outcome)) outcome {
	c.mu.Lock()
	opened := c.sessionReady
	c.mu.Unlock()
	select {
	case <-opened:
	case <-ctx.Done():
		return outcome{err: c.noSessionError()}
	}
	select {
	case c.commandSlots <- struct{}{}:
	case <-ctx.Done():
		return outcome{err: ctx.Err()}
	}
	if err := c.lockWindow(ctx); err != nil {
		<-c.commandSlots
		return outcome{err: err}
	}
	if !c.leases.HasSession(c.options.Clock()) {
		c.mu.Unlock()
		<-c.commandSlots
		return outcome{err: ErrNoSession}
	}
	if cmd.SessionID != "" && cmd.SessionID != c.sessionID {
		c.mu.Unlock()
		<-c.commandSlots
		return outcome{err: ErrLeaseLost}
	}
	c.lastSequence++
	cmd.Sequence, cmd.SessionID = c.lastSequence, c.sessionID
	c.pending[cmd.Sequence] = true
	life, session := c.sessionContext, c.sessionID
	got := make(chan outcome)
	gone := make(chan struct{})
	c.wg.Add(1)
	c.mu.Unlock()
	go func() {
		defer c.wg.Done()
		o := c.repeatUntilAnswered(life, session, cmd)
		<-c.commandSlots
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
		oldest := c.lastSequence + 1
		for seq := range c.pending {
			oldest = min(oldest, seq)
		}
		if c.lastSequence+1 < oldest+coord.MaxCachedResponses {
			return nil
		}
		settled := c.windowMoved
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
	close(c.windowMoved)
	c.windowMoved = make(chan struct{})
}

// noSessionError is ErrNoSession, with what the coordinators said where they refused one.
func (c *Client) noSessionError() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sessionError == nil {
		return ErrNoSession
	}
	return fmt.Errorf("%w: %w", ErrNoSession, c.sessionError)
}

// repeatUntilAnswered repeats a command until it is answered or the session is over.
func (c *Client) repeatUntilAnswered(life context.Context, session string, cmd coord.Command) outcome {
	o := outcome{firstSentAt: c.options.Clock(), sessionID: session}
	within := c.newRequestTimeout()
	for pause := minRetryPause; ; pause = min(2*pause, maxRetryPause) {
		c.mu.Lock()
		cmd.AcknowledgedThrough = c.lastSequence
		for q := range c.pending {
			cmd.AcknowledgedThrough = min(cmd.AcknowledgedThrough, q-1)
		}
		c.mu.Unlock()
		o.response, o.err = c.sendWithin(life, within.current, cmd)
		within.observe(o.err)
		if o.err == nil {
			break
		}
		if !clock.Sleep(life, RetryDelay(o.err, jitter(pause))) {
			o.err = ErrNoSession
			return o
		}
	}
	c.mu.Lock()
	if c.sessionID == session {
		delete(c.pending, cmd.Sequence)
	}
	c.wakeWindow()
	c.mu.Unlock()
	if o.response.Code != coord.CodeOK {
		o.err = &RejectedError{o.response}
	}
	return o
}

// Lease is one that was acquired.
type Lease struct {
	client    *Client
	sessionID string // in which it was acquired: in another one it isn't held
	Name      string
	Token     uint64
}

// Acquire asks for a lease once. A RefusedError with the code Held tells who holds it.
func (c *Client) Acquire(ctx context.Context, name, purpose string, ttl time.Duration) (*Lease, error) {
	o := c.execute(ctx, coord.Command{Op: coord.OpAcquire, Lease: name, Purpose: purpose, TTL: ttl}, func(o outcome) {
		if o.err == nil { // nobody waits for it any more
			c.mu.Lock()
			life := c.sessionContext
			c.mu.Unlock()
			c.execute(life, coord.Command{Op: coord.OpRelease, SessionID: o.sessionID, Lease: name, Token: o.response.Token}, nil)
		}
	})
	if o.err != nil {
		return nil, o.err
	}
	c.mu.Lock()
	ok := c.sessionID == o.sessionID && c.leases.Granted(name, o.response.Token, ttl, o.firstSentAt, c.options.Clock())
	c.mu.Unlock()
	if !ok {
		return nil, ErrLeaseLost
	}
	return &Lease{c, o.sessionID, name, o.response.Token}, nil
}

// Remaining is how much of the lease's time is left now: 0 where it must not be acted on. It is the check before an act; the act
// itself must go through what checks the token, or be harmless twice.
func (l *Lease) Remaining() time.Duration {
	l.client.mu.Lock()
	defer l.client.mu.Unlock()
	token, left, ok := l.client.leases.Held(l.Name, l.client.options.Clock())
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
			left := l.Remaining() - margin
			if left <= 0 {
				cancel(ErrLeaseLost)
				return
			}
			if !clock.Sleep(ctx, min(left, leaseCheckInterval)) { // it may be lost before its time
				return
			}
		}
	}()
	return ctx, func() { cancel(context.Canceled); <-done }
}

// Release gives the lease back. Nothing may be acted on it from the call on.
func (l *Lease) Release(ctx context.Context) error {
	l.client.mu.Lock()
	l.client.leases.Forget(l.Name, l.Token)
	l.client.mu.Unlock()
	return l.client.execute(ctx, coord.Command{Op: coord.OpRelease, SessionID: l.sessionID, Lease: l.Name, Token: l.Token}, nil).err
}

// Transfer gives the lease to the client of that name, and tells that one's token. Nothing may be acted on it from the call on;
// where it is refused, the lease is this client's to acquire again, and Acquire gives it back at once.
func (l *Lease) Transfer(ctx context.Context, to string) (token uint64, err error) {
	l.client.mu.Lock()
	l.client.leases.Forget(l.Name, l.Token)
	l.client.mu.Unlock()
	o := l.client.execute(ctx, coord.Command{Op: coord.OpTransfer, SessionID: l.sessionID, Lease: l.Name, Token: l.Token, Successor: to}, nil)
	return o.response.Token, o.err
}

// WriteRecord sets the lease's record, if it is still held with its token when the write is carried out: an act that the agreed
// state itself checks.
func (l *Lease) WriteRecord(ctx context.Context, record []byte) error {
	return l.client.execute(ctx, coord.Command{Op: coord.OpWriteRecord, SessionID: l.sessionID, Lease: l.Name, Token: l.Token, Record: record}, nil).err
}

// ListLeases are the leases that are held, of one name or all (""), not older than the call.
func (c *Client) ListLeases(ctx context.Context, name string) (rows []coord.LeaseStatus, err error) {
	err = c.call(ctx, c.baseRequestTimeout(), http.MethodGet, "/v1/leases?name="+url.QueryEscape(name), nil, &rows)
	return rows, err
}

// ListLeasesWithPrefix are the leases whose names begin so, not older than the call.
func (c *Client) ListLeasesWithPrefix(ctx context.Context, prefix string) (rows []coord.LeaseStatus, err error) {
	err = c.call(ctx, c.baseRequestTimeout(), http.MethodGet, "/v1/leases?prefix="+url.QueryEscape(prefix), nil, &rows)
	return rows, err
}

// ExecuteRollout has a command about who may be out carried out. An error is a RefusedError where the coordinators refused it.
func (c *Client) ExecuteRollout(ctx context.Context, cmd rollout.Command) (coord.Response, error) {
	o := c.execute(ctx, coord.Command{Op: coord.OpRollout, Rollout: &cmd}, nil)
	return o.response, o.err
}

// RolloutReport tells who is out, once it is newer than the version after or some seconds have passed; at once for 0.
func (c *Client) RolloutReport(ctx context.Context, after uint64) (r rollout.Report, err error) {
	err = c.call(ctx, c.baseRequestTimeout(), http.MethodGet, fmt.Sprintf("/v1/rollout?after=%d", after), nil, &r)
	return r, err
}

// Drains tells which servers are drained, once that is newer than the version after or some seconds have passed; at once for 0.
func (c *Client) Drains(ctx context.Context, after uint64) (d rollout.DrainSet, err error) {
	err = c.call(ctx, c.baseRequestTimeout(), http.MethodGet, fmt.Sprintf("/v1/drains?after=%d", after), nil, &d)
	return d, err
}

// WatchDrains waits as Drains does, also for the first version after 0: while nothing was ever drained nobody asks again and again.
func (c *Client) WatchDrains(ctx context.Context, after uint64) (d rollout.DrainSet, err error) {
	err = c.call(ctx, c.baseRequestTimeout(), http.MethodGet, fmt.Sprintf("/v1/drains?after=%d&wait=true", after), nil, &d)
	return d, err
}

// PutDocument has a document of the agreed configuration put, and tells its revision. An error is a RefusedError where the coordinators
// refused it; with the code Conflict it tells the document's revision.
func (c *Client) PutDocument(ctx context.Context, put coord.DocumentPut) (revision uint64, err error) {
	o := c.execute(ctx, coord.Command{Op: coord.OpPutDocument, Document: &put}, nil)
	return o.response.Revision, o.err
}

// DocumentHistory tells what the coordinators keep of a document's changes, the oldest first, not older than the call.
func (c *Client) DocumentHistory(ctx context.Context, name string) (history []watchlog.Change, err error) {
	err = c.call(ctx, c.baseRequestTimeout(), http.MethodGet, protocol.HistoryPath+"?name="+url.QueryEscape(name), nil, &history)
	return history, err
}

// ListDocuments lists the documents whose names begin with prefix, not older than the call.
func (c *Client) ListDocuments(ctx context.Context, prefix string) (rows []protocol.DocumentRow, err error) {
	err = c.call(ctx, c.baseRequestTimeout(), http.MethodGet, protocol.DocumentsPath+"?prefix="+url.QueryEscape(prefix), nil, &rows)
	return rows, err
}

// SessionID is the id of the session that is there; "" where none is.
func (c *Client) SessionID() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.leases.HasSession(c.options.Clock()) {
		return ""
	}
	return c.sessionID
}

// WatchLease waits until a lease is held with another token (0: is free), for some seconds at most.
func (c *Client) WatchLease(ctx context.Context, name string, token uint64) error {
	ctx, cancel := context.WithTimeout(ctx, watchDuration)
	defer cancel()
	var a coord.Response
	return c.call(ctx, c.baseRequestTimeout(), http.MethodGet, fmt.Sprintf("/v1/watch?lease=%s&token=%d", url.QueryEscape(name), token), nil, &a)
}

// RunWithLease waits until the lease is held, runs f under it, and gives it back; f's context ends margin before the lease's time is
// out. It returns f's error, or why there is no lease once ctx has ended.
func (c *Client) RunWithLease(ctx context.Context, name, purpose string, ttl, margin time.Duration, f func(context.Context, *Lease) error) error {
	for pause := minRetryPause; ; {
		l, err := c.Acquire(ctx, name, purpose, ttl)
		if err == nil {
			inner, end := l.Context(ctx, margin)
			err := f(inner, l)
			end()
			over, cancel := context.WithTimeout(context.WithoutCancel(ctx), c.baseRequestTimeout())
			defer cancel()
			_ = l.Release(over) // else it ends by its time
			return err
		}
		var held *RejectedError
		switch {
		case ctx.Err() != nil:
			return errors.Join(err, ctx.Err())
		case errors.As(err, &held) && held.Code == coord.CodeHeld:
			if c.WatchLease(ctx, name, held.Token) == nil {
				pause = minRetryPause
				if !clock.Sleep(ctx, jitter(pause)) { // who waits for the same doesn't come all at once
					return ctx.Err()
				}
				continue
			}
		case errors.As(err, &held) && held.Code == coord.CodeInvalid:
			return err
		}
		if !clock.Sleep(ctx, RetryDelay(err, jitter(pause))) {
			return errors.Join(err, ctx.Err())
		}
		pause = min(2*pause, maxRetryPause)
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
	got, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
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
