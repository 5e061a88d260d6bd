// Package simulator translates between the simulator's line protocol and the decide package: one
// Balancer for each router instance, sharing nothing. It decides nothing.
//
// A batch begins with a line that holds the clock, goes on with a line for each event, and ends
// with a commit; the reply is a line for each action and an OK. The protocol's words stand in
// words.go and nowhere else: lines.go reads lines and their fields, events.go the events, and
// instance.go writes the actions.
package simulator

import (
	"bytes"
	"errors"
	"fmt"
	"io"
)

// The errors of an input that ends too early.
var (
	errEndsInLine  = errors.New("input ends within a line")
	errEndsInBatch = errors.New("input ends within a batch")
	errEndsInList  = errors.New("input ends within a list")
)

// session hosts the instances of one adapter process.
type session struct {
	// lines is the input.
	lines *lineReader
	// instances are the open ones, by the number that the simulator gave them.
	instances map[string]*instance
	// reply is the reply to the batch in hand. It is written once the batch has been understood.
	reply *bytes.Buffer
}

// Run answers batches from in on out until in ends. A malformed batch ends it with an error that
// names the line, and is not answered.
func Run(in io.Reader, out io.Writer) error {
	s := &session{lines: newLineReader(in), instances: map[string]*instance{}, reply: new(bytes.Buffer)}
	for {
		hasBatch, err := s.batch()
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

// batch reads one batch and acts on its events; false at the end of the input.
func (s *session) batch() (bool, error) {
	text, err := s.nextFilled()
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
		text, err := s.nextFilled()
		if errors.Is(err, io.EOF) {
			return false, errEndsInBatch
		}
		if err != nil {
			return false, err
		}
		if text == batchEnd {
			return true, nil
		}
		if err := s.event(now, text); err != nil {
			return false, err
		}
	}
}

// nextFilled returns the next line that is not empty; io.EOF only at a clean end of the input.
func (s *session) nextFilled() (string, error) {
	for {
		text, err := s.lines.next()
		if err != nil || text != "" {
			return text, err
		}
	}
}

// parseBatchStart reads the clock, ms, from the first line of a batch.
func parseBatchStart(text string) (now float64, err error) {
	f := newFields(text)
	if word := f.word(); word != batchStart {
		return 0, fmt.Errorf("want %s, got %q", batchStart, word)
	}
	now = f.number("clock")
	return now, f.end(batchStart)
}
