package main

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"dockhinge.example/dockhinge/lab/fleet"
	"dockhinge.example/dockhinge/lab/scenario"
)

// crashPointsCommand kills each process at each step of the operators' tool, once per round.
func crashPointsCommand() *cobra.Command {
	var rounds, concurrentRuns int
	var from uint64
	var logs string
	cmd := &cobra.Command{Use: "crash-points", Aliases: []string{"steps"}, Args: cobra.NoArgs,
		Short: "Kill each process at each step of a release and of a planned change",
		Long: "Runs a release of the routers and a change of all cache servers with real processes. At each step of\n" +
			"the operators' tool one process is killed: the tool, the leading coordinator, another coordinator, the\n" +
			"router or cache server that is changed, another router, or the other driver. It is then restarted as\n" +
			"its supervisor would. Each run must complete what was requested, and change each router exactly once.",
		RunE: func(cmd *cobra.Command, _ []string) error {
			command, err := routerCommandLine(cmd.Context(), "")
			if err != nil {
				return err
			}
			dir, err := buildWithFaults(cmd.Context())
			if err != nil {
				return err
			}
			type count struct{ runs, killed, broke int }
			counts := map[string]*count{}
			var order []string
			var tookS []float64
			var mu sync.Mutex
			var wg sync.WaitGroup
			slots := make(chan struct{}, max(1, concurrentRuns))
			play := func(what string, k fleet.StepKill, seed uint64, f scenario.File) {
				id := fmt.Sprintf("%s\t%s\t%s", what, k.Step, k.Victim)
				mu.Lock()
				if counts[id] == nil {
					counts[id] = new(count)
					order = append(order, id)
				}
				mu.Unlock()
				slots <- struct{}{}
				wg.Go(func() {
					defer func() { <-slots }()
					if cmd.Context().Err() != nil {
						return
					}
					runDir, err := fleet.LogDir(logs, "steps")
					var res fleet.Result
					if err == nil {
						res, err = fleet.Run(cmd.Context(), f, fleet.Options{RouterCommand: command,
							CoordinatorCommand: []string{filepath.Join(dir, "dockhinge-coord")},
							Kill:               &k, Dir: runDir, ChangeTimeout: fleet.StepKillTimeout})
					}
					mu.Lock()
					defer mu.Unlock()
					if cmd.Context().Err() != nil {
						return
					}
					if err != nil {
						res.Failures = append(res.Failures, err.Error())
					}
					c := counts[id]
					c.runs++
					if res.Killed || k.Victim == "tool" {
						c.killed++
					}
					if res.Released != nil {
						tookS = append(tookS, res.Released.TookS)
					}
					if len(res.Failures) > 0 {
						c.broke++
						fmt.Printf("%s, seed %d (logs in %s): %s\n",
							strings.ReplaceAll(id, "\t", " "), seed, runDir, strings.Join(res.Failures, "; "))
						return
					}
					os.RemoveAll(runDir)
				})
			}
			for seed := from; seed < from+uint64(rounds); seed++ {
				for _, step := range fleet.DriverSteps {
					for _, victim := range fleet.DriverVictims {
						f, err := scenario.CrashPoints(seed, true)
						if err != nil {
							return err
						}
						play("release", fleet.StepKill{Step: step, Victim: victim}, seed, f)
					}
				}
				for _, step := range fleet.ToolSteps {
					for _, victim := range fleet.ToolVictims {
						f, err := scenario.CrashPoints(seed, false)
						if err != nil {
							return err
						}
						play("change", fleet.StepKill{Step: step, Victim: victim}, seed, f)
					}
				}
			}
			wg.Wait()
			w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
			fmt.Fprintln(w, "what\tat the step\tkilled\truns\ttimes killed\tbroke")
			runs, killed, broke := 0, 0, 0
			for _, id := range order {
				c := counts[id]
				runs, killed, broke = runs+c.runs, killed+c.killed, broke+c.broke
				fmt.Fprintf(w, "%s\t%d\t%d\t%d\n", id, c.runs, c.killed, c.broke)
			}
			w.Flush()
			slices.Sort(tookS)
			if len(tookS) > 0 {
				fmt.Printf("%d runs, %d kills, %d broke; releases took %.1f s in the middle, %.1f s at most\n",
					runs, killed, broke, tookS[len(tookS)/2], tookS[len(tookS)-1])
			}
			if broke > 0 {
				return errExpectationFailed
			}
			return cmd.Context().Err()
		}}
	cmd.Flags().IntVar(&rounds, "rounds", 1, "runs of each combination of step and killed process")
	cmd.Flags().Uint64Var(&from, "from", 1, "the first seed")
	cmd.Flags().IntVar(&concurrentRuns, "side", 1, "runs at a time")
	cmd.Flags().StringVar(&logs, "logs", os.TempDir(), "keep the logs of failed runs under this directory")
	return cmd
}
