package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"runtime"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"dockhinge.example/dockhinge/lab/cost"
	"dockhinge.example/dockhinge/lab/fleet"
	"dockhinge.example/dockhinge/lab/report"
	"dockhinge.example/dockhinge/lab/scenario"
)

// applySettings returns the scenario with the given keys changed; each setting has the form
// KEY=VALUE.
func applySettings(f scenario.File, sets []string) (scenario.File, error) {
	for _, s := range sets {
		key, value, ok := strings.Cut(s, "=")
		if !ok {
			return f, fmt.Errorf("--set %s: not of the form KEY=VALUE", s)
		}
		var err error
		if f, err = f.With(strings.TrimSpace(key), strings.TrimSpace(value)); err != nil {
			return f, err
		}
	}
	return f, nil
}

func compareCommand() *cobra.Command {
	var c commonFlags
	var pairs int
	var sets, setsB []string
	cmd := &cobra.Command{Use: "compare A B SCENARIO", Args: cobra.ExactArgs(3),
		Short: "Compare two router commands on one scenario",
		Long: "Plays a scenario with router commands A and B alternately, each pair of runs with another seed, and\n" +
			"prints the differences with a 95% confidence interval over pairs. Quote a command with arguments:\n\n" +
			"    dockhinge-lab compare 'old/dockhinge serve' 'bin/dockhinge serve --operator new.toml' crash",
		RunE: func(cmd *cobra.Command, args []string) error {
			f, err := scenario.Load(args[2])
			if err == nil {
				f, err = applySettings(f, sets)
			}
			if err != nil {
				return err
			}
			g, err := applySettings(f, setsB)
			if err != nil {
				return err
			}
			var a, b []fleet.Result
			for i := range pairs {
				f.Seed += uint64(i) * 1000
				f.Load.Seed, g.Seed, g.Load.Seed = f.Seed, f.Seed, f.Seed
				order := []int{0, 1}
				if i%2 == 1 { // alternate the order, so that drift over time affects both equally
					order = []int{1, 0}
				}
				for _, which := range order {
					file, command, results := f, args[0], &a
					if which == 1 {
						file, command, results = g, args[1], &b
					}
					fmt.Printf("pair %d of %d: %s\n", i+1, pairs, command)
					res, err := playScenario(cmd.Context(), file, c, strings.Fields(command), nil)
					if err != nil {
						return err
					}
					if cmd.Context().Err() != nil {
						return cmd.Context().Err()
					}
					if !res.Load.Valid {
						return fmt.Errorf("the run is invalid: %s", res.Load.Why)
					}
					*results = append(*results, res)
				}
			}
			report.CompareTable(os.Stdout, report.Compare(a, b))
			if c.out != "" {
				runs := []fleet.Result{a[0], b[0]} // the report draws the first pair in one plot
				return report.Write(c.out, append(append(runs, a[1:]...), b[1:]...), "A: "+args[0], "B: "+args[1])
			}
			return nil
		}}
	cmd.Flags().StringVar(&c.logs, "logs", "", "keep logs and configurations in this directory")
	cmd.Flags().StringVar(&c.out, "out", "", "write a report of all runs to this file, HTML")
	cmd.Flags().IntVar(&pairs, "pairs", 5, "pairs of runs")
	cmd.Flags().StringArrayVar(&sets, "set", nil, "KEY=VALUE to change in the scenario, for A and B")
	cmd.Flags().StringArrayVar(&setsB, "set-b", nil, "KEY=VALUE to change in the scenario, for B only")
	return cmd
}

func sweepCommand() *cobra.Command {
	var c commonFlags
	var key, values string
	cmd := &cobra.Command{Use: "sweep SCENARIO --key KEY --values V,V,...",
		Short: "Play a scenario once for each value of one parameter", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			f, err := scenario.Load(args[0])
			if err != nil {
				return err
			}
			command, err := routerCommandLine(cmd.Context(), c.router)
			if err != nil {
				return err
			}
			var runs []fleet.Result
			all := strings.Split(values, ",")
			for _, v := range all {
				g, err := f.With(key, v)
				if err != nil {
					return err
				}
				fmt.Printf("%s = %s\n", key, v)
				res, err := playScenario(cmd.Context(), g, c, command, nil)
				if err != nil {
					return err
				}
				res.Scenario += ", " + key + " = " + v
				runs = append(runs, res)
				if cmd.Context().Err() != nil {
					break
				}
			}
			report.SweepTable(os.Stdout, key, all, runs)
			if c.out != "" {
				return report.Write(c.out, runs)
			}
			return nil
		}}
	c.add(cmd)
	cmd.Flags().StringVar(&key, "key", "load.rate", "the parameter, as written in a scenario file")
	cmd.Flags().StringVar(&values, "values", "", "its values, separated by commas")
	_ = cmd.MarkFlagRequired("values") // fails only if the flag does not exist
	return cmd
}

