package rollout

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"
)

// States of a release.
const (
	// ReleaseRunning is the state of a release, or of its rollback, that is in progress.
	ReleaseRunning = "running"
	// ReleaseDone is the state of a release, or of its rollback, that has finished its last wave.
	ReleaseDone = "done"
	// ReleaseEnded is the state of a release that an operator has ended before it was done.
	ReleaseEnded = "ended"
)

// ReleaseProgress is a release and its progress. All times are agreed time.
type ReleaseProgress struct {
	// ReleasePlan is the plan as it was requested.
	ReleasePlan
	// StartedBy is the client that started the release or its rollback.
	StartedBy string `json:"by"`
	// GoalVersion is the version that routers are brought to: ToVersion, or FromVersion during a
	// rollback.
	GoalVersion string `json:"goal"`
	// State is ReleaseRunning, ReleaseDone or ReleaseEnded.
	State string `json:"state"`
	// Routers are the names of all routers of the release, ordered by zone, then by name.
	Routers []string `json:"names"`
	// GoalSetAt is when GoalVersion was set.
	GoalSetAt time.Duration `json:"since"`
	// WaveSize is how many routers the current wave and all earlier waves have together.
	WaveSize int `json:"size"`
	// BakeEndsAt is when the bake time of the current wave ends; 0 until the wave is complete.
	BakeEndsAt time.Duration `json:"baked,omitempty"`
	// StepBegunAt is when the update of each router that has not reached the goal began.
	StepBegunAt map[string]time.Duration `json:"began,omitempty"`
	// ReachedGoal are the routers that have reached the goal.
	ReachedGoal map[string]bool `json:"there,omitempty"`
	// FailedAfterUpdate is how often a router that had reached the goal went down without a permit.
	FailedAfterUpdate int `json:"fell,omitempty"`
	// NotRolledBack are the routers that a rollback could not return to FromVersion, with the
	// reason for each.
	NotRolledBack map[string]string `json:"left,omitempty"`
	// Buckets count the requests of both versions by interval: the newest MaxComparisonBuckets.
	Buckets []ComparisonBucket `json:"bins,omitempty"`
	// BucketOpenedAt is when the newest bucket began.
	BucketOpenedAt time.Duration `json:"open,omitempty"`
	// RequestsInWave is how many requests the goal version has answered since the current wave was
	// complete.
	RequestsInWave int64 `json:"seen,omitempty"`
}

// clone returns a deep copy of the release; nil for nil.
func (r *ReleaseProgress) clone() *ReleaseProgress {
	if r == nil {
		return nil
	}
	clone := *r
	clone.Routers = slices.Clone(r.Routers)
	clone.Buckets = slices.Clone(r.Buckets)
	clone.StepBegunAt = maps.Clone(r.StepBegunAt)
	clone.NotRolledBack = maps.Clone(r.NotRolledBack)
	clone.ReachedGoal = maps.Clone(r.ReachedGoal)
	for i := range clone.Buckets {
		latency := &clone.Buckets[i].LatencyCounts
		latency[fromVersion] = slices.Clone(latency[fromVersion])
		latency[toVersion] = slices.Clone(latency[toVersion])
	}
	return &clone
}

// isRollback reports whether the release is returning the routers to the previous version.
func (r *ReleaseProgress) isRollback() bool { return r.GoalVersion == r.FromVersion }

// startRelease is the command that starts a release.
type startRelease struct{ plan *ReleasePlan }

