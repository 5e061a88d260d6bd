package checker

import (
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
)

// inTurn sets the times of operations that follow one another. An operation without an answer keeps To
// at 0.
func inTurn(ops ...Op) []Op {
	for i := range ops {
		ops[i].Lease, ops[i].From = "l", int64(10*i+1)
		if ops[i].Code != "" {
			ops[i].To = ops[i].From + 5
		}
	}
	return ops
}

func acquired(client string, token uint64) Op {
	return Op{Client: client, Kind: "acquire", Code: "ok", Got: token}
}

func unanswered(client string) Op { return Op{Client: client, Kind: "acquire"} }

// noSession returns an operation that was repeated until the session had ended.
func noSession(o Op) Op {
	o.Code, o.Got = "no-session", 0
	return o
}

func handedOver(client, to string, token, got uint64) Op {
	return Op{Client: client, Kind: "handover", Code: "ok", Token: token, Holder: to, Got: got}
}

// during extends the first operation over the time of the others.
func during(ops []Op) []Op {
	ops[0].To = ops[len(ops)-1].To + 1
	return ops
}

func heldBy(client, holder string, token uint64) Op {
	return Op{Client: client, Kind: "acquire", Code: "held", Got: token, Holder: holder}
}

func readAs(client, holder string, token uint64) Op {
	return Op{Client: client, Kind: "read", Code: "ok", Got: token, Holder: holder}
}

func released(client string, token uint64) Op {
	return Op{Client: client, Kind: "release", Code: "ok", Token: token}
}

func TestLeaseAnswersMustBeLinearizable(t *testing.T) {
	for name, c := range map[string]struct {
		want porcupine.CheckResult
		ops  []Op
	}{
		"one after the other": {porcupine.Ok, inTurn(acquired("a", 1), released("a", 1), acquired("b", 2))},
		"ended by itself":     {porcupine.Ok, inTurn(acquired("a", 1), acquired("b", 2))},
		"the same token to two": {porcupine.Illegal,
			inTurn(acquired("a", 1), acquired("b", 1))},
		"a token that nobody asked for": {porcupine.Illegal,
			inTurn(acquired("a", 1), heldBy("b", "a", 2))},
		"a holder that never asked": {porcupine.Illegal,
			inTurn(acquired("a", 1), heldBy("b", "c", 2))},
		"an unanswered acquire took effect": {porcupine.Ok,
			inTurn(unanswered("a"), heldBy("b", "a", 1))},
		"an unanswered acquire can't have two tokens": {porcupine.Illegal,
			inTurn(unanswered("a"), heldBy("b", "a", 1), heldBy("b", "a", 2))},
		"a lease ended, and its holder's unanswered acquire took it again": {porcupine.Ok,
			inTurn(acquired("a", 1), unanswered("a"), heldBy("b", "a", 1), heldBy("b", "a", 2))},
		"the same, seen by a read": {porcupine.Ok,
			inTurn(acquired("a", 1), unanswered("a"), readAs("b", "a", 2))},
		"the same, with an older token": {porcupine.Illegal,
			inTurn(acquired("a", 2), unanswered("a"), heldBy("b", "a", 1))},
		"the same, twice with one unanswered acquire": {porcupine.Illegal,
			inTurn(acquired("a", 1), unanswered("a"), heldBy("b", "a", 2), heldBy("b", "a", 3))},
		"the same, and the first token again": {porcupine.Illegal,
			inTurn(acquired("a", 1), unanswered("a"), heldBy("b", "a", 2), heldBy("b", "a", 1))},
		"carried out, repeated after the session's end, and taken by another meanwhile": {porcupine.Ok,
			during(inTurn(noSession(acquired("a", 0)), heldBy("b", "a", 1), readAs("c", "a", 1), acquired("b", 2)))},
		"the same, with two tokens": {porcupine.Illegal,
			during(inTurn(noSession(acquired("a", 0)), heldBy("b", "a", 1), heldBy("b", "a", 2)))},
		"carried out only after it was told that the session had ended": {porcupine.Illegal,
			inTurn(noSession(acquired("a", 0)), acquired("b", 1), heldBy("c", "a", 2))},
		"no session, and not carried out": {porcupine.Ok,
			inTurn(noSession(acquired("a", 0)), acquired("b", 1))},
		"handed over, and repeated after the session's end": {porcupine.Ok,
			inTurn(acquired("a", 1), noSession(handedOver("a", "b", 1, 0)), heldBy("c", "b", 2))},
		"handed over without having it": {porcupine.Illegal,
			inTurn(acquired("a", 2), noSession(handedOver("a", "b", 1, 0)), heldBy("c", "b", 3))},
		"not handed over, as the session had ended": {porcupine.Ok,
			inTurn(acquired("a", 1), noSession(handedOver("a", "b", 1, 0)), acquired("c", 2))},
	} {
		t.Run(name, func(t *testing.T) {
			if got := checkLinearizable(c.ops, time.Minute); got != c.want {
				t.Errorf("got %v, want %v", got, c.want)
			}
		})
	}
}