func costCommand() *cobra.Command {
	var c commonFlags
	var conns, sizes []int
	var cellSeconds float64
	cmd := &cobra.Command{Use: "cost", Args: cobra.NoArgs,
		Short: "Measure what the router costs compared with direct calls and a plain byte relay",
		Long: "Reads in a closed loop from a cache server that answers at once: directly, through a byte relay\n" +
			"in Go that does not parse the data, and through the router, one after the other for each number\n" +
			"of connections and each value size. Rely on the ratios to the relay: other load on the machine\n" +
			"affects all three paths.",
		RunE: func(cmd *cobra.Command, _ []string) error {
			command, err := routerCommandLine(cmd.Context(), c.router)
			if err != nil {
				return err
			}
			self, err := os.Executable()
			if err != nil {
				return err
			}
			t := tabwriter.NewWriter(os.Stdout, 8, 4, 2, ' ', tabwriter.AlignRight)
			fmt.Fprintln(t, "bytes\tconnections\tpath\ta second\tp50 us\tp99 us\tCPU us\tMB"+
				"\t| to the relay: rate\tp50\tp99\tCPU\t")
			var relay cost.Cell
			all, err := cost.Run(cmd.Context(), cost.Params{Connections: conns, Bytes: sizes,
				CellDuration: time.Duration(cellSeconds * float64(time.Second)),
				Router:       command, Relay: []string{self, "relay"}, OnCell: func(x cost.Cell) {
					if x.Path == "relay" {
						relay = x
					}
					fmt.Fprintf(t, "%d\t%d\t%s\t%.0f\t%.0f\t%.0f\t%.1f\t%.1f\t", x.Bytes, x.Connections, x.Path,
						x.PerSecond, x.P50Micros, x.P99Micros, x.CPUMicros, x.PeakMB)
					if x.Path == "router" && relay.PerSecond > 0 && relay.CPUMicros > 0 {
						fmt.Fprintf(t, "| %.2f\t%.2f\t%.2f\t%.2f\t", x.PerSecond/relay.PerSecond,
							x.P50Micros/relay.P50Micros, x.P99Micros/relay.P99Micros, x.CPUMicros/relay.CPUMicros)
					}
					if x.Failed > 0 {
						fmt.Fprintf(t, "%d of %d connections failed: %v", x.Failed, x.Connections, x.Failures)
					}
					fmt.Fprintln(t)
				}})
			t.Flush()
			if err != nil {
				return err
			}
			if c.out != "" {
				text, err := json.MarshalIndent(all, "", " ")
				if err != nil {
					return err
				}
				return os.WriteFile(c.out, append(text, '\n'), 0o644)
			}
			return nil
		}}
	cmd.Flags().StringVar(&c.router, "router", "", "command that starts the router")
	cmd.Flags().StringVar(&c.out, "out", "", "write the results as JSON to this file")
	cmd.Flags().IntSliceVar(&conns, "connections", []int{1, 16, 64, 256}, "numbers of connections")
	cmd.Flags().IntSliceVar(&sizes, "bytes", []int{100, 8 << 10, 1 << 20}, "value sizes in bytes")
	cmd.Flags().Float64Var(&cellSeconds, "for", 2, "seconds for each measurement")
	return cmd
}

// relayCommand runs the byte relay that costCommand starts as a process.
func relayCommand() *cobra.Command {
	return &cobra.Command{Use: "relay LISTEN TARGET", Short: "Run a plain byte relay on one core",
		Args: cobra.ExactArgs(2), Hidden: true,
		RunE: func(cmd *cobra.Command, args []string) error {
			runtime.GOMAXPROCS(1) // as the router does
			return cost.Relay(context.WithoutCancel(cmd.Context()), args[0], args[1])
		}}
}
