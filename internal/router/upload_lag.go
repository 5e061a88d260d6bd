package router

import "time"

const (
	// uploadAnswerMargin is how long before a client stops waiting its upload is given up, so that the
	// rest of the value can be discarded and the client be answered in time.
	uploadAnswerMargin = 100 * time.Millisecond
	// inputPause is how long a client must send nothing for the router to have read all that it has
	// sent. Shorter pauses may be the network's.
	inputPause = 5 * time.Millisecond
)

// uploadLag is an upper bound of how long ago the client may have sent the bytes that are read now.
// The time to answer a large write begins when the client has sent its last byte, but the router only
// sees when it reads that byte: while the router waits for the server, the byte may lie unread in the
// client's or the router's system. So time spent waiting for the server adds to the lag, and time
// spent waiting for the client reduces it. It belongs to the client's reader goroutine.
type uploadLag struct {
	// limit is the lag at which the upload is given up.
	limit time.Duration
	// behind is the lag.
	behind time.Duration
}

// newUploadLag returns the lag at the start of an upload whose client waits for the given time.
func newUploadLag(wait time.Duration) uploadLag {
	return uploadLag{limit: max(wait/2, wait-uploadAnswerMargin)}
}

// left returns how long the router may still wait for the server.
func (l *uploadLag) left() time.Duration { return l.limit - l.behind }

// isOver reports whether the upload is to be given up.
func (l *uploadLag) isOver() bool { return l.behind >= l.limit }

// addServerTime records time spent waiting for the server.
func (l *uploadLag) addServerTime(waited time.Duration) { l.behind += waited }

// addClientTime records time spent waiting for the client. hasMoreInput reports whether the client has
// sent more than was read after the wait.
func (l *uploadLag) addClientTime(waited time.Duration, hasMoreInput func() bool) {
	if waited >= inputPause && !hasMoreInput() {
		l.behind = 0
		return
	}
	l.behind = max(0, l.behind-waited)
}
