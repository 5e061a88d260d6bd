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

// suspects plays days on which cache servers break off their answers, with routers that tell one another and without, by the same seeds.
func suspects() *cobra.Command {
	var seeds, side, routers, quorum int
	var from uint64
	var mutant, logs string
	cmd := &cobra.Command{Use: "outlier-sharing", Aliases: []string{"suspects"}, Short: "What bad cache servers cost a fleet whose routers tell one another, and one whose don't", Args: cobra.NoArgs,
		Long: "Two cache servers break off their answers, one after the other, and answer probes. For each seed: routers that each find out by themselves,\n" +
			"routers that leave out what a quorum found bad, and the latter with a first router that tells of all servers, or of two, that they\n" +
			"are bad. Counted by what the servers saw.",
		RunE: func(cmd *cobra.Command, _ []string) error {
			command, err := routerCommand(cmd.Context(), "")
			if err != nil {
				return err
			}
			planted, plantedCoord, err := mutantsBuild(cmd.Context())
			if err != nil {
				return err
			}
			coord := coordCommand()
			var env []string
			if mutant != "" {
				env, coord, command = []string{"DOCKHINGE_MUTANT=" + mutant}, plantedCoord, planted
			}
			variants := []struct {
				name   string
				quorum int
				lies   string
			}{{"each by itself", 0, ""}, {"quorum", quorum, ""}, {"and one that tells all are bad", quorum, "lies-all"}, {"and one that tells two are", quorum, "lies-some"}}
			type figures struct{ attempts, late, by, service, breaches, cpu []float64 }
			all := make([]figures, len(variants))
			var mu sync.Mutex
			var wg sync.WaitGroup
			room := make(chan struct{}, max(1, side))
			broke := 0
			for seed := from; seed < from+uint64(seeds); seed++ {
				for i, v := range variants {
					room <- struct{}{}
					wg.Go(func() {
						defer func() { <-room }()
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
							res, err = fleet.Run(cmd.Context(), f, fleet.Options{RouterCommand: command, CoordinatorCommand: coord, CoordinatorEnv: env, MutantCommand: planted, FirstRouterMutant: v.lies, Dir: dir})
						}
						mu.Lock()
						defer mu.Unlock()
						if err != nil || len(res.Failures) > 0 {
							broke++
							fmt.Printf("seed %d, %s (logs in %s): %v %s\n", seed, v.name, dir, err, strings.Join(res.Failures, "; "))
							if err != nil {
								return
							}
						} else {
							os.RemoveAll(dir)
						}
						for _, x := range res.FaultySpells {
							all[i].attempts, all[i].late, all[i].by = append(all[i].attempts, float64(x.Attempts)), append(all[i].late, float64(x.Late)), append(all[i].by, float64(x.Routers))
						}
						if n := len(res.Samples); n > 1 {
							first, last := res.Samples[0], res.Samples[n-1]
							for name, u := range last.Routers {
								all[i].cpu = append(all[i].cpu, (u.CPUMS-first.Routers[name].CPUMS)/(last.AtS-first.AtS)/10)
							}
						}
						all[i].service, all[i].breaches = append(all[i].service, res.Service), append(all[i].breaches, float64(len(res.Breaches)))
					})
				}
			}
			wg.Wait()
			w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
			fmt.Fprintln(w, "\tbad servers\tattempts at one\t±95%\tafter its first second\t±95%\trouters\tservice\t±95%\tbreaches\tCPU a router, % of a core")
			for i, v := range variants {
				x := all[i]
				fmt.Fprintf(w, "%s\t%d", v.name, len(x.attempts))
				for _, col := range [][]float64{x.attempts, x.late} {
					mean, half := simulation.Mean(col)
					fmt.Fprintf(w, "\t%.1f\t%.1f", mean, half)
				}
				by, _ := simulation.Mean(x.by)
				service, half := simulation.Mean(x.service)
				breaches, _ := simulation.Mean(x.breaches)
				cpu, _ := simulation.Mean(x.cpu)
				fmt.Fprintf(w, "\t%.1f\t%.4f\t%.4f\t%.0f\t%.2f\n", by, service, half, breaches*float64(len(x.breaches)), cpu)
			}
			w.Flush()
			if broke > 0 {
				return errHeldNot
			}
			return cmd.Context().Err()
		}}
	cmd.Flags().IntVar(&seeds, "seeds", 3, "how many")
	cmd.Flags().Uint64Var(&from, "from", 1, "the first")
	cmd.Flags().IntVar(&side, "side", 1, "runs side by side")
	cmd.Flags().IntVar(&routers, "routers", 24, "routers")
	cmd.Flags().IntVar(&quorum, "quorum", 3, "routers whose word has all leave a server out")
	cmd.Flags().StringVar(&mutant, "mutant", "", "plant a fault in coordinators and routers")
	cmd.Flags().StringVar(&logs, "logs", os.TempDir(), "logs of runs that did not hold are kept under this directory")
	return cmd
}
