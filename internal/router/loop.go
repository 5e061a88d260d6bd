package router

import (
	"container/heap"
	"context"
	"log/slog"
	"math"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"dockhinge.example/dockhinge/decide"
	"dockhinge.example/dockhinge/internal/metrics"
	"dockhinge.example/dockhinge/internal/mutant"
	"dockhinge.example/dockhinge/internal/probing"
	"dockhinge.example/dockhinge/internal/rollout"
	"dockhinge.example/dockhinge/internal/trace"
)

// clock is one monotonic clock in milliseconds on which the starts of servers lie too: it counts from 1970 but steps
// with no one. So no real start is 0, which means long ago, or below it.
type clock struct{ start time.Time }

func (c clock) now() float64 {
	return float64(c.start.UnixMicro())/1000 + float64(time.Since(c.start).Microseconds())/1000
}

// loop owns the Balancer, the requests and the timers: everything here runs on its one goroutine but post. It is the
// Balancer's Host, and no method of it blocks.
type loop struct {
	clock
	b          *decide.Balancer
	up         *upstreams
	disc       *discovery // the one that is heard
	metrics    *metrics.Router
	originKind string
	rules      atomic.Pointer[rules] // what requests that arrive now come under
	first      func()                // goes before all else
	events     chan func()
	urgent     chan func()   // goes before events: what operators ask for
	done       chan struct{} // closed when the loop has ended: events no longer count
	ctx        context.Context
	work       sync.WaitGroup // attempts and probes, which end soon after ctx
	timers     timerHeap
	later      []func() // what a Host method has caused: the Balancer must not be called from within its call
	reqs       map[uint32]*request
	lastID     uint32
	open       map[string]*request // those that are not answered, by their client's id
	held       budget              // bytes of the values of requests in hand
	queued     budget              // bytes of answers that no client has taken yet
	targets    map[uint32]*target
	entries    map[string]entry // the list as it is held,
	version    int64            // and its version
	floor      floor
	names      names
	byHand     map[string]bool // servers that are left out by hand,
	agreed     map[string]bool // and by what the fleet agrees on; both bounded by maxNames
	memory     int64           // bytes that the router may take
	ready      atomic.Bool     // a list is held
	answerBy   instant         // when all that is open has to have its answer, as the process is told to end
	trace      *trace.Trace
	board      *probing.Board     // what other routers' probes told; nil = each probes by itself
	admission  *admission         // nil = every request goes to the Balancer
	told       map[uint32]float64 // servers that others found bad, and until when that counts,
	hearsay    map[uint32]bool    // and those of which this router knows nothing else
	feeding    bool               // the Balancer is told of the former again
	speed      *speeds            // nil = nobody wants it
}

// request is a request from its arrival until it is answered and its attempts are back.
type request struct {
	id    uint32
	cmd   command
	until float64
	slot  *slot
	due   *timer // the last moment for an answer
	over  bool   // has its final answer, or its client has gone
	tries []*attempt
	rule  *rule
	most  int     // attempts, and
	two   bool    // whether two may be out at once: as the settings were on arrival
	door  int     // where it stands before the Balancer
	came  float64 // when it came
	began float64 // when it was let in
	work  float64 // ms that its attempts have taken
	out   int
}

// speeds counts the requests served by how much of their aim they took.
type speeds [rollout.SpeedBuckets]atomic.Int64

// attempt is one attempt of a request.
type attempt struct {
	r      *request
	n      int
	server uint32
	at     float64
	over   bool          // has its outcome; what comes later is nobody's
	ran    bool          // may have run, until its outcome proves the contrary
	ending bool          // is given up, though written: its outcome, once its connection is closed,
	as     decide.Status // is this, unless it was served just then
	stop   context.CancelFunc
	due    *timer
	phase  atomic.Int32
}

// The phases of an attempt. It leaves phaseOpening once, either way.
const (
	phaseOpening = iota // nothing is written
	phaseWriting        // may have run from here on
	phaseOff            // and will never be written
)

