package model

import (
	"fmt"
	"math"
	"reflect"
	"testing"

	"pgregory.net/rapid"
)

func params() Params {
	return Params{Cores: 2, Speed: 1, Queue: 4, Memory: 1000, MissWork: 1, FetchMS: 100, KeyedMS: 1000}
}

// advance advances a server to now.
func advance(s *Server, now float64) (done []Completion) { return s.Advance(now) }

func TestJobsShareCoresAndQueueIsBounded(t *testing.T) {
	s := New(params(), 1, 0)
	s.Store(0, "k", 10)
	for i := range uint64(6) {
		if !s.Arrive(0, Job{ID: i, Key: "k", Work: 10}) {
			t.Errorf("job %d was rejected", i)
		}
	}
	if s.Arrive(0, Job{ID: 6, Key: "k", Work: 10}) {
		t.Error("a seventh job was accepted: two cores and a queue of four hold six")
	}
	done := advance(s, 100)
	if len(done) != 6 {
		t.Fatalf("%d jobs completed, want 6", len(done))
	}
	for i, d := range done { // two at a time, ten milliseconds each
		if want := 10 * float64(1+i/2); math.Abs(d.At-want) > 1e-6 || d.Outcome != Served {
			t.Errorf("job %d: %v at %v, want at %v", d.ID, d.Outcome, d.At, want)
		}
	}
}

func TestMissIsFollowedByFetchingThenServed(t *testing.T) {
	s := New(params(), 1, 0)
	at, lastID := 0.0, uint64(0)
	ask := func(key string) Outcome {
		lastID++
		s.Arrive(at, Job{ID: lastID, Key: key, Work: 5})
		at += 20
		done := advance(s, at)
		return done[len(done)-1].Outcome
	}
	if got := ask("a"); got != Missed {
		t.Errorf("first read: got %v", got)
	}
	if got := ask("a"); got != Fetching {
		t.Errorf("read while a fetch is in progress: got %v", got)
	}
	s.Store(at, "a", 600)
	if got := ask("a"); got != Served {
		t.Errorf("read of a stored key: got %v", got)
	}
	s.Store(at, "b", 600) // both exceed the memory
	if got := ask("a"); got != Missed || s.StoredBytes() != 600 {
		t.Errorf("read of an evicted key: got %v, %d bytes stored", got, s.StoredBytes())
	}
	s.Store(at, "c", 1001)
	if got := ask("b"); got != Served {
		t.Errorf("a value larger than the memory evicted another: got %v", got)
	}
	s.Invalidate("b")
	if s.StoredBytes() != 0 {
		t.Errorf("%d bytes stored after an invalidation", s.StoredBytes())
	}
	s.p.TTLMS = 5
	s.Store(at, "d", 1)
	at += 10
	s.Advance(at)
	if got := ask("d"); got != Missed {
		t.Errorf("read of an expired key: got %v", got)
	}
	if got := s.Warmth(); got != 1 {
		t.Errorf("warmth %v", got)
	}
}

func TestKeyedRepeatsAreDropped(t *testing.T) {
	p := params()
	p.Origin = true
	s := New(p, 1, 0)
	for i, c := range []struct {
		at   float64
		want Outcome
	}{{0, Served}, {100, Repeated}, {1200, Served}} {
		s.Advance(c.at)
		s.Arrive(c.at, Job{ID: uint64(i), Key: "k", Idem: "w", Work: 5, Write: true})
		if done := advance(s, c.at+50); len(done) != 1 || done[0].Outcome != c.want {
			t.Errorf("at %v: %v", c.at, done)
		}
	}
}

func TestColdServerWarmsUpAndCollapsesUnderOverload(t *testing.T) {
	p := params()
	p.ColdFrom, p.ColdMS, p.Queue, p.FallMultiple, p.FallForMS = 0.3, 1000, 10000, 3, 200
	s := New(p, 1, 0)
	s.Restart(1000)
	if s.Capacity() != 0.6 {
		t.Errorf("capacity at the start: got %v", s.Capacity())
	}
	s.Advance(1500)
	if math.Abs(s.Warmth()-0.65) > 1e-9 {
		t.Errorf("warmth after half of the time: got %v", s.Warmth())
	}
	// The budget of a window is 3 * 1.3 work/ms * 200 ms = 780.
	for i := range uint64(77) {
		s.Arrive(1500, Job{ID: i, Work: 10})
	}
	if s.HasCollapsed() {
		t.Fatal("collapsed within its budget")
	}
	s.Arrive(1500, Job{ID: 100, Work: 11})
	if !s.HasCollapsed() || s.Arrive(1501, Job{ID: 101}) || s.Connect() || !math.IsInf(s.Next(), 1) {
		t.Error("the server did not collapse, or did not stay down")
	}
	s.Restart(3000)
	s.Advance(5000)
	for i := range uint64(200) {
		s.Arrive(5000, Job{ID: i, Work: 10})
	}
	if s.HasCollapsed() {
		t.Error("a warm server collapsed")
	}
}

