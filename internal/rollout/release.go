package rollout

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"path"
	"slices"
	"time"

	"dockhinge.example/dockhinge/internal/failpoint"
)

// Bounds of a release.
const (
	MaxComparisonBuckets = 256             // of figures, the newest
	ComparisonInterval   = 2 * time.Second // of agreed time
	MinStepTimeout       = time.Second
	MinBakeTime          = time.Second
)

// ReleasePlan is a release as it was asked for: all routers whose names match are to tell the version To.
type ReleasePlan struct {
	Name         string        `json:"name"`
	Match        string        `json:"match,omitempty"` // names, as path.Match has it; "" = all
	FromVersion  string        `json:"from"`            // the version that they have, and get again by the way back
	ToVersion    string        `json:"to"`
	FirstWave    int           `json:"first"`           // routers of the first wave
	GrowthFactor float64       `json:"grow"`            // each wave has so many times the routers of all before it
	BakeTime     time.Duration `json:"bake"`            // after a wave, until the next
	MinRequests  int64         `json:"least"`           // requests that the new version must have answered in it
	StepTimeout  time.Duration `json:"step"`            // a router must be back within this
	LearnTime    time.Duration `json:"learn,omitempty"` // a router that has started is worse than others for so long, whatever its version
}

// Check tells what is wrong with a plan.
func (p *ReleasePlan) Check() error {
	for _, f := range []struct{ field, v string }{{"name", p.Name}, {"from", p.FromVersion}, {"to", p.ToVersion}} {
		if f.v == "" || len(f.v) > MaxName {
			return fmt.Errorf("%s: %q is not of 1 to %d bytes", f.field, f.v, MaxName)
		}
	}
	switch {
	case p.FromVersion == p.ToVersion:
		return fmt.Errorf("to: %q is from too: there is nothing to do, and no way back", p.ToVersion)
	case p.FirstWave < 1 || p.FirstWave > MaxRouters:
		return fmt.Errorf("first: %d is not from 1 to %d", p.FirstWave, MaxRouters)
	case !(p.GrowthFactor >= 1 && p.GrowthFactor <= 100):
		return fmt.Errorf("grow: %v is not from 1 to 100", p.GrowthFactor)
	case p.BakeTime < MinBakeTime || p.BakeTime > MaxPermitWait:
		return fmt.Errorf("bake: %v is not from %v to %v", p.BakeTime, MinBakeTime, MaxPermitWait)
	case p.StepTimeout < MinStepTimeout || p.StepTimeout > MaxDuration:
		return fmt.Errorf("step: %v is not from %v to %v", p.StepTimeout, MinStepTimeout, MaxDuration)
	case p.LearnTime < 0 || p.LearnTime > MaxDuration:
		return fmt.Errorf("learn: %v is not from 0 to %v", p.LearnTime, MaxDuration)
	case p.MinRequests < 0:
		return fmt.Errorf("least: %d is below 0", p.MinRequests)
	}
	if _, err := path.Match(p.Match, ""); err != nil || len(p.Match) > MaxName {
		return fmt.Errorf("match: %q is no pattern of at most %d bytes", p.Match, MaxName)
	}
	return nil
}

// Waves are the sizes of the waves over n routers, each with those before it.
func (p *ReleasePlan) Waves(n int) (sizes []int) {
	for size := min(p.FirstWave, n); ; {
		sizes = append(sizes, size)
		if size >= n {
			return sizes
		}
		size = p.nextWaveSize(size, n)
	}
}

func (p *ReleasePlan) nextWaveSize(size, n int) int {
	return min(n, max(size+1, size+int(math.Floor(p.GrowthFactor*float64(size)))))
}

// ComparisonBucket is what routers of both versions answered in a while, at the same time. A router's figures count once it is warm and has learnt.
type ComparisonBucket struct {
	Served [2]int64 `json:"good"` // served: by From, by To
	Failed [2]int64 `json:"bad"`  // refused or failed
	// Of those served, how many took how long (SpeedBucket); empty where routers don't tell it.
	LatencyCounts [2][]int64 `json:"speed,omitzero"`
}

// Progress of a release.
const (
	ReleaseRunning = "running"
	ReleaseDone    = "done"
	ReleaseEnded   = "ended" // by an operator, as it stood
)