// budget bounds the bytes that are kept for one purpose.
type budget struct {
	used  atomic.Int64
	limit atomic.Int64
}

// take takes n bytes if there is room.
func (b *budget) take(n int) bool {
	if b.used.Add(int64(n)) <= b.limit.Load() {
		return true
	}
	b.give(n)
	return false
}

func (b *budget) add(n int)  { b.used.Add(int64(n)) }
func (b *budget) give(n int) { b.used.Add(-int64(n)) }

// rules are what the settings say of requests. They are replaced as a whole.
type rules struct {
	classes map[string]*rule
	most    int
	copies  bool
	tells   bool    // clients are told how long to stay away
	away    float64 // how long one stays away that there is no room for
}

// rule is what the settings say of a class, and its counts.
type rule struct {
	decide.Class
	count *metrics.Class
}

func newRules(s decide.Config, m *metrics.Router) *rules {
	r := &rules{classes: map[string]*rule{}, most: s.MaxAttempts, copies: s.Copies, tells: s.RetryAfter, away: s.LeastAway()}
	for _, c := range s.Classes {
		r.classes[c.Name] = &rule{c, m.Class(c.Name)}
	}
	return r
}

// reconfigure takes the settings of a new configuration, or tells why not.
func (l *loop) reconfigure(cfg *Config) error {
	if err := l.admission.check(cfg); err != nil {
		return err
	}
	if err := l.b.Reconfigure(l.now(), cfg.settings.Config); err != nil {
		return err
	}
	l.admission.reconfigure(cfg)
	l.rules.Store(newRules(cfg.settings.Config, l.metrics))
	l.up.retime(ms(cfg.settings.Config.ConnIdle), ms(cfg.settings.ConnectTimeout))
	return nil
}

// grace after a client's deadline within which the answer to a time-out at the deadline comes.
const grace = 15

func newLoop(cfg *Config, up *upstreams, m *metrics.Router) (*loop, error) {
	s := cfg.settings.Config
	l := &loop{clock: clock{time.Now()}, up: up, trace: cfg.Trace, metrics: m, urgent: make(chan func(), 32), originKind: s.OriginKind, events: make(chan func(), 1024),
		done: make(chan struct{}), reqs: map[uint32]*request{}, targets: map[uint32]*target{}, open: map[string]*request{}, byHand: map[string]bool{}, agreed: map[string]bool{}, hearsay: map[uint32]bool{}}
	l.rules.Store(newRules(s, m))
	l.memory = cfg.Limits.MemoryMB << 20
	l.share(1)
	var err error
	if l.b, err = decide.New(s, cfg.seed, l); err == nil && cfg.Admission != nil {
		l.admission, err = newAdmission(l, cfg)
	}
	return l, err
}

// share leaves this process an equal part of the memory, while several processes are one router. A value is in memory
// up to three times, as it came and as it goes out.
func (l *loop) share(processes int) {
	part := l.memory / int64(processes)
	l.held.limit.Store(part / 16)
	l.queued.limit.Store(part / 8)
}

// post hands an event to the loop.
func (l *loop) post(event func()) {
	select {
	case l.events <- event:
	case <-l.done:
	}
}

// run carries out events and timers until ctx ends.
func (l *loop) run(ctx context.Context) {
	defer close(l.done)
	l.ctx = ctx
	alarm := time.NewTimer(0)
	defer alarm.Stop()
	if l.first != nil {
		l.first()
	}
	l.report()
	for {
		select {
		case event := <-l.urgent:
			event()
			l.settle()
		default:
		}
		if len(l.timers) > 0 {
			alarm.Reset(time.Duration(max(0, l.timers[0].at-l.now()) * float64(time.Millisecond)))
		}
		select {
		case <-ctx.Done():
			return
		case event := <-l.urgent:
			event()
		case event := <-l.events:
			event()
		case <-alarm.C:
		}
		l.settle()
		for len(l.timers) > 0 && l.timers[0].at <= l.now() {
			heap.Pop(&l.timers).(*timer).do()
			l.settle()
		}
	}
}

