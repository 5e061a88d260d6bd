package router

import (
	"math"
	"strconv"
	"strings"
	"sync/atomic"
)

// timeoutHint is the time that an attempt tells its server, in whole milliseconds (d in a command's
// metadata): how long the answer is waited for. It is computed when the first byte is about to be
// written, as a request may have waited for admission, for an earlier attempt or for a connection
// since it came. 0 means that no time remains and nothing may be written.
type timeoutHint int64

// hintFor is the hint for so many milliseconds that remain, never more than these.
func hintFor(remainingMillis float64) timeoutHint {
	if !(remainingMillis >= 1) { // also where it is no number
		return 0
	}
	return timeoutHint(min(remainingMillis, math.MaxInt32))
}

// metadataWithHint is the metadata that an upstream gets with a command, a cache server and the
// origin alike: as the client sent it, but for the timeout hint. Without one from the client there
// is none.
func (c *command) metadataWithHint(hint timeoutHint) string {
	fields := strings.Split(c.metadata, ",")
	for i, field := range fields {
		if strings.HasPrefix(field, "d=") {
			fields[i] = "d=" + strconv.FormatInt(int64(hint), 10)
		}
	}
	return strings.Join(fields, ",")
}

// uploadHint is the hint in the head of a large write, which goes out while the value is still
// coming. A request's time begins with its last byte, so all that the client and the class allow
// remains then.
func (l *loop) uploadHint(c *command) timeoutHint {
	allowedMillis := c.remainingMillis
	if rule := l.rules.Load().classes[c.class]; rule != nil {
		allowedMillis = min(allowedMillis, rule.DeadlineMillis)
	}
	return hintFor(min(allowedMillis, l.answerBy.load()-l.now()))
}

// instant is a time in milliseconds on the loop's clock that any goroutine may read. Until it is
// set it is infinitely far away.
type instant struct{ bits atomic.Uint64 }

// set sets the time. No time is 0, which stands for an instant that is not set.
func (i *instant) set(at float64) { i.bits.Store(math.Float64bits(at)) }

func (i *instant) load() float64 {
	if bits := i.bits.Load(); bits != 0 {
		return math.Float64frombits(bits)
	}
	return math.Inf(1)
}
