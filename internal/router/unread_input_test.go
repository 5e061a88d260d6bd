package router

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// sendUntilFull sends commands until neither the router nor the system takes any more.
func sendUntilFull(t *testing.T, c *client, command func(n int) string) (sent int) {
	t.Helper()
	const stall = 200 * time.Millisecond
	for n := 0; ; {
		var block strings.Builder
		for block.Len() < 16<<10 {
			block.WriteString(command(n) + "\r\n")
			n++
		}
		c.SetWriteDeadline(time.Now().Add(stall))
		written, err := c.Write([]byte(block.String()))
		sent += written
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return sent
		}
		if err != nil {
			t.Fatal(err)
		}
	}
}

// Guards against forwarding commands after their client has closed its connection with more behind them than
// the sockets hold, so that the end of the input arrives only once all has been read.
func TestNothingIsForwardedAfterACloseBehindMuchUnreadInput(t *testing.T) {
	commands := map[string]func(n int) string{
		"reads":          func(n int) string { return readCommandOfKey(n, fmt.Sprint("r", n), 60000) },
		"writes":         func(n int) string { return billCommandOf(fmt.Sprint("w", n), 60000) },
		"reads of a key": func(n int) string { return readCommandOfKey(1, fmt.Sprint("k", n), 60000) },
	}
	for name, command := range commands {
		for _, how := range []string{"close", "reset"} {
			t.Run(name+" "+how, func(t *testing.T) {
				held := make(chan struct{})
				release := sync.OnceFunc(func() { close(held) })
				t.Cleanup(release)
				var forwarded atomic.Int64
				s := startFakeServer(t, func(line string) string {
					forwarded.Add(1)
					<-held
					return hitAnswer(line)
				})
				_, _, addr := startLoopAndClients(t, 192, 40, cacheEntry("s-0000000b", s.addr), originEntry(s.addr))
				c := dialClient(t, addr)
				if sent := sendUntilFull(t, c, command); sent < 256<<10 {
					t.Fatalf("the sockets held only %d bytes", sent)
				}
				c.disconnect(how)
				const lost = 100 * time.Millisecond // an attempt that begins later is a lost request
				time.Sleep(lost)
				before := forwarded.Load()
				release()
				time.Sleep(3 * lost)
				if late := forwarded.Load() - before; late > 0 {
					t.Errorf("%d commands were forwarded after the close, %d before", late, before)
				}
			})
		}
	}
}