// settle carries out what Host methods have caused.
func (l *loop) settle() {
	for len(l.later) > 0 {
		do := l.later[0]
		l.later = l.later[1:]
		do()
	}
}

// check tells what is wrong with a command for this deployment. It may be called from any goroutine.
func (l *loop) check(cmd *command) error {
	if cmd.verb != "mg" && cmd.verb != "ms" {
		return nil
	}
	c := l.rules.Load().classes[cmd.class]
	switch {
	case c == nil:
		return malformed("class %.40q", cmd.class)
	case c.Effect == decide.Keyed && cmd.idem == "":
		return malformed("class %s takes k", cmd.class)
	}
	return nil
}

// room takes the bytes that a request's value needs, and tells whether there are any. It may be called from any
// goroutine.
func (l *loop) room(cmd *command) bool {
	if cmd.kept = cmd.length; cmd.length > maxWhole {
		cmd.kept = lastPiece
	}
	return l.queued.used.Load() < l.queued.limit.Load() && l.held.take(cmd.kept)
}

// letGo gives up what is held of a request's value. It may be called from any goroutine.
func (l *loop) letGo(cmd *command) {
	l.held.give(cmd.kept)
	cmd.up.close()
}

// arrive takes a request of a client that was read at the given time.
func (l *loop) arrive(cmd command, read float64, s *slot) {
	if l.open[cmd.id] != nil { // cache servers would take the one for the other
		l.letGo(&cmd)
		s.answer([]byte("CLIENT_ERROR the id of an open request\r\n"))
		return
	}
	rules := l.rules.Load()
	rule := rules.classes[cmd.class]
	if rule == nil || rule.Effect == decide.Keyed && cmd.idem == "" { // the settings have just changed
		l.letGo(&cmd)
		s.answer([]byte("CLIENT_ERROR the class has changed\r\n"))
		return
	}
	for l.lastID++; l.reqs[l.lastID] != nil; l.lastID++ { // ids are reused after 2^32 requests
	}
	now := l.now()
	// No client waits longer than its class allows: nor does the record of one that says so.
	left := max(0, min(cmd.wait, rule.Deadline)-(now-read))
	left = max(0, min(left, l.answerBy.load()-grace-now))
	r := &request{id: l.lastID, cmd: cmd, came: now, until: now + left, slot: s, rule: rule, most: rules.most, two: rules.copies}
	l.metrics.Concurrent.Add(1)
	l.reqs[r.id], l.open[cmd.id], s.req = r, r, r
	if l.trace.On() {
		l.trace.Event(now, "ask", "r=%d class=%s key=%x retry=%t left=%.0f", r.id, cmd.class, keyID(cmd.key), cmd.retry, left)
	}
	r.due = l.after(left+grace, func() { l.overdue(r) })
	if l.admission != nil {
		l.admission.arrive(r, left)
		return
	}
	l.decide(now, r)
}

// overdue answers a request for which the Balancer owes an answer even at its deadline: the client still gets one in time.
func (l *loop) overdue(r *request) {
	slog.Warn("no answer by its deadline", "request", r.cmd.id)
	l.Fail(r.id)
	l.b.Gone(l.now(), r.id)
}

// endBy has all that is open, and all that comes, answered by then: the process ends, and what it has not answered is lost.
func (l *loop) endBy(at float64) {
	l.answerBy.set(at)
	for _, r := range l.reqs {
		if !r.over && r.due.at > at {
			l.timers.stop(r.due)
			r.due = l.after(at-l.now(), func() { l.overdue(r) })
		}
	}
}

// decide hands a request to the Balancer.
func (l *loop) decide(now float64, r *request) {
	cmd := &r.cmd
	l.b.Request(now, decide.Request{ID: r.id, Class: cmd.class, Tenant: cmd.tenant, Key: keyID(cmd.key), HasKey: true,
		Left: max(0, r.until-now), Hint: cmd.hint, Size: cmd.size, Retry: cmd.retry, Write: cmd.verb == "ms",
		Under: &r.rule.Class, Most: r.most}) // it may have waited at the door for longer than the settings have held
}

