package checker

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/anishathalye/porcupine"
)

// Claim is a moment at which a holder's own check said that it may act: somewhere between From and To on the machine's clock.
type Claim struct {
	Holder string
	Lease  string
	Token  uint64
	From   int64 // nanoseconds
	To     int64
}

// Op is what a client asked the coordinators, and what it was told.
type Op struct {
	Client string
	Kind   string // acquire, release, handover, read, write
	Lease  string
	Token  uint64 // of release, handover, write
	From   int64
	To     int64  // 0 = no answer ever came
	Code   string // as coord.Code; "" = no answer
	Got    uint64 // token: given, read (0 = free) or held by another
	Holder string // held, read, handed over to
}

// Act is what reached the stand-in resource, in the order in which it came.
type Act struct {
	Holder  string
	Lease   string
	Token   uint64
	At      int64
	Refused bool // its token was lower than one seen
}

// LeaseRules are what JudgeLeases goes by.
type LeaseRules struct {
	Patience time.Duration // of the linearizability check, for each lease
}

// CheckLeases lists what broke a rule of leases:
//
//	overlap       an older token was acted on after a newer one was
//	token         one token was used by two holders, or given twice, or tokens fell
//	fence         the resource or the agreed state took an older token after a newer holder was named
//	linear        no order of the commands explains the answers
//
// undecided names leases whose order could not be decided within the patience.
func CheckLeases(claims []Claim, ops []Op, acts []Act, r LeaseRules) (broken []Violation, undecided []string) {
	add := func(rule string, at int64, form string, v ...any) {
		if len(broken) < maxBreaches {
			broken = append(broken, Violation{rule, float64(at) / 1e6, fmt.Sprintf(form, v...)})
		}
	}
	judgeClaims(claims, add)
	judgeActs(acts, add)
	judgeTokens(ops, add)
	by := map[string][]Op{}
	for _, o := range ops {
		by[o.Lease] = append(by[o.Lease], o)
	}
	for lease, part := range by {
		switch linear(part, r.Patience) {
		case porcupine.Illegal:
			add("linear", part[0].From, "lease %s: no order of the %d commands explains the answers", lease, len(part))
		case porcupine.Unknown:
			undecided = append(undecided, lease)
		}
	}
	slices.Sort(undecided)
	return broken, undecided
}

// maxBreaches bounds what is told; one is enough to fail.
const maxBreaches = 100

// judgeClaims finds a claim of an older token that lies wholly after a claim of a newer one.
func judgeClaims(claims []Claim, add func(string, int64, string, ...any)) {
	type newest struct {
		token uint64
		to    int64 // the end of the earliest claim of a token at least this high
		who   string
	}
	byLease := map[string][]Claim{}
	owner := map[string]string{}
	for _, c := range claims {
		byLease[c.Lease] = append(byLease[c.Lease], c)
		k := fmt.Sprint(c.Lease, " ", c.Token)
		if owner[k] == "" {
			owner[k] = c.Holder
		}
		if owner[k] != c.Holder {
			add("token", c.From, "lease %s: token %d was acted on by %s and by %s", c.Lease, c.Token, owner[k], c.Holder)
		}
	}
	for lease, part := range byLease {
		// By falling token: the earliest end of any claim with a higher one must not lie before a claim's beginning.
		slices.SortFunc(part, func(a, b Claim) int { return cmp.Compare(b.Token, a.Token) })
		var best, same newest
		for i, c := range part {
			if i == 0 || c.Token != same.token {
				if same.to != 0 && (best.to == 0 || same.to < best.to) {
					best = same
				}
				same = newest{c.Token, c.To, c.Holder}
			} else if c.To < same.to {
				same.to, same.who = c.To, c.Holder
			}
			if best.to != 0 && c.From > best.to {
				add("overlap", c.From, "lease %s: %s might act with token %d, %.1f ms after %s did with token %d", lease, c.Holder, c.Token,
					float64(c.From-best.to)/1e6, best.who, best.token)
			}
		}
	}
}

// judgeActs holds what the resource took against the tokens' order.
func judgeActs(acts []Act, add func(string, int64, string, ...any)) {
	top := map[string]uint64{}
	owner := map[string]string{}
	for _, a := range acts {
		if a.Refused {
			continue
		}
		if a.Token < top[a.Lease] {
			add("fence", a.At, "lease %s: %s acted with token %d after one with token %d", a.Lease, a.Holder, a.Token, top[a.Lease])
		}
		top[a.Lease] = max(top[a.Lease], a.Token)
		k := fmt.Sprint(a.Lease, " ", a.Token)
		if owner[k] == "" {
			owner[k] = a.Holder
		}
		if owner[k] != a.Holder {
			add("token", a.At, "lease %s: token %d was used by %s and by %s", a.Lease, a.Token, owner[k], a.Holder)
		}
	}
}

