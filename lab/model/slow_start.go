package model

import "math"

// recordArrival records arriving work, whether it is served or rejected, and lets a cold server with too
// much of it collapse.
func (s *Server) recordArrival(now, work float64) {
	if s.p.FallMultiple <= 0 || s.collapsed || s.Warmth() >= 1 {
		s.recentArrivals = nil
		return
	}
	s.recentArrivals = append(s.recentArrivals, arrival{now, work})
	for len(s.recentArrivals) > 0 && s.recentArrivals[0].at <= now-s.p.FallForMS {
		s.recentArrivals = s.recentArrivals[1:]
	}
	recentWork := 0.0
	for _, a := range s.recentArrivals {
		recentWork += a.work
	}
	if recentWork > s.slowStartBudget() {
		s.collapsed, s.busy, s.wait, s.recentArrivals = true, nil, nil, nil
	}
}

// slowStartBudget returns the work that a cold server tolerates within a window at its present warmth.
func (s *Server) slowStartBudget() float64 {
	allowedWork := s.p.FallMultiple * s.Capacity() * s.p.FallForMS
	if s.p.MeanWork <= 0 {
		return allowedWork
	}
	requests := allowedWork / s.p.MeanWork
	return (requests + 2*math.Sqrt(requests) + 2) * s.p.MeanWork
}