// gone tells that the client of a request has left. What is not written yet never is. What is written is given up where the
// settings allow it, which the Balancer knows.
func (l *loop) gone(s *slot) {
	r := s.req
	if r == nil || r.over {
		return
	}
	l.finish(r, nil, leftEarly)
	l.b.Gone(l.now(), r.id)
	for _, a := range r.tries {
		if a.callOff() {
			l.later = append(l.later, func() { l.outcome(a, ends(decide.Canceled)) })
		}
	}
}

// callOff ends the attempts at a server that are not written yet, as nothing new may go there: another may take them. An
// attempt whose connection takes as long to come up as a drain's grace would else be sent after it.
func (l *loop) callOff(server uint32) {
	for _, r := range l.reqs {
		for _, a := range r.tries {
			if a.server == server && a.callOff() {
				l.later = append(l.later, func() { l.outcome(a, ends(decide.Ignored)) })
			}
		}
	}
}

// leftEarly is the end of a request whose client has gone: it counts as none.
const leftEarly metrics.End = -1

// finish ends a request: the only place where one is answered, so none is answered twice.
func (l *loop) finish(r *request, answer []byte, how metrics.End) {
	if r.over {
		return
	}
	r.over = true
	l.metrics.Concurrent.Add(-1)
	if how != leftEarly {
		r.rule.count.Ended(how)
	}
	if how == metrics.Success && l.speed != nil {
		l.speed[rollout.SpeedBucket((l.now()-r.came)/r.rule.Aim)].Add(1)
	}
	if l.trace.On() {
		l.traceEnd(r, how)
	}
	l.admission.over(r, how == metrics.Success, how == metrics.Overload, len(answer))
	r.slot.answer(answer)
	r.slot.req, r.slot = nil, nil
	l.timers.stop(r.due)
	delete(l.open, r.cmd.id)
	l.forget(r)
}

// pass ends the decisions on a request whose value is passed through from now on: the server has done its work, and no
// deadline applies any more. It returns the slot for the value, or nil where nobody waits for it.
func (l *loop) pass(a *attempt, got reply) *slot {
	r := a.r
	if a.over || a.ending || r.over {
		return nil
	}
	a.over, r.over = true, true
	l.timers.stop(a.due)
	l.timers.stop(r.due)
	r.out--
	sl := r.slot
	r.slot.req, r.slot = nil, nil
	now := l.now()
	r.work += now - a.at
	l.admission.over(r, true, false, got.length)
	l.forget(r)
	l.b.Outcome(now, decide.Outcome{ID: r.id, Attempt: a.n, Server: a.server, Status: decide.OK, Latency: now - a.at,
		Final: true, Note: got.note, Load: got.load})
	return sl
}

// passed books the end of a request whose value was passed through.
func (l *loop) passed(a *attempt, whole bool) {
	l.metrics.Concurrent.Add(-1)
	delete(l.open, a.r.cmd.id)
	if whole {
		a.r.rule.count.Ended(metrics.Success)
	} else {
		a.r.rule.count.Ended(metrics.Error)
	}
}

// forget drops the record of a request that is over and has no attempt out.
func (l *loop) forget(r *request) {
	if r.over && r.out == 0 && l.reqs[r.id] == r {
		delete(l.reqs, r.id)
		l.letGo(&r.cmd)
	}
}

