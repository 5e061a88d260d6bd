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

// allCommand plays every shipped scenario several times and prints one table.
func allCommand() *cobra.Command {
	var c commonFlags
	var times, concurrentRuns int
	var only []string
	cmd := &cobra.Command{Use: "all", Args: cobra.NoArgs,
		Short: "Play every shipped scenario several times and print one table",
		Long: "Plays every shipped scenario several times, each time with another seed (the scenario's, plus\n" +
			"1,000 for each repetition), and prints how often the rules were kept and which service was\n" +
			"reached. Concurrent runs use different addresses but share the machine: compare service only\n" +
			"between sequential runs.",
		RunE: func(cmd *cobra.Command, _ []string) error {
			command, err := routerCommandLine(cmd.Context(), c.router)
			if err != nil {
				return err
			}
			type row struct {
				runs, broke, invalid, failed int
				service                      []float64
				firstFailure                 string
			}
			var mu sync.Mutex
			rows := map[string]*row{}
			var wg sync.WaitGroup
			slots := make(chan struct{}, max(1, concurrentRuns))
			names := scenario.Shipped()
			for _, name := range only {
				if !slices.Contains(names, name) {
					return fmt.Errorf("--only %s: no such scenario", name)
				}
			}
			if len(only) > 0 {
				names = only
			}
			// The scenario up runs for an hour and is for interactive use.
			names = slices.DeleteFunc(names, func(name string) bool { return name == "up" })
			runErrors := make([]error, 0, times)
			for i := range times {
				for _, name := range names {
					f, err := scenario.Load(name)
					if err != nil {
						return err
					}
					f.Seed += uint64(i) * 1000
					f.Load.Seed = f.Seed
					slots <- struct{}{}
					wg.Go(func() {
						defer func() { <-slots }()
						dir, err := fleet.LogDir(os.TempDir(), "dockhinge-lab")
						if err == nil {
							defer os.RemoveAll(dir)
						}
						var res fleet.Result
						if err == nil {
							res, err = fleet.Run(cmd.Context(), f, fleet.Options{
								RouterCommand: command, CoordinatorCommand: coordinatorCommandLine(), Dir: dir})
						}
						mu.Lock()
						defer mu.Unlock()
						if err != nil {
							runErrors = append(runErrors, fmt.Errorf("%s, seed %d: %w", name, f.Seed, err))
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
						if len(res.Failures) > 0 && r.firstFailure == "" {
							r.firstFailure = fmt.Sprintf("seed %d: %s", f.Seed, res.Failures[0])
						}
						fmt.Fprintf(os.Stderr, "%s, seed %d: service %.3f, %d breaches%s\n",
							name, f.Seed, res.Service, len(res.Breaches), strings.Join(res.Failures, "; "))
					})
				}
			}
			wg.Wait()
			t := tabwriter.NewWriter(os.Stdout, 4, 4, 1, ' ', 0)
			fmt.Fprintln(t, "| scenario\t| runs\t| rules broken\t| load tool late\t| else short\t| service, least"+
				"\t| middle\t| first failure\t|")
			fmt.Fprintln(t, "| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t|")
			areExpectationsMet := true
			for _, name := range names {
				if r := rows[name]; r != nil {
					slices.Sort(r.service)
					fmt.Fprintf(t, "| `%s`\t| %d\t| %d\t| %d\t| %d\t| %.3f\t| %.3f\t| %s\t|\n", name,
						r.runs, r.broke, r.invalid, r.failed, r.service[0], r.service[len(r.service)/2], r.firstFailure)
					areExpectationsMet = areExpectationsMet && r.broke+r.failed == 0
				}
			}
			t.Flush()
			for _, err := range runErrors {
				fmt.Fprintln(os.Stderr, err)
			}
			if !areExpectationsMet || len(runErrors) > 0 {
				return errExpectationFailed
			}
			return cmd.Context().Err()
		}}
	cmd.Flags().StringVar(&c.router, "router", "", "command that starts one router")
	cmd.Flags().IntVar(&times, "times", 10, "runs of each scenario")
	cmd.Flags().IntVar(&concurrentRuns, "side", 1, "runs at a time")
	cmd.Flags().StringSliceVar(&only, "only", nil, "play only these scenarios")
	return cmd
}
