package checker

import (
	"strings"
	"testing"
)

func TestCollapseCausedByInformedRoutersIsReported(t *testing.T) {
	const (
		restarted = "1000 server-started s1\n1500 state-sent s1 active router=informed start=1000.5\n"
		informed  = "2000 sent read request=i{n} router=informed\n2000 received s1 request=i{n} router=informed work=10\n2010 ended s1 dropped request=i{n}\n2010 disconnected request=i{n}"
		unaware   = "2000 sent read request=u{n} router=unaware\n2000 received s1 request=u{n} router=unaware work=10\n2010 ended s1 dropped request=u{n}\n2010 disconnected request=u{n}"
		heavy     = "2000 sent read request=h{n} router=unaware\n2000 received s1 request=h{n} router=unaware work=60\n2010 ended s1 dropped request=h{n}\n2010 disconnected request=h{n}"
		flood     = "2000 received s1 request=flood-%s-{n} work=10\n2010 ended s1 dropped request=flood-%s-{n}"
		fell      = "2005 collapsed s1 since=1005\n"
	)
	floodOf := func(name string) string { return repeat(6, strings.ReplaceAll(flood, "%s", name)) }
	expectRules(t, rules, []ruleCase{
		{"a flood to a router that was not informed", "", restarted + "1900 flood flood-a- router=unaware\n" + floodOf("a") + fell},
		{"a flood to an informed router", "cold", restarted + "1900 flood flood-a- router=unaware\n1900 flood flood-b- router=informed\n" + floodOf("b") + fell},
		{"a flood to a router that is not known", "cold", restarted + "1900 flood flood-a- router=unaware\n" + floodOf("c") + fell},
		{"two thirds of informed routers", "", restarted + repeat(4, informed) + repeat(2, unaware) + fell},
		{"over two thirds", "cold", restarted + repeat(5, informed) + repeat(2, unaware) + fell},
		{"by work, not by number", "", restarted + repeat(5, informed) + repeat(1, heavy) + fell},
		{"none was informed", "", restarted + repeat(6, unaware) + fell},
		{"informed of an earlier start", "", "0 server-started s1\n1 state-sent s1 active router=unaware start=0\n3000 server-started s1\n" +
			"3500 sent read router=unaware\n3500 received s1 router=unaware work=10\n3510 ended s1 dropped\n3510 disconnected\n3505 collapsed s1 since=3005"},
		{"informed after the requests were sent", "", restarted + "2001 state-sent s1 active router=unaware start=1000\n" + repeat(6, unaware) + fell},
		{"assumed informed after the maximum delay", "cold", "1000 server-started s1\n1100 listed s1 active start=1000\n8000 sent read router=unaware\n" +
			"8000 received s1 router=unaware work=10\n8010 ended s1 dropped\n8010 disconnected\n8005 collapsed s1 since=7005"},
		{"work before the window does not count", "", restarted + "1002 sent read request=x router=informed\n1002 received s1 request=x work=1000\n" +
			"1003 ended s1 completed request=x\n1004 answer served request=x\n" + repeat(6, unaware) + fell},
	})
	if got := brokenRules(t, rules, restarted+repeat(6, unaware)+"2000 received s1 request=nobody work=1000\n"+fell); got["cold"] != 1 {
		t.Errorf("work that no client requested: got violations %v", got)
	}
}
