package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"dockhinge.example/dockhinge/internal/coord/client"
	"dockhinge.example/dockhinge/internal/coord/clock"
	"dockhinge.example/dockhinge/internal/coord/config"
	"dockhinge.example/dockhinge/internal/rollout"
)

// The lease of the process that drives a release. It only avoids duplicate work: the coordinators'
// state decides everything that matters, so two drivers at the same time do no harm.
const (
	controllerLease  = "release/controller"
	controllerTTL    = 10 * time.Second
	controllerMargin = 3 * time.Second
	// controllerName is the client name of all drivers, so that a driver takes over the permits of
	// one that has crashed.
	controllerName = "release"
)

const (
	// maxUpdates is how many routers are updated at once.
	maxUpdates = 16
	// updateRetryInterval is the pause between two runs of the command for one router.
	updateRetryInterval = time.Second
	// updatePollInterval is the interval at which awaitUpdated checks whether a router is updated.
	updatePollInterval = 100 * time.Millisecond
)

// releaseDriver runs the operator's command for the routers that the release is to update.
type releaseDriver struct {
	session *client.Client
	file    config.Release
	// out receives the progress messages.
	out io.Writer
}

// driveWithLease drives the release while this process holds the lease controllerLease, until the
// release is over or ctx ends.
func (d *releaseDriver) driveWithLease(ctx context.Context) error {
	for {
		isOver := false
		err := d.session.RunWithLease(ctx, controllerLease, "drives release "+d.file.Name,
			controllerTTL, controllerMargin,
			func(ctx context.Context, _ *client.Lease) error {
				var err error
				isOver, err = d.drive(ctx)
				return err
			})
		if isOver || ctx.Err() != nil {
			return err
		}
	}
}

// drive drives the release until it is over or ctx ends.
func (d *releaseDriver) drive(ctx context.Context) (isOver bool, err error) {
	updates := newRouterUpdates(ctx, d)
	defer updates.stop()
	var version uint64
	var lastStatus string
	for ctx.Err() == nil {
		report, err := d.session.RolloutReport(ctx, version)
		if err != nil {
			if !clock.Sleep(ctx, reportRetryInterval) {
				return false, ctx.Err()
			}
			continue
		}
		version = report.Version
		isOver, err := d.outcome(report)
		if isOver {
			return true, err
		}
		updates.setGoal(ctx, report.Release.GoalVersion)
		if report.Halt == nil && !d.haltByComparison(ctx, report.Release) {
			continue
		}
		if status := releaseStatus(report); status != lastStatus {
			fmt.Fprintf(d.out, "release %s: %s\n", report.Release.Name, status)
			lastStatus = status
		}
		for _, name := range report.Pending {
			updates.begin(name, report.Release)
		}
	}
	return false, ctx.Err()
}

// outcome reports whether the release is over. If so, it returns an error unless all routers have
// the new version.
func (d *releaseDriver) outcome(report rollout.Report) (isOver bool, err error) {
	r := report.Release
	switch {
	case r == nil || r.Name != d.file.Name:
		return true, fmt.Errorf("release %s is not the current release", d.file.Name)
	case r.State == rollout.ReleaseDone && r.GoalVersion == r.ToVersion:
		fmt.Fprintf(d.out, "release %s: done, %d routers have %s\n", r.Name, len(report.Updated), r.GoalVersion)
		return true, nil
	case r.State != rollout.ReleaseRunning:
		return true, fmt.Errorf("release %s: %s towards %s; %d routers were not rolled back",
			r.Name, r.State, r.GoalVersion, len(r.NotRolledBack))
	}
	return false, nil
}

// haltByComparison halts the release if ReleaseProgress.ComparisonHalts finds a reason. It returns
// false if the halt could not be sent.
func (d *releaseDriver) haltByComparison(ctx context.Context, r *rollout.ReleaseProgress) bool {
	limits := rollout.ComparisonLimits{FalseHaltShare: d.file.FalseHaltShare, MinServedShare: d.file.MinServedShare}
	for _, reason := range r.ComparisonHalts(limits) {
		if _, err := d.session.ExecuteRollout(ctx, rollout.Command{Op: rollout.OpHalt, Reason: reason}); err != nil {
			return false
		}
	}
	return true
}

// releaseStatus returns the progress of the release in one line.
func releaseStatus(report rollout.Report) string {
	if report.Halt != nil {
		return fmt.Sprintf("halted by %s: %s", report.Halt.By, report.Halt.Reason)
	}
	r := report.Release
	return fmt.Sprintf("towards %s: %d of %d routers updated, wave size %d",
		r.GoalVersion, len(report.Updated), len(r.Routers), r.WaveSize)
}

// routerUpdates are the running updates of routers to one goal version. It owns their goroutines:
// stop and setGoal end them and wait for them.
type routerUpdates struct {
	driver *releaseDriver
	wg     sync.WaitGroup
	// goal is the version that the updates bring routers to; "" before the first.
	goal string
	// ctx ends the updates.
	ctx    context.Context
	cancel context.CancelFunc

	mu sync.Mutex
	// running are the routers that are being updated; guarded by mu.
	running map[string]bool
}

func newRouterUpdates(ctx context.Context, driver *releaseDriver) *routerUpdates {
	u := &routerUpdates{driver: driver, running: map[string]bool{}}
	u.ctx, u.cancel = context.WithCancel(ctx)
	return u
}

