package checker

import (
	"fmt"
	"testing"
)

func TestTooManyRefusedConnectionsAreReported(t *testing.T) {
	const (
		served  = "0 sent read request=q{n}\n1 received s1 request=q{n}\n9 ended s1 completed request=q{n}\n10 answer served request=q{n}"
		refused = "0 sent read request=x{n}\n5 closed connection=new request=x{n}"
		crossed = "0 sent read request=x{n}\n5 closed request=x{n}"
	)
	expectRules(t, rules, []ruleCase{
		{"one in 200", "", repeat(199, served) + repeat(1, refused)},
		{"two in 200", "lost", repeat(198, served) + repeat(2, refused)},
		{"closes that crossed requests on used connections", "", repeat(10, crossed)},
		{"the router was killed", "", repeat(10, refused) + "4 killed"},
		{"the router had been killed just before", "", "100 killed\n" +
			repeat(10, "120 sent read request=x{n}\n121 closed connection=new request=x{n}")},
		{"it had been killed long before", "lost", "100 killed\n" + repeat(10, "900 sent read request=x{n}\n901 closed connection=new request=x{n}")},
		{"idle clients filled its descriptors", "", repeat(10, refused) + "0 descriptors-exhausted"},
		{"idle clients had left", "lost", "0 descriptors-exhausted\n" + repeat(10, "900 sent read request=x{n}\n901 closed connection=new request=x{n}")},
		{"idle clients filled another's", "lost", repeat(10, refused) + "0 descriptors-exhausted router=other"},
		{"it was stopped", "", repeat(10, refused) + "4 paused"},
	})
}

// A router that closes all new connections violates both the rule on refused connections and the rule on
// routers that reject everything.
func TestRefusedConnectionsAreRejections(t *testing.T) {
	calm := rules
	calm.HasOnlyPlanned = true
	text := ""
	for i := range 30 {
		text += fmt.Sprintf("%d sent read request=x%d\n%d closed connection=new request=x%d\n", 150*i, i, 150*i+1, i)
	}
	if got := brokenRules(t, calm, text); got["rejecting"] != 1 || got["lost"] != 1 {
		t.Errorf("got violations %v", got)
	}
}

// A flooding client's requests are not recorded as sent; any other request that only a server saw is a violation.
func TestOnlyFloodsMaySendUnrecordedRequests(t *testing.T) {
	for id, want := range map[string]int{FloodPrefix + "1": 0, "r1": 1} {
		events := []Event{{At: 1, Kind: AttemptReceived, Request: id, Server: "s1"}}
		if got := CheckRun(events, Rules{}); len(got) != want {
			t.Errorf("request %s: %v, want %d violations", id, got, want)
		}
	}
}
