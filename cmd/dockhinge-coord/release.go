package main

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/spf13/cobra"

	"dockhinge.example/dockhinge/internal/coord/client"
	"dockhinge.example/dockhinge/internal/coord/config"
	"dockhinge.example/dockhinge/internal/rollout"
)

func newReleaseCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "release", Short: "Release a version to the routers in waves"}
	cmd.AddCommand(
		newReleasePlanCommand(),
		newReleaseStartCommand(),
		newReleaseRunCommand(),
		newReleaseStatusCommand(),
		newReleaseOpCommand("back", "Return all routers of the release to the previous version", rollout.OpRollBack),
		newReleaseOpCommand("end", "End the release; each router keeps its current version", rollout.OpEndRelease),
	)
	return cmd
}

// newReleaseOpCommand returns a sub-command that executes one operation on the release.
func newReleaseOpCommand(use, short string, op rollout.Op) *cobra.Command {
	return toolCommand{
		use:   use,
		short: short,
		args:  cobra.NoArgs,
		run: func(cmd *cobra.Command, _ []string, c *coordinators) error {
			return c.execute(cmd.Context(), rollout.Command{Op: op})
		},
	}.build()
}

func newReleasePlanCommand() *cobra.Command {
	return toolCommand{
		use:   "plan FILE",
		short: "Show the waves over the current fleet, and how long they take at least",
		args:  cobra.ExactArgs(1),
		run: func(cmd *cobra.Command, args []string, c *coordinators) error {
			_, plan, err := config.LoadRelease(args[0])
			if err != nil {
				return err
			}
			report, err := c.report(cmd.Context())
			if err != nil {
				return err
			}
			names := rollout.MatchingMembers(report.Members, plan.Match)
			if len(names) == 0 {
				return fmt.Errorf("match: %q matches no router", plan.Match)
			}
			out := cmd.OutOrStdout()
			if plan.LearnTime >= plan.BakeTime {
				fmt.Fprintf(out,
					"learn (%v) is not shorter than bake (%v): the requests of a wave are not compared "+
						"before the next wave begins\n",
					plan.LearnTime, plan.BakeTime)
			}
			limiting := findLimitingBudget(out, report.Budgets, len(names))
			total := printWaves(cmd, plan, names, limiting)
			fmt.Fprintf(out,
				"%d routers, at least %v plus the time that the command takes; limiting budget: %s\n",
				len(names), total, limiting.name)
			return nil
		},
	}.build()
}

// limitingBudget is the budget over the fleet that limits a release most.
type limitingBudget struct {
	// name is the budget's name; "none" if no budget limits the release.
	name string
	// allowed is how many routers may be out at once.
	allowed int
	// slowStart is the longest slow start of all budgets for routers.
	slowStart time.Duration
}

// findLimitingBudget returns the budget that limits a release of the given number of routers most.
// It prints the budgets that allow no outages at all.
func findLimitingBudget(out io.Writer, budgets []rollout.BudgetUsage, routers int) limitingBudget {
	limiting := limitingBudget{name: "none", allowed: routers}
	for _, b := range budgets {
		if b.Kind != rollout.KindRouter {
			continue
		}
		limiting.slowStart = max(limiting.slowStart, b.SlowStart)
		if b.Allowed == 0 {
			fmt.Fprintf(out, "budget %s%s allows no outages: the release can't progress\n",
				b.Budget, zoneSuffix(b.Zone))
		}
		if b.Zone == "" && b.Allowed < limiting.allowed {
			limiting.allowed = b.Allowed
			limiting.name = b.Budget
		}
	}
	return limiting
}

// printWaves prints the waves of a plan over these routers, and returns their minimum total
// duration.
func printWaves(cmd *cobra.Command, plan rollout.ReleasePlan, names []string, limiting limitingBudget) time.Duration {
	w := newTable(cmd)
	fmt.Fprintln(w, "wave\trouters\tat once\tat least\tnames")
	total := time.Duration(0)
	before := 0
	for i, size := range plan.Waves(len(names)) {
		wave := names[before:size]
		atOnce := max(1, limiting.allowed)
		rounds := (len(wave) + atOnce - 1) / atOnce
		duration := plan.BakeTime + time.Duration(rounds)*limiting.slowStart
		total += duration
		fmt.Fprintf(w, "%d\t%d\t%d\t%v\t%s\n",
			i+1, len(wave), min(len(wave), limiting.allowed), duration, rollout.SummarizeNames(wave))
		before = size
	}
	_ = w.Flush() // an output error would also affect the line that the caller prints next
	return total
}

