// Package modelcheck is a model checker for leases. It explores every order of events breadth first, and
// longer orders at random. It uses the real state machine of internal/coord as the replicated log and the
// real lease table of clients (client.LeaseTable). Between them it models a network that loses, repeats
// and delays messages, clocks at both ends of their rate bound, holders that are paused between checking
// and using the lease, and client restarts. The main property is that two holders never act at the same
// time. Consensus itself is left to the raft library and not modeled.
package modelcheck

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"dockhinge.example/dockhinge/internal/coord"
	"dockhinge.example/dockhinge/internal/coord/client"
	"dockhinge.example/dockhinge/internal/failpoint"
)

// Params configures and bounds a search.
type Params struct {
	Clients  int
	Depth    int     // events from the first state
	Messages int     // most messages in flight at once, both directions together
	States   int     // the search stops after so many states
	Rate     float64 // bound of the clock rate error, as a share
	Warm     bool    // start with a session for each client and the lease held by the first
}

// Result is the outcome of a search.
type Result struct {
	States, Depth int
	Whole         bool     // all states up to Params.Depth were explored
	Broken        string   // the property that was violated; empty: none
	Trace         []string // the events that lead to the violation
}

// One step of the true clock, the TTL of sessions and of the lease, and the name of the lease. The TTL is
// only two steps, so that expiries fall both on and between steps.
const (
	step  = 500 * time.Millisecond
	ttl   = time.Second
	lease = "l"
)

// message is a command in flight to the coordinators, or its response in flight to the client.
type message struct {
	Back    bool // it is a response
	From    int  // index of the client
	Life    int  // incarnation of the client that sent it
	Cmd     coord.Command
	Answer  coord.Response
	Sent    time.Duration // when the command was sent, on the client's clock
	Repeats int           // how often it may still be duplicated
}

// party is the state of one client.
type party struct {
	book    client.LeaseTable
	Life    int           // number of restarts
	Session int           // unused; part of the encoded state
	Asked   bool          // it has requested a session
	Open    bool          // it has a session, as far as it knows
	Seq     uint64        // sequence number of its last numbered command
	Under   []uint64      // sequence numbers of its commands without a response yet, ascending
	Wants   bool          // its acquire has no response yet
	Asks    uint64        // sequence number of the acquire
	First   time.Duration // when it first sent the acquire, on its clock
	Token   uint64        // of the lease that it holds by its lease table
	Given   uint64        // token in its last grant
	Acting  bool          // it has checked that it holds the lease with token Checked, and has not acted yet
	Checked uint64
	Dropped map[uint64]bool // tokens whose release or transfer was confirmed to it
}

// world is one state of the model.
type world struct {
	machine  *coord.State
	now      time.Duration // the true time since the start
	leaderAt time.Duration // the leader's clock when it last applied a command
	parties  []party
	net      []message
	lastAct  uint64 // the highest token that the resource has accepted
}

// acked returns the sequence number up to which all responses have been received.
func (q *party) acked() uint64 {
	if len(q.Under) > 0 {
		return q.Under[0] - 1
	}
	return q.Seq
}

// number returns the sequence number of the next command and marks it as without a response.
func (q *party) number() uint64 {
	q.Seq++
	q.Under = append(q.Under, q.Seq)
	return q.Seq
}

// rate returns the clock rate of a client: in turn the slowest, the fastest and the true one. The
// leader's clock runs at the fastest rate.
func rate(i int, bound float64) float64 { return 1 + bound*[]float64{-1, 1, 0}[i%3] }

func (w *world) clockOf(i int, p Params) time.Duration {
	return time.Duration(float64(w.now) * rate(i, p.Rate))
}

func (w *world) leaderClock(p Params) time.Duration {
	return time.Duration(float64(w.now) * (1 + p.Rate))
}

