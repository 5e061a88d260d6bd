package model

import "testing"

// A cold server tolerates N + 2*sqrt(N) + 2 requests of mean work within its window, and collapses at
// one more.
func TestColdServerCollapsesBeyondSlowStartBudget(t *testing.T) {
	p := Params{Cores: 1, Speed: 1, Queue: 10000, ColdFrom: 0.5, ColdMS: 1e12, FallMultiple: 2, FallForMS: 100}
	for _, c := range []struct {
		name           string
		meanWork, work float64 // of a request
		tolerated      int
	}{
		{"no mean work is known", 0, 1, 100},
		{"requests of mean work", 1, 1, 122},     // N = 100
		{"a mean work of four", 4, 4, 37},        // N = 25
		{"requests of half the mean", 4, 2, 74},  // as much work
		{"requests of twice the mean", 4, 8, 18}, // likewise
	} {
		p := p
		p.MeanWork = c.meanWork
		s := New(p, 1, 0)
		s.Restart(0)
		for i := range c.tolerated {
			s.Arrive(0, Job{ID: uint64(i), Work: c.work})
		}
		if s.HasCollapsed() {
			t.Errorf("%s: collapsed at %d requests", c.name, c.tolerated)
		}
		s.Arrive(0, Job{ID: 1 << 20, Work: c.work})
		if !s.HasCollapsed() {
			t.Errorf("%s: did not collapse at %d requests", c.name, c.tolerated+1)
		}
	}
}

// Work that arrived before the window does not count.
func TestSlowStartBudgetIgnoresWorkBeforeWindow(t *testing.T) {
	s := New(Params{Cores: 1, Speed: 1, Queue: 10000, ColdFrom: 0.5, ColdMS: 1e12,
		FallMultiple: 2, FallForMS: 100, MeanWork: 1}, 1, 0)
	s.Restart(0)
	for i := range 10 {
		now := float64(i) * 100
		s.Advance(now)
		for j := range 122 {
			s.Arrive(now, Job{ID: uint64(1000*i + j), Work: 1})
		}
		if s.HasCollapsed() {
			t.Fatalf("collapsed in window %d", i)
		}
	}
}
