package checker

import "testing"

func TestListChangesCountAsReceivedAfterMaximumDelay(t *testing.T) {
	const (
		// GraceMS is 2000, SlackMS 50.
		sent   = "\n%AT sent read\n%AT received s1\n%AT ended s1 completed\n%AT answer served"
		listed = "1000 listed s1 leaving"
		back   = "\n8500 listed s1 active"
		silent = "500 silent 20000\n1000 listed s1 leaving"
	)
	expectRules(t, rules, []ruleCase{
		{"before 6 s and the grace are over", "", listed + withTime(sent, "9040")},
		{"after 6 s and the grace", "drain", listed + withTime(sent, "9060")},
		{"it leaves for good later", "drain", listed + "\n8000 listed s1 left" + withTime(sent, "9060")},
		{"back on the list", "", listed + back + withTime(sent, "9060")},
		{"it drains anew", "drain", listed + back + "\n9000 listed s1 leaving" + withTime(sent, "17060")},
		{"notified before", "drain", listed + "\n1500 state-sent s1 leaving" + withTime(sent, "3600")},
		{"discovery was down", "", "800 down\n" + listed + "\n3000 up" + withTime(sent, "11040")},
		{"discovery was down, and 6 s have passed", "drain",
			"800 down\n" + listed + "\n3000 up" + withTime(sent, "11060")},
		{"discovery never came back", "", "800 down\n" + listed + withTime(sent, "20000")},
		{"discovery went down later", "drain", listed + "\n2000 down\n" + withTime(sent, "9060")},
		{"a silent watch that may wait for long", "", silent + withTime(sent, "24540")},
		{"a silent watch past its wait", "drain", silent + withTime(sent, "24560")},
		{"a silent watch that waits no longer", "drain", "500 silent 100\n" + listed + withTime(sent, "8560")},
		{"within 6 s of the silence", "", "500 silent 100\n" + listed + withTime(sent, "8540")},
		{"called again", "drain", silent + "\n1500 called" + withTime(sent, "9060")},
		{"called again before the change", "drain", "500 silent 20000\n600 called\n" + listed + withTime(sent, "9060")},
		{"a change after the silence is over", "drain",
			"500 silent 1000\n10000 listed s1 leaving" + withTime(sent, "12060")},
		{"another router's watch", "drain", "500 silent 20000 router=other\n" + listed + withTime(sent, "9060")},
		{"after a move, before 4 s and the grace are over", "",
			"1000 moved\n1200 listed s1 leaving" + withTime(sent, "7040")},
		{"4 s and the grace after a move", "drain", "1000 moved\n1200 listed s1 leaving" + withTime(sent, "7060")},
		{"a change before a move", "drain", "1000 listed s1 leaving\n1500 moved" + withTime(sent, "7560")},
		{"a move delays nothing", "drain", "1000 listed s1 leaving\n4500 moved" + withTime(sent, "9060")},
		{"a change later than 4 s after a move", "", "1000 moved\n5100 listed s1 leaving" + withTime(sent, "13140")},
		{"another router's move", "", "1000 moved router=other\n1200 listed s1 leaving" + withTime(sent, "7060")},
		{"discovery was down for a while after a move", "drain",
			"800 down\n1000 moved\n1200 listed s1 leaving\n4000 up" + withTime(sent, "7060")},
		{"discovery was down for longer after a move", "",
			"800 down\n1000 moved\n1200 listed s1 leaving\n8000 up" + withTime(sent, "16040")},
		{"6 s and the grace after such an outage", "drain",
			"800 down\n1000 moved\n1200 listed s1 leaving\n8000 up" + withTime(sent, "16060")},
		{"the router was stopped", "", listed + withTime(sent, "9060") + "\n9100 paused"},
	})
	pushed := rules
	pushed.HasPushedList = true
	expectRules(t, pushed, []ruleCase{
		{"pushed, within the grace", "", listed + withTime(sent, "3040")},
		{"pushed, after the grace", "drain", listed + withTime(sent, "3060")},
		{"pushed, within 4 s and the grace after a move", "", "900 moved\n" + listed + withTime(sent, "6940")},
		{"pushed, after 4 s and the grace", "drain", "900 moved\n" + listed + withTime(sent, "6960")},
		{"pushed, discovery was down", "", "800 down\n" + listed + "\n3000 up" + withTime(sent, "5040")},
		{"pushed, at its return", "drain", "800 down\n" + listed + "\n3000 up" + withTime(sent, "5060")},
		{"pushed, the watch was silent", "", silent + withTime(sent, "24540")},
		{"pushed, and called again", "drain", silent + "\n1500 called" + withTime(sent, "3560")},
	})
	if got := brokenRules(t, rules, listed+"\n1500 state-sent s1 leaving"+withTime(sent, "9060")); got["drain"] != 1 {
		t.Errorf("change both received and assumed received: got %v, want one violation", got)
	}
}
