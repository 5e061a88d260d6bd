package main

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"sync"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"dockhinge.example/dockhinge/lab/fleet"
	"dockhinge.example/dockhinge/lab/scenario"
)

// all plays every shipped scenario several times and prints one table.
func all() *cobra.Command {
	var c common
	var times, side int
	var only []string
	cmd := &cobra.Command{Use: "all", Short: "Play every shipped scenario several times, one table", Args: cobra.NoArgs,
		Long: "Plays every shipped scenario several times, each time with a seed of its own (the scenario's and 1,000 more each\n" +
			"time), and prints how often the rules held and what was served. Runs side by side have addresses of their own, but\n" +
			"share the machine: judge service by runs one after the other.",
		RunE: func(cmd *cobra.Command, _ []string) error {
			command, err := routerCommand(cmd.Context(), c.router)
			if err != nil {
				return err
			}
			type row struct {
				runs, broke, invalid, failed int
				service                      []float64
				first                        string
			}
			var mu sync.Mutex
			rows := map[string]*row{}
			var wg sync.WaitGroup
			room := make(chan struct{}, max(1, side))
			names := scenario.Shipped()
			for _, name := range only {
				if !slices.Contains(names, name) {
					return fmt.Errorf("--only %s: no such scenario", name)
				}
			}
			if len(only) > 0 {
				names = only
			}
			names = slices.DeleteFunc(names, func(name string) bool { return name == "up" }) // an hour, for people to look at
			fails := make([]error, 0, times)
			for i := range times {
				for _, name := range names {
					f, err := scenario.Load(name)
					if err != nil {
						return err
					}
					f.Seed += uint64(i) * 1000
					f.Load.Seed = f.Seed
					room <- struct{}{}
					wg.Go(func() {
						defer func() { <-room }()
						dir, err := fleet.LogDir(os.TempDir(), "dockhinge-lab")
						if err == nil {
							defer os.RemoveAll(dir)
						}
						var res fleet.Result
						if err == nil {
							res, err = fleet.Run(cmd.Context(), f, fleet.Options{RouterCommand: command, CoordinatorCommand: coordCommand(), Dir: dir})
						}
						mu.Lock()
						defer mu.Unlock()
						if err != nil {
							fails = append(fails, fmt.Errorf("%s, seed %d: %w", name, f.Seed, err))
							return
						}
						if res.Interrupted {
							return
						}
						r := rows[name]
						if r == nil {
							r = &row{}
							rows[name] = r
						}
						r.runs++
						r.service = append(r.service, res.Service)
						switch {
						case len(res.Breaches) > 0:
							r.broke++
						case !res.Load.Valid:
							r.invalid++
						case len(res.Failures) > 0:
							r.failed++
						}
						if len(res.Failures) > 0 && r.first == "" {
							r.first = fmt.Sprintf("seed %d: %s", f.Seed, res.Failures[0])
						}
						fmt.Fprintf(os.Stderr, "%s, seed %d: service %.3f, %d breaches%s\n", name, f.Seed, res.Service, len(res.Breaches), strings.Join(res.Failures, "; "))
					})
				}
			}
			wg.Wait()
			t := tabwriter.NewWriter(os.Stdout, 4, 4, 1, ' ', 0)
			fmt.Fprintln(t, "| scenario\t| runs\t| rules broken\t| load tool late\t| else short\t| service, least\t| middle\t| first failure\t|")
			fmt.Fprintln(t, "| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t|")
			held := true
			for _, name := range names {
				if r := rows[name]; r != nil {
					slices.Sort(r.service)
					fmt.Fprintf(t, "| `%s`\t| %d\t| %d\t| %d\t| %d\t| %.3f\t| %.3f\t| %s\t|\n", name, r.runs, r.broke, r.invalid, r.failed, r.service[0], r.service[len(r.service)/2], r.first)
					held = held && r.broke+r.failed == 0
				}
			}
			t.Flush()
			for _, err := range fails {
				fmt.Fprintln(os.Stderr, err)
			}
			if !held || len(fails) > 0 {
				return errHeldNot
			}
			return cmd.Context().Err()
		}}
	cmd.Flags().StringVar(&c.router, "router", "", "the command of one router")
	cmd.Flags().IntVar(&times, "times", 10, "runs of each scenario")
	cmd.Flags().IntVar(&side, "side", 1, "runs side by side")
	cmd.Flags().StringSliceVar(&only, "only", nil, "these scenarios alone")
	return cmd
}
