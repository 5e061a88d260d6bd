// Package simulator translates between the simulator's line protocol and package decide. It hosts
// one independent Balancer for each router instance, and makes no decisions itself.
//
// A batch consists of a line with the clock, a line for each event, and a commit line. The reply
// consists of a line for each action, and an OK line. words.go defines the keywords of the
// protocol, lines.go reads lines and their fields, events.go reads the events, and instance.go
// writes the actions.
package simulator

import (
	"bytes"
	"errors"
	"fmt"
	"io"
)

// Errors for an input that ends prematurely.
var (
	errEndsInLine  = errors.New("input ends within a line")
	errEndsInBatch = errors.New("input ends within a batch")
	errEndsInList  = errors.New("input ends within a list")
)

// session hosts the instances of one simulator process.
type session struct {
	// lines is the input.
	lines *lineReader
	// instances are the open instances, by the number that the simulator assigned.
	instances map[string]*instance
	// reply is the reply to the current batch. It is written after the whole batch has been
	// processed.
	reply *bytes.Buffer
}

// Run reads batches from in and writes the replies to out until in ends. A malformed batch gets no
// reply and ends Run with an error that contains the line number.
func Run(in io.Reader, out io.Writer) error {
	s := &session{lines: newLineReader(in), instances: map[string]*instance{}, reply: new(bytes.Buffer)}
	for {
		hasBatch, err := s.handleBatch()
		if err != nil {
			return fmt.Errorf("line %d: %w", s.lines.number, err)
		}
		if !hasBatch {
			return nil
		}
		s.reply.WriteString(replyEnd + "\n")
		if _, err := s.reply.WriteTo(out); err != nil {
			return fmt.Errorf("writing the reply: %w", err)
		}
	}
}

// handleBatch reads one batch and handles its events. It returns false at the end of the input.
func (s *session) handleBatch() (bool, error) {
	text, err := s.nextNonEmpty()
	if errors.Is(err, io.EOF) {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	now, err := parseBatchStart(text)
	if err != nil {
		return false, err
	}
	for {
		text, err := s.nextNonEmpty()
		if errors.Is(err, io.EOF) {
			return false, errEndsInBatch
		}
		if err != nil {
			return false, err
		}
		if text == batchEnd {
			return true, nil
		}
		if err := s.handleEvent(now, text); err != nil {
			return false, err
		}
	}
}

// nextNonEmpty returns the next line that is not empty. It returns io.EOF only if the input does
// not end within a line.
func (s *session) nextNonEmpty() (string, error) {
	for {
		text, err := s.lines.next()
		if err != nil || text != "" {
			return text, err
		}
	}
}

// parseBatchStart parses the clock, in ms, from the first line of a batch.
func parseBatchStart(text string) (now float64, err error) {
	f := newFields(text)
	if word := f.word(); word != batchStart {
		return 0, fmt.Errorf("want %s, got %q", batchStart, word)
	}
	now = f.number("clock")
	return now, f.end(batchStart)
}
