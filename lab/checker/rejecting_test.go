package checker

import (
	"fmt"
	"testing"
)

// rejections returns a script of n requests to a router, each answered without an attempt, at intervals
// of apart milliseconds.
func rejections(router, answer string, n, apart int) (text string) {
	for i := range n {
		text += fmt.Sprintf("%d sent read request=%s%d router=%s\n%d answer %s request=%s%d router=%s\n",
			i*apart, router, i, router, i*apart+1, answer, router, i, router)
	}
	return text
}

func TestRoutersThatRejectEverythingAreReported(t *testing.T) {
	calm := rules
	calm.HasOnlyPlanned = true
	const attemptBetween = "\n2050 sent read request=x router=r0\n2051 received s1 request=x\n2060 ended s1 completed request=x\n2061 answer served request=x router=r0"
	const refusedAfterAttempt = "\n2050 sent read request=x router=r0\n2051 received s1 request=x\n2060 ended s1 rejected request=x\n2061 answer refused request=x router=r0"
	others := func(n int) (text string) {
		for i := range n {
			text += fmt.Sprintf("\n0 state-sent s1 active router=other%d", i)
		}
		return text
	}
	all := rejections("r0", "refused", 30, 150)
	expectRules(t, calm, []ruleCase{
		{"one of ten", "", all + others(9)},
		{"one of nine", "rejecting", all + others(8)},
		{"two of twenty", "", all + rejections("r1", "refused", 30, 150) + others(18)},
		{"all fail with no attempt", "rejecting", rejections("r0", "failed", 30, 150)},
		{"fourteen", "", rejections("r0", "refused", 14, 400)},
		{"fifteen", "rejecting", rejections("r0", "refused", 15, 400)},
		{"many in a short time", "", rejections("r0", "refused", 300, 10)},
		{"an attempt between", "", all + attemptBetween},
		{"an attempt that was rejected", "", all + refusedAfterAttempt},
		{"a new process", "", all + "\n2050 killed router=r0"},
	})
	expectRules(t, rules, []ruleCase{{"a run with other faults", "", all}})
}