func newReleaseStatusCommand() *cobra.Command {
	return toolCommand{
		use:   "status",
		short: "Show the progress of the release",
		args:  cobra.NoArgs,
		run: func(cmd *cobra.Command, _ []string, c *coordinators) error {
			report, err := c.report(cmd.Context())
			if err != nil {
				return err
			}
			if report.Release == nil {
				return errNoReleaseStarted
			}
			printRelease(cmd.OutOrStdout(), report)
			return nil
		},
	}.build()
}

func printRelease(out io.Writer, report rollout.Report) {
	r := report.Release
	if report.Halt != nil {
		fmt.Fprintf(out, "HALTED by %s: %s\n", report.Halt.By, report.Halt.Reason)
	}
	fmt.Fprintf(out, "release %s by %s: %s, towards %s; %d of %d routers updated, wave size %d\n",
		r.Name, r.StartedBy, r.State, r.GoalVersion, len(report.Updated), len(r.Routers), r.WaveSize)
	failures := rollout.CompareFailures(r.Buckets)
	fmt.Fprintf(out, "failed or rejected: %.3f%% at %s, %.3f%% at %s; evidence that the new version is worse: %.3g\n",
		100*failures.FromShare, r.FromVersion, 100*failures.ToShare, r.ToVersion, failures.Evidence)
	latency := rollout.CompareLatency(r.Buckets)
	fmt.Fprintf(out, "%s takes %.3f times as long as %s; evidence that it is slower: %.3g\n",
		r.ToVersion, latency.Ratio, r.FromVersion, latency.Evidence)
	for _, name := range report.Pending {
		fmt.Fprintf(out, "to be updated now: router/%s\n", name)
	}
	for name, reason := range r.NotRolledBack {
		fmt.Fprintf(out, "not rolled back: router/%s: %s\n", name, reason)
	}
}

// releaseDriveHelp is the help of the sub-commands that drive a release.
const releaseDriveHelp = "Runs the file's command for each router that is to be updated, under permits, " +
	"wave by wave. It may be stopped or killed\n" +
	"at any time: the release then pauses until 'release run' is called again, on any machine. " +
	"Ends when the release does."

func newReleaseStartCommand() *cobra.Command {
	return toolCommand{
		use:   "start FILE",
		short: "Start a release, and drive it",
		long:  releaseDriveHelp,
		args:  cobra.ExactArgs(1),
		run: func(cmd *cobra.Command, args []string, c *coordinators) error {
			return runRelease(cmd, args[0], c, startRelease)
		},
	}.build()
}

func newReleaseRunCommand() *cobra.Command {
	return toolCommand{
		use:   "run FILE",
		short: "Drive the release in progress, or wait to take over from another driver",
		long:  releaseDriveHelp,
		args:  cobra.ExactArgs(1),
		run: func(cmd *cobra.Command, args []string, c *coordinators) error {
			return runRelease(cmd, args[0], c, nil)
		},
	}.build()
}

// startRelease starts a release.
func startRelease(ctx context.Context, session *client.Client, plan rollout.ReleasePlan) error {
	_, err := session.ExecuteRollout(ctx, rollout.Command{Op: rollout.OpStartRelease, Plan: &plan})
	if err != nil {
		return err
	}
	injectFaultAt("started")
	return nil
}

// runRelease drives the release of a file until it is over. It first calls prepare, unless that is
// nil.
func runRelease(
	cmd *cobra.Command, path string, c *coordinators,
	prepare func(context.Context, *client.Client, rollout.ReleasePlan) error,
) error {
	file, plan, err := config.LoadRelease(path)
	if err != nil {
		return err
	}
	return c.withSession(cmd.Context(), controllerName, commandTTL,
		func(ctx context.Context, session *client.Client) error {
			if prepare != nil {
				if err := prepare(ctx, session, plan); err != nil {
					return err
				}
			}
			d := &releaseDriver{session: session, file: file, out: cmd.ErrOrStderr()}
			return d.driveWithLease(ctx)
		})
}
