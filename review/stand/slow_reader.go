package main

import (
	"io"
	"time"
)

// slowReader reads perSecond bytes a second in small pieces without a pause, and after slowFor as fast as it can.
type slowReader struct {
	from      io.Reader
	perSecond int
	slowFor   time.Duration
	begun     time.Time
	total     int
}

// slowPiece is the length of a piece.
const slowPiece = 8 << 10

func (s *slowReader) Read(b []byte) (int, error) {
	if s.begun.IsZero() {
		s.begun = time.Now()
	}
	if time.Since(s.begun) > s.slowFor {
		return s.from.Read(b)
	}
	n, err := s.from.Read(b[:min(len(b), slowPiece)])
	s.total += n
	time.Sleep(time.Until(s.begun.Add(time.Duration(s.total) * time.Second / time.Duration(s.perSecond))))
	return n, err
}
