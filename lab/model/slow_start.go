package model

import "math"

// pressed books work that arrives, served or not: a cold server that is sent too much falls over.
func (s *Server) pressed(now, work float64) {
	if s.p.FallMultiple <= 0 || s.fallen || s.Warmth() >= 1 {
		s.lately = nil
		return
	}
	s.lately = append(s.lately, sent{now, work})
	for len(s.lately) > 0 && s.lately[0].at <= now-s.p.FallForMS {
		s.lately = s.lately[1:]
	}
	sum := 0.0
	for _, l := range s.lately {
		sum += l.work
	}
	if sum > s.slowStartBudget() {
		s.fallen, s.busy, s.wait, s.lately = true, nil, nil, nil
	}
}

// slowStartBudget is the work that a cold server bears within its window as warm as it is now.
func (s *Server) slowStartBudget() float64 {
	allowedWork := s.p.FallMultiple * s.Capacity() * s.p.FallForMS
	if s.p.MeanWork <= 0 {
		return allowedWork
	}
	requests := allowedWork / s.p.MeanWork
	return (requests + 2*math.Sqrt(requests) + 2) * s.p.MeanWork
}