func (w *world) clone() *world {
	c := *w
	c.machine = w.machine.Clone()
	c.parties = slices.Clone(w.parties)
	for i := range c.parties {
		c.parties[i].book = w.parties[i].book.Clone()
		d := map[uint64]bool{}
		for t := range w.parties[i].Dropped {
			d[t] = true
		}
		c.parties[i].Dropped = d
	}
	c.net = slices.Clone(w.net)
	return &c
}

// key returns a hash of the state, by which Search recognizes states that it has explored.
func (w *world) key() uint64 {
	h := xxhash.New()
	text, _ := w.machine.Marshal() // does not fail for states built by commands
	_, _ = h.Write(text)
	var n [8]byte
	num := func(v uint64) {
		binary.LittleEndian.PutUint64(n[:], v)
		_, _ = h.Write(n[:])
	}
	num(uint64(w.now))
	num(uint64(w.leaderAt))
	num(w.lastAct)
	for i := range w.parties {
		p := w.parties[i]
		text, _ := json.Marshal(p) // does not fail: only numbers, strings and maps
		_, _ = h.Write(text)
		_, _ = h.Write([]byte(p.book.Fingerprint()))
	}
	var msgs [][]byte
	for _, m := range w.net {
		text, _ := json.Marshal(m) // does not fail: only numbers, strings and maps
		msgs = append(msgs, text)
	}
	slices.SortFunc(msgs, bytes.Compare)
	for _, m := range msgs {
		_, _ = h.Write(m)
		_, _ = h.Write([]byte{0})
	}
	return h.Sum64()
}

func newWorld(p Params) *world {
	w := &world{machine: coord.New()}
	w.machine.Apply(coord.Command{Version: coord.Version, Op: coord.OpSetClockRate, ClockRateBound: p.Rate}, 1)
	for range p.Clients {
		w.parties = append(w.parties, party{Dropped: map[uint64]bool{}})
	}
	for i := range w.parties {
		if !p.Warm {
			break
		}
		q, id := &w.parties[i], fmt.Sprintf("s%d.0", i)
		w.agree(coord.Command{Op: coord.OpOpenSession, SessionID: id, Client: fmt.Sprintf("c%d", i), TTL: ttl}, p)
		q.book.RecordSessionOpened(ttl, 0, 0)
		q.Asked, q.Open = true, true
		if i == 0 {
			q.Seq = 1
			q.Token = w.agree(coord.Command{Op: coord.OpAcquire, SessionID: id, Lease: lease, TTL: ttl, Sequence: 1}, p).Token
			q.Given = q.Token
			q.book.RecordGrant(lease, q.Token, ttl, 0, 0)
		}
	}
	return w
}

// event is a possible transition from a state.
type event struct {
	what   string
	weight float64             // relative probability in a random walk
	do     func(*world) string // returns the violated property, or ""
}

