package router

import (
	"fmt"
	"strings"
	"sync"
	"testing"
)

// Guards against a request that runs twice, or has two attempts out at once, as it comes again after its
// client has left.
func TestRequestThatComesAgainRunsOnce(t *testing.T) {
	for _, class := range []string{"read", "put", "bill"} {
		t.Run(class, func(t *testing.T) {
			release := make(chan struct{})
			releaseOnce := sync.OnceFunc(func() { close(release) })
			t.Cleanup(releaseOnce)
			s := startFakeServer(t, func(line string) string {
				if strings.Contains(line, "Oa ") {
					<-release
				}
				return hitAnswer(line)
			})
			l, _, addr := startLoopAndClients(t, 192, 40, cacheEntry("s-0000000b", s.addr), originEntry(s.addr))
			first := dialClient(t, addr)
			first.send(readOfClass(class, "a") + "\r\n")
			receive(t, s.received, "the attempt")
			first.disconnect("close")
			eventually(t, l, "the disconnect", func() bool {
				r := l.unanswered["a"]
				return r == nil || r.isDone
			})
			for i := range 3 {
				got := dialClient(t, addr).exchange(readOfClass(class, "a"))
				if !strings.HasPrefix(got, "CLIENT_ERROR ") {
					t.Errorf("%d: while the attempt is in flight: got %q", i, got)
				}
			}
			releaseOnce()
			eventually(t, l, "the end of the attempt", func() bool { return len(l.requests) == 0 })
			got := dialClient(t, addr).exchange(readOfClass(class, "a"))
			if isRepeatable := class == "read"; isRepeatable != strings.HasPrefix(got, "VA ") {
				t.Errorf("after the attempt: got %q", got)
			}
		})
	}
}

func TestPastRequestsAreLimited(t *testing.T) {
	past := pastRequests{}
	for i := range 2 * maxPastRequests {
		past.add(fmt.Sprint(i), 1)
	}
	if n := past.expiry.Len(); n != maxPastRequests || len(past.ids(1)) != maxPastRequests {
		t.Errorf("%d and %d are remembered", n, len(past.ids(1)))
	}
	if !past.contains(fmt.Sprint(2*maxPastRequests-1), 2) || past.contains("0", 2) {
		t.Error("the oldest ones were not dropped")
	}
	past.add("last", 2+pastRequestMillis)
	if past.expiry.Len() != 1 || past.contains("5000", 2+pastRequestMillis) {
		t.Errorf("%d are remembered after their time", past.expiry.Len())
	}
}