func TestCompletedWorkWarmsUpServer(t *testing.T) {
	p := params()
	p.ColdFrom, p.ColdMS, p.WarmWork, p.Origin = 0.5, 1e6, 100, true
	s := New(p, 1, 0)
	s.Restart(0)
	s.Arrive(0, Job{ID: 1, Work: 50})
	s.Advance(500)
	if got := s.Warmth(); math.Abs(got-0.75) > 0.01 {
		t.Errorf("got warmth %v after half of the work", got)
	}
}

func TestChokeBeginsWhenCrowdedAndEndsAfterRest(t *testing.T) {
	p := params()
	p.Queue, p.ChokeAt, p.ChokeOverMS, p.ChokeSlower, p.ChokeBelow, p.ChokeRestMS, p.ChokeMostMS =
		100, 2, 50, 3, 0.5, 100, 5000
	p.Origin = true
	s := New(p, 1, 0)
	for i := range uint64(20) {
		s.Arrive(0, Job{ID: i, Work: 20})
	}
	s.Advance(49)
	if s.IsChoked() {
		t.Error("choked too soon")
	}
	s.Advance(51)
	if !s.IsChoked() {
		t.Error("not choked")
	}
	done := advance(s, 2000)
	last := done[len(done)-1].At
	if last < 400 {
		t.Errorf("all jobs completed by %v, although the server was choked", last)
	}
	if s.IsChoked() {
		t.Error("still choked after the rest")
	}
}

func TestLoadReportsAreDelayedAndCostWork(t *testing.T) {
	p := params()
	p.Origin, p.ReportEveryMS, p.ReportDelayMS, p.ProbeWork = true, 100, 50, 4
	s := New(p, 1, 0)
	s.Arrive(0, Job{ID: 1, Work: 80})
	s.Advance(120)
	if r, _ := s.Probe(120); r.Util != 0 {
		t.Errorf("a report of 20 ms ago was returned: %+v", r)
	}
	s.Advance(160)
	if r, _ := s.Probe(160); math.Abs(r.Util-0.4) > 1e-9 || r.QPS != 10 {
		t.Errorf("got report %+v", r)
	}
	s.Arrive(160, Job{ID: 2, Work: 10})
	s.Probe(160)
	if done := advance(s, 300); math.Abs(done[0].At-172) > 1e-6 {
		t.Errorf("job completed at %v, want 172: a probe delays the jobs", done[0].At)
	}
}

func TestConnectionsAreLimited(t *testing.T) {
	p := params()
	p.Conns = 2
	s := New(p, 1, 0)
	for i, want := range []bool{true, true, false} {
		if s.Connect() != want {
			t.Errorf("connection %d: accepted %t", i, !want)
		}
	}
	s.Disconnect()
	if !s.Connect() {
		t.Error("rejected a connection after another was closed")
	}
}

func TestPausesDelayJobsAndErrorsFailThem(t *testing.T) {
	p := params()
	p.PauseEveryMS, p.PauseMS, p.Origin = 100, 50, true
	s, last := New(p, 7, 0), 0.0
	for i := range uint64(100) {
		s.Advance(last)
		s.Arrive(last, Job{ID: i, Work: 10})
		var done []Completion
		for len(done) == 0 {
			done = s.Advance(s.Next())
		}
		if len(done) != 1 {
			t.Fatalf("job %d lost", i)
		}
		last = done[0].At
	}
	if last < 1200 { // 1,000 without pauses; about ten pauses of 50 ms are expected
		t.Errorf("a hundred jobs of 10 ms were completed by %v: no pause", last)
	}
	p.ErrorRate = 1
	s = New(p, 7, 0)
	s.Arrive(0, Job{ID: 1, Work: 10})
	if done := advance(s, 1e5); done[0].Outcome != Failed {
		t.Errorf("got %v", done[0].Outcome)
	}
}

