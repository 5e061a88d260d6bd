// Package modelcheck goes through every order of events of leases, breadth first: the real machine of internal/coord as the one
// agreed log, the real book-keeping of clients (client.Book), and between them a network that loses, repeats and delays, clocks
// at both ends of their bound, holders that are stopped between their check and their act, and restarts. What it looks for is two
// holders that act at once. The consensus beneath is the library's and not explored here.
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

// Params bound a search.
type Params struct {
	Clients  int
	Depth    int // events
	Messages int // on the way at once at most, both directions
	States   int // it ends after so many, and says so
	Rate     float64
	Warm     bool // all have a session and the first one holds the lease when it begins
}

// Result is what a search found.
type Result struct {
	States, Depth int
	Whole         bool // all states up to the depth were seen
	Broken        string
	Trace         []string // the events that lead there
}

// The times of the model: one step of the true clock, and what is given for how long. The steps are few, so that all ends
// fall between them as well as on them.
const (
	step  = 500 * time.Millisecond
	ttl   = time.Second
	lease = "l"
)

// message is a command on its way to the coordinators, or its answer on its way back.
type message struct {
	Back    bool
	From    int
	Life    int // of the client that sent it
	Cmd     coord.Command
	Answer  coord.Response
	Sent    time.Duration // on the client's clock
	Repeats int           // how often it may still be carried out
}

// party is one client.
type party struct {
	book    client.LeaseTable
	Life    int // how often it was started
	Session int // its number, in its id
	Asked   bool
	Open    bool // it believes that its session is there
	Seq     uint64
	Under   []uint64 // its numbered commands whose answers have not come, in their order
	Wants   bool     // its acquire is under way
	Asks    uint64   // the acquire's number
	First   time.Duration
	Token   uint64 // of the lease that it believes to hold
	Given   uint64 // the token that it was told last
	Acting  bool   // between check and act: with Checked
	Checked uint64
	Dropped map[uint64]bool // tokens that it has given back, and been told so
}

// world is one state of all.
type world struct {
	machine  *coord.State
	now      time.Duration // the true time
	leaderAt time.Duration // the leader's clock at its last command
	parties  []party
	net      []message
	lastAct  uint64 // the highest token that the resource has seen
}

// acked is up to where all answers have come.
func (q *party) acked() uint64 {
	if len(q.Under) > 0 {
		return q.Under[0] - 1
	}
	return q.Seq
}

// number gives the next command its number.
func (q *party) number() uint64 {
	q.Seq++
	q.Under = append(q.Under, q.Seq)
	return q.Seq
}

// rates of the clocks by party: one slow, one fast, one true; the leader's is fast.
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