// events returns all transitions that are possible in the state.
func (w *world) events(p Params) (all []event) {
	add := func(weight float64, do func(*world) string, form string, v ...any) {
		all = append(all, event{fmt.Sprintf(form, v...), weight, do})
	}
	add(1, func(w *world) string { w.now += step; return "" }, "the clock advances")
	add(0.5, func(w *world) string { return w.tick(p) }, "the leader applies a tick")
	for i := range w.parties {
		q := &w.parties[i]
		now := w.clockOf(i, p)
		send := len(w.net) < p.Messages
		session := fmt.Sprintf("s%d.%d", i, q.Life)
		put := func(w *world, c coord.Command) {
			q := &w.parties[i]
			c.Version, c.SessionID, c.AcknowledgedThrough = coord.Version, session, q.acked()
			w.net = append(w.net, message{From: i, Life: q.Life, Cmd: c, Sent: w.clockOf(i, p), Repeats: 1})
		}
		_, _, held := q.book.HeldLease(lease, now)
		if send && !q.Asked && !q.Open {
			add(2, func(w *world) string {
				w.parties[i].Asked = true
				put(w, coord.Command{Op: coord.OpOpenSession, Client: fmt.Sprintf("c%d", i), TTL: ttl})
				return ""
			}, "c%d requests a session", i)
		}
		if send && q.Open && q.book.HasSession(now) && w.underWay(i, coord.OpKeepAlive) == 0 {
			add(2, func(w *world) string { put(w, coord.Command{Op: coord.OpKeepAlive}); return "" }, "c%d sends a keep-alive", i)
		}
		if send && q.Open && !q.Wants && !held {
			add(2, func(w *world) string {
				q := &w.parties[i]
				q.Wants, q.First = true, w.clockOf(i, p)
				put(w, coord.Command{Op: coord.OpAcquire, Lease: lease, TTL: ttl, Sequence: q.number()})
				q.Asks = q.Seq
				return ""
			}, "c%d requests the lease", i)
		}
		if send && q.Open && q.Wants && w.underWay(i, coord.OpAcquire) == 0 {
			add(1, func(w *world) string {
				put(w, coord.Command{Op: coord.OpAcquire, Lease: lease, TTL: ttl, Sequence: w.parties[i].Asks})
				return ""
			}, "c%d repeats its request for the lease", i)
		}
		if held && !q.Acting {
			add(1, func(w *world) string {
				q := &w.parties[i]
				q.Acting, q.Checked = true, q.Token
				return w.overlap(p)
			}, "c%d checks the lease and begins to act", i)
			if send && !q.Wants {
				give := func(op coord.Op, to string) func(*world) string {
					return func(w *world) string {
						q := &w.parties[i]
						q.book.Forget(lease, q.Token)
						put(w, coord.Command{Op: op, Lease: lease, Token: q.Token, Sequence: q.number(), Successor: to})
						return ""
					}
				}
				add(0.3, give(coord.OpRelease, ""), "c%d releases the lease", i)
				add(0.3, give(coord.OpTransfer, fmt.Sprintf("c%d", (i+1)%len(w.parties))), "c%d transfers the lease", i)
			}
		}
		if q.Acting && send {
			add(0.3, func(w *world) string {
				q := &w.parties[i]
				q.Acting = false
				put(w, coord.Command{Op: coord.OpWriteRecord, Lease: lease, Token: q.Checked,
					Sequence: q.number(), Record: []byte("x")})
				return ""
			}, "c%d writes a record to the state machine", i)
		}
		if q.Acting {
			add(0.3, func(w *world) string { return w.act(i) }, "c%d's write reaches the resource", i)
		}
		if q.Life < 1 && (q.Open || q.Asked) {
			add(0.05, func(w *world) string {
				w.parties[i] = party{Life: w.parties[i].Life + 1, Dropped: map[uint64]bool{}}
				return ""
			}, "c%d is killed and restarted", i)
		}
	}
	for k, m := range w.net {
		who := fmt.Sprintf("c%d's %s", m.From, m.Cmd.Op)
		if m.Back {
			add(4, func(w *world) string {
				w.net = slices.Delete(w.net, k, k+1)
				return w.answered(m, p)
			}, "the response to %s is received", who)
		} else {
			add(4, func(w *world) string {
				w.net = slices.Delete(w.net, k, k+1)
				return w.carryOut(m, p)
			}, "%s is applied", who)
			if m.Repeats > 0 && len(w.net) < p.Messages {
				add(0.5, func(w *world) string {
					w.net[k].Repeats--
					again := w.net[k]
					return w.carryOut(again, p)
				}, "%s is applied, and a duplicate remains", who)
			}
		}
		add(0.3, func(w *world) string { w.net = slices.Delete(w.net, k, k+1); return "" }, "%s is lost (response: %t)", who, m.Back)
	}
	return all
}

func (w *world) underWay(i int, op coord.Op) (n int) {
	for _, m := range w.net {
		if m.From == i && m.Life == w.parties[i].Life && m.Cmd.Op == op {
			n++
		}
	}
	return n
}

