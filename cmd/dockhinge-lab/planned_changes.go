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

// plannedChangesCommand plays planned changes of a whole fleet, with faults drawn from seeds.
func plannedChangesCommand() *cobra.Command {
	var c commonFlags
	var seeds, concurrentRuns, routers, servers, coordinators, outRouters, outServers int
	var from uint64
	var durationS, bakeS float64
	var mutant string
	var stopAtFirst, calm bool
	var release, reportPath string
	cmd := &cobra.Command{Use: "planned-changes", Aliases: []string{"changes"}, Args: cobra.NoArgs,
		Short: "Play planned changes of all cache servers and most routers, with faults drawn from seeds",
		Long: "Operators change every cache server and most routers by permits of the coordinators, while\n" +
			"tools, routers, servers and coordinators are killed, stopped or cut off as drawn from the seed.\n" +
			"A run fails if more was out by plan than the budgets allow, if a drained server got requests, or\n" +
			"if a change was made twice or never. This is checked against the log of the fleet and of the\n" +
			"cache servers.",
		RunE: func(cmd *cobra.Command, _ []string) error {
			command, err := routerCommandLine(cmd.Context(), c.router)
			if err != nil {
				return err
			}
			coord := coordinatorCommandLine()
			var env, mutantCommand []string
			if mutant != "" || release != "" {
				mutantRouter, mutantCoordinator, err := buildWithMutants(cmd.Context())
				if err != nil {
					return err
				}
				mutantCommand = mutantRouter
				if mutant != "" {
					env, coord = []string{"DOCKHINGE_MUTANT=" + mutant}, mutantCoordinator
				}
			}
			var mu sync.Mutex
			var wg sync.WaitGroup
			slots := make(chan struct{}, max(1, concurrentRuns))
			var failed, played, changed, toolRuns, faults, breaches int
			var tookS, service []float64
			for i := range seeds {
				slots <- struct{}{}
				mu.Lock()
				mustStop := cmd.Context().Err() != nil || stopAtFirst && failed > 0
				mu.Unlock()
				if mustStop {
					break
				}
				wg.Go(func() {
					defer func() { <-slots }()
					f, err := scenario.Changes(from+uint64(i), routers, servers)
					if release != "" {
						f, err = scenario.Release(from+uint64(i), routers, servers,
							map[bool]string{true: release}[release != "good"], calm)
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
						res, err = fleet.Run(cmd.Context(), f, fleet.Options{
							RouterCommand: command, CoordinatorCommand: coord, CoordinatorEnv: env,
							MutantCommand: mutantCommand, Dir: dir, ChangeTimeout: 90 * time.Second})
					}
					if err == nil && reportPath != "" {
						err = report.Write(strings.TrimSuffix(reportPath, ".html")+fmt.Sprintf("-%d.html", f.Seed),
							[]fleet.Result{res})
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
					lastSeconds := 0.0
					for _, x := range res.Changes {
						toolRuns += x.ToolRuns
						if x.RunningAtMS > 0 {
							changed++
						}
						lastSeconds = max(lastSeconds, (x.RunningAtMS-x.RequestedAtMS)/1000)
					}
					n := len(f.Faults) - 2
					if release != "" {
						n++
					}
					faults += n
					breaches += len(res.Breaches)
					if r := res.Released; r != nil {
						fmt.Printf("release: %d routers exposed, halted after %.1f s (%s), over after %.1f s,"+
							" %d runs of the tool, %d repeats, %d old tokens refused\n",
							r.Exposed, r.HaltS, r.Halt, r.TookS, r.Drivers, r.Repeats, r.Refused)
						lastSeconds = r.TookS
					}
					tookS, service = append(tookS, lastSeconds), append(service, res.Service)
					if len(res.Failures) > 0 {
						failed++
					}
					fmt.Printf("seed %d: %d changes in %.0f s, %d faults, service %.3f %s\n",
						f.Seed, len(res.Changes), lastSeconds, n, res.Service, strings.Join(res.Failures, "; "))
				})
			}
			wg.Wait()
			if played == 0 {
				return cmd.Context().Err()
			}
			slices.Sort(tookS)
			slices.Sort(service)
			fmt.Printf("%d seeds, %d broke; %d changes done with %d runs of the tool, %d faults,"+
				" %d breaches of the rules; all changed after %.0f s in the middle, %.0f s at most;"+
				" service %.3f in the middle, %.3f at least\n",
				played, failed, changed, toolRuns, faults, breaches,
				tookS[len(tookS)/2], tookS[len(tookS)-1], service[len(service)/2], service[0])
			if failed > 0 {
				return errExpectationFailed
			}
			return cmd.Context().Err()
		}}
	cmd.Flags().StringVar(&c.router, "router", "", "command that starts one router")
	cmd.Flags().StringVar(&c.logs, "logs", "", "keep the logs under this directory")
	cmd.Flags().IntVar(&seeds, "seeds", 10, "number of seeds")
	cmd.Flags().Uint64Var(&from, "from", 1, "the first seed")
	cmd.Flags().IntVar(&concurrentRuns, "side", 1, "runs at a time")
	cmd.Flags().IntVar(&routers, "routers", 6, "routers")
	cmd.Flags().IntVar(&servers, "servers", 8, "cache servers")
	cmd.Flags().IntVar(&coordinators, "coordinators", 5, "coordinators")
	cmd.Flags().Float64Var(&durationS, "duration", 40, "seconds of load; pending changes continue after it")
	cmd.Flags().StringVar(&mutant, "mutant", "", "activate this deliberate bug in the coordinators")
	cmd.Flags().StringVar(&release, "release", "",
		"play a release of the routers instead: good, or the defect of the new version (never, crash, fails, slower)")
	cmd.Flags().Float64Var(&bakeS, "bake", 0,
		"with --release: seconds that a wave bakes; it needs 20 requests for each of them; 0 = 2 s")
	cmd.Flags().IntVar(&outRouters, "out-routers", 0, "routers that may be out at once; 0 = 2 routers and 2 servers")
	cmd.Flags().IntVar(&outServers, "out-servers", 2, "with --out-routers: cache servers that may be out at once")
	cmd.Flags().StringVar(&reportPath, "report", "",
		"write an HTML report of each run to this file, with the seed added to its name")
	cmd.Flags().BoolVar(&calm, "calm", false, "with --release: inject no further faults")
	cmd.Flags().BoolVar(&stopAtFirst, "first", false, "stop after the first seed that failed")
	return cmd
}