// outcome ends an attempt, once: what comes after that is a late result, which reaches neither client nor Balancer.
func (l *loop) outcome(a *attempt, got reply) {
	if a.over {
		return
	}
	if a.ending && got.status != decide.OK {
		got = ends(a.as)
	}
	a.over, a.ran = true, !got.status.NeverRan()
	a.stop()
	l.timers.stop(a.due)
	r := a.r
	r.out--
	now := l.now()
	if r.work += now - a.at; l.trace.On() {
		l.trace.Event(now, "got", "r=%d n=%d s=%08x status=%d note=%d ms=%.1f", r.id, a.n, a.server, got.status, got.note, now-a.at)
	}
	switch {
	case got.status == decide.OK && mutant.Is("fails-some") && r.id%20 == 0: // a version that is bad, for the laboratory
		l.finish(r, failed(), metrics.Error)
	case got.status == decide.OK:
		l.finish(r, served(&r.cmd, got.body), metrics.Success)
	}
	l.forget(r)
	if len(l.hearsay) > 0 {
		l.firsthand(a.server, got.status)
	}
	l.b.Outcome(now, decide.Outcome{ID: r.id, Attempt: a.n, Server: a.server, Status: got.status, Latency: now - a.at,
		Final: r.over, Note: got.note, Load: got.load})
}

// ends returns an attempt's outcome without a reply.
func ends(st decide.Status) reply { return reply{status: st, load: decide.NoLoad} }

// timeOut ends an attempt that is waited for no longer.
func (l *loop) timeOut(a *attempt) {
	if a.callOff() {
		l.outcome(a, ends(decide.ConnectError)) // the connection never came up, and now nothing will be written
	} else {
		a.giveUp(decide.TimedOut)
	}
}

// cancel gives an attempt up by closing its connection.
func (a *attempt) cancel(l *loop) {
	if a.callOff() {
		l.later = append(l.later, func() { l.outcome(a, ends(decide.Canceled)) })
	} else {
		a.giveUp(decide.Canceled)
	}
}

// callOff ends an attempt of which nothing is written, and tells whether it could: now nothing will be.
func (a *attempt) callOff() bool {
	if a.over || !a.phase.CompareAndSwap(phaseOpening, phaseOff) {
		return false
	}
	a.stop()
	return true
}

// giveUp ends the wait for an attempt that is written, as told. Its outcome comes once its connection is closed: a further
// attempt that was written before that would be a second copy.
func (a *attempt) giveUp(as decide.Status) {
	if !a.over && !a.ending && a.phase.Load() == phaseWriting {
		a.ending, a.as = true, as
		a.stop()
	}
}

// windowOver is when no further attempt of a request may be written: the window of its effect runs from the send of the first
// that may have run, and the connection of a later one may take long to come up.
func (r *request) windowOver() float64 {
	if r.rule.Effect == decide.Keyed {
		for _, a := range r.tries {
			if a.ran {
				return a.at + r.rule.Window - 1
			}
		}
	}
	return math.Inf(1)
}

// list takes a list of servers.
func (l *loop) list(kind decide.ListKind, got list) {
	l.keep(kind, got)
	entries := make([]decide.Entry, 0, len(got.Servers))
	named := map[uint32]bool{}
	for _, e := range got.Servers {
		d, err := e.decided()
		if err != nil {
			slog.Warn("discovery: entry passed over", "error", err)
			continue
		}
		entries, named[d.ID] = append(entries, d), true
		l.names.add(e.ID, d.ID)
		t := l.targets[d.ID]
		if t == nil && d.State == decide.Ready {
			entries = append(entries, l.replaced(d, e.Addr)...)
		}
		switch {
		case d.State == decide.Gone:
			l.callOff(d.ID)
			l.drop(d.ID)
		case t == nil || t.addr != e.Addr:
			l.callOff(d.ID)
			l.drop(d.ID)
			l.targets[d.ID] = l.up.add(e.Addr, e.Kind == l.originKind)
			l.targets[d.ID].started = d.Started
		case t.started != d.Started: // connections to the process before it are dead, perhaps without a word
			t.started = d.Started
			l.up.closeIdle(t)
		}
		if d.State == decide.Draining {
			l.callOff(d.ID)
		}
	}
	if kind == decide.Full || kind == decide.Remembered {
		for id := range l.targets {
			if !named[id] {
				l.callOff(id)
				l.drop(id)
			}
		}
	}
	l.trace.Event(l.now(), "list", "kind=%d lines=%d version=%d", kind, len(entries), got.Version)
	l.b.Servers(l.now(), kind, entries)
	l.count()
	if len(l.targets) > 0 {
		l.ready.Store(true)
	}
}