func (c startRelease) apply(s *State, sender Sender) Result {
	p := c.plan
	if p == nil {
		return invalid("plan: empty")
	}
	if err := p.Check(); err != nil {
		return invalid("release %q: %v", p.Name, err)
	}
	if r := s.Release; r != nil && r.State == ReleaseRunning {
		return invalid("release %s is not over (towards %s, by %s): 'release end' ends it as it stands",
			r.Name, r.GoalVersion, r.StartedBy)
	}
	names := s.matchingRouters(p.Match)
	if len(names) == 0 {
		return invalid("match: %q names no router; %s", p.Match, s.knownNames(KindRouter))
	}
	for _, name := range names {
		version := s.Routers[name].Version
		if version != "" && version != p.FromVersion && version != p.ToVersion {
			return invalid("from: router %s has %s, neither %s nor %s: the way back would not be what was before",
				name, version, p.FromVersion, p.ToVersion)
		}
		ref := targetRef{KindRouter, name}
		if !slices.ContainsFunc(s.Budgets, func(b Budget) bool { return b.covers(ref) }) {
			return invalid("no budget covers %s: it would never go", ref)
		}
	}
	s.Release = &ReleaseProgress{
		ReleasePlan:    *p,
		StartedBy:      sender.Client,
		GoalVersion:    p.ToVersion,
		State:          ReleaseRunning,
		Routers:        names,
		WaveSize:       min(p.FirstWave, len(names)),
		GoalSetAt:      sender.Time,
		BucketOpenedAt: sender.Time,
	}
	s.DrainVersion++ // the DrainSet requests counts from routers
	return Result{Code: CodeOK}
}

// matchingRouters returns the names of the routers that match a pattern, ordered by zone, then by
// name.
func (s *State) matchingRouters(pattern string) []string {
	names := []string{}
	for name := range s.Routers {
		if matches(pattern, name) {
			names = append(names, name)
		}
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(s.Routers[a].Zone, s.Routers[b].Zone), cmp.Compare(a, b))
	})
	return names
}

var noRelease = invalid("no release is under way")

// rollBack is the command that returns all routers of the release to the previous version.
type rollBack struct{}

func (rollBack) apply(s *State, sender Sender) Result {
	r := s.Release
	if r == nil {
		return noRelease
	}
	if r.isRollback() {
		return invalid("release %s is on its way back already", r.Name)
	}
	// All routers form one wave: the previous version is known to work, so only the budgets limit
	// the speed of the rollback.
	r.GoalVersion = r.FromVersion
	r.State = ReleaseRunning
	r.StartedBy = sender.Client
	r.GoalSetAt = sender.Time
	r.WaveSize = len(r.Routers)
	r.BakeEndsAt = 0
	r.StepBegunAt = nil
	r.NotRolledBack = nil
	r.RequestsInWave = 0
	r.ReachedGoal = nil
	r.FailedAfterUpdate = 0
	s.Halt = nil
	s.DrainVersion++
	return Result{Code: CodeOK}
}

// endRelease is the command that ends the release and leaves each router at its current version.
type endRelease struct{}

func (endRelease) apply(s *State, _ Sender) Result {
	if s.Release == nil || s.Release.State != ReleaseRunning {
		return noRelease
	}
	s.Release.State = ReleaseEnded
	s.DrainVersion++ // the DrainSet no longer requests counts
	return Result{Code: CodeOK}
}

// routerFailed is the command that reports that a router can't be brought to the goal version.
type routerFailed struct {
	router string
	reason string
}

func (c routerFailed) apply(s *State, sender Sender) Result {
	r := s.Release
	if r == nil || r.State != ReleaseRunning {
		return noRelease
	}
	if !slices.Contains(r.Routers, c.router) || len(c.reason) > MaxTextBytes {
		return invalid("router %q is not in release %s, or the reason has over %d bytes",
			c.router, r.Name, MaxTextBytes)
	}
	s.recordRouterFailure(c.router, c.reason, sender.Time)
	s.DrainVersion++
	return Result{Code: CodeOK}
}

// resumeRelease resets what may have halted the release, so that only new failures can halt it
// again.
func (s *State) resumeRelease(now time.Duration) {
	r := s.Release
	if r == nil || r.State != ReleaseRunning {
		return
	}
	r.Buckets = nil
	r.FailedAfterUpdate = 0
	for name := range r.StepBegunAt {
		r.StepBegunAt[name] = now
	}
	if r.BakeEndsAt > 0 {
		r.BakeEndsAt = now + r.BakeTime
	}
}

// advanceRelease is the pass that advances the release as far as releaseHold allows.
func (s *State) advanceRelease(now time.Duration) {
	if s.Release == nil || s.Release.State != ReleaseRunning {
		return
	}
	for hasNewWave := true; hasNewWave; {
		hasNewWave = s.advanceWave(now)
	}
}

