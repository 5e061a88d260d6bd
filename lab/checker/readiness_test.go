package checker

import "testing"

func TestSlowRouterStartsAreReported(t *testing.T) {
	const (
		first      = "0 started router=r{n}\n500 ready router=r{n}"
		firstSlow  = "0 started router=slow{n}\n29900 ready router=slow{n}"
		firstLate  = "0 started router=late{n}\n30100 ready router=late{n}"
		restart    = first + "\n1000 started router=r{n}\n10900 ready router=r{n}"
		slow       = "0 started router=slow{n}\n500 ready router=slow{n}\n1000 started router=slow{n}\n11100 ready router=slow{n}"
		notReady   = "0 started router=not{n}\n500 ready router=not{n}\n%AT started router=not{n}"
		killed     = notReady + "\n1100 killed router=not{n}"
		laterStart = "\n1200 started router=not0\n1300 ready router=not0"
	)
	end := "\n10000 state-sent s1 active router=r0"
	expectRules(t, rules, []ruleCase{
		{"all in time", "", repeat(10, restart)},
		{"one of ten is slow", "", repeat(9, restart) + repeat(1, slow)},
		{"one of nine is slow", "ready", repeat(8, restart) + repeat(1, slow)},
		{"a first start is slow", "", repeat(3, firstSlow)},
		{"a first start takes over 30 s", "ready", repeat(100, first) + repeat(1, firstLate)},
		{"not ready 6 s before the end", "ready", withTime(repeat(1, notReady), "3900") + end},
		{"just started before the end", "", withTime(repeat(1, notReady), "4100") + end},
		{"killed before it was ready", "", withTime(repeat(1, killed), "1000") + end},
		{"killed and started again", "", withTime(repeat(1, killed), "1000") + laterStart + end},
		{"one of a hundred restarts is never ready", "ready", repeat(99, restart) + withTime(repeat(1, notReady), "1000") + "\n31100 state-sent s1 active"},
	})
	late := rules
	late.MachineLateMS = 200
	expectRules(t, late, []ruleCase{{"the machine was late", "", repeat(10, slow)}})
}
