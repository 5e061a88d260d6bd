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
	Clients           int
	Depth             int     // events from the first state
	MaxInFlight       int     // most messages in flight at once, both directions together
	MaxStates         int     // the search stops after so many states
	MaxClockRateError float64 // bound of the clock rate error, as a share
	StartWithLease    bool    // start with a session for each client and the lease held by the first
}

// Result is the outcome of a search.
type Result struct {
	States, Depth int
	IsComplete    bool     // all states up to Params.Depth were explored
	Violation     string   // the property that was violated; empty: none
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
	IsResponse  bool // it is a response
	ClientIndex int  // index of the client
	Incarnation int  // incarnation of the client that sent it
	Request     coord.Command
	Reply       coord.Response
	Sent        time.Duration // when the command was sent, on the client's clock
	Duplicates  int           // how often it may still be duplicated
}

// clientState is the state of one client.
type clientState struct {
	leases              client.LeaseTable
	Incarnation         int           // number of restarts
	Session             int           // unused; part of the encoded state
	HasRequestedSession bool          // it has requested a session
	HasOpenSession      bool          // it has a session, as far as it knows
	LastSequence        uint64        // sequence number of its last numbered command
	Pending             []uint64      // sequence numbers of its commands without a response yet, ascending
	IsAcquiring         bool          // its acquire has no response yet
	AcquireSequence     uint64        // sequence number of the acquire
	AcquireSentAt       time.Duration // when it first sent the acquire, on its clock
	Token               uint64        // of the lease that it holds by its lease table
	LastGrantedToken    uint64        // token in its last grant
	IsActing            bool          // it has checked that it holds the lease with CheckedToken, and has not acted yet
	CheckedToken        uint64
	ReleasedTokens      map[uint64]bool // tokens whose release or transfer was confirmed to it
}

// state is one state of the model.
type state struct {
	machine       *coord.State
	now           time.Duration // the true time since the start
	leaderTime    time.Duration // the leader's clock when it last applied a command
	clients       []clientState
	inFlight      []message
	resourceToken uint64 // the highest token that the resource has accepted
}

// acknowledgedThrough returns the sequence number up to which all responses have been received.
func (q *clientState) acknowledgedThrough() uint64 {
	if len(q.Pending) > 0 {
		return q.Pending[0] - 1
	}
	return q.LastSequence
}

// nextSequence returns the sequence number of the next command and marks it as without a response.
func (q *clientState) nextSequence() uint64 {
	q.LastSequence++
	q.Pending = append(q.Pending, q.LastSequence)
	return q.LastSequence
}

// clockRate returns the clock rate of a client: in turn the slowest, the fastest and the true one. The
// leader's clock runs at the fastest rate.
func clockRate(i int, bound float64) float64 { return 1 + bound*[]float64{-1, 1, 0}[i%3] }

func (w *state) clientClock(i int, p Params) time.Duration {
	return time.Duration(float64(w.now) * clockRate(i, p.MaxClockRateError))
}

func (w *state) leaderClock(p Params) time.Duration {
	return time.Duration(float64(w.now) * (1 + p.MaxClockRateError))
}

func (w *state) clone() *state {
	c := *w
	c.machine = w.machine.Clone()
	c.clients = slices.Clone(w.clients)
	for i := range c.clients {
		c.clients[i].leases = w.clients[i].leases.Clone()
		d := map[uint64]bool{}
		for t := range w.clients[i].ReleasedTokens {
			d[t] = true
		}
		c.clients[i].ReleasedTokens = d
	}
	c.inFlight = slices.Clone(w.inFlight)
	return &c
}

