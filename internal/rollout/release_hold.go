package rollout

import (
	"fmt"
	"time"

	"dockhinge.example/dockhinge/internal/failpoint"
)

// This file has the rules by which a release does not go on. Whether the next wave may begin is
// decided by releaseHold. What halts the release is one of:
//
//   - haltIfUpdatedRoutersFail: an updated router went down again;
//   - recordRouterFailure: a router exceeds the step timeout, or its command failed;
//   - haltWithoutRequests: the new version gets no requests;
//   - ReleaseProgress.ComparisonHalts: the new version fails more often or is slower, or the fleet
//     serves too little; whoever drives the release checks these and sends the halt;
//   - an operator's OpHalt.
//
// Why a single router of the wave is not changed is the WaitReason of its permit: see
// State.waitReason.

// releaseHold names why a release does not go on to its next wave, or to its end.
type releaseHold int

const (
	// holdNone lets the next wave begin; after the last one the release is done.
	holdNone releaseHold = iota
	// holdWaveIncomplete: a router of the wave has not reached the goal version.
	holdWaveIncomplete
	// holdBakeNotBegun: the wave has just become complete, and its bake time begins.
	holdBakeNotBegun
	// holdBaking: the bake time is not over.
	holdBaking
	// holdHalted: the fleet is halted.
	holdHalted
	// holdTooFewRequests: the new version has not answered MinRequests in this wave.
	holdTooFewRequests
)

// releaseHold decides whether the release goes on, and if not, why. The first hold that applies
// counts.
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

// haltRelease halts the fleet in the name of the release, unless it is halted already.
func (s *State) haltRelease(reason string, now time.Duration) {
	if s.Halt != nil {
		return
	}
	s.Halt = &HaltRecord{By: "release " + s.Release.Name, Reason: reason, Time: now}
	s.Version++
}

// recordRouterFailure records that a router can't be brought to the goal. That halts a release; a
// rollback goes on with the other routers and names this one.
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

// haltIfUpdatedRoutersFail halts a release whose new version does not stay up: one router of the
// first wave that is down again, or two later. Where most routers are down, the coordinators have
// lost their sessions, and nothing is concluded.
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
			if r.Reached == nil {
				r.Reached = map[string]bool{}
			}
			r.Reached[name] = true
		case r.Reached[name] && isDown && !planned[targetRef{KindRouter, name}]:
			delete(r.Reached, name)
			r.FailedAfterUpdate++
			isFirstWave := r.WaveSize <= r.FirstWave
			if !r.isRollback() && (r.FailedAfterUpdate > 1 || isFirstWave) {
				s.haltRelease(fmt.Sprintf("router/%s had %s and is down again (%d times by now)",
					name, r.GoalVersion, r.FailedAfterUpdate), now)
			}
		}
	}
}

// areMostRoutersDown tells whether more than half of the routers of the release are down.
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

// extraBakeTimes is how many further bake times a wave waits for MinRequests before the release is
// halted.
const extraBakeTimes = 10

// haltWithoutRequests halts a release whose new version has not answered MinRequests long after the
// wave has baked.
func (s *State) haltWithoutRequests(now time.Duration) {
	r := s.Release
	haltAt := r.BakeEndsAt + extraBakeTimes*r.BakeTime
	if now < haltAt {
		s.reconcileAt(haltAt)
		return
	}
	s.haltRelease(fmt.Sprintf("%s has answered %d of the %d requests wanted within %v",
		r.GoalVersion, r.RequestsInWave, r.MinRequests, (1+extraBakeTimes)*r.BakeTime), now)
}

// ComparisonLimits are the limits that the comparison of both versions must keep.
type ComparisonLimits struct {
	// FalseHaltShare is the share of releases that may be halted though both versions are alike.
	FalseHaltShare float64
	// MinServedShare is the share of requests that the fleet must serve, whatever the version.
	MinServedShare float64
}

// ComparisonHalts are the reasons to halt the release by the requests that both versions have
// answered; none for a rollback.
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