// reportEvery is how old the figures of servers get, in milliseconds.
const reportEvery = 200

// report keeps the figures of servers up to date.
func (l *loop) report() {
	l.count()
	l.trace.Flush(l.now())
	l.after(reportEvery, l.report)
}

func (l *loop) count() {
	listed, avoided := l.b.Targets()
	l.metrics.Targets.Store(int64(listed))
	l.metrics.TargetsDisabled.Store(int64(avoided))
}

// replaced is the end of the servers that were at the address of a new one: it has come in their place, though the news
// of their end may be late, and what is meant for them would reach it, cold as it is.
func (l *loop) replaced(by decide.Entry, addr string) (gone []decide.Entry) {
	for old, t := range l.targets {
		if t.addr == addr && by.Started > t.started {
			l.callOff(old)
			l.drop(old)
			gone = append(gone, decide.Entry{ID: old, State: decide.Gone})
		}
	}
	return gone
}

// follow hears d from now on, and no discovery before it. The list that is held stays until d gives a whole one.
func (l *loop) follow(d *discovery) {
	if l.disc != nil {
		d.watch() // the Balancer has asked already, of the one before
	}
	l.disc, l.floor = d, floor{} // its versions may be others
}

func (l *loop) drop(id uint32) {
	if t := l.targets[id]; t != nil {
		delete(l.targets, id)
		l.up.remove(t)
	}
}

// traceEnd keeps how a request ended.
func (l *loop) traceEnd(r *request, how metrics.End) {
	why := "-"
	if how == metrics.Overload || how == metrics.Error {
		why = strings.ReplaceAll(l.b.Why(), " ", "-")
	}
	l.trace.Event(l.now(), "end", "r=%d how=%d why=%s left=%.0f tries=%d", r.id, how, why, r.until-l.now(), len(r.tries))
}

// The methods of decide.Host.

// Send starts an attempt. A time-out of 0, and any later than the client's, ends with the client's wait.
func (l *loop) Send(id, server uint32, timeout float64) {
	r := l.reqs[id]
	if r == nil { // over, and nothing is out: the Balancer has no record of it either
		return
	}
	now := l.now()
	left := min(r.until, l.answerBy.load()) - now
	if timeout != 0 {
		left = min(left, timeout)
	}
	a, by := &attempt{r: r, n: len(r.tries), server: server, at: now, ran: true}, r.windowOver()
	ctx, stop := context.WithCancel(l.ctx)
	a.stop = stop
	r.tries, r.out = append(r.tries, a), r.out+1
	t := l.targets[server]
	if r.over || t == nil || left <= 0 || a.n >= r.most || !r.two && r.out > 1 {
		l.later = append(l.later, func() { l.outcome(a, ends(decide.Ignored)) })
		return
	}
	a.due = l.after(left, func() { l.timeOut(a) })
	if l.trace.On() {
		l.trace.Event(now, "send", "r=%d n=%d s=%08x origin=%t started=%.0f key=%x", r.id, a.n, server, t.origin, t.started, keyID(r.cmd.key))
	}
	sl := r.slot
	l.work.Go(func() {
		defer stop()
		var passed *sink
		on := hooks{
			once: r.rule.Effect != decide.Repeatable,
			begin: func() timeoutHint {
				if sl.c.gone() { // the loop may not have heard of it yet
					l.post(func() { l.gone(sl) })
					return 0
				}
				return l.startWriting(a, now+left, by)
			},
			wrote:   func() { l.metrics.Dispatches.Add(1) },
			through: func(got reply) *sink { passed = l.openSink(ctx, a, got); return passed },
		}
		var got reply
		if r.cmd.up != nil {
			got = l.up.finish(ctx, server, &r.cmd, on)
		} else {
			got = l.up.attempt(ctx, t, &r.cmd, on)
		}
		if mutant.Is("slower") { // likewise
			time.Sleep(ms((l.now() - now) / 10))
		}
		if passed == nil {
			l.post(func() { l.outcome(a, got) })
			return
		}
		l.post(func() { l.passed(a, got.status == decide.OK) })
		passed.end(got.status == decide.OK)
	})
}

