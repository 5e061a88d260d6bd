package checker

import "testing"

func TestTooManyUnansweredRequestsAreReported(t *testing.T) {
	const (
		inTime = `0 sent read request=q{n}
1 received s1 request=q{n}
1045 ended s1 completed request=q{n}
1049 answer served request=q{n}`
		late = `0 sent read request=late{n}
1 received s1 request=late{n}
1500 ended s1 completed request=late{n}
1540 answer served request=late{n}`
		lateRefusal  = "0 sent read request=late{n}\n1100 answer refused request=late{n}"
		disconnected = "0 sent read request=late{n}\n900 disconnected request=late{n}"
		paused       = "\n500 paused"
	)
	expectRules(t, rules, []ruleCase{
		{"within the slack", "", repeat(100, inTime)},
		{"five late", "", repeat(5, late)},
		{"six late", "unanswered", repeat(6, late)},
		{"six late refusals", "unanswered", repeat(6, lateRefusal)},
		{"one in 500 more", "", repeat(6, late) + repeat(494, inTime)},
		{"two in 500 more", "unanswered", repeat(7, late) + repeat(493, inTime)},
		{"their clients disconnected", "", repeat(50, disconnected)},
		{"their router was killed", "",
			repeat(6, "0 sent read request=q{n}\n1600 timed-out request=q{n}") + "500 killed"},
		{"their router was stopped", "", repeat(6, late) + paused},
	})
	if got := brokenRules(t, rules,
		repeat(6, "0 sent read request=q{n}\n1600 timed-out request=q{n}")); got["unanswered"] != 1 ||
		got["answer"] != 6 {
		t.Errorf("six requests that never got an answer: got violations %v", got)
	}
}
