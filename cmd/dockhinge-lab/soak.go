package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync"

	"github.com/spf13/cobra"

	"dockhinge.example/dockhinge/lab/fleet"
	"dockhinge.example/dockhinge/lab/soak"
)

// soakOptions are the flags of the soak command.
type soakOptions struct {
	commonFlags
	seeds          int
	first          uint64
	seconds        float64
	concurrentRuns int
	isPaced        bool
	isFlooded      bool
}

func soakCommand() *cobra.Command {
	var o soakOptions
	cmd := &cobra.Command{
		Use:   "soak",
		Short: "Play runs drawn from seeds that combine restarts, signals, moves, drains and faults",
		Args:  cobra.NoArgs,
		Long: "Draws a fleet and a schedule of faults from each seed, plays it with real routers and checks it\n" +
			"against the rules. A run that fails prints its command, the first breach and where its logs are.",
		RunE: func(cmd *cobra.Command, _ []string) error { return playSoak(cmd.Context(), o) },
	}
	cmd.Flags().StringVar(&o.router, "router", "",
		"command that starts one router (default: bin/dockhinge serve, built first if run in the repository)")
	cmd.Flags().StringVar(&o.logs, "logs", "logs/soak", "keep the logs of runs that fail in this directory")
	cmd.Flags().BoolVar(&o.isPaced, "paced", false,
		"add large writes, an origin that reads them slowly, and clients that send at full speed")
	cmd.Flags().BoolVar(&o.isFlooded, "flooded", false,
		"add to --paced clients that send sound requests at full speed, and routers that share a processor or two")
	cmd.Flags().IntVar(&o.seeds, "seeds", 10, "number of seeds, one run each")
	cmd.Flags().Uint64Var(&o.first, "first", 1, "the first seed; the others follow it")
	cmd.Flags().Float64Var(&o.seconds, "seconds", 15, "seconds of load in each run")
	cmd.Flags().IntVar(&o.concurrentRuns, "side", 1, "runs at a time")
	return cmd
}

// playSoak plays all seeds. It returns errExpectationFailed if one of them failed.
func playSoak(ctx context.Context, o soakOptions) error {
	if o.seeds < 1 || o.concurrentRuns < 1 {
		return errors.New("--seeds and --side: at least 1")
	}
	command, err := routerCommandLine(ctx, o.router)
	if err != nil {
		return err
	}
	seeds := make(chan uint64)
	var mu sync.Mutex
	var failed []uint64
	var failures []error
	var wg sync.WaitGroup
	for range o.concurrentRuns {
		wg.Go(func() {
			for seed := range seeds {
				text, hasPassed, err := playSeed(ctx, o, seed, command)
				mu.Lock()
				fmt.Print(text)
				if !hasPassed {
					failed = append(failed, seed)
				}
				if err != nil {
					failures = append(failures, err)
				}
				mu.Unlock()
			}
		})
	}
	for i := range o.seeds {
		if ctx.Err() == nil {
			seeds <- o.first + uint64(i)
		}
	}
	close(seeds)
	wg.Wait()
	fmt.Printf("%d seeds, %d failed: %v\n", o.seeds, len(failed), failed)
	if len(failures) > 0 || ctx.Err() != nil {
		return errors.Join(append(failures, ctx.Err())...)
	}
	if len(failed) > 0 {
		return errExpectationFailed
	}
	return nil
}

// playSeed plays one seed and returns a description of the result. The logs of a run that kept all
// rules are removed. An error means that the seed could not be played.
func playSeed(
	ctx context.Context, o soakOptions, seed uint64, command []string,
) (text string, hasPassed bool, err error) {
	draw, flag := soak.Scenario, ""
	if o.isPaced {
		draw, flag = soak.PacedScenario, "--paced "
	}
	if o.isFlooded {
		draw, flag = soak.FloodedScenario, "--flooded "
	}
	file, err := draw(seed, o.seconds)
	if err != nil {
		return "", false, err
	}
	dir, err := fleet.LogDir(o.logs, file.Name)
	if err != nil {
		return "", false, err
	}
	dir, err = filepath.Abs(dir)
	if err != nil {
		return "", false, err
	}
	res, err := fleet.Run(ctx, file, fleet.Options{
		RouterCommand: command, CoordinatorCommand: coordinatorCommandLine(), Dir: dir, MustExit: true})
	if err != nil {
		return "", false, fmt.Errorf("seed %d: %w (logs in %s)", seed, err, dir)
	}
	if len(res.Failures) == 0 {
		text = fmt.Sprintf("seed %d: kept, %d tries, machine late by %.0f ms\n", seed, res.Load.Tries, res.LateMS)
		return text, true, os.RemoveAll(dir)
	}
	text = fmt.Sprintf("seed %d: FAILED: dockhinge-lab soak %s--seeds 1 --first %d --seconds %v\n", seed, flag, seed,
		o.seconds)
	text += fmt.Sprintf("  machine late by %.0f ms, logs in %s\n", res.LateMS, dir)
	for _, failure := range res.Failures {
		text += "  " + failure + "\n"
	}
	for _, breach := range res.Breaches {
		text += "  " + breach.String() + "\n"
	}
	for _, mark := range res.Marks {
		text += fmt.Sprintf("  %6.2f s  %s\n", mark.AtS, mark.Text)
	}
	return text, false, nil
}