// hash returns a hash of the state, by which Search recognizes states that it has explored.
func (w *state) hash() uint64 {
	h := xxhash.New()
	text, _ := w.machine.Marshal() // does not fail for states built by commands
	_, _ = h.Write(text)
	var n [8]byte
	num := func(v uint64) {
		binary.LittleEndian.PutUint64(n[:], v)
		_, _ = h.Write(n[:])
	}
	num(uint64(w.now))
	num(uint64(w.leaderTime))
	num(w.resourceToken)
	for i := range w.clients {
		p := w.clients[i]
		text, _ := json.Marshal(p) // does not fail: only numbers, strings and maps
		_, _ = h.Write(text)
		_, _ = h.Write([]byte(p.leases.Fingerprint()))
	}
	var msgs [][]byte
	for _, m := range w.inFlight {
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

func newState(p Params) *state {
	w := &state{machine: coord.New()}
	w.machine.Apply(coord.Command{Version: coord.Version, Op: coord.OpSetClockRate,
		ClockRateBound: p.MaxClockRateError}, 1)
	for range p.Clients {
		w.clients = append(w.clients, clientState{ReleasedTokens: map[uint64]bool{}})
	}
	for i := range w.clients {
		if !p.StartWithLease {
			break
		}
		q, id := &w.clients[i], fmt.Sprintf("s%d.0", i)
		w.applyCommand(coord.Command{Op: coord.OpOpenSession, SessionID: id, Client: fmt.Sprintf("c%d", i), TTL: ttl}, p)
		q.leases.RecordSessionOpened(ttl, 0, 0)
		q.HasRequestedSession, q.HasOpenSession = true, true
		if i == 0 {
			q.LastSequence = 1
			q.Token = w.applyCommand(coord.Command{Op: coord.OpAcquire, SessionID: id, Lease: lease,
				TTL: ttl, Sequence: 1}, p).Token
			q.LastGrantedToken = q.Token
			q.leases.RecordGrant(lease, q.Token, ttl, 0, 0)
		}
	}
	return w
}

// event is a possible transition from a state.
type event struct {
	name   string
	weight float64             // relative probability in a random walk
	apply  func(*state) string // returns the violated property, or ""
}

// events returns all transitions that are possible in the state.
func (w *state) events(p Params) (all []event) {
	add := func(weight float64, do func(*state) string, form string, v ...any) {
		all = append(all, event{fmt.Sprintf(form, v...), weight, do})
	}
	add(1, func(w *state) string { w.now += step; return "" }, "the clock advances")
	add(0.5, func(w *state) string { return w.tick(p) }, "the leader applies a tick")
	for i := range w.clients {
		q := &w.clients[i]
		now := w.clientClock(i, p)
		canSend := len(w.inFlight) < p.MaxInFlight
		session := fmt.Sprintf("s%d.%d", i, q.Incarnation)
		sendCommand := func(w *state, c coord.Command) {
			q := &w.clients[i]
			c.Version, c.SessionID, c.AcknowledgedThrough = coord.Version, session, q.acknowledgedThrough()
			w.inFlight = append(w.inFlight, message{ClientIndex: i, Incarnation: q.Incarnation,
				Request: c, Sent: w.clientClock(i, p), Duplicates: 1})
		}
		_, _, held := q.leases.HeldLease(lease, now)
		if canSend && !q.HasRequestedSession && !q.HasOpenSession {
			add(2, func(w *state) string {
				w.clients[i].HasRequestedSession = true
				sendCommand(w, coord.Command{Op: coord.OpOpenSession, Client: fmt.Sprintf("c%d", i), TTL: ttl})
				return ""
			}, "c%d requests a session", i)
		}
		if canSend && q.HasOpenSession && q.leases.HasSession(now) && w.pendingCommands(i, coord.OpKeepAlive) == 0 {
			add(2, func(w *state) string { sendCommand(w, coord.Command{Op: coord.OpKeepAlive}); return "" },
				"c%d sends a keep-alive", i)
		}
		if canSend && q.HasOpenSession && !q.IsAcquiring && !held {
			add(2, func(w *state) string {
				q := &w.clients[i]
				q.IsAcquiring, q.AcquireSentAt = true, w.clientClock(i, p)
				sendCommand(w, coord.Command{Op: coord.OpAcquire, Lease: lease, TTL: ttl, Sequence: q.nextSequence()})
				q.AcquireSequence = q.LastSequence
				return ""
			}, "c%d requests the lease", i)
		}
		if canSend && q.HasOpenSession && q.IsAcquiring && w.pendingCommands(i, coord.OpAcquire) == 0 {
			add(1, func(w *state) string {
				sendCommand(w, coord.Command{Op: coord.OpAcquire, Lease: lease, TTL: ttl,
					Sequence: w.clients[i].AcquireSequence})
				return ""
			}, "c%d repeats its request for the lease", i)
		}
		if held && !q.IsActing {
			add(1, func(w *state) string {
				q := &w.clients[i]
				q.IsActing, q.CheckedToken = true, q.Token
				return w.checkOverlap(p)
			}, "c%d checks the lease and begins to act", i)
			if canSend && !q.IsAcquiring {
				giveUp := func(op coord.Op, to string) func(*state) string {
					return func(w *state) string {
						q := &w.clients[i]
						q.leases.Forget(lease, q.Token)
						sendCommand(w, coord.Command{Op: op, Lease: lease, Token: q.Token,
							Sequence: q.nextSequence(), Successor: to})
						return ""
					}
				}
				add(0.3, giveUp(coord.OpRelease, ""), "c%d releases the lease", i)
				add(0.3, giveUp(coord.OpTransfer, fmt.Sprintf("c%d", (i+1)%len(w.clients))), "c%d transfers the lease", i)
			}
		}
		if q.IsActing && canSend {
			add(0.3, func(w *state) string {
				q := &w.clients[i]
				q.IsActing = false
				sendCommand(w, coord.Command{Op: coord.OpWriteRecord, Lease: lease, Token: q.CheckedToken,
					Sequence: q.nextSequence(), Record: []byte("x")})
				return ""
			}, "c%d writes a record to the state machine", i)
		}
		if q.IsActing {
			add(0.3, func(w *state) string { return w.writeToResource(i) }, "c%d's write reaches the resource", i)
		}
		if q.Incarnation < 1 && (q.HasOpenSession || q.HasRequestedSession) {
			add(0.05, func(w *state) string {
				w.clients[i] = clientState{Incarnation: w.clients[i].Incarnation + 1, ReleasedTokens: map[uint64]bool{}}
				return ""
			}, "c%d is killed and restarted", i)
		}
	}
	for k, m := range w.inFlight {
		who := fmt.Sprintf("c%d's %s", m.ClientIndex, m.Request.Op)
		if m.IsResponse {
			add(4, func(w *state) string {
				w.inFlight = slices.Delete(w.inFlight, k, k+1)
				return w.deliverResponse(m, p)
			}, "the response to %s is received", who)
		} else {
			add(4, func(w *state) string {
				w.inFlight = slices.Delete(w.inFlight, k, k+1)
				return w.deliverCommand(m, p)
			}, "%s is applied", who)
			if m.Duplicates > 0 && len(w.inFlight) < p.MaxInFlight {
				add(0.5, func(w *state) string {
					w.inFlight[k].Duplicates--
					again := w.inFlight[k]
					return w.deliverCommand(again, p)
				}, "%s is applied, and a duplicate remains", who)
			}
		}
		add(0.3, func(w *state) string { w.inFlight = slices.Delete(w.inFlight, k, k+1); return "" },
			"%s is lost (response: %t)", who, m.IsResponse)
	}
	return all
}

func (w *state) pendingCommands(i int, op coord.Op) (n int) {
	for _, m := range w.inFlight {
		if m.ClientIndex == i && m.Incarnation == w.clients[i].Incarnation && m.Request.Op == op {
			n++
		}
	}
	return n
}

// applyCommand applies a command to the state machine, with the time elapsed on the leader's clock.
func (w *state) applyCommand(c coord.Command, p Params) coord.Response {
	c.Version, c.Term, c.Elapsed = coord.Version, 1, w.leaderClock(p)-w.leaderTime
	w.leaderTime = w.leaderClock(p)
	return w.machine.Apply(c, 1)
}

func (w *state) tick(p Params) string {
	w.applyCommand(coord.Command{Op: coord.OpTick}, p)
	if w.now%(2*step) == 0 { // restore the state machine from a snapshot
		text, err := w.machine.Marshal()
		if err == nil {
			w.machine, err = coord.Unmarshal(text)
		}
		if err != nil {
			return err.Error()
		}
	}
	return w.checkInvariants(p)
}

// deliverCommand applies the command of a message and sends its response.
func (w *state) deliverCommand(m message, p Params) string {
	isRepeated := false // the command was applied before, and its stored response is returned
	if se := w.machine.Sessions[m.Request.SessionID]; se != nil {
		_, isRepeated = se.Responses[m.Request.Sequence]
	}
	a := w.applyCommand(m.Request, p)
	if m.Request.Op == coord.OpWriteRecord && a.Code == coord.CodeOK && !isRepeated {
		if m.Request.Token < w.machine.LastToken { // there is only one lease, so LastToken is the token of its latest holder
			return fmt.Sprintf("c%d wrote a record with token %d after token %d was granted",
				m.ClientIndex, m.Request.Token, w.machine.LastToken)
		}
	}
	if len(w.inFlight) < p.MaxInFlight {
		w.inFlight = append(w.inFlight, message{IsResponse: true, ClientIndex: m.ClientIndex, Incarnation: m.Incarnation,
			Request: m.Request, Reply: a, Sent: m.Sent})
	}
	return w.checkInvariants(p)
}

// checkInvariants checks the invariant: a client that holds the lease by its own lease table holds it with the
// same token in the state machine. It also checks that a token that was given back is not held again, and
// that a client knows the token of each acquire whose response it has received.
func (w *state) checkInvariants(p Params) string {
	for i := range w.clients {
		q := &w.clients[i]
		token, _, held := q.leases.HeldLease(lease, w.clientClock(i, p))
		if !held {
			continue
		}
		l := w.machine.Leases[lease]
		if l == nil || l.Token != token {
			return fmt.Sprintf("c%d holds the lease with token %d by its lease table, but not in the state machine", i, token)
		}
	}
	if l := w.machine.Leases[lease]; l != nil {
		for i := range w.clients {
			q := &w.clients[i]
			if q.ReleasedTokens[l.Token] && l.SessionID == fmt.Sprintf("s%d.%d", i, q.Incarnation) {
				return fmt.Sprintf("c%d holds token %d again after its release was confirmed", i, l.Token)
			}
			if l.SessionID == fmt.Sprintf("s%d.%d", i, q.Incarnation) && l.AcquireSequence > 0 &&
				l.AcquireSequence <= q.acknowledgedThrough() && l.Token != q.LastGrantedToken {
				return fmt.Sprintf("c%d holds token %d by an acquire whose response it received, but its lease table lacks it",
					i, l.Token)
			}
		}
	}
	return ""
}

// checkOverlap checks that no two clients act while both hold the lease by their lease tables.
func (w *state) checkOverlap(p Params) string {
	var who []int
	for i := range w.clients {
		if _, _, held := w.clients[i].leases.HeldLease(lease, w.clientClock(i, p)); held && w.clients[i].IsActing {
			who = append(who, i)
		}
	}
	if len(who) > 1 {
		return fmt.Sprintf("c%d and c%d act at the same time", who[0], who[1])
	}
	return ""
}

// writeToResource delivers a write of a client to the resource, which checks its fencing token.
func (w *state) writeToResource(i int) string {
	q := &w.clients[i]
	q.IsActing = false
	if q.CheckedToken < w.resourceToken && !failpoint.IsInjected("resource-unchecked") {
		return "" // rejected
	}
	if q.CheckedToken < w.resourceToken {
		return fmt.Sprintf("c%d wrote to the resource with token %d after a write with token %d",
			i, q.CheckedToken, w.resourceToken)
	}
	if q.CheckedToken == w.resourceToken {
		return ""
	}
	for j := range w.clients {
		if j != i && w.clients[j].IsActing && w.clients[j].CheckedToken == q.CheckedToken {
			return fmt.Sprintf("c%d and c%d use the same token %d", i, j, q.CheckedToken)
		}
	}
	w.resourceToken = q.CheckedToken
	return ""
}

// deliverResponse processes a response as the client does.
func (w *state) deliverResponse(m message, p Params) string {
	q := &w.clients[m.ClientIndex]
	if m.Incarnation != q.Incarnation {
		return ""
	}
	now := w.clientClock(m.ClientIndex, p)
	switch m.Request.Op {
	case coord.OpOpenSession:
		if q.HasOpenSession || m.Reply.Code != coord.CodeOK {
			return ""
		}
		q.leases.RecordSessionOpened(ttl, m.Sent, now)
		q.HasOpenSession = q.leases.HasSession(now)
		return w.checkInvariants(p)
	case coord.OpKeepAlive:
		switch m.Reply.Code {
		case coord.CodeOK:
			q.leases.RecordKeepAlive(m.Sent, now)
		case coord.CodeNoSession:
			q.leases.RecordSessionLost()
			q.HasOpenSession = false
		}
		return w.checkInvariants(p)
	}
	k := slices.Index(q.Pending, m.Request.Sequence)
	if k < 0 {
		return "" // a response was processed before
	}
	q.Pending = slices.Delete(slices.Clone(q.Pending), k, k+1)
	switch {
	case m.Request.Op == coord.OpAcquire:
		q.IsAcquiring = false
		if m.Reply.Code == coord.CodeOK {
			q.LastGrantedToken = m.Reply.Token
			if q.leases.RecordGrant(lease, m.Reply.Token, ttl, q.AcquireSentAt, now) {
				q.Token = m.Reply.Token
			}
		}
	case m.Reply.Code == coord.CodeOK && m.Request.Op != coord.OpWriteRecord:
		q.ReleasedTokens[m.Request.Token] = true
	}
	return w.checkInvariants(p)
}

// Search explores all orders of events up to Params.Depth, breadth first. It stops at the first violation
// and after Params.States states.
func Search(p Params) Result {
	type node struct {
		w      *state
		parent int
		what   string
	}
	first := newState(p)
	nodes := []node{{w: first, parent: -1}}
	seen := map[uint64]bool{first.hash(): true}
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
			return Result{States: len(nodes), Depth: level, IsComplete: true}
		}
		w := nodes[i].w
		for _, e := range w.events(p) {
			next := w.clone()
			if broken := e.apply(next); broken != "" {
				return Result{States: len(nodes), Depth: level + 1, Violation: broken, Trace: trace(i, e.name)}
			}
			if k := next.hash(); !seen[k] {
				seen[k] = true
				nodes = append(nodes, node{next, i, e.name})
				if len(nodes) >= p.MaxStates {
					return Result{States: len(nodes), Depth: level}
				}
			}
		}
		nodes[i].w = nil // its successors have been explored; free the memory
	}
	return Result{States: len(nodes), Depth: level, IsComplete: true}
}

// Walk follows one random order of at most so many events, chosen by the seed. It stops at the first
// violation.
func Walk(p Params, seed uint64, events int) Result {
	rng := rand.New(rand.NewPCG(seed, 17))
	w := newState(p)
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
		trace = append(trace, e.name)
		if broken := e.apply(w); broken != "" {
			return Result{States: n + 1, Depth: n + 1, Violation: broken, Trace: trace}
		}
	}
	return Result{States: events, Depth: events}
}
