package checker

import (
	"strings"
	"testing"
)

// missAndFetch is a request with a deadline of 1000 ms that misses at a cache server and is fetched from
// the origin at 400 ms.
const missAndFetch = `0 sent read request=q{n}
1 received s1 hint=999 request=q{n}
400 ended s1 missed request=q{n}
400 received o %HINT request=q{n}
450 ended o completed request=q{n}
451 answer served request=q{n}`

// fetchWithHint returns missAndFetch with a timeout hint at the origin, or with none.
func fetchWithHint(hint string) string {
	if hint != "none" {
		hint = "hint=" + hint
	}
	return strings.ReplaceAll(missAndFetch, "%HINT", hint)
}

func TestOverstatedTimeoutHintsAreReported(t *testing.T) {
	honest, stale, justWithin := fetchWithHint("600"), fetchWithHint("999"), fetchWithHint("750")
	expectRules(t, rules, []ruleCase{
		{"what is left", "", repeat(20, honest)},
		{"within the slack", "", repeat(20, justWithin)},
		{"no hint at all", "", repeat(20, fetchWithHint("none"))},
		{"a fifth is overstated", "", repeat(16, honest) + renameRequests(repeat(4, stale), "q", "x")},
		{"too few to judge", "", repeat(9, stale)},
		{"over a fifth is overstated", "timeout-hint", repeat(15, honest) + renameRequests(repeat(5, stale), "q", "x")},
		{"the client's first deadline", "timeout-hint", repeat(20, stale)},
	})
	late := rules
	late.MachineLateMS = 300
	expectRules(t, late, []ruleCase{{"the machine was late", "", repeat(20, stale)}})
}

func TestTimeoutHintsOfFirstAttemptsAreOnlyCounted(t *testing.T) {
	text := repeat(20, `0 sent read request=q{n}
500 received s1 hint=1000 request=q{n}
510 ended s1 completed request=q{n}
511 answer served request=q{n}`) + "\n" + renameRequests(repeat(3, fetchWithHint("999")), "q", "x")
	events := script(t, text)
	if broken := CheckRun(events, rules); len(broken) > 0 {
		t.Errorf("got violations %v", broken)
	}
	want := TimeoutHintCounts{First: 23, FirstOverstated: 20, Further: 3, FurtherOverstated: 3}
	if got := CountTimeoutHints(events, rules); got != want {
		t.Errorf("got %+v, want %+v", got, want)
	}
}
