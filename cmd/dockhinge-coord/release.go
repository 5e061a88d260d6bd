package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"dockhinge.example/dockhinge/internal/coord/client"
	"dockhinge.example/dockhinge/internal/coord/clock"
	"dockhinge.example/dockhinge/internal/coord/config"
	"dockhinge.example/dockhinge/internal/rollout"
)

func release() *cobra.Command {
	cmd := &cobra.Command{Use: "release", Short: "Releases of routers in waves"}
	cmd.AddCommand(releasePlan(), releaseRun(true), releaseRun(false), releaseStatus(),
		releaseWord("back", "Bring all routers of the release back to the version before", rollout.OpRollBack),
		releaseWord("end", "End the release as it stands", rollout.OpEndRelease))
	return cmd
}

func releaseWord(use, short string, op rollout.Op) *cobra.Command {
	var t tool
	cmd := &cobra.Command{Use: use, Short: short, Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return t.roll(cmd.Context(), rollout.Command{Op: op}) }}
	t.add(cmd)
	return cmd
}

// report asks how all stands.
func (t *tool) report(ctx context.Context) (r rollout.Report, err error) {
	all, err := t.names()
	if err != nil {
		return r, err
	}
	ctx, cancel := context.WithTimeout(ctx, toolTTL)
	defer cancel()
	return client.New(client.Options{Coordinators: all, TTL: toolTTL}).RolloutReport(ctx, 0)
}

func releasePlan() *cobra.Command {
	var t tool
	cmd := &cobra.Command{Use: "plan FILE", Short: "The waves against the fleet as it is, and how long they take at least", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			_, p, err := config.LoadRelease(args[0])
			if err != nil {
				return err
			}
			r, err := t.report(cmd.Context())
			if err != nil {
				return err
			}
			out := cmd.OutOrStdout()
			names := rollout.MatchingMembers(r.Members, p.Match)
			if len(names) == 0 {
				return fmt.Errorf("match: %q names no router", p.Match)
			}
			if p.LearnTime >= p.BakeTime {
				fmt.Fprintf(out, "learn, %v, is not less than bake, %v: what a wave answers doesn't count before the next one begins\n", p.LearnTime, p.BakeTime)
			}
			var warm time.Duration
			most, binds := len(names), "none"
			for _, b := range r.Budgets {
				if b.Kind != rollout.KindRouter {
					continue
				}
				warm = max(warm, b.SlowStart)
				if b.Allowed == 0 {
					fmt.Fprintf(out, "budget %s%s lets nothing out: the release would not move\n", b.Budget, inZone(b.Zone))
				}
				if b.Zone == "" && b.Allowed < most {
					most, binds = b.Allowed, b.Budget
				}
			}
			w := tabwriter.NewWriter(out, 4, 4, 2, ' ', 0)
			fmt.Fprintln(w, "wave\trouters\tat once\tat least\tnames")
			total, before := time.Duration(0), 0
			for i, size := range p.Waves(len(names)) {
				part := names[before:size]
				rounds := (len(part) + max(1, most) - 1) / max(1, most)
				took := p.BakeTime + time.Duration(rounds)*warm
				total += took
				fmt.Fprintf(w, "%d\t%d\t%d\t%v\t%s\n", i+1, len(part), min(len(part), most), took, rollout.FirstNames(part))
				before = size
			}
			w.Flush()
			fmt.Fprintf(out, "%d routers, at least %v beside the time that the command takes; the budget that binds: %s\n", len(names), total, binds)
			return nil
		}}
	t.add(cmd)
	return cmd
}

