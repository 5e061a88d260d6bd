package router

import "log/slog"

// yieldEntries is the number of entries of a list after which the work on it lets others run.
const yieldEntries = 32

// yielder lets other goroutines run during long work of one goroutine, and the poller look for input
// before that: the process has one processor, and the runtime asks the poller late while any goroutine
// can run. It takes a descriptor from its first pause until it is closed. A nil yielder does nothing.
type yielder struct {
	signal *pollSignal
	// hasSignal is set once the descriptor was asked for, in vain or not.
	hasSignal bool
	// done counts the entries worked on.
	done int
}

// entryDone counts an entry, and pauses after yieldEntries of them.
func (y *yielder) entryDone() {
	if y == nil {
		return
	}
	y.done++
	if y.done%yieldEntries == 0 {
		y.pause()
	}
}

// pause lets others run.
func (y *yielder) pause() {
	if !y.hasSignal {
		y.hasSignal = true
		signal, err := newPollSignal()
		if err != nil {
			slog.Warn("long work pauses without asking the poller", "error", err)
		}
		y.signal = signal
	}
	y.signal.await()
}

// close releases the descriptor.
func (y *yielder) close() { y.signal.close() }
