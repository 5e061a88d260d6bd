package checker

import "testing"

func TestAttemptsAfterDisconnectAreReported(t *testing.T) {
	const (
		first = `0 sent read request=q{n}
200 disconnected request=q{n}
%AT received s1 request=q{n}`
		further = `0 sent read request=q{n}
1 received s1 request=q{n}
250 ended s1 missed request=q{n}
200 disconnected request=q{n}
%AT received o request=q{n}`
		hung = `0 sent read request=q{n}
1 received s1 request=q{n}
1050 ended s1 dropped request=q{n}
1250 timed-out request=q{n}
%AT received s2 request=q{n}`
	)
	answered := withTime(hung, "1400") // it also has no answer in time, which violates another rule
	expectRules(t, rules, []ruleCase{
		{"none after the close", "", repeat(20, "0 sent read request=q{n}\n200 disconnected request=q{n}")},
		{"it crosses the close", "", repeat(20, withTime(first, "290"))},
		{"a further one crosses the close", "", repeat(20, withTime(further, "290"))},
		{"two first ones", "", repeat(2, withTime(first, "310"))},
		{"three first ones", "lost", repeat(3, withTime(first, "310"))},
		{"three further ones", "lost", repeat(3, withTime(further, "310"))},
	})
	if got := brokenRules(t, rules, repeat(3, answered)); got["lost"] != 1 {
		t.Errorf("attempts after a client waited past its deadline: got %v", got)
	}
	late := rules
	late.MachineLateMS = 50
	expectRules(t, late, []ruleCase{{"the machine was late", "", repeat(20, withTime(first, "310"))}})
}

func TestWaitingRequestsSentAfterDisconnectAreReported(t *testing.T) {
	const (
		never = "0 sent read request=x{n}\n200 disconnected request=x{n}"
		sent  = "0 sent read request=q{n}\n200 disconnected request=q{n}\n%AT received s1 request=q{n}"
	)
	for _, c := range []struct {
		name, text   string
		disconnected int
	}{
		{"four of four", repeat(4, withTime(sent, "510")), 0},
		{"five of five", repeat(5, withTime(sent, "510")), 1},
		{"five of twenty", repeat(5, withTime(sent, "510")) + repeat(15, never), 0},
		{"six of twenty", repeat(6, withTime(sent, "510")) + repeat(14, never), 1},
		{"within the time", repeat(6, withTime(sent, "490")) + repeat(14, never), 0},
		{"the first attempt was before", repeat(9, "0 sent read request=q{n}\n1 received s1 request=q{n}\n5 ended s1 missed request=q{n}\n200 disconnected request=q{n}\n510 received o request=q{n}"), 0},
	} {
		if got := brokenRules(t, rules, c.text); got["disconnected"] != c.disconnected {
			t.Errorf("%s: got violations %v", c.name, got)
		}
	}
}