// ReleaseProgress is a release and how far it is.
type ReleaseProgress struct {
	ReleasePlan
	StartedBy         string                   `json:"by"`
	GoalVersion       string                   `json:"goal"` // the version that routers are brought to: To, or From on the way back
	State             string                   `json:"state"`
	Routers           []string                 `json:"names"`           // all routers, zone by zone
	GoalSetAt         time.Duration            `json:"since"`           // when the goal became what it is
	WaveSize          int                      `json:"size"`            // of the wave, with all before it
	BakedAt           time.Duration            `json:"baked,omitempty"` // when the wave has baked; 0 = it isn't complete
	StepBegunAt       map[string]time.Duration `json:"began,omitempty"` // steps of routers that are not at the goal
	Reached           map[string]bool          `json:"there,omitempty"` // routers that have reached the goal,
	FailedAfterUpdate int                      `json:"fell,omitempty"`  // and how often one of them was down again, not by plan
	NotRolledBack     map[string]string        `json:"left,omitempty"`  // those that could not be brought back, and why
	Buckets           []ComparisonBucket       `json:"bins,omitempty"`
	BucketOpenedAt    time.Duration            `json:"open,omitempty"` // when the last bin began
	RequestsInWave    int64                    `json:"seen,omitempty"` // requests that the goal's version has answered since the wave was complete
}

// startRelease begins a release.
func (s *State) startRelease(c Command, f Sender) Result {
	p := c.Plan
	if p == nil {
		return invalid("plan: empty")
	}
	if err := p.Check(); err != nil {
		return invalid("release %q: %v", p.Name, err)
	}
	if r := s.Release; r != nil && r.State == ReleaseRunning {
		return invalid("release %s is not over (towards %s, by %s): 'release end' ends it as it stands", r.Name, r.GoalVersion, r.StartedBy)
	}
	names := s.matchingRouters(p.Match)
	if len(names) == 0 {
		return invalid("match: %q names no router; %s", p.Match, s.knownNames(KindRouter))
	}
	for _, name := range names {
		if v := s.Routers[name].Version; v != "" && v != p.FromVersion && v != p.ToVersion {
			return invalid("from: router %s has %s, neither %s nor %s: the way back would not be what was before", name, v, p.FromVersion, p.ToVersion)
		}
		if !slices.ContainsFunc(s.Budgets, func(b Budget) bool { return b.covers(KindRouter, name) }) {
			return invalid("no budget covers router/%s: it would never go", name)
		}
	}
	s.Release = &ReleaseProgress{ReleasePlan: *p, StartedBy: f.Client, GoalVersion: p.ToVersion, State: ReleaseRunning, Routers: names, WaveSize: min(p.FirstWave, len(names)), GoalSetAt: f.Time, BucketOpenedAt: f.Time}
	s.DrainVersion++ // routers are told to report figures
	return Result{Code: CodeOK}
}

// matchingRouters are routers by name, zone by zone.
func (s *State) matchingRouters(match string) []string {
	names := []string{}
	for name := range s.Routers {
		if ok, _ := path.Match(match, name); ok || match == "" {
			names = append(names, name)
		}
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(s.Routers[a].Zone, s.Routers[b].Zone), cmp.Compare(a, b))
	})
	return names
}

// steer changes a release that is there.
func (s *State) steer(c Command, f Sender) Result {
	r := s.Release
	if r == nil || r.State != ReleaseRunning && c.Op != OpRollBack {
		return invalid("no release is under way")
	}
	switch c.Op {
	case OpRollBack:
		if r.GoalVersion == r.FromVersion {
			return invalid("release %s is on its way back already", r.Name)
		}
		// All that may have begun goes back: at once as far as the budgets let it, as what it was is known to be good.
		r.GoalVersion, r.State, r.StartedBy, r.WaveSize, r.BakedAt, r.StepBegunAt, r.NotRolledBack, r.RequestsInWave, r.Reached, r.FailedAfterUpdate = r.FromVersion, ReleaseRunning, f.Client, len(r.Routers), 0, nil, nil, 0, nil, 0
		r.GoalSetAt, s.Halt = f.Time, nil
	case OpEndRelease:
		r.State = ReleaseEnded
	case OpRouterFailed:
		if !slices.Contains(r.Routers, c.Name) || len(c.Reason) > MaxText {
			return invalid("router %q is not in release %s, or the reason has over %d bytes", c.Name, r.Name, MaxText)
		}
		s.recordRouterFailure(c.Name, c.Reason, f.Time)
	}
	s.DrainVersion++ // what routers report may change
	return Result{Code: CodeOK}
}