// advanceWave updates the current wave, and reports whether the next wave has begun.
func (s *State) advanceWave(now time.Duration) (hasNewWave bool) {
	r := s.Release
	planned := s.plannedOutages()
	s.recordStepBeginnings()
	s.haltIfUpdatedRoutersFail(planned, now)
	isWaveComplete := s.updateWaveRouters(planned, now)
	switch s.releaseHold(isWaveComplete, now) {
	case holdWaveIncomplete:
		r.BakeEndsAt = 0
	case holdBakeNotBegun:
		r.BakeEndsAt = now + r.BakeTime
		r.RequestsInWave = 0
		s.reconcileAt(r.BakeEndsAt)
		s.Version++
	case holdBaking:
		s.reconcileAt(r.BakeEndsAt)
	case holdHalted:
	case holdTooFewRequests:
		s.haltIfTooFewRequests(now)
	case holdNone:
		if r.WaveSize < len(r.Routers) {
			r.WaveSize = r.nextWaveSize(r.WaveSize, len(r.Routers))
			r.BakeEndsAt = 0
			s.Version++
			return true
		}
		r.State = ReleaseDone
		s.DrainVersion++ // the DrainSet no longer requests counts
		s.Version++
	}
	return false
}

// recordStepBeginnings records when the updates of the routers that are out under a permit began.
func (s *State) recordStepBeginnings() {
	r := s.Release
	for _, p := range s.Permits {
		isStep := p.Kind == KindRouter && p.Stage == StageBegun && slices.Contains(r.Routers, p.Name)
		if !isStep || r.StepBegunAt[p.Name] != 0 || s.hasGoalVersion(p.Name) || r.NotRolledBack[p.Name] != "" {
			continue
		}
		if r.StepBegunAt == nil {
			r.StepBegunAt = map[string]time.Duration{}
		}
		// The outage may have begun before the goal version was changed by a rollback.
		r.StepBegunAt[p.Name] = max(p.BegunAt, r.GoalSetAt)
	}
}

// updateWaveRouters records a failure for each router of the wave that exceeds the step timeout. It
// reports whether the wave is complete: all of its routers have reached the goal or could not be
// rolled back.
func (s *State) updateWaveRouters(planned map[targetRef]bool, now time.Duration) (isComplete bool) {
	r := s.Release
	isComplete = true
	for _, name := range r.Routers[:r.WaveSize] {
		hasReached := s.hasReachedGoal(name, planned)
		if begunAt, isBegun := r.StepBegunAt[name]; isBegun && !hasReached {
			timeoutAt := begunAt + r.StepTimeout
			if timeoutAt > now {
				s.reconcileAt(timeoutAt)
			} else {
				s.recordRouterFailure(name, fmt.Sprintf("it is not ready with %s within %v of its step's beginning",
					r.GoalVersion, r.StepTimeout), now)
			}
		}
		if _, isLeft := r.NotRolledBack[name]; isLeft || hasReached {
			delete(r.StepBegunAt, name)
		} else {
			isComplete = false
		}
	}
	return isComplete
}

// hasGoalVersion reports whether a router of the release is up with the goal version, even if its
// permit has not been returned.
func (s *State) hasGoalVersion(name string) bool {
	router := s.Routers[name]
	return router != nil && router.IsUp && router.Version == s.Release.GoalVersion
}

// hasReachedGoal reports whether a router of the release is up with the goal version and its permit
// has been returned.
func (s *State) hasReachedGoal(name string, planned map[targetRef]bool) bool {
	return s.hasGoalVersion(name) && !planned[targetRef{KindRouter, name}]
}

// UpdatedRouters returns the names of the routers of the release that are up with the goal version,
// even if their permits have not been returned.
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

// PendingRouters returns the names of the routers of the current wave that are to be updated now;
// none while the release is halted.
func (s *State) PendingRouters() (names []string) {
	r := s.Release
	if r == nil || r.State != ReleaseRunning || s.Halt != nil {
		return nil
	}
	planned := s.plannedOutages()
	for _, name := range r.Routers[:r.WaveSize] {
		if _, isLeft := r.NotRolledBack[name]; !isLeft && !s.hasReachedGoal(name, planned) {
			names = append(names, name)
		}
	}
	return names
}
