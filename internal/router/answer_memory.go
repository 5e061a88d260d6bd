package router

// The memory for answers. An answer has its memory reserved before it is read and until its client
// has taken it from the process, so what servers send and slow clients leave is limited together.

import "errors"

// Divisors of the router's memory limit: each budget is the limit divided by its constant.
const (
	// bufferedAnswerDivisor is for answers up to maxBufferedValue and the beginning of longer ones.
	bufferedAnswerDivisor = 8
	// unsizedAnswerDivisor is for the rest of values of unknown length, which must be read to their
	// end before they can be forwarded.
	unsizedAnswerDivisor = 4
)

// errNoAnswerMemory is returned for an answer that exceeds the memory left for answers.
var errNoAnswerMemory = errors.New("no memory for the answer")

// answerBudgets are the memory budgets for answers. Any goroutine may use them.
type answerBudgets struct {
	// buffered is for answers up to maxBufferedValue and the beginning of longer ones, so that
	// values of unknown length leave memory for all other answers.
	buffered byteBudget
	// unsized is for what values of unknown length have beyond maxBufferedValue.
	unsized byteBudget
}

// setMemory sets the budgets for a process that may use the given memory.
func (b *answerBudgets) setMemory(memoryBytes int64) {
	b.buffered.limit.Store(memoryBytes / bufferedAnswerDivisor)
	b.unsized.limit.Store(memoryBytes / unsizedAnswerDivisor)
}

// answerMemory is the memory reserved for one answer. It belongs to whoever holds the answer: the
// attempt that reads it, the loop, its connection's pending answers, the connection's writer.
type answerMemory struct {
	budgets *answerBudgets
	// bufferedBytes and unsizedBytes are reserved from the budgets of these names.
	bufferedBytes, unsizedBytes int
}

// newAnswer returns the memory of an answer that has none reserved yet.
func (b *answerBudgets) newAnswer() *answerMemory { return &answerMemory{budgets: b} }

// newText returns the memory of an answer of n bytes that the router itself words. It is reserved
// even beyond the limit: such answers are short, and a connection has at most maxPipelined.
func (b *answerBudgets) newText(n int) answerMemory {
	b.buffered.reserve(n)
	return answerMemory{budgets: b, bufferedBytes: n}
}

// add takes over what another answer of the same budgets has reserved.
func (m *answerMemory) add(other *answerMemory) {
	m.budgets = other.budgets
	m.bufferedBytes += other.bufferedBytes
	m.unsizedBytes += other.unsizedBytes
	*other = answerMemory{}
}

// grow reserves memory for n more bytes, or returns errNoAnswerMemory.
func (m *answerMemory) grow(n int) error {
	buffered := min(n, max(0, maxBufferedValue-m.bufferedBytes))
	if !m.budgets.buffered.tryReserve(buffered) {
		return errNoAnswerMemory
	}
	m.bufferedBytes += buffered
	unsized := n - buffered
	if !m.budgets.unsized.tryReserve(unsized) {
		return errNoAnswerMemory // release returns the first part
	}
	m.unsizedBytes += unsized
	return nil
}

// release returns all that is reserved. It does nothing for nil and for an empty answerMemory.
func (m *answerMemory) release() {
	if m == nil || m.budgets == nil {
		return
	}
	m.budgets.buffered.release(m.bufferedBytes)
	m.budgets.unsized.release(m.unsizedBytes)
	m.bufferedBytes = 0
	m.unsizedBytes = 0
}