// key tells states apart.
func (w *world) key() uint64 {
	h := xxhash.New()
	text, _ := w.machine.Marshal() // made by this package
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
		text, _ := json.Marshal(p) // plain data
		_, _ = h.Write(text)
		_, _ = h.Write([]byte(p.book.Fingerprint()))
	}
	var msgs [][]byte
	for _, m := range w.net {
		text, _ := json.Marshal(m) // plain data
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

// event is one thing that may happen next.
type event struct {
	what   string
	weight float64             // how often a random walk takes it, beside others
	do     func(*world) string // what is broken, or ""
}

// events are all that may happen next.
func (w *world) events(p Params) (all []event) {
	add := func(weight float64, do func(*world) string, form string, v ...any) {
		all = append(all, event{fmt.Sprintf(form, v...), weight, do})
	}
	add(1, func(w *world) string { w.now += step; return "" }, "time passes")
	add(0.5, func(w *world) string { return w.tick(p) }, "the leader lets time pass")
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
			}, "c%d asks for a session", i)
		}
		if send && q.Open && q.book.HasSession(now) && w.underWay(i, coord.OpKeepAlive) == 0 {
			add(2, func(w *world) string { put(w, coord.Command{Op: coord.OpKeepAlive}); return "" }, "c%d keeps its session", i)
		}
		if send && q.Open && !q.Wants && !held {
			add(2, func(w *world) string {
				q := &w.parties[i]
				q.Wants, q.First = true, w.clockOf(i, p)
				put(w, coord.Command{Op: coord.OpAcquire, Lease: lease, TTL: ttl, Sequence: q.number()})
				q.Asks = q.Seq
				return ""
			}, "c%d asks for the lease", i)
		}
		if send && q.Open && q.Wants && w.underWay(i, coord.OpAcquire) == 0 {
			add(1, func(w *world) string {
				put(w, coord.Command{Op: coord.OpAcquire, Lease: lease, TTL: ttl, Sequence: w.parties[i].Asks})
				return ""
			}, "c%d repeats that it asks for the lease", i)
		}
		if held && !q.Acting {
			add(1, func(w *world) string {
				q := &w.parties[i]
				q.Acting, q.Checked = true, q.Token
				return w.overlap(p)
			}, "c%d begins to act", i)
			if send && !q.Wants {
				give := func(op coord.Op, to string) func(*world) string {
					return func(w *world) string {
						q := &w.parties[i]
						q.book.Forget(lease, q.Token)
						put(w, coord.Command{Op: op, Lease: lease, Token: q.Token, Sequence: q.number(), Successor: to})
						return ""
					}
				}
				add(0.3, give(coord.OpRelease, ""), "c%d gives the lease back", i)
				add(0.3, give(coord.OpTransfer, fmt.Sprintf("c%d", (i+1)%len(w.parties))), "c%d hands the lease over", i)
			}
		}
		if q.Acting && send {
			add(0.3, func(w *world) string {
				q := &w.parties[i]
				q.Acting = false
				put(w, coord.Command{Op: coord.OpWriteRecord, Lease: lease, Token: q.Checked, Sequence: q.number(), Record: []byte("x")})
				return ""
			}, "c%d acts through the agreed state", i)
		}
		if q.Acting {
			add(0.3, func(w *world) string { return w.act(i) }, "c%d's act reaches the resource", i)
		}
		if q.Life < 1 && (q.Open || q.Asked) {
			add(0.05, func(w *world) string {
				w.parties[i] = party{Life: w.parties[i].Life + 1, Dropped: map[uint64]bool{}}
				return ""
			}, "c%d is killed and starts again", i)
		}
	}
	for k, m := range w.net {
		who := fmt.Sprintf("c%d's %s", m.From, m.Cmd.Op)
		if m.Back {
			add(4, func(w *world) string {
				w.net = slices.Delete(w.net, k, k+1)
				return w.answered(m, p)
			}, "the answer to %s comes", who)
		} else {
			add(4, func(w *world) string {
				w.net = slices.Delete(w.net, k, k+1)
				return w.carryOut(m, p)
			}, "%s is carried out", who)
			if m.Repeats > 0 && len(w.net) < p.Messages {
				add(0.5, func(w *world) string {
					w.net[k].Repeats--
					again := w.net[k]
					return w.carryOut(again, p)
				}, "%s is carried out, and will be again", who)
			}
		}
		add(0.3, func(w *world) string { w.net = slices.Delete(w.net, k, k+1); return "" }, "%s is lost (back: %t)", who, m.Back)
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

// agree has a command carried out with the time that has passed at the leader.
func (w *world) agree(c coord.Command, p Params) coord.Response {
	c.Version, c.Term, c.Elapsed = coord.Version, 1, w.leaderClock(p)-w.leaderAt
	w.leaderAt = w.leaderClock(p)
	return w.machine.Apply(c, 1)
}

func (w *world) tick(p Params) string {
	w.agree(coord.Command{Op: coord.OpTick}, p)
	if w.now%(2*step) == 0 { // a snapshot is read back
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

// carryOut has a command agreed on and sends its answer.
func (w *world) carryOut(m message, p Params) string {
	said := false // it was carried out before, and is only told again
	if se := w.machine.Sessions[m.Cmd.SessionID]; se != nil {
		_, said = se.Responses[m.Cmd.Sequence]
	}
	a := w.agree(m.Cmd, p)
	if m.Cmd.Op == coord.OpWriteRecord && a.Code == coord.CodeOK && !said {
		if m.Cmd.Token < w.machine.LastToken { // there is one lease, so the newest token is its newest holder's
			return fmt.Sprintf("c%d acted in the agreed state with token %d after token %d was given", m.From, m.Cmd.Token, w.machine.LastToken)
		}
	}
	if len(w.net) < p.Messages {
		w.net = append(w.net, message{Back: true, From: m.From, Life: m.Life, Cmd: m.Cmd, Answer: a, Sent: m.Sent})
	}
	return w.promised(p)
}

// promised is the invariant: who by its own book may act holds the lease in the agreed state, with that token.
func (w *world) promised(p Params) string {
	for i := range w.parties {
		q := &w.parties[i]
		token, _, held := q.book.HeldLease(lease, w.clockOf(i, p))
		if !held {
			continue
		}
		l := w.machine.Leases[lease]
		if l == nil || l.Token != token {
			return fmt.Sprintf("c%d may act with token %d, and the coordinators have given the lease to another", i, token)
		}
	}
	if l := w.machine.Leases[lease]; l != nil {
		for i := range w.parties {
			q := &w.parties[i]
			if q.Dropped[l.Token] && l.SessionID == fmt.Sprintf("s%d.%d", i, q.Life) {
				return fmt.Sprintf("c%d has given back token %d, was told so, and holds it again", i, l.Token)
			}
			if l.SessionID == fmt.Sprintf("s%d.%d", i, q.Life) && l.AcquireSequence > 0 && l.AcquireSequence <= q.acked() && l.Token != q.Given {
				return fmt.Sprintf("c%d holds token %d by a command that it has had its answer to, and doesn't know of it", i, l.Token)
			}
		}
	}
	return ""
}

// overlap reports two that act by leases that both hold.
func (w *world) overlap(p Params) string {
	var who []int
	for i := range w.parties {
		if _, _, held := w.parties[i].book.HeldLease(lease, w.clockOf(i, p)); held && w.parties[i].Acting {
			who = append(who, i)
		}
	}
	if len(who) > 1 {
		return fmt.Sprintf("c%d and c%d act at once", who[0], who[1])
	}
	return ""
}

// act brings an act to the resource, which checks its token.
func (w *world) act(i int) string {
	q := &w.parties[i]
	q.Acting = false
	if q.Checked < w.lastAct && !failpoint.IsInjected("resource-unchecked") {
		return "" // refused
	}
	if q.Checked < w.lastAct {
		return fmt.Sprintf("c%d acted with token %d after one with token %d", i, q.Checked, w.lastAct)
	}
	if q.Checked == w.lastAct {
		return ""
	}
	for j := range w.parties {
		if j != i && w.parties[j].Acting && w.parties[j].Checked == q.Checked {
			return fmt.Sprintf("c%d and c%d act with the same token %d", i, j, q.Checked)
		}
	}
	w.lastAct = q.Checked
	return ""
}

// answered books an answer as a client does.
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
		return "" // answered before
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

// Search goes through all orders of events up to a depth, breadth first.
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
		nodes[i].w = nil // its states have been gone through
	}
	return Result{States: len(nodes), Depth: level, Whole: true}
}

// Walk goes one random way of at most so many events, by a seed.
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