// resumeRelease has a release that was halted go on: what halted it is forgiven, and must come anew to halt it again.
func (s *State) resumeRelease(clock time.Duration) {
	r := s.Release
	if r == nil || r.State != ReleaseRunning {
		return
	}
	r.Buckets, r.FailedAfterUpdate = nil, 0
	for name := range r.StepBegunAt {
		r.StepBegunAt[name] = clock
	}
	if r.BakedAt > 0 {
		r.BakedAt = clock + r.BakeTime
	}
}

// recordRouterFailure books that a router can't be brought to the goal: that halts a release, but on the way back the router is named and left.
func (s *State) recordRouterFailure(name, why string, clock time.Duration) {
	r := s.Release
	switch _, left := r.NotRolledBack[name]; {
	case r.GoalVersion == r.ToVersion && s.Halt == nil:
		s.Halt = &HaltRecord{"release " + r.Name, fmt.Sprintf("router/%s: %s", name, why), clock}
		s.Version++
	case r.GoalVersion == r.FromVersion && !left:
		if r.NotRolledBack == nil {
			r.NotRolledBack = map[string]string{}
		}
		r.NotRolledBack[name] = why
		s.Version++
	}
}

// UpdatedRouters names the routers of the release that are up with the goal's version, whoever holds their permits.
func (s *State) UpdatedRouters() (names []string) {
	if s.Release == nil {
		return nil
	}
	for _, name := range s.Release.Routers {
		if s.hasGoalVersion(name) {
			names = append(names, name)
		}
	}
	return names
}

// hasReachedGoal tells whether a router of the release is where it shall be.
func (s *State) hasReachedGoal(name string, planned map[string]bool) bool {
	t := s.Routers[name]
	return t != nil && t.IsUp && t.Version == s.Release.GoalVersion && !planned[targetID(KindRouter, name)]
}

// advanceRelease moves a release on, as far as the agreed state and clock say.
func (s *State) advanceRelease(clock time.Duration) {
	r := s.Release
	if r == nil || r.State != ReleaseRunning {
		return
	}
	planned := s.plannedOutages()
	for _, p := range s.Permits {
		if p.Kind == KindRouter && p.Stage == StageBegun && slices.Contains(r.Routers, p.Name) && r.StepBegunAt[p.Name] == 0 && !s.hasGoalVersion(p.Name) && r.NotRolledBack[p.Name] == "" {
			if r.StepBegunAt == nil {
				r.StepBegunAt = map[string]time.Duration{}
			}
			r.StepBegunAt[p.Name] = max(p.BegunAt, r.GoalSetAt) // a step may have been begun towards the other goal
		}
	}
	s.haltIfUpdatedRoutersFail(planned, clock)
	complete := true
	for _, name := range r.Routers[:r.WaveSize] {
		there := s.hasReachedGoal(name, planned)
		if at, ok := r.StepBegunAt[name]; ok && !there {
			if at += r.StepTimeout; at > clock {
				s.reconcileAt(at)
			} else {
				s.recordRouterFailure(name, fmt.Sprintf("it is not ready with %s within %v of its step's beginning", r.GoalVersion, r.StepTimeout), clock)
			}
		}
		if _, left := r.NotRolledBack[name]; left || there {
			delete(r.StepBegunAt, name)
		} else {
			complete = false
		}
	}
	switch {
	case !complete:
		r.BakedAt = 0
	case r.BakedAt == 0:
		r.BakedAt, r.RequestsInWave = clock+r.BakeTime, 0
		s.reconcileAt(r.BakedAt)
		s.Version++
	case r.BakedAt > clock:
		s.reconcileAt(r.BakedAt)
	case s.Halt != nil && !failpoint.Is("halt-ignored"): // it stays where it is
	case r.WaveSize < len(r.Routers) && r.RequestsInWave < r.MinRequests: // it bakes on until the new version has been seen to work
		if clock >= r.BakedAt+10*r.BakeTime {
			s.Halt = &HaltRecord{"release " + r.Name, fmt.Sprintf("%s has answered %d of the %d requests wanted within %v", r.GoalVersion, r.RequestsInWave, r.MinRequests, 11*r.BakeTime), clock}
			s.Version++
		} else {
			s.reconcileAt(r.BakedAt + 10*r.BakeTime)
		}
	case r.WaveSize == len(r.Routers):
		r.State = ReleaseDone
		s.DrainVersion++
		s.Version++
	default:
		r.WaveSize, r.BakedAt = r.nextWaveSize(r.WaveSize, len(r.Routers)), 0
		s.Version++
		s.advanceRelease(clock)
	}
}

