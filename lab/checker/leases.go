package checker

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/anishathalye/porcupine"
)

// Claim is one check by a lease holder that allowed it to act. The check took place between From and
// To on the machine's clock.
type Claim struct {
	Holder string
	Lease  string
	Token  uint64
	From   int64 // nanoseconds
	To     int64
}

// Op is a command that a client sent to the coordinators, and its answer.
type Op struct {
	Client string
	Kind   string // acquire, release, handover, read, write
	Lease  string
	Token  uint64 // sent with release, handover and write
	From   int64
	To     int64  // 0 = no answer
	Code   string // a value of coord.Code; "" = no answer
	Got    uint64 // the token in the answer: granted, read (0 = free) or held by another client
	Holder string // the holder in the answer to acquire and read; the successor of a handover
}

// Act is one access to the test resource. The accesses are in the order of arrival.
type Act struct {
	Holder  string
	Lease   string
	Token   uint64
	At      int64
	Refused bool // its token was lower than an earlier one
}

// LeaseRules are the limits of CheckLeases.
type LeaseRules struct {
	Patience time.Duration // time limit of the linearizability check for each lease
}

// CheckLeases returns the violations of the lease rules:
//
//	overlap       a holder was allowed to act with an older token after another with a newer one
//	token         two holders used one token, a token was granted twice, or tokens decreased
//	fence         the resource or the replicated state accepted an older token after a newer grant
//	linear        no order of the commands explains the answers (not linearizable)
//
// undecided names the leases whose linearizability check exceeded r.Patience.
func CheckLeases(claims []Claim, ops []Op, acts []Act, r LeaseRules) (violations []Violation, undecided []string) {
	add := func(rule string, at int64, format string, v ...any) {
		if len(violations) < maxLeaseViolations {
			violations = append(violations, Violation{rule, float64(at) / 1e6, fmt.Sprintf(format, v...)})
		}
	}
	checkClaims(claims, add)
	checkActs(acts, add)
	checkTokens(ops, add)
	byLease := map[string][]Op{}
	for _, o := range ops {
		byLease[o.Lease] = append(byLease[o.Lease], o)
	}
	for lease, leaseOps := range byLease {
		switch checkLinearizable(leaseOps, r.Patience) {
		case porcupine.Illegal:
			add("linear", leaseOps[0].From, "lease %s: no order of the %d commands explains the answers",
				lease, len(leaseOps))
		case porcupine.Unknown:
			undecided = append(undecided, lease)
		}
	}
	slices.Sort(undecided)
	return violations, undecided
}

// maxLeaseViolations limits the reported violations; one is enough to fail a run.
const maxLeaseViolations = 100

// checkClaims finds claims with an older token that began after the end of a claim with a newer one,
// and tokens that two holders used.
func checkClaims(claims []Claim, add func(string, int64, string, ...any)) {
	type earliestEnd struct {
		token  uint64
		to     int64 // the end of the claim that ended first, of those with this token or a higher one
		holder string
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
			add("token", c.From, "lease %s: token %d was claimed by %s and by %s", c.Lease, c.Token, owner[k], c.Holder)
		}
	}
	for lease, leaseClaims := range byLease {
		// Highest token first: no claim may begin after the end of a claim with a higher token.
		slices.SortFunc(leaseClaims, func(a, b Claim) int { return cmp.Compare(b.Token, a.Token) })
		var higher, current earliestEnd
		for i, c := range leaseClaims {
			if i == 0 || c.Token != current.token {
				if current.to != 0 && (higher.to == 0 || current.to < higher.to) {
					higher = current
				}
				current = earliestEnd{c.Token, c.To, c.Holder}
			} else if c.To < current.to {
				current.to, current.holder = c.To, c.Holder
			}
			if higher.to != 0 && c.From > higher.to {
				add("overlap", c.From, "lease %s: %s was allowed to act with token %d, %.1f ms after %s with token %d",
					lease, c.Holder, c.Token, float64(c.From-higher.to)/1e6, higher.holder, higher.token)
			}
		}
	}
}