// stop ends all updates and waits for them.
func (u *routerUpdates) stop() {
	u.cancel()
	u.wg.Wait()
}

// setGoal sets the goal version. If it has changed, setGoal ends the updates to the old one.
func (u *routerUpdates) setGoal(ctx context.Context, goal string) {
	if goal == u.goal {
		return
	}
	u.stop()
	u.goal = goal
	u.ctx, u.cancel = context.WithCancel(ctx)
}

// begin starts the update of a router, unless the router is being updated already or maxUpdates are
// running.
func (u *routerUpdates) begin(name string, release *rollout.ReleaseProgress) {
	if !u.markRunning(name) {
		return
	}
	ctx := u.ctx
	u.wg.Go(func() {
		defer u.markFinished(name)
		if err := u.driver.updateRouter(ctx, name, release); err != nil && ctx.Err() == nil {
			fmt.Fprintf(u.driver.out, "router/%s: %v\n", name, err)
		}
	})
}

func (u *routerUpdates) markRunning(name string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.running[name] || len(u.running) >= maxUpdates {
		return false
	}
	u.running[name] = true
	return true
}

func (u *routerUpdates) markFinished(name string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	delete(u.running, name)
}

// updateRouter brings one router to the goal version: it acquires the permit, runs the command,
// waits until the router is up with the goal version, and returns the permit.
func (d *releaseDriver) updateRouter(ctx context.Context, name string, release *rollout.ReleaseProgress) error {
	request := permitRequest{
		priority: "release",
		purpose:  "release " + release.Name + " towards " + release.GoalVersion,
	}
	if release.GoalVersion == release.FromVersion {
		// A new version that fails may have taken down more routers than the budgets allow. A
		// router that is down may always be rolled back.
		request.priority = "emergency"
	}
	token, err := request.acquire(ctx, d.session, rollout.KindRouter, name, d.out)
	if err != nil {
		return err
	}
	injectFaultAt("step-begun")
	// A driver that crashed may have run the command already.
	if isUpdated, err := d.isUpdated(ctx, name); err != nil || !isUpdated {
		if err := d.runWithRetries(ctx, name, release, token); err != nil {
			return err
		}
	}
	injectFaultAt("step-ran")
	if err := d.awaitUpdated(ctx, name); err != nil {
		return err
	}
	injectFaultAt("step-seen")
	_, err = d.session.ExecuteRollout(ctx, rollout.Command{
		Op: rollout.OpEndOutage, Kind: rollout.KindRouter, Name: name, Token: token,
	})
	injectFaultAt("step-back")
	return err
}

// isUpdated reports whether a router is up with the goal version.
func (d *releaseDriver) isUpdated(ctx context.Context, name string) (bool, error) {
	report, err := d.session.RolloutReport(ctx, 0)
	return err == nil && slices.Contains(report.Updated, name), err
}

// awaitUpdated waits until a router is up with the goal version, or ctx ends. If that takes longer
// than the step timeout, the coordinators halt the release.
func (d *releaseDriver) awaitUpdated(ctx context.Context, name string) error {
	for {
		isUpdated, err := d.isUpdated(ctx, name)
		if err == nil && isUpdated {
			return nil
		}
		if !clock.Sleep(ctx, updatePollInterval) {
			return ctx.Err()
		}
	}
}

// runWithRetries runs the command for a router until it succeeds. If the last attempt fails, it
// reports the failed router to the coordinators. It returns nil if ctx ends, because the caller's
// next call then returns the error of ctx.
func (d *releaseDriver) runWithRetries(
	ctx context.Context, name string, release *rollout.ReleaseProgress, token uint64,
) error {
	for attempt := 1; ; attempt++ {
		err := d.runCommand(ctx, name, release, token)
		if err == nil || ctx.Err() != nil {
			return nil
		}
		if attempt >= d.file.MaxAttempts {
			reason := fmt.Sprintf("its command failed %d times: %v", attempt, err)
			_, reportErr := d.session.ExecuteRollout(ctx, rollout.Command{
				Op: rollout.OpRouterFailed, Name: name, Reason: truncateReason(reason),
			})
			return errors.Join(err, reportErr)
		}
		if !clock.Sleep(ctx, updateRetryInterval) {
			return nil
		}
	}
}

// truncateReason cuts a reason to the maximum length that the coordinators accept.
func truncateReason(text string) string { return text[:min(len(text), rollout.MaxTextBytes)] }

// runCommand runs the operator's command for one router. The command's standard output goes to
// standard error, as the driver's own progress messages do.
func (d *releaseDriver) runCommand(
	ctx context.Context, name string, release *rollout.ReleaseProgress, token uint64,
) error {
	earlierVersion := release.FromVersion
	if release.GoalVersion == release.FromVersion {
		earlierVersion = release.ToVersion
	}
	replacer := strings.NewReplacer("{name}", name, "{to}", release.GoalVersion, "{from}", earlierVersion)
	var words []string
	for _, word := range d.file.Command {
		words = append(words, replacer.Replace(word))
	}
	return runCommand(ctx, os.Stderr, words,
		"DOCKHINGE_PERMIT=router/"+name, tokenVariable(token), "DOCKHINGE_VERSION="+release.GoalVersion)
}