func releaseStatus() *cobra.Command {
	var t tool
	cmd := &cobra.Command{Use: "status", Short: "How far the release is", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			r, err := t.report(cmd.Context())
			if err != nil {
				return err
			}
			c := r.Release
			if c == nil {
				return errors.New("there has been no release")
			}
			out := cmd.OutOrStdout()
			if r.Halt != nil {
				fmt.Fprintf(out, "HALTED by %s: %s\n", r.Halt.By, r.Halt.Reason)
			}
			failures := rollout.CompareFailures(c.Buckets)
			fmt.Fprintf(out, "release %s by %s: %s, towards %s; %d of %d routers are there, the wave has %d\n", c.Name, c.StartedBy, c.State, c.GoalVersion, len(r.Updated), len(c.Routers), c.WaveSize)
			fmt.Fprintf(out, "failed or refused: %.3f%% at %s, %.3f%% at %s; evidence that the new one is worse: %.3g\n", 100*failures.FromShare, c.FromVersion, 100*failures.ToShare, c.ToVersion, failures.Evidence)
			latency := rollout.CompareLatency(c.Buckets)
			fmt.Fprintf(out, "%s takes %.3f times as long as %s; evidence that it is slower: %.3g\n", c.ToVersion, latency.Ratio, c.FromVersion, latency.Evidence)
			for _, name := range r.Pending {
				fmt.Fprintf(out, "to be changed now: router/%s\n", name)
			}
			for name, why := range c.NotRolledBack {
				fmt.Fprintf(out, "left: router/%s: %s\n", name, why)
			}
			return nil
		}}
	t.add(cmd)
	return cmd
}

// The lease of whoever drives a release. All that matters is decided by the agreed state, so that two of them do no harm: it is
// there to spare work.
const (
	controllerLease  = "release/controller"
	controllerTTL    = 10 * time.Second
	controllerMargin = 3 * time.Second
	controllerName   = "release" // of all who drive: one takes over the permits of one that died
	maxSteps         = 16        // at once
)

func releaseRun(start bool) *cobra.Command {
	var t tool
	use, short := "run FILE", "Drive the release that is under way, or wait to take over from who does"
	if start {
		use, short = "start FILE", "Begin a release, and drive it"
	}
	cmd := &cobra.Command{Use: use, Short: short, Args: cobra.ExactArgs(1),
		Long: "Runs the file's command for each router that is to be changed, within permits, wave by wave. It may be stopped or killed\n" +
			"at any time: the release stays as it is until 'release run' is called again, anywhere. Ends when the release does.",
		RunE: func(cmd *cobra.Command, args []string) error {
			f, p, err := config.LoadRelease(args[0])
			if err != nil {
				return err
			}
			return t.operate(cmd.Context(), controllerName, toolTTL, func(ctx context.Context, c *client.Client) error {
				if start {
					if _, err := c.ExecuteRollout(ctx, rollout.Command{Op: rollout.OpStartRelease, Plan: &p}); err != nil {
						return err
					}
					step("started")
				}
				d := driver{t: t, c: c, f: f, say: cmd.ErrOrStderr()}
				for {
					over := false
					err := c.RunWithLease(ctx, controllerLease, "drives release "+p.Name, controllerTTL, controllerMargin, func(inner context.Context, _ *client.Lease) (err error) {
						over, err = d.drive(inner)
						return err
					})
					if over || ctx.Err() != nil {
						return err
					}
				}
			})
		}}
	t.add(cmd)
	return cmd
}

// driver runs the commands of a release.
type driver struct {
	t   tool
	c   *client.Client
	f   config.Release
	say io.Writer
}

// drive works until the release is over, or ctx ends.
func (d *driver) drive(ctx context.Context) (over bool, err error) {
	var wg sync.WaitGroup
	defer wg.Wait()
	var mu sync.Mutex
	busy := map[string]bool{}
	goal := ""
	steps, end := context.WithCancel(ctx)
	defer func() { end() }()
	var after uint64
	var told string
	for ctx.Err() == nil {
		r, err := d.c.RolloutReport(ctx, after)
		if err != nil {
			if !clock.Sleep(ctx, 200*time.Millisecond) {
				return false, ctx.Err()
			}
			continue
		}
		after = r.Version
		x := r.Release
		switch {
		case x == nil || x.Name != d.f.Name:
			return true, fmt.Errorf("release %s is not the one that is under way", d.f.Name)
		case x.State == rollout.ReleaseDone && x.GoalVersion == x.ToVersion:
			fmt.Fprintf(d.say, "release %s: done, %d routers have %s\n", x.Name, len(r.Updated), x.GoalVersion)
			return true, nil
		case x.State != rollout.ReleaseRunning:
			return true, fmt.Errorf("release %s: %s towards %s; %d routers were left", x.Name, x.State, x.GoalVersion, len(x.NotRolledBack))
		}
		if x.GoalVersion != goal { // what was wanted before is wanted no more
			end()
			wg.Wait()
			goal = x.GoalVersion
			fresh, cancel := context.WithCancel(ctx)
			steps, end = fresh, cancel
		}
		if r.Halt == nil && !d.haltByComparison(ctx, x) {
			continue
		}
		now := fmt.Sprintf("towards %s: %d of %d routers there, wave of %d", x.GoalVersion, len(r.Updated), len(x.Routers), x.WaveSize)
		if r.Halt != nil {
			now = fmt.Sprintf("halted by %s: %s", r.Halt.By, r.Halt.Reason)
		}
		if now != told {
			fmt.Fprintf(d.say, "release %s: %s\n", x.Name, now)
			told = now
		}
		for _, name := range r.Pending {
			mu.Lock()
			begin := !busy[name] && len(busy) < maxSteps
			if begin {
				busy[name] = true
			}
			mu.Unlock()
			if !begin {
				continue
			}
			ctx := steps
			wg.Go(func() {
				defer func() {
					mu.Lock()
					delete(busy, name)
					mu.Unlock()
				}()
				if err := d.step(ctx, name, x); err != nil && ctx.Err() == nil {
					fmt.Fprintf(d.say, "router/%s: %v\n", name, err)
				}
			})
		}
	}
	return false, ctx.Err()
}