// checkActs checks that the resource accepted tokens in increasing order, and each from one holder.
func checkActs(acts []Act, add func(string, int64, string, ...any)) {
	top := map[string]uint64{}
	owner := map[string]string{}
	for _, a := range acts {
		if a.Refused {
			continue
		}
		if a.Token < top[a.Lease] {
			add("fence", a.At, "lease %s: %s acted with token %d after an act with token %d",
				a.Lease, a.Holder, a.Token, top[a.Lease])
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

// checkTokens compares grants and writes by time: a grant that was requested after the answer to
// another grant must have the higher token, and a write that was sent after the answer to a newer
// grant must be refused.
func checkTokens(ops []Op, add func(string, int64, string, ...any)) {
	type grant struct {
		at    int64
		token uint64
	}
	grants := map[string][]grant{} // in the order of their answers, with increasing tokens
	answered := slices.Clone(ops)
	slices.SortFunc(answered, func(a, b Op) int { return cmp.Compare(a.To, b.To) })
	for _, o := range answered {
		if o.To != 0 && o.Code == "ok" && (o.Kind == "acquire" || o.Kind == "handover") {
			g := grants[o.Lease]
			if len(g) == 0 || g[len(g)-1].token < o.Got {
				grants[o.Lease] = append(g, grant{o.To, o.Got})
			}
		}
	}
	before := func(lease string, at int64) uint64 { // the highest token granted before that time
		g := grants[lease]
		i, _ := slices.BinarySearchFunc(g, at, func(g grant, at int64) int { return cmp.Compare(g.at, at) })
		if i == 0 {
			return 0
		}
		return g[i-1].token
	}
	for _, o := range answered {
		if o.To == 0 || o.Code != "ok" {
			continue
		}
		top := before(o.Lease, o.From)
		switch o.Kind {
		case "acquire", "handover":
			if o.Got < top {
				add("token", o.To, "lease %s: token %d was granted after token %d", o.Lease, o.Got, top)
			}
		case "write":
			if o.Token < top {
				add("fence", o.To, "lease %s: %s wrote with token %d after token %d was granted",
					o.Lease, o.Client, o.Token, top)
			}
		}
	}
}

// leaseState is the model of one lease: its holder, its token (0 = not known yet) and the highest
// token granted.
type leaseState struct {
	holder string // "" = free
	token  uint64
	top    uint64
}

// leaseModel is the sequential specification of a lease. It does not model the time to live: a lease
// may expire at any moment, so a step may lead to several states. checkClaims covers the expiry.
var leaseModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{leaseState{}} },
	Step: func(state, input, output any) []any {
		s, in, out := state.(leaseState), input.(Op), output.(Op)
		free := leaseState{top: max(s.top, s.token)}
		var next []any
		// stateHeldBy returns the state in which h holds token t, and whether s may be that state.
		stateHeldBy := func(h string, t uint64) (leaseState, bool) {
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
			case "": // no answer: executed or not; the client may be the holder whose lease expired
				next = append(next, s, leaseState{in.Client, 0, free.top})
			case "ok":
				if same, ok := stateHeldBy(in.Client, out.Got); ok {
					next = append(next, same)
				} else if out.Got > free.top {
					next = append(next, leaseState{in.Client, out.Got, out.Got})
				}
			case "held":
				if same, ok := stateHeldBy(out.Holder, out.Got); ok {
					next = append(next, same)
				}
			case "no-session": // a repeat arrived after the session's end; the first copy may have been executed
				next = append(next, s, free, leaseState{in.Client, 0, free.top})
			default:
				next = append(next, s, free)
			}
		case "release", "handover":
			mine, ok := stateHeldBy(in.Client, in.Token)
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
			default: // not held: the lease may have expired
				if ok && in.Kind == "handover" && out.Code == "no-session" { // see acquire
					next = append(next, after)
				}
				if ok {
					next = append(next, free)
				} else {
					next = append(next, s)
				}
			}
		case "write":
			_, ok := stateHeldBy(in.Client, in.Token)
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
				if same, ok := stateHeldBy(out.Holder, out.Got); ok {
					next = append(next, same)
				}
			}
		}
		return next
	},
	Equal: func(a, b any) bool { return a == b },
}

// checkLinearizable reports whether some order of a lease's commands explains all answers, with each
// command executed between its sending and its answer.
func checkLinearizable(ops []Op, timeout time.Duration) porcupine.CheckResult {
	var history []porcupine.Operation
	clients := map[string]int{}
	end := int64(0)
	for _, o := range ops {
		end = max(end, o.To, o.From)
	}
	for _, o := range ops {
		if o.To == 0 && (o.Kind == "read" || o.Kind == "write") {
			continue // it has no answer to check, and no effect in the model
		}
		if _, ok := clients[o.Client]; !ok {
			clients[o.Client] = len(clients)
		}
		to := o.To
		if to == 0 {
			to = end + 1
		}
		history = append(history, porcupine.Operation{
			ClientId: clients[o.Client], Input: o, Output: o, Call: o.From, Return: to,
		})
	}
	m := leaseModel.ToModel()
	return porcupine.CheckOperationsTimeout(m, history, timeout)
}
