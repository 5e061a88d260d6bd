package main

import (
	"cmp"
	"fmt"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/spf13/cobra"

	"dockhinge.example/dockhinge/lab/fleet"
	"dockhinge.example/dockhinge/lab/report"
	"dockhinge.example/dockhinge/lab/scenario"
)

// changes plays planned changes of a whole fleet with faults by seeds.
func changes() *cobra.Command {
	var c common
	var seeds, side, routers, servers, coordinators, outRouters, outServers int
	var from uint64
	var durationS, bakeS float64
	var mutant string
	var first, calm bool
	var release, page string
	cmd := &cobra.Command{Use: "planned-changes", Aliases: []string{"changes"}, Short: "Planned changes of all cache servers and most routers, with faults by seeds", Args: cobra.NoArgs,
		Long: "Operators change every cache server and most routers by permits of the fleet's agreement, while the seed has tools,\n" +
			"routers, servers and coordinators die, stop or be cut off. Judged by what the laboratory did and what servers saw: more\n" +
			"out by plan than the budgets leave, requests at a drained server, a change done twice or never.",
		RunE: func(cmd *cobra.Command, _ []string) error {
			command, err := routerCommand(cmd.Context(), c.router)
			if err != nil {
				return err
			}
			coord := coordCommand()
			var env, spoilt []string
			if mutant != "" || release != "" {
				planted, plantedCoord, err := mutantsBuild(cmd.Context())
				if err != nil {
					return err
				}
				spoilt = planted
				if mutant != "" {
					env, coord = []string{"DOCKHINGE_MUTANT=" + mutant}, plantedCoord
				}
			}
			var mu sync.Mutex
			var wg sync.WaitGroup
			room := make(chan struct{}, max(1, side))
			var broke, played, done, tools, faults, breaches int
			var tookS, service []float64
			for i := range seeds {
				room <- struct{}{}
				mu.Lock()
				over := cmd.Context().Err() != nil || first && broke > 0
				mu.Unlock()
				if over {
					break
				}
				wg.Go(func() {
					defer func() { <-room }()
					f, err := scenario.Changes(from+uint64(i), routers, servers)
					if release != "" {
						f, err = scenario.Release(from+uint64(i), routers, servers, map[bool]string{true: release}[release != "good"], calm)
					}
					if err == nil {
						f.Fleet.Coordinators, f.DurationS = coordinators, durationS
						if release != "" && bakeS > 0 {
							f.Faults[0].DownS, f.Faults[0].Count = bakeS, int(20*bakeS)
						}
						if outRouters > 0 {
							f.Fleet.Out.Routers, f.Fleet.Out.Servers = outRouters, outServers
						}
					}
					var dir string
					if err == nil {
						dir, err = fleet.LogDir(cmp.Or(c.logs, os.TempDir()), "dockhinge-lab")
					}
					var res fleet.Result
					if err == nil {
						if c.logs == "" {
							defer os.RemoveAll(dir)
						}
						res, err = fleet.Run(cmd.Context(), f, fleet.Options{RouterCommand: command, CoordinatorCommand: coord, CoordinatorEnv: env, MutantCommand: spoilt, Dir: dir, ChangeTimeout: 90 * time.Second})
					}
					if err == nil && page != "" {
						err = report.Write(strings.TrimSuffix(page, ".html")+fmt.Sprintf("-%d.html", f.Seed), []fleet.Result{res})
					}
					mu.Lock()
					defer mu.Unlock()
					if err != nil {
						fmt.Printf("seed %d could not be played: %v\n", from+uint64(i), err)
						return
					}
					if res.Interrupted {
						return
					}
					played++
					last := 0.0
					for _, x := range res.Changes {
						tools += x.ToolRuns
						if x.RunningAtMS > 0 {
							done++
						}
						last = max(last, (x.RunningAtMS-x.RequestedAtMS)/1000)
					}
					n := len(f.Faults) - 2
					if release != "" {
						n++
					}
					faults += n
					breaches += len(res.Breaches)
					if r := res.Released; r != nil {
						fmt.Printf("release: %d routers exposed, halted after %.1f s (%s), over after %.1f s, %d runs of the tool, %d repeats, %d old tokens refused\n", r.Exposed, r.HaltS, r.Halt, r.TookS, r.Drivers, r.Repeats, r.Refused)
						last = r.TookS
					}
					tookS, service = append(tookS, last), append(service, res.Service)
					if len(res.Failures) > 0 {
						broke++
					}
					fmt.Printf("seed %d: %d changes in %.0f s, %d faults, service %.3f %s\n", f.Seed, len(res.Changes), last, n, res.Service, strings.Join(res.Failures, "; "))
				})
			}
			wg.Wait()
			if played == 0 {
				return cmd.Context().Err()
			}
			slices.Sort(tookS)
			slices.Sort(service)
			fmt.Printf("%d seeds, %d broke; %d changes done with %d runs of the tool, %d faults, %d breaches of the rules; all changed after %.0f s in the middle, %.0f s at most; service %.3f in the middle, %.3f at least\n",
				played, broke, done, tools, faults, breaches, tookS[len(tookS)/2], tookS[len(tookS)-1], service[len(service)/2], service[0])
			if broke > 0 {
				return errHeldNot
			}
			return cmd.Context().Err()
		}}
	cmd.Flags().StringVar(&c.router, "router", "", "the command of one router")
	cmd.Flags().StringVar(&c.logs, "logs", "", "keep the logs under this directory")
	cmd.Flags().IntVar(&seeds, "seeds", 10, "how many")
	cmd.Flags().Uint64Var(&from, "from", 1, "the first")
	cmd.Flags().IntVar(&side, "side", 1, "runs side by side")
	cmd.Flags().IntVar(&routers, "routers", 6, "routers")
	cmd.Flags().IntVar(&servers, "servers", 8, "cache servers")
	cmd.Flags().IntVar(&coordinators, "coordinators", 5, "coordinators")
	cmd.Flags().Float64Var(&durationS, "duration", 40, "seconds of load; changes that are left go on after it")
	cmd.Flags().StringVar(&mutant, "mutant", "", "plant a fault in the coordinators")
	cmd.Flags().StringVar(&release, "release", "", "a release of the routers instead: good, or what is wrong with the new version (never, crash, fails, slower)")
	cmd.Flags().Float64Var(&bakeS, "bake", 0, "with it: seconds that a wave bakes, in which 20 requests a second are wanted; 0 = 2 s")
	cmd.Flags().IntVar(&outRouters, "out-routers", 0, "routers that may be out at once; 0 = 2, and 2 servers")
	cmd.Flags().IntVar(&outServers, "out-servers", 2, "cache servers that may be out at once, where --out-routers is said")
	cmd.Flags().StringVar(&page, "report", "", "write a page of each run to this file, with the seed in its name")
	cmd.Flags().BoolVar(&calm, "calm", false, "with it: no faults beside the release")
	cmd.Flags().BoolVar(&first, "first", false, "end after the first seed that broke")
	return cmd
}