// haltByComparison halts the release where its new version does worse. It returns false if the coordinators did not take the halt.
func (d *driver) haltByComparison(ctx context.Context, x *rollout.ReleaseProgress) bool {
	limits := rollout.ComparisonLimits{FalseHaltShare: d.f.FalseHaltShare, MinServedShare: d.f.MinServedShare}
	for _, reason := range x.ComparisonHalts(limits) {
		if _, err := d.c.ExecuteRollout(ctx, rollout.Command{Op: rollout.OpHalt, Reason: reason}); err != nil {
			return false
		}
	}
	return true
}

// step brings one router to the goal: permit, command, seen there, permit given back.
func (d *driver) step(ctx context.Context, name string, x *rollout.ReleaseProgress) error {
	w := want{t: d.t, priority: "release", why: "release " + x.Name + " towards " + x.GoalVersion}
	if x.GoalVersion == x.FromVersion { // a bad version may have taken out more than the budgets let: what is down may always come back
		w.priority = "emergency"
	}
	token, err := w.take(ctx, d.c, rollout.KindRouter, name, d.say)
	if err != nil {
		return err
	}
	step("step-begun")
	there := func() (bool, error) {
		r, err := d.c.RolloutReport(ctx, 0)
		return err == nil && slices.Contains(r.Updated, name), err
	}
	if at, err := there(); err != nil || !at { // else whoever drove before has done it
		for try := 1; ; try++ {
			if err = d.run(ctx, name, x, token); err == nil || ctx.Err() != nil {
				break
			}
			if try >= d.f.Tries {
				_, e := d.c.ExecuteRollout(ctx, rollout.Command{Op: rollout.OpRouterFailed, Name: name, Reason: clip(fmt.Sprintf("its command failed %d times: %v", try, err))})
				return errors.Join(err, e)
			}
			if !clock.Sleep(ctx, time.Second) {
				break
			}
		}
	}
	step("step-ran")
	for {
		at, err := there()
		if err == nil && at {
			break
		}
		if !clock.Sleep(ctx, 100*time.Millisecond) { // the agreed state tells when it has lasted for too long
			return ctx.Err()
		}
	}
	step("step-seen")
	_, err = d.c.ExecuteRollout(ctx, rollout.Command{Op: rollout.OpEndOutage, Kind: rollout.KindRouter, Name: name, Token: token})
	step("step-back")
	return err
}

// clip cuts a reason to what may be told.
func clip(text string) string { return text[:min(len(text), rollout.MaxText)] }

// run runs the operator's command for one router.
func (d *driver) run(ctx context.Context, name string, x *rollout.ReleaseProgress, token uint64) error {
	from := x.FromVersion
	if x.GoalVersion == x.FromVersion {
		from = x.ToVersion
	}
	var words []string
	for _, w := range d.f.Command {
		words = append(words, strings.NewReplacer("{name}", name, "{to}", x.GoalVersion, "{from}", from).Replace(w))
	}
	// What the driver says itself stands at the same place.
	return runCommand(ctx, os.Stderr, words, "DOCKHINGE_PERMIT=router/"+name, "DOCKHINGE_TOKEN="+strconv.FormatUint(token, 10), "DOCKHINGE_VERSION="+x.GoalVersion)
}
