package router

import (
	"math"
	"strconv"
	"strings"
	"sync/atomic"
)

// timeoutHint tells a server how long its answer is awaited, in whole milliseconds (d in a
// command's metadata). It is computed just before the first byte is written, as a request may have
// waited for admission, an earlier attempt or a connection. 0 means that no time remains and
// nothing may be written.
type timeoutHint int64

// hintFor returns the hint for the remaining time, rounded down.
func hintFor(remainingMillis float64) timeoutHint {
	if !(remainingMillis >= 1) { // also for NaN
		return 0
	}
	return timeoutHint(min(remainingMillis, math.MaxInt32))
}

// metadataWithHint returns the metadata sent to a cache server or the origin: the client's metadata
// with the timeout hint in place of the client's. Without one from the client, none is added.
func (c *command) metadataWithHint(hint timeoutHint) string {
	fields := strings.Split(c.metadata, ",")
	for i, field := range fields {
		if strings.HasPrefix(field, "d=") {
			fields[i] = "d=" + strconv.FormatInt(int64(hint), 10)
		}
	}
	return strings.Join(fields, ",")
}

// uploadHint returns the hint in the head of a large write, which is sent while the value is still
// being received. A request's time begins with its last byte, so the complete time allowed by
// client and class remains.
func (l *loop) uploadHint(c *command) timeoutHint {
	return hintFor(min(l.uploadWaitMillis(c), l.answerDeadline.load()-l.now()))
}

// uploadWaitMillis returns how long the client of a large write waits for the answer after its last
// byte: the time that it has stated, limited by its class.
func (l *loop) uploadWaitMillis(c *command) float64 {
	if rule := l.rules.Load().classes[c.class]; rule != nil {
		return min(c.remainingMillis, rule.DeadlineMillis)
	}
	return c.remainingMillis
}

// instant is a time in milliseconds on the loop's clock that any goroutine may read. Until it is
// set, it is infinitely far in the future.
type instant struct{ bits atomic.Uint64 }

// set sets the time, which is never 0: 0 means not set.
func (i *instant) set(at float64) { i.bits.Store(math.Float64bits(at)) }

func (i *instant) load() float64 {
	if bits := i.bits.Load(); bits != 0 {
		return math.Float64frombits(bits)
	}
	return math.Inf(1)
}
