package rollout

import (
	"fmt"
	"time"

	"dockhinge.example/dockhinge/internal/failpoint"
)

// This file contains the rules that hold or halt a release. releaseHold decides whether the next
// wave may begin. A release is halted by:
//
//   - haltIfUpdatedRoutersFail: an updated router went down again;
//   - recordRouterFailure: a router exceeds the step timeout, or its command failed;
//   - haltIfTooFewRequests: the new version gets too few requests;
//   - ReleaseProgress.ComparisonHalts: the new version fails more often or is slower, or the fleet
//     serves too little; the client that drives the release checks these and sends the halt;
//   - an operator's OpHalt.
//
// The reason why a single router of the wave is not updated is the WaitReason of its permit: see
// State.waitReason.

// releaseHold is why a release can't begin its next wave, or finish after its last one.
type releaseHold int

const (
	// holdNone: the next wave may begin; after the last one the release is done.
	holdNone releaseHold = iota
	// holdWaveIncomplete: a router of the wave has not reached the goal version.
	holdWaveIncomplete
	// holdBakeNotBegun: the wave has just become complete, and its bake time begins now.
	holdBakeNotBegun
	// holdBaking: the bake time is not over.
	holdBaking
	// holdHalted: the fleet is halted.
	holdHalted
	// holdTooFewRequests: the new version has not answered MinRequests in this wave.
	holdTooFewRequests
)

// releaseHold returns why the release can't begin its next wave, or holdNone. If several reasons
// apply, it returns the first one.
func (s *State) releaseHold(isWaveComplete bool, now time.Duration) releaseHold {
	r := s.Release
	switch {
	case !isWaveComplete:
		return holdWaveIncomplete
	case r.BakeEndsAt == 0:
		return holdBakeNotBegun
	case r.BakeEndsAt > now:
		return holdBaking
	case s.Halt != nil && !failpoint.IsInjected("halt-ignored"):
		return holdHalted
	case r.WaveSize < len(r.Routers) && r.RequestsInWave < r.MinRequests:
		return holdTooFewRequests
	}
	return holdNone
}

// haltRelease halts the fleet on behalf of the release, unless it is already halted.
func (s *State) haltRelease(reason string, now time.Duration) {
	if s.Halt != nil {
		return
	}
	s.Halt = &HaltRecord{By: "release " + s.Release.Name, Reason: reason, Time: now}
	s.Version++
}

// recordRouterFailure records that a router can't be brought to the goal version. A release is
// halted; a rollback lists the router in NotRolledBack and continues with the others.
func (s *State) recordRouterFailure(name, reason string, now time.Duration) {
	r := s.Release
	if !r.isRollback() {
		s.haltRelease(fmt.Sprintf("router/%s: %s", name, reason), now)
		return
	}
	if _, isRecorded := r.NotRolledBack[name]; isRecorded {
		return
	}
	if r.NotRolledBack == nil {
		r.NotRolledBack = map[string]string{}
	}
	r.NotRolledBack[name] = reason
	s.Version++
}

// haltIfUpdatedRoutersFail halts a release if updated routers go down again: one during the first
// wave, two during later ones. If most routers are down, the coordinators have probably lost the
// routers' sessions, and the new version is not blamed.
func (s *State) haltIfUpdatedRoutersFail(planned map[targetRef]bool, now time.Duration) {
	if s.areMostRoutersDown() {
		return
	}
	r := s.Release
	for _, name := range r.Routers {
		router := s.Routers[name]
		isDown := router == nil || !router.IsUp
		switch {
		case s.hasReachedGoal(name, planned):
			if r.ReachedGoal == nil {
				r.ReachedGoal = map[string]bool{}
			}
			r.ReachedGoal[name] = true
		case r.ReachedGoal[name] && isDown && !planned[targetRef{KindRouter, name}]:
			delete(r.ReachedGoal, name)
			r.FailedAfterUpdate++
			isFirstWave := r.WaveSize <= r.FirstWave
			if !r.isRollback() && (r.FailedAfterUpdate > 1 || isFirstWave) {
				s.haltRelease(fmt.Sprintf("router/%s had %s and is down again (%d times by now)",
					name, r.GoalVersion, r.FailedAfterUpdate), now)
			}
		}
	}
}

// areMostRoutersDown reports whether more than half of the routers of the release are down.
func (s *State) areMostRoutersDown() bool {
	names := s.Release.Routers
	down := 0
	for _, name := range names {
		if router := s.Routers[name]; router == nil || !router.IsUp {
			down++
		}
	}
	return 2*down > len(names) && len(names) > 1
}

// extraBakeTimes is how many bake times a wave that has baked waits for MinRequests before the
// release is halted.
const extraBakeTimes = 10

// haltIfTooFewRequests halts a release if its new version has not answered MinRequests within
// extraBakeTimes after the wave has baked.
func (s *State) haltIfTooFewRequests(now time.Duration) {
	r := s.Release
	haltAt := r.BakeEndsAt + extraBakeTimes*r.BakeTime
	if now < haltAt {
		s.reconcileAt(haltAt)
		return
	}
	s.haltRelease(fmt.Sprintf("%s has answered %d of the %d requests wanted within %v",
		r.GoalVersion, r.RequestsInWave, r.MinRequests, (1+extraBakeTimes)*r.BakeTime), now)
}

// ComparisonLimits are the limits that decide when the comparison of the two versions halts a
// release.
type ComparisonLimits struct {
	// FalseHaltShare is the share of releases that may be halted although both versions are alike.
	FalseHaltShare float64
	// MinServedShare is the share of all requests that the fleet must serve, whatever the version
	// of the routers.
	MinServedShare float64
}

// ComparisonHalts returns the reasons to halt the release that follow from the requests answered by
// both versions; none for a rollback.
func (r *ReleaseProgress) ComparisonHalts(limits ComparisonLimits) (reasons []string) {
	if r.GoalVersion != r.ToVersion {
		return nil
	}
	if FailsMoreOften(r.Buckets, limits.FalseHaltShare) {
		c := CompareFailures(r.Buckets)
		reasons = append(reasons, fmt.Sprintf(
			"%s fails or refuses %.2f%% of requests, and %s %.2f%% at the same time (evidence %.3g)",
			r.ToVersion, 100*c.ToShare, r.FromVersion, 100*c.FromShare, c.Evidence))
	}
	if IsSlower(r.Buckets, limits.FalseHaltShare) {
		c := CompareLatency(r.Buckets)
		reasons = append(reasons, fmt.Sprintf("%s takes %.2f times as long as %s at the same time (evidence %.3g)",
			r.ToVersion, c.Ratio, r.FromVersion, c.Evidence))
	}
	if served, isTooLittle := ServesTooLittle(r.Buckets, limits.MinServedShare); isTooLittle {
		reasons = append(reasons, fmt.Sprintf("the fleet serves %.1f%% of requests, and %.1f%% must hold",
			100*served, 100*limits.MinServedShare))
	}
	return reasons
}
