package router

import (
	"math"
	"strconv"
	"strings"
	"sync/atomic"
)

// timeoutHint is the time that an attempt tells its server, in whole milliseconds (the fact d): how long the answer is
// waited for. It is worked out when the first byte is about to be written, as a request may have waited for admission, for
// an earlier attempt or for a connection since it came. 0 means that there is no time left and nothing may be written.
type timeoutHint int64

// hintFor is the hint for so many milliseconds that remain, never more than these.
func hintFor(remainingMillis float64) timeoutHint {
	if !(remainingMillis >= 1) {
		return 0
	}
	return timeoutHint(min(remainingMillis, math.MaxInt32))
}

// metadataWithHint is the list of names and values that an upstream gets with a command, a cache server and the origin alike: as
// the client sent it, but for the timeout hint. A client that sent none leaves it without.
func (c *command) metadataWithHint(hint timeoutHint) string {
	facts := strings.Split(c.metadata, ",")
	for i, fact := range facts {
		if strings.HasPrefix(fact, "d=") {
			facts[i] = "d=" + strconv.FormatInt(int64(hint), 10)
		}
	}
	return strings.Join(facts, ",")
}

// uploadHint is the hint in the head of a large write, which goes out while the value is still coming. A request's time
// begins with its last byte, so all that the client and the class allow is left then.
func (l *loop) uploadHint(c *command) timeoutHint {
	allowed := c.remainingMillis
	if rule := l.rules.Load().classes[c.class]; rule != nil {
		allowed = min(allowed, rule.DeadlineMillis)
	}
	return hintFor(min(allowed, l.answerBy.load()-l.now()))
}

// startWriting moves an attempt on to being written, before its first byte, and returns the hint for it; 0 where nothing may
// be written any more: its client has disconnected, its time is up, or it was cancelled.
func (l *loop) startWriting(a *attempt, client *response, limits sendLimits) timeoutHint {
	if client.conn.disconnected() { // the loop may not have heard of it yet
		l.post(func() { l.clientDisconnected(client) })
		return 0
	}
	now := l.now()
	if now >= limits.windowEnd {
		return 0
	}
	hint := hintFor(min(limits.deadline, l.answerBy.load()) - now)
	if hint == 0 || !a.phase.CompareAndSwap(phaseOpening, phaseWriting) {
		return 0
	}
	return hint
}

// instant is a time on the loop's clock that any goroutine may read. It is never, until it is set.
type instant struct{ bits atomic.Uint64 }

func (i *instant) set(at float64) { i.bits.Store(math.Float64bits(at)) }

func (i *instant) isSet() bool { return i.bits.Load() != 0 }

// load is the time, or infinity where it was never set.
func (i *instant) load() float64 {
	if bits := i.bits.Load(); bits != 0 {
		return math.Float64frombits(bits)
	}
	return math.Inf(1)
}