// Cancel gives an attempt up.
func (l *loop) Cancel(id uint32, n int) {
	if r := l.reqs[id]; r != nil && n >= 0 && n < len(r.tries) {
		r.tries[n].cancel(l)
	}
}

// Refuse answers that trying again is harmless.
func (l *loop) Refuse(id uint32, wait float64) {
	if r := l.reqs[id]; r != nil {
		l.finish(r, refused(wait), metrics.Overload)
	}
}

// Fail answers with no promise.
func (l *loop) Fail(id uint32) {
	if r := l.reqs[id]; r != nil {
		l.finish(r, failed(), metrics.Error)
	}
}

// probeTimeout is how long a probe is waited for, in milliseconds.
const probeTimeout = 500

// Probe asks a server for its load.
func (l *loop) Probe(server uint32) {
	t := l.targets[server]
	if t == nil {
		l.later = append(l.later, func() { l.b.Probed(l.now(), server, decide.ConnectError, decide.NoLoad) })
		return
	}
	if l.board != nil {
		if load, ok := l.board.Look(l.now(), server); ok { // another router has asked it
			l.trace.Event(l.now(), "probe-told", "s=%08x qps=%.1f util=%.3f", server, load.QPS, load.Util)
			l.later = append(l.later, func() { l.b.Probed(l.now(), server, decide.OK, load) })
			return
		}
	}
	l.work.Go(func() {
		ctx, stop := context.WithTimeout(l.ctx, probeTimeout*time.Millisecond)
		defer stop()
		st, load := l.up.probe(ctx, t)
		l.trace.Event(l.now(), "probe", "s=%08x status=%d qps=%.1f util=%.3f", server, st, load.QPS, load.Util)
		l.post(func() { l.b.Probed(l.now(), server, st, load) })
	})
}

// Close closes the idle connections to a server.
func (l *loop) Close(server uint32) {
	if t := l.targets[server]; t != nil {
		l.up.closeIdle(t)
	}
}

// Timer calls the Balancer's Timer after that many milliseconds.
func (l *loop) Timer(after float64, token uint64) {
	l.after(after, func() { l.b.Timer(l.now(), token) })
}

// Watch asks discovery for changes from now on.
func (l *loop) Watch() {
	if l.disc != nil {
		l.disc.watch()
	}
}

// Tell sends nothing: the module has nothing to tell other routers.
func (l *loop) Tell([]byte) {}

// Log writes a line of the module's.
func (l *loop) Log(text string) { slog.Info("module", "text", text) }

// timer is something to do at a time.
type timer struct {
	at float64
	do func()
	i  int // its place in the heap; -1 = it is not there
}

func (l *loop) after(ms float64, do func()) *timer {
	if !(ms > 0) {
		ms = 0
	}
	t := &timer{at: l.now() + min(ms, math.MaxInt32), do: do}
	heap.Push(&l.timers, t)
	return t
}

// timerHeap holds timers, the next one first.
type timerHeap []*timer

// stop takes a timer out, with all that it holds: waiting until it is due would keep each request for seconds.
func (h *timerHeap) stop(t *timer) {
	if t != nil && t.i >= 0 {
		heap.Remove(h, t.i)
	}
}

func (h timerHeap) Len() int           { return len(h) }
func (h timerHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h timerHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].i, h[j].i = i, j
}
func (h *timerHeap) Push(x any) {
	t := x.(*timer)
	t.i = len(*h)
	*h = append(*h, t)
}
func (h *timerHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1], last.i = nil, -1
	*h = old[:len(old)-1]
	return last
}
