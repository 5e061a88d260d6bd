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

// steps kills each process at each step of the operators' tool, over and over.
func steps() *cobra.Command {
	var rounds, side int
	var from uint64
	var logs string
	cmd := &cobra.Command{Use: "crash-points", Aliases: []string{"steps"}, Short: "Each process killed at each step of a release and of a change, by permits of the fleet", Args: cobra.NoArgs,
		Long: "A release of the routers, and a change of all cache servers, with real processes: at each step of the operators' tool the tool\n" +
			"itself, the leading coordinator, another one, the router or cache server that is changed, another router or the other driver is\n" +
			"killed, and started again as what supervises it would. All must come to the end that was asked for, each router once.",
		RunE: func(cmd *cobra.Command, _ []string) error {
			command, err := routerCommand(cmd.Context(), "")
			if err != nil {
				return err
			}
			dir, err := faultsBuild(cmd.Context())
			if err != nil {
				return err
			}
			type count struct{ runs, killed, broke int }
			counts := map[string]*count{}
			var order []string
			var tookS []float64
			var mu sync.Mutex
			var wg sync.WaitGroup
			room := make(chan struct{}, max(1, side))
			play := func(what string, k fleet.StepKill, seed uint64, f scenario.File) {
				id := fmt.Sprintf("%s\t%s\t%s", what, k.Step, k.Victim)
				mu.Lock()
				if counts[id] == nil {
					counts[id] = new(count)
					order = append(order, id)
				}
				mu.Unlock()
				room <- struct{}{}
				wg.Go(func() {
					defer func() { <-room }()
					if cmd.Context().Err() != nil {
						return
					}
					into, err := fleet.LogDir(logs, "steps")
					var res fleet.Result
					if err == nil {
						res, err = fleet.Run(cmd.Context(), f, fleet.Options{RouterCommand: command, CoordinatorCommand: []string{filepath.Join(dir, "dockhinge-coord")}, Kill: &k, Dir: into, ChangeTimeout: fleet.StepKillTimeout})
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
						fmt.Printf("%s, seed %d (logs in %s): %s\n", strings.ReplaceAll(id, "\t", " "), seed, into, strings.Join(res.Failures, "; "))
						return
					}
					os.RemoveAll(into)
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
				fmt.Printf("%d runs, %d kills, %d broke; releases took %.1f s in the middle, %.1f s at most\n", runs, killed, broke, tookS[len(tookS)/2], tookS[len(tookS)-1])
			}
			if broke > 0 {
				return errHeldNot
			}
			return cmd.Context().Err()
		}}
	cmd.Flags().IntVar(&rounds, "rounds", 1, "how often each")
	cmd.Flags().Uint64Var(&from, "from", 1, "the first seed")
	cmd.Flags().IntVar(&side, "side", 1, "runs side by side")
	cmd.Flags().StringVar(&logs, "logs", os.TempDir(), "logs of runs that broke are kept under this directory")
	return cmd
}
