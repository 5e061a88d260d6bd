package router

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// Guards against losing a short write that its client writes slowly but without a long pause: the
// limit was for the whole command.
func TestShortValueMayBeWrittenSlowly(t *testing.T) {
	s := startFakeServer(t, originAnswer)
	r, _ := startReadyRouter(t, cacheEntry("s-0000000b", "127.0.0.1:1"), originEntry(s.addr))
	for name, c := range map[string]struct {
		parts int
		pause time.Duration
	}{
		"two parts":  {2, 1500 * time.Millisecond},
		"many parts": {20, 200 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			const valueBytes = 40_000
			client := dialClient(t, r.addr)
			id := strings.ReplaceAll(name, " ", "")
			client.send(fmt.Sprintf("ms 7f3a9c21e0b4d655 %d O%s", valueBytes, id))
			time.Sleep(2 * time.Second) // a head may take that
			client.send(" Pc=bill,t=t,d=1500\r\n")
			for range c.parts {
				time.Sleep(c.pause)
				client.send(strings.Repeat("v", valueBytes/c.parts))
			}
			client.send("\r\n")
			if got := client.nextAnswer(); got != "HD O"+id+" c5c0f" {
				t.Errorf("got %q", got)
			}
		})
	}
}

// A client that stops in the middle of a short value is closed on as soon as one that stops in a head.
func TestStoppedShortValueEndsItsConnection(t *testing.T) {
	r, _ := startReadyRouter(t, cacheEntry("s-0000000b", "127.0.0.1:1"), originEntry("127.0.0.1:1"))
	client := dialClient(t, r.addr)
	client.send("ms 7f3a9c21e0b4d655 40000 Oa Pc=bill,t=t,d=1500\r\nvvv")
	startedAt := time.Now()
	if got := client.nextAnswer(); got != "EOF" {
		t.Errorf("got %q", got)
	}
	if took := time.Since(startedAt); took > commandTimeout+time.Second {
		t.Errorf("closed after %v", took)
	}
}
