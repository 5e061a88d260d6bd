package checker

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"
)

var rules = Rules{Classes: map[string]Class{"read": {Effect: Repeatable},
	"put":  {Effect: Keyed, Scope: "all", WindowMS: 1000},
	"zput": {Effect: Keyed, Scope: "zone", WindowMS: 1000}, "tag": {Effect: Once}},
	Group:   map[string]map[string]string{"zone": {"s1": "a", "s2": "a", "s3": "b"}},
	GraceMS: 2000, SlackMS: 50, MaxAttempts: 3}

// script parses events, one per line: TIME KIND WORDS, and NAME=VALUE for further fields. It returns
// them in the order of time.
func script(t *testing.T, text string) (events []Event) {
	t.Helper()
	ends := map[string]End{"completed": Completed, "missed": Missed, "rejected": Rejected, "errored": Errored,
		"dropped": Dropped}
	answers := map[string]Answer{"served": Served, "refused": Refused, "failed": Failed}
	for line := range strings.Lines(text) {
		words := strings.Fields(line)
		if len(words) == 0 {
			continue
		}
		e := Event{Request: "q", Router: "r", Sum: 1}
		fmt.Sscan(words[0], &e.At)
		word := func(i int) string { return words[i] }
		switch words[1] {
		case "sent":
			e.Kind, e.Class, e.Deadline = Sent, word(2), 1000
		case "received":
			e.Kind, e.Server, e.Began = AttemptReceived, word(2), e.At
		case "ended":
			e.Kind, e.Server, e.End = AttemptEnded, word(2), ends[word(3)]
		case "answer":
			e.Kind, e.Answer = Answered, answers[word(2)]
		case "extra":
			e.Kind = ExtraAnswer
		case "other-value":
			e.Kind, e.Answer, e.Sum = Answered, Served, 2
		case "closed":
			e.Kind = ClosedByRouter
		case "timed-out":
			e.Kind = ClientTimedOut
		case "disconnected":
			e.Kind = Disconnected
		case "state-sent":
			e.Kind, e.Server, e.State = ServerStateSent, word(2), word(3)
		case "listed":
			e.Kind, e.Server, e.State = ServerStateListed, word(2), word(3)
		case "down":
			e.Kind = DiscoveryDown
		case "up":
			e.Kind = DiscoveryUp
		case "called":
			e.Kind = ListCalled
		case "descriptors-exhausted":
			e.Kind, e.Deadline = DescriptorsExhausted, 500
		case "moved":
			e.Kind = DiscoveryMoved
		case "silent":
			e.Kind = WatchSilent
			fmt.Sscan(word(2), &e.Deadline)
		case "started":
			e.Kind = RouterStarted
		case "ready":
			e.Kind = RouterReady
		case "paused":
			e.Kind, e.Deadline = RouterPaused, 100
		case "killed":
			e.Kind = RouterKilled
		case "collapsed":
			e.Kind, e.Server = ServerCollapsed, word(2)
		case "flood":
			e.Kind, e.Request = FloodStarted, word(2)
		case "malformed":
			e.Kind, e.Server = Malformed, word(2)
		case "server-started":
			e.Kind, e.Server = Started, word(2)
		case "executed":
			e.Kind, e.Server = EffectExecuted, word(2)
		default:
			t.Fatalf("script line %q has an unknown kind", line)
		}
		for _, field := range words[2:] {
			if name, value, ok := strings.Cut(field, "="); ok {
				setField(t, &e, name, value)
			}
		}
		events = append(events, e)
	}
	slices.SortStableFunc(events, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
	return events
}

// setField sets a field of an event by its name in a script.
func setField(t *testing.T, e *Event, name, value string) {
	t.Helper()
	number := func() float64 {
		v, err := strconv.ParseFloat(value, 64)
		if err != nil {
			t.Fatal(err)
		}
		return v
	}
	switch name {
	case "start":
		e.ServerStartedAt = number()
	case "work":
		e.Work = number()
	case "since":
		e.Began = number()
	case "connection":
		e.NewConnection = value == "new"
	case "request":
		e.Request = value
	case "router":
		e.Router = value
	case "hint":
		e.TimeoutHint = TimeoutHint{Millis: number(), IsPresent: true}
	default:
		t.Fatalf("unknown field %q", name)
	}
}

// repeat repeats a script n times, with {n} replaced by the number of the copy.
func repeat(n int, text string) string {
	var all strings.Builder
	for i := range n {
		all.WriteString(strings.ReplaceAll(text, "{n}", strconv.Itoa(i)) + "\n")
	}
	return all.String()
}

// ruleCase is a script and the rule that it violates; "" for none.
type ruleCase struct{ name, rule, text string }

// expectRules checks that each script violates its own rule and no other.
func expectRules(t *testing.T, r Rules, cases []ruleCase) {
	t.Helper()
	for _, c := range cases {
		broken := CheckRun(script(t, c.text), r)
		if c.rule == "" && len(broken) > 0 {
			t.Errorf("%s: %v", c.name, broken)
		}
		if c.rule != "" && len(broken) == 0 {
			t.Errorf("%s: no violation, want one of %s", c.name, c.rule)
		}
		for _, b := range broken {
			if c.rule != "" && b.Rule != c.rule {
				t.Errorf("%s: got %v, want only violations of %s", c.name, b, c.rule)
			}
		}
	}
}

func TestEachViolationIsReportedUnderItsRule(t *testing.T) {
	for _, c := range []struct{ name, want, text string }{
		{"served", "", "0 sent read\n 1 received s1\n 9 ended s1 completed\n 10 answer served"},
		{"miss, then the origin", "", "0 sent read\n 1 received s1\n 3 ended s1 missed\n 4 received o\n 9 ended o completed\n 10 answer served"},
		{"refused, never sent", "", "0 sent tag\n 1 answer refused"},
		{"rejected, then refused", "", "0 sent tag\n 1 received s1\n 2 ended s1 rejected\n 3 answer refused"},
		{"failed after an error", "", "0 sent tag\n 1 received s1\n 2 ended s1 errored\n 3 answer failed"},
		{"a read repeated after a cancel", "", "0 sent read\n 1 received s1\n 50 ended s1 dropped\n 51 received s2\n 60 ended s2 completed\n 61 answer served"},
		{"the router was killed", "", "0 sent read\n 1 received s1\n 5 killed\n 6 ended s1 dropped\n 6 closed"},
		{"a broken value is cut off", "", "0 sent read\n 1 received s1\n 5 ended s1 errored\n 6 closed"},
		{"sent within the grace", "", "0 state-sent s1 leaving\n 1900 sent read\n 2040 received s1\n 2050 ended s1 completed\n 2051 answer served"},
		{"back on the list", "", "0 state-sent s1 leaving\n 2900 state-sent s1 active\n 3000 sent read\n 3040 received s1\n 3050 ended s1 completed\n 3051 answer served"},
		{"keyed, within the window", "", "0 sent put\n 1 received s1\n 5 ended s1 dropped\n 500 received s3\n 510 ended s3 completed\n 511 answer served"},
		{"keyed, any refusal", "", "0 sent put\n 1 received s1\n 5 ended s1 dropped\n 6 answer refused"},

		{"two answers", "answer", "0 sent read\n 1 received s1\n 9 ended s1 completed\n 10 answer served\n 11 extra"},
		{"no answer", "answer", "0 sent read\n 1 received s1\n 9 ended s1 completed\n 1050 timed-out"},
		{"late within the tolerance", "", "0 sent read\n 1 received s1\n 1090 ended s1 completed\n 1100 answer served"},
		{"too late", "answer", "0 sent read\n 1 received s1\n 1550 ended s1 completed\n 1560 answer served"},
		{"cut off", "answer", "0 sent read\n 1 received s1\n 9 ended s1 completed\n 10 closed"},
		{"another value", "value", "0 sent read\n 1 received s1\n 9 ended s1 completed\n 10 other-value"},
		{"a value that no server produced", "value", "0 sent read\n 10 answer served"},
		{"a request that no client sent", "value", "1 received s1\n 9 ended s1 completed"},
		{"two attempts in progress", "copies", "0 sent read\n 1 received s1\n 20 received s2\n 90 ended s1 dropped\n 95 ended s2 completed\n 99 answer served"},
		{"a once-only request sent again", "effect", "0 sent tag\n 1 received s1\n 5 ended s1 dropped\n 6 received s2\n 9 ended s2 completed\n 10 answer served"},
		{"a once-only request executed twice", "effect", "0 sent tag\n 1 received s1\n 2 executed s1\n 3 executed s1\n 5 ended s1 completed\n 6 answer served"},
		{"a once-only request refused after it may have run", "effect", "0 sent tag\n 1 received s1\n 5 ended s1 errored\n 6 answer refused"},
		{"keyed, past the window", "effect", "0 sent put\n 1 received s1\n 5 ended s1 dropped\n 1100 received s2"},
		{"keyed, refused past the window", "effect", "0 sent put\n 1 received s1\n 5 ended s1 dropped\n 1100 answer refused"},
		{"keyed, outside the group", "effect", "0 sent zput\n 1 received s1\n 5 ended s1 dropped\n 6 received s3\n 9 ended s3 completed\n 10 answer served"},
		{"a drained server", "drain", "0 state-sent s1 leaving\n 2000 sent read\n 2060 received s1\n 2070 ended s1 completed\n 2071 answer served"},
		{"notified twice that it drains", "drain", "0 state-sent s1 leaving\n 1500 state-sent s1 left\n 2000 sent read\n 2060 received s1\n 2070 ended s1 completed\n 2071 answer served"},
		{"a cold server", "cold", "5 collapsed s1"},
		{"a malformed command", "form", "5 malformed s1"},
		{"four attempts", "attempts", "0 sent read\n 1 received s1\n 2 ended s1 missed\n 3 received s2\n 4 ended s2 missed\n 5 received s3\n 6 ended s3 missed\n 7 received o\n 8 ended o completed\n 9 answer served"},
	} {
		broken := CheckRun(script(t, c.text), rules)
		switch {
		case c.want == "" && len(broken) > 0:
			t.Errorf("%s: %v", c.name, broken)
		case c.want != "" && (len(broken) == 0 || broken[0].Rule != c.want):
			t.Errorf("%s: got %v, want a violation of %s", c.name, broken, c.want)
		}
	}
}

func TestJournalDropsEventsBeyondItsLimit(t *testing.T) {
	j := NewJournal(3)
	for i := range 3 {
		j.Add(Event{At: float64(3 - i)})
	}
	if events, isComplete := j.Events(); !isComplete || events[0].At != 1 {
		t.Errorf("got %v, complete %t", events, isComplete)
	}
	j.Add(Event{})
	if events, isComplete := j.Events(); isComplete || len(events) != 3 {
		t.Errorf("got %d events, complete %t", len(events), isComplete)
	}
}

// renameRequests replaces the prefix of the request ids in a script.
func renameRequests(text, from, to string) string {
	return strings.ReplaceAll(text, "request="+from, "request="+to)
}

// withTime replaces %AT in a script by a time.
func withTime(text, time string) string { return strings.ReplaceAll(text, "%AT", time) }

// brokenRules returns the number of violations of a script by rule.
func brokenRules(t *testing.T, r Rules, text string) map[string]int {
	t.Helper()
	rules := map[string]int{}
	for _, b := range CheckRun(script(t, text), r) {
		rules[b.Rule]++
	}
	return rules
}