// agree applies a command to the state machine, with the time elapsed on the leader's clock.
func (w *world) agree(c coord.Command, p Params) coord.Response {
	c.Version, c.Term, c.Elapsed = coord.Version, 1, w.leaderClock(p)-w.leaderAt
	w.leaderAt = w.leaderClock(p)
	return w.machine.Apply(c, 1)
}

func (w *world) tick(p Params) string {
	w.agree(coord.Command{Op: coord.OpTick}, p)
	if w.now%(2*step) == 0 { // restore the state machine from a snapshot
		text, err := w.machine.Marshal()
		if err == nil {
			w.machine, err = coord.Unmarshal(text)
		}
		if err != nil {
			return err.Error()
		}
	}
	return w.promised(p)
}

// carryOut applies the command of a message and sends its response.
func (w *world) carryOut(m message, p Params) string {
	said := false // the command was applied before, and its stored response is returned
	if se := w.machine.Sessions[m.Cmd.SessionID]; se != nil {
		_, said = se.Responses[m.Cmd.Sequence]
	}
	a := w.agree(m.Cmd, p)
	if m.Cmd.Op == coord.OpWriteRecord && a.Code == coord.CodeOK && !said {
		if m.Cmd.Token < w.machine.LastToken { // there is only one lease, so LastToken is the token of its latest holder
			return fmt.Sprintf("c%d wrote a record with token %d after token %d was granted",
				m.From, m.Cmd.Token, w.machine.LastToken)
		}
	}
	if len(w.net) < p.Messages {
		w.net = append(w.net, message{Back: true, From: m.From, Life: m.Life, Cmd: m.Cmd, Answer: a, Sent: m.Sent})
	}
	return w.promised(p)
}

// promised checks the invariant: a client that holds the lease by its own lease table holds it with the
// same token in the state machine. It also checks that a token that was given back is not held again, and
// that a client knows the token of each acquire whose response it has received.
func (w *world) promised(p Params) string {
	for i := range w.parties {
		q := &w.parties[i]
		token, _, held := q.book.HeldLease(lease, w.clockOf(i, p))
		if !held {
			continue
		}
		l := w.machine.Leases[lease]
		if l == nil || l.Token != token {
			return fmt.Sprintf("c%d holds the lease with token %d by its lease table, but not in the state machine", i, token)
		}
	}
	if l := w.machine.Leases[lease]; l != nil {
		for i := range w.parties {
			q := &w.parties[i]
			if q.Dropped[l.Token] && l.SessionID == fmt.Sprintf("s%d.%d", i, q.Life) {
				return fmt.Sprintf("c%d holds token %d again after its release was confirmed", i, l.Token)
			}
			if l.SessionID == fmt.Sprintf("s%d.%d", i, q.Life) && l.AcquireSequence > 0 &&
				l.AcquireSequence <= q.acked() && l.Token != q.Given {
				return fmt.Sprintf("c%d holds token %d by an acquire whose response it received, but its lease table lacks it",
					i, l.Token)
			}
		}
	}
	return ""
}

// overlap checks that no two clients act while both hold the lease by their lease tables.
func (w *world) overlap(p Params) string {
	var who []int
	for i := range w.parties {
		if _, _, held := w.parties[i].book.HeldLease(lease, w.clockOf(i, p)); held && w.parties[i].Acting {
			who = append(who, i)
		}
	}
	if len(who) > 1 {
		return fmt.Sprintf("c%d and c%d act at the same time", who[0], who[1])
	}
	return ""
}

// act delivers a write of a client to the resource, which checks its fencing token.
func (w *world) act(i int) string {
	q := &w.parties[i]
	q.Acting = false
	if q.Checked < w.lastAct && !failpoint.IsInjected("resource-unchecked") {
		return "" // rejected
	}
	if q.Checked < w.lastAct {
		return fmt.Sprintf("c%d wrote to the resource with token %d after a write with token %d", i, q.Checked, w.lastAct)
	}
	if q.Checked == w.lastAct {
		return ""
	}
	for j := range w.parties {
		if j != i && w.parties[j].Acting && w.parties[j].Checked == q.Checked {
			return fmt.Sprintf("c%d and c%d use the same token %d", i, j, q.Checked)
		}
	}
	w.lastAct = q.Checked
	return ""
}