// haltIfUpdatedRoutersFail halts a release whose new version doesn't stay up: one of the first wave that is down again, or two of them later. Where
// most routers are down, it is the agreement that has lost them.
func (s *State) haltIfUpdatedRoutersFail(planned map[string]bool, clock time.Duration) {
	r := s.Release
	down := 0
	for _, name := range r.Routers {
		if t := s.Routers[name]; t == nil || !t.IsUp {
			down++
		}
	}
	if 2*down > len(r.Routers) && len(r.Routers) > 1 {
		return
	}
	for _, name := range r.Routers {
		t := s.Routers[name]
		switch {
		case s.hasReachedGoal(name, planned):
			if r.Reached == nil {
				r.Reached = map[string]bool{}
			}
			r.Reached[name] = true
		case r.Reached[name] && (t == nil || !t.IsUp) && !planned[targetID(KindRouter, name)]:
			delete(r.Reached, name)
			if r.FailedAfterUpdate++; r.GoalVersion == r.ToVersion && s.Halt == nil && (r.FailedAfterUpdate > 1 || r.WaveSize <= r.FirstWave) {
				s.Halt = &HaltRecord{"release " + r.Name, fmt.Sprintf("router/%s had %s and is down again (%d times by now)", name, r.GoalVersion, r.FailedAfterUpdate), clock}
				s.Version++
			}
		}
	}
}

// hasGoalVersion tells whether a router has the goal's version and is up, whoever holds its permit.
func (s *State) hasGoalVersion(name string) bool {
	t := s.Routers[name]
	return t != nil && t.IsUp && t.Version == s.Release.GoalVersion
}

// PendingRouters names the routers that are to be changed now.
func (s *State) PendingRouters() (names []string) {
	r := s.Release
	if r == nil || r.State != ReleaseRunning || s.Halt != nil {
		return nil
	}
	planned := s.plannedOutages()
	for _, name := range r.Routers[:r.WaveSize] {
		if _, left := r.NotRolledBack[name]; !left && !s.hasReachedGoal(name, planned) {
			names = append(names, name)
		}
	}
	return names
}

// recordRequestCounts books what a router has answered since its last report.
func (s *State) recordRequestCounts(t *Target, name string, v *RouterReport, clock time.Duration) {
	fresh := t.Served+t.Failed == 0 || t.Served+t.Failed > v.Served+v.Failed
	dg, db, before := v.Served-t.Served, v.Failed-t.Failed, t.LatencyCounts
	t.Served, t.Failed, t.LatencyCounts = v.Served, v.Failed, v.LatencyCounts
	if !fresh {
		s.countRequests(dg, db, clock)
	}
	r := s.Release
	if fresh || r == nil || r.State != ReleaseRunning || dg < 0 || db < 0 || !t.IsUp || clock < t.ChangedAt+max(r.LearnTime, s.slowStart(KindRouter, name)) || !slices.Contains(r.Routers, name) {
		return
	}
	i := slices.Index([]string{r.FromVersion, r.ToVersion}, t.Version)
	if i < 0 {
		return
	}
	if len(r.Buckets) == 0 || clock >= r.BucketOpenedAt+ComparisonInterval {
		if len(r.Buckets) >= MaxComparisonBuckets {
			r.Buckets = slices.Delete(r.Buckets, 0, 1)
		}
		r.Buckets, r.BucketOpenedAt = append(r.Buckets, ComparisonBucket{}), clock
	}
	b := &r.Buckets[len(r.Buckets)-1]
	b.Served[i], b.Failed[i] = b.Served[i]+dg, b.Failed[i]+db
	if len(before) == len(v.LatencyCounts) {
		for k, n := range v.LatencyCounts {
			if b.LatencyCounts[i] == nil {
				b.LatencyCounts[i] = make([]int64, LatencyBuckets)
			}
			b.LatencyCounts[i][k] += max(0, n-before[k])
		}
	}
	if r.BakedAt > 0 && t.Version == r.GoalVersion {
		r.RequestsInWave += dg + db
	}
}

// clone copies a release.
func (r *ReleaseProgress) clone() *ReleaseProgress {
	if r == nil {
		return nil
	}
	c := *r
	c.Routers, c.Buckets, c.StepBegunAt, c.NotRolledBack, c.Reached = slices.Clone(r.Routers), slices.Clone(r.Buckets), maps.Clone(r.StepBegunAt), maps.Clone(r.NotRolledBack), maps.Clone(r.Reached)
	for i := range c.Buckets {
		c.Buckets[i].LatencyCounts = [2][]int64{slices.Clone(c.Buckets[i].LatencyCounts[0]), slices.Clone(c.Buckets[i].LatencyCounts[1])}
	}
	return &c
}