// judgeTokens holds grants and writes against each other by time: a grant that began after another had been answered has the
// higher token, and a write that began after a newer grant had been answered is refused.
func judgeTokens(ops []Op, add func(string, int64, string, ...any)) {
	type grant struct {
		at    int64
		token uint64
	}
	grants := map[string][]grant{} // by when they were answered, tokens rising
	part := slices.Clone(ops)
	slices.SortFunc(part, func(a, b Op) int { return cmp.Compare(a.To, b.To) })
	for _, o := range part {
		if o.To != 0 && o.Code == "ok" && (o.Kind == "acquire" || o.Kind == "handover") {
			g := grants[o.Lease]
			if len(g) == 0 || g[len(g)-1].token < o.Got {
				grants[o.Lease] = append(g, grant{o.To, o.Got})
			}
		}
	}
	before := func(lease string, at int64) uint64 { // the highest token that had been given by then
		g := grants[lease]
		i, _ := slices.BinarySearchFunc(g, at, func(g grant, at int64) int { return cmp.Compare(g.at, at) })
		if i == 0 {
			return 0
		}
		return g[i-1].token
	}
	for _, o := range part {
		if o.To == 0 || o.Code != "ok" {
			continue
		}
		top := before(o.Lease, o.From)
		switch o.Kind {
		case "acquire", "handover":
			if o.Got < top {
				add("token", o.To, "lease %s: token %d was given after token %d", o.Lease, o.Got, top)
			}
		case "write":
			if o.Token < top {
				add("fence", o.To, "lease %s: %s wrote with token %d after token %d was given", o.Lease, o.Client, o.Token, top)
			}
		}
	}
}

// leaseState is one lease in the model: who holds it with which token (0: not known yet), and the highest token given.
type leaseState struct {
	holder string // "" = free
	token  uint64
	top    uint64
}

// leaseModel is the sequential lease. Its time to live is left out: a lease may end by itself at any moment, which claims are held
// against elsewhere. So a step may lead to several states.
var leaseModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{leaseState{}} },
	Step: func(state, input, output any) []any {
		s, in, out := state.(leaseState), input.(Op), output.(Op)
		free := leaseState{top: max(s.top, s.token)}
		var next []any
		// is returns the state in which h holds token t, if s can be that one.
		is := func(h string, t uint64) (leaseState, bool) {
			if s.holder != h || h == "" {
				return s, false
			}
			if s.token == 0 && t > s.top {
				return leaseState{h, t, t}, true
			}
			return s, s.token == t
		}
		switch in.Kind {
		case "acquire":
			switch out.Code {
			case "": // never answered: carried out or not, by the holder too where its lease had ended by itself
				next = append(next, s, leaseState{in.Client, 0, free.top})
			case "ok":
				if same, ok := is(in.Client, out.Got); ok {
					next = append(next, same)
				} else if out.Got > free.top {
					next = append(next, leaseState{in.Client, out.Got, out.Got})
				}
			case "held":
				if same, ok := is(out.Holder, out.Got); ok {
					next = append(next, same)
				}
			case "no-session": // a repeat came after the session's end: the first sending may have been carried out before
				next = append(next, s, free, leaseState{in.Client, 0, free.top})
			default:
				next = append(next, s, free)
			}
		case "release", "handover":
			mine, ok := is(in.Client, in.Token)
			after := leaseState{top: max(free.top, in.Token)}
			if in.Kind == "handover" {
				after = leaseState{in.Holder, out.Got, max(after.top, out.Got)}
			}
			switch out.Code {
			case "":
				next = append(next, s)
				if ok {
					next = append(next, after)
				}
			case "ok":
				if ok && (in.Kind == "release" || out.Got > mine.top) {
					next = append(next, after)
				}
			case "no-client", "old", "full", "bad", "lost":
				next = append(next, s)
			default: // not held: it may have ended
				if ok && in.Kind == "handover" && out.Code == "no-session" { // as of acquire
					next = append(next, after)
				}
				if ok {
					next = append(next, free)
				} else {
					next = append(next, s)
				}
			}
		case "write":
			_, ok := is(in.Client, in.Token)
			switch {
			case out.Code == "ok" && ok:
				next = append(next, s)
			case out.Code == "ok":
			case ok && out.Code == "not-held":
				next = append(next, free)
			default:
				next = append(next, s)
			}
		case "read":
			switch {
			case out.Code != "ok":
				next = append(next, s)
			case out.Got == 0:
				next = append(next, free)
			default:
				if same, ok := is(out.Holder, out.Got); ok {
					next = append(next, same)
				}
			}
		}
		return next
	},
	Equal: func(a, b any) bool { return a == b },
}

// linear reports whether some order of a lease's commands, each between its sending and its answer, explains all answers.
func linear(ops []Op, patience time.Duration) porcupine.CheckResult {
	var history []porcupine.Operation
	clients := map[string]int{}
	end := int64(0)
	for _, o := range ops {
		end = max(end, o.To, o.From)
	}
	for _, o := range ops {
		if o.To == 0 && (o.Kind == "read" || o.Kind == "write") {
			continue // it tells nothing and changes nothing that the model knows
		}
		if _, ok := clients[o.Client]; !ok {
			clients[o.Client] = len(clients)
		}
		to := o.To
		if to == 0 {
			to = end + 1
		}
		history = append(history, porcupine.Operation{ClientId: clients[o.Client], Input: o, Output: o, Call: o.From, Return: to})
	}
	m := leaseModel.ToModel()
	return porcupine.CheckOperationsTimeout(m, history, patience)
}