// answered processes a response as the client does.
func (w *world) answered(m message, p Params) string {
	q := &w.parties[m.From]
	if m.Life != q.Life {
		return ""
	}
	now := w.clockOf(m.From, p)
	switch m.Cmd.Op {
	case coord.OpOpenSession:
		if q.Open || m.Answer.Code != coord.CodeOK {
			return ""
		}
		q.book.RecordSessionOpened(ttl, m.Sent, now)
		q.Open = q.book.HasSession(now)
		return w.promised(p)
	case coord.OpKeepAlive:
		switch m.Answer.Code {
		case coord.CodeOK:
			q.book.RecordKeepAlive(m.Sent, now)
		case coord.CodeNoSession:
			q.book.RecordSessionLost()
			q.Open = false
		}
		return w.promised(p)
	}
	k := slices.Index(q.Under, m.Cmd.Sequence)
	if k < 0 {
		return "" // a response was processed before
	}
	q.Under = slices.Delete(slices.Clone(q.Under), k, k+1)
	switch {
	case m.Cmd.Op == coord.OpAcquire:
		q.Wants = false
		if m.Answer.Code == coord.CodeOK {
			q.Given = m.Answer.Token
			if q.book.RecordGrant(lease, m.Answer.Token, ttl, q.First, now) {
				q.Token = m.Answer.Token
			}
		}
	case m.Answer.Code == coord.CodeOK && m.Cmd.Op != coord.OpWriteRecord:
		q.Dropped[m.Cmd.Token] = true
	}
	return w.promised(p)
}

// Search explores all orders of events up to Params.Depth, breadth first. It stops at the first violation
// and after Params.States states.
func Search(p Params) Result {
	type node struct {
		w      *world
		parent int
		what   string
	}
	first := newWorld(p)
	nodes := []node{{w: first, parent: -1}}
	seen := map[uint64]bool{first.key(): true}
	trace := func(i int, last string) (t []string) {
		t = []string{last}
		for ; nodes[i].parent >= 0; i = nodes[i].parent {
			t = append(t, nodes[i].what)
		}
		slices.Reverse(t)
		return t
	}
	level, end := 0, 1
	for i := 0; i < len(nodes); i++ {
		if i == end {
			level, end = level+1, len(nodes)
		}
		if level >= p.Depth {
			return Result{States: len(nodes), Depth: level, Whole: true}
		}
		w := nodes[i].w
		for _, e := range w.events(p) {
			next := w.clone()
			if broken := e.do(next); broken != "" {
				return Result{States: len(nodes), Depth: level + 1, Broken: broken, Trace: trace(i, e.what)}
			}
			if k := next.key(); !seen[k] {
				seen[k] = true
				nodes = append(nodes, node{next, i, e.what})
				if len(nodes) >= p.States {
					return Result{States: len(nodes), Depth: level}
				}
			}
		}
		nodes[i].w = nil // its successors have been explored; free the memory
	}
	return Result{States: len(nodes), Depth: level, Whole: true}
}

// Walk follows one random order of at most so many events, chosen by the seed. It stops at the first
// violation.
func Walk(p Params, seed uint64, events int) Result {
	rng := rand.New(rand.NewPCG(seed, 17))
	w := newWorld(p)
	var trace []string
	for n := range events {
		all := w.events(p)
		sum := 0.0
		for _, e := range all {
			sum += e.weight
		}
		at, u := 0, rng.Float64()*sum
		for u -= all[0].weight; u > 0 && at < len(all)-1; u -= all[at].weight {
			at++
		}
		e := all[at]
		trace = append(trace, e.what)
		if broken := e.do(w); broken != "" {
			return Result{States: n + 1, Depth: n + 1, Broken: broken, Trace: trace}
		}
	}
	return Result{States: events, Depth: events}
}