// Every accepted job completes once or is canceled, in the order of time, for any steps of the clock.
// The same seed and calls lead to the same results.
func TestEveryJobEndsOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := Params{Cores: rapid.IntRange(1, 4).Draw(t, "cores"), Speed: rapid.Float64Range(0.5, 2).Draw(t, "speed"),
			Slots: rapid.IntRange(0, 6).Draw(t, "slots"), Queue: rapid.IntRange(0, 8).Draw(t, "queue"), Memory: 500,
			Thrash: 0.1, ThrashAt: 1, ColdFrom: 0.3, ColdMS: 500,
			ChokeAt: 1, ChokeOverMS: 20, ChokeSlower: 2, ChokeBelow: 0.5,
			ChokeRestMS: 30, ChokeMostMS: 200, PauseEveryMS: 100, PauseMS: 5, ErrorRate: 0.1, MissWork: 1, FetchMS: 50}
		type step struct {
			Gap, Work float64
			Key, Kind int
		}
		steps := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
			return step{rapid.Float64Range(0, 30).Draw(t, "gap"), rapid.Float64Range(0, 40).Draw(t, "work"),
				rapid.IntRange(0, 5).Draw(t, "key"), rapid.IntRange(0, 9).Draw(t, "kind")}
		}), 1, 60).Draw(t, "steps")
		run := func() (all []Completion, accepted map[uint64]bool) {
			s, now := New(p, 9, 0), 0.0
			s.Restart(0)
			accepted = map[uint64]bool{}
			for i, st := range steps {
				now += st.Gap
				all = append(all, s.Advance(now)...)
				id := uint64(i)
				switch {
				case st.Kind == 0 && i > 0:
					if s.Cancel(id - 1) {
						delete(accepted, id-1)
					}
				case st.Kind == 1:
					s.Store(now, fmt.Sprint(st.Key), 100)
				case s.Arrive(now, Job{ID: id, Key: fmt.Sprint(st.Key), Work: st.Work}):
					accepted[id] = true
				}
				if s.StoredBytes() > p.Memory || len(s.wait) > p.Queue || len(s.busy) > s.p.Slots {
					t.Fatalf("over a limit: %d bytes stored, %d jobs waiting, %d in service",
						s.StoredBytes(), len(s.wait), len(s.busy))
				}
			}
			return append(all, s.Advance(now+1e6)...), accepted
		}
		all, accepted := run()
		last := 0.0
		for _, d := range all {
			if !accepted[d.ID] || d.At < last {
				t.Fatalf("job %d completed twice, or out of order", d.ID)
			}
			last = d.At
			delete(accepted, d.ID)
		}
		if len(accepted) > 0 {
			t.Fatalf("%d jobs never completed", len(accepted))
		}
		if again, _ := run(); !reflect.DeepEqual(all, again) {
			t.Fatal("the same calls led to different results")
		}
	})
}

func TestDirectoryPublishesChangesLateAndInOrder(t *testing.T) {
	d := NewDirectory(DirectoryParams{LateMS: [2]float64{100, 500}}, 1,
		[]Entry{{ID: "a", State: "active"}, {ID: "b", State: "active"}})
	d.ScheduleChange(0, Entry{ID: "a", State: "leaving"})
	d.ScheduleChange(1, Entry{ID: "a", State: "left"})
	if d.Advance(99) || d.Version() != 1 {
		t.Error("a change was published before its time")
	}
	if !d.Advance(502) || d.Version() != 3 || len(d.FullList().Servers) != 1 {
		t.Errorf("got list %+v", d.FullList())
	}
	if l := d.ChangesAfter(1); l.Full || len(l.Servers) != 1 || l.Servers[0].State != "left" {
		t.Errorf("changes after version 1: got %+v", l)
	}
	if l := d.ChangesAfter(3); l.Full || len(l.Servers) != 0 {
		t.Errorf("changes after the last version: got %+v", l)
	}
	d.Rewind(2)
	if l := d.ChangesAfter(3); !l.Full || l.Version != 1 {
		t.Errorf("changes after a rewind: got %+v", l)
	}
	for i := range 2 * maxChanges {
		d.ScheduleChange(1000, Entry{ID: fmt.Sprint(i % 7), State: "active"})
		d.Advance(2000)
	}
	if l := d.ChangesAfter(2); !l.Full || len(d.log) != maxChanges {
		t.Errorf("changes older than the log: full %t, %d changes in the log", l.Full, len(d.log))
	}
}

func TestDirectoryCallsAreLimited(t *testing.T) {
	d := NewDirectory(DirectoryParams{CallsPerS: 10, TimeoutMS: 250}, 1, nil)
	for i, want := range []float64{100, 200, -1, -1} {
		if wait, ok := d.Call(0); ok != (want > 0) || ok && wait != want {
			t.Errorf("call %d: wait %v, accepted %t", i, wait, ok)
		}
	}
	if wait, ok := d.Call(150); !ok || wait != 150 {
		t.Errorf("later call: wait %v, accepted %t", wait, ok)
	}
}

func TestImpossibleParameterIsNamedInError(t *testing.T) {
	if err := params().Check(); err != nil {
		t.Error(err)
	}
	p := params()
	p.ChokeAt = 3
	if err := p.Check(); err == nil || err.Error() != "choke_slower: impossible value 0" {
		t.Error(err)
	}
}

func BenchmarkServer(b *testing.B) {
	s, now := New(Params{Cores: 8, Speed: 1, Queue: 100, Memory: 1 << 20, MissWork: 0.1}, 1, 0), 0.0
	s.Store(0, "k", 10)
	b.ReportAllocs()
	for i := range uint64(b.N) {
		now += 1
		s.Advance(now)
		s.Arrive(now, Job{ID: i, Key: "k", Work: 5})
	}
}
