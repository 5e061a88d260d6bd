package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"dockhinge.example/dockhinge/lab/fleet"
	"dockhinge.example/dockhinge/lab/scenario"
	"dockhinge.example/dockhinge/lab/simulation"
)

// outlierSharingCommand plays runs in which cache servers break off their answers, with and without
// routers that share their outlier reports, on the same seeds.
func outlierSharingCommand() *cobra.Command {
	var seeds, concurrentRuns, routers, quorum int
	var from uint64
	var mutant, logs string
	cmd := &cobra.Command{Use: "outlier-sharing", Aliases: []string{"suspects"}, Args: cobra.NoArgs,
		Short: "Measure what failing cache servers cost with and without routers that share outlier reports",
		Long: "Two cache servers break off their answers, one after the other, but still answer probes. Each\n" +
			"seed is played with routers that detect this on their own, with routers that eject a server\n" +
			"which a quorum reported, and with the latter while the first router falsely reports all servers,\n" +
			"or two of them. Attempts are counted by the cache servers.",
		RunE: func(cmd *cobra.Command, _ []string) error {
			command, err := routerCommandLine(cmd.Context(), "")
			if err != nil {
				return err
			}
			mutantRouter, mutantCoordinator, err := buildWithMutants(cmd.Context())
			if err != nil {
				return err
			}
			coord := coordinatorCommandLine()
			var env []string
			if mutant != "" {
				env, coord, command = []string{"DOCKHINGE_MUTANT=" + mutant}, mutantCoordinator, mutantRouter
			}
			variants := []struct {
				name              string
				quorum            int
				firstRouterMutant string
			}{
				{"each by itself", 0, ""}, {"quorum", quorum, ""},
				{"quorum, one router falsely reports all", quorum, "lies-all"},
				{"quorum, one router falsely reports two", quorum, "lies-some"}}
			type figures struct{ attempts, late, routerCounts, service, breaches, cpu []float64 }
			all := make([]figures, len(variants))
			var mu sync.Mutex
			var wg sync.WaitGroup
			slots := make(chan struct{}, max(1, concurrentRuns))
			failed := 0
			for seed := from; seed < from+uint64(seeds); seed++ {
				for i, v := range variants {
					slots <- struct{}{}
					wg.Go(func() {
						defer func() { <-slots }()
						if cmd.Context().Err() != nil {
							return
						}
						f, err := scenario.FaultyServers(seed, routers, v.quorum)
						var dir string
						if err == nil {
							dir, err = fleet.LogDir(logs, "suspects")
						}
						var res fleet.Result
						if err == nil {
							res, err = fleet.Run(cmd.Context(), f, fleet.Options{
								RouterCommand: command, CoordinatorCommand: coord, CoordinatorEnv: env,
								MutantCommand: mutantRouter, FirstRouterMutant: v.firstRouterMutant, Dir: dir})
						}
						mu.Lock()
						defer mu.Unlock()
						if err != nil || len(res.Failures) > 0 {
							failed++
							fmt.Printf("seed %d, %s (logs in %s): %v %s\n",
								seed, v.name, dir, err, strings.Join(res.Failures, "; "))
							if err != nil {
								return
							}
						} else {
							os.RemoveAll(dir)
						}
						for _, x := range res.FaultySpells {
							all[i].attempts, all[i].late, all[i].routerCounts =
								append(all[i].attempts, float64(x.Attempts)),
								append(all[i].late, float64(x.Late)), append(all[i].routerCounts, float64(x.Routers))
						}
						if n := len(res.Samples); n > 1 {
							first, last := res.Samples[0], res.Samples[n-1]
							for name, u := range last.Routers {
								all[i].cpu = append(all[i].cpu,
									(u.CPUMS-first.Routers[name].CPUMS)/(last.AtS-first.AtS)/10)
							}
						}
						all[i].service, all[i].breaches = append(all[i].service, res.Service),
							append(all[i].breaches, float64(len(res.Breaches)))
					})
				}
			}
			wg.Wait()
			w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
			fmt.Fprintln(w, "\tbad servers\tattempts at one\t±95%\tafter its first second\t±95%\trouters"+
				"\tservice\t±95%\tbreaches\tCPU a router, % of a core")
			for i, v := range variants {
				x := all[i]
				fmt.Fprintf(w, "%s\t%d", v.name, len(x.attempts))
				for _, col := range [][]float64{x.attempts, x.late} {
					mean, half := simulation.MeanWithInterval(col)
					fmt.Fprintf(w, "\t%.1f\t%.1f", mean, half)
				}
				meanRouters, _ := simulation.MeanWithInterval(x.routerCounts)
				service, half := simulation.MeanWithInterval(x.service)
				breaches, _ := simulation.MeanWithInterval(x.breaches)
				cpu, _ := simulation.MeanWithInterval(x.cpu)
				fmt.Fprintf(w, "\t%.1f\t%.4f\t%.4f\t%.0f\t%.2f\n",
					meanRouters, service, half, breaches*float64(len(x.breaches)), cpu)
			}
			w.Flush()
			if failed > 0 {
				return errExpectationFailed
			}
			return cmd.Context().Err()
		}}
	cmd.Flags().IntVar(&seeds, "seeds", 3, "number of seeds")
	cmd.Flags().Uint64Var(&from, "from", 1, "the first seed")
	cmd.Flags().IntVar(&concurrentRuns, "side", 1, "runs at a time")
	cmd.Flags().IntVar(&routers, "routers", 24, "routers")
	cmd.Flags().IntVar(&quorum, "quorum", 3, "number of routers whose reports make all routers eject a server")
	cmd.Flags().StringVar(&mutant, "mutant", "", "activate this deliberate bug in coordinators and routers")
	cmd.Flags().StringVar(&logs, "logs", os.TempDir(), "keep the logs of failed runs under this directory")
	return cmd
}
