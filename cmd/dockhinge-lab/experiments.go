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

// with changes keys of a scenario, given as KEY=VALUE.
func with(f scenario.File, sets []string) (scenario.File, error) {
	for _, s := range sets {
		key, value, ok := strings.Cut(s, "=")
		if !ok {
			return f, fmt.Errorf("--set %s: is not KEY=VALUE", s)
		}
		var err error
		if f, err = f.With(strings.TrimSpace(key), strings.TrimSpace(value)); err != nil {
			return f, err
		}
	}
	return f, nil
}

func compare() *cobra.Command {
	var c common
	var pairs int
	var sets, setsB []string
	cmd := &cobra.Command{Use: "compare A B SCENARIO", Short: "Hold two router commands against each other", Args: cobra.ExactArgs(3),
		Long: "Plays a scenario with router command A and with B in turns, each pair with a seed of its own, and tells the\n" +
			"differences with a 95% confidence interval over the pairs. Quote a command that has arguments:\n\n" +
			"    dockhinge-lab compare 'old/dockhinge serve' 'bin/dockhinge serve --operator new.toml' crash",
		RunE: func(cmd *cobra.Command, args []string) error {
			f, err := scenario.Load(args[2])
			if err == nil {
				f, err = with(f, sets)
			}
			if err != nil {
				return err
			}
			g, err := with(f, setsB)
			if err != nil {
				return err
			}
			var a, b []fleet.Result
			for i := range pairs {
				f.Seed += uint64(i) * 1000
				f.Load.Seed, g.Seed, g.Load.Seed = f.Seed, f.Seed, f.Seed
				order := []int{0, 1}
				if i%2 == 1 { // so that what grows with time meets both
					order = []int{1, 0}
				}
				for _, which := range order {
					file, command, into := f, args[0], &a
					if which == 1 {
						file, command, into = g, args[1], &b
					}
					fmt.Printf("pair %d of %d: %s\n", i+1, pairs, command)
					res, err := play(cmd.Context(), file, c, strings.Fields(command), nil)
					if err != nil {
						return err
					}
					if cmd.Context().Err() != nil {
						return cmd.Context().Err()
					}
					if !res.Load.Valid {
						return fmt.Errorf("the run does not count: %s", res.Load.Why)
					}
					*into = append(*into, res)
				}
			}
			report.CompareTable(os.Stdout, report.Compare(a, b))
			if c.out != "" {
				runs := []fleet.Result{a[0], b[0]} // the first pair beside one another
				return report.Write(c.out, append(append(runs, a[1:]...), b[1:]...), "A: "+args[0], "B: "+args[1])
			}
			return nil
		}}
	cmd.Flags().StringVar(&c.logs, "logs", "", "keep logs and configurations in this directory")
	cmd.Flags().StringVar(&c.out, "out", "", "write a report of all runs to this file, HTML")
	cmd.Flags().IntVar(&pairs, "pairs", 5, "pairs of runs")
	cmd.Flags().StringArrayVar(&sets, "set", nil, "KEY=VALUE of the scenario, for both")
	cmd.Flags().StringArrayVar(&setsB, "set-b", nil, "KEY=VALUE of the scenario, for B alone")
	return cmd
}

func sweep() *cobra.Command {
	var c common
	var key, values string
	cmd := &cobra.Command{Use: "sweep SCENARIO --key KEY --values V,V,...", Short: "One parameter of a scenario over values", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			f, err := scenario.Load(args[0])
			if err != nil {
				return err
			}
			command, err := routerCommand(cmd.Context(), c.router)
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
				res, err := play(cmd.Context(), g, c, command, nil)
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
	cmd.Flags().StringVar(&key, "key", "load.rate", "the parameter, as it stands in a scenario file")
	cmd.Flags().StringVar(&values, "values", "", "its values, with commas between")
	_ = cmd.MarkFlagRequired("values") // the flag is there
	return cmd
}

func costCommand() *cobra.Command {
	var c common
	var conns, sizes []int
	var each float64
	cmd := &cobra.Command{Use: "cost", Short: "What the router costs, beside direct calls and a bare byte relay", Args: cobra.NoArgs,
		Long: "Reads in a closed loop from a cache server that takes no time: directly, through a byte relay in Go that knows\n" +
			"nothing of what it carries, and through the router, one after the other for each number of connections and each\n" +
			"size. The ratios to the relay are what to go by: what the machine does meanwhile meets all three.",
		RunE: func(cmd *cobra.Command, _ []string) error {
			command, err := routerCommand(cmd.Context(), c.router)
			if err != nil {
				return err
			}
			self, err := os.Executable()
			if err != nil {
				return err
			}
			t := tabwriter.NewWriter(os.Stdout, 8, 4, 2, ' ', tabwriter.AlignRight)
			fmt.Fprintln(t, "bytes\tconnections\tpath\ta second\tp50 us\tp99 us\tCPU us\tMB\t| to the relay: rate\tp50\tp99\tCPU\t")
			var relay cost.Cell
			all, err := cost.Run(cmd.Context(), cost.Params{Connections: conns, Bytes: sizes, For: time.Duration(each * float64(time.Second)),
				Router: command, Relay: []string{self, "relay"}, Say: func(x cost.Cell) {
					if x.Path == "relay" {
						relay = x
					}
					fmt.Fprintf(t, "%d\t%d\t%s\t%.0f\t%.0f\t%.0f\t%.1f\t%.1f\t", x.Bytes, x.Connections, x.Path, x.PerS, x.P50us, x.P99us, x.CPUus, x.PeakMB)
					if x.Path == "router" && relay.PerS > 0 && relay.CPUus > 0 {
						fmt.Fprintf(t, "| %.2f\t%.2f\t%.2f\t%.2f\t", x.PerS/relay.PerS, x.P50us/relay.P50us, x.P99us/relay.P99us, x.CPUus/relay.CPUus)
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
	cmd.Flags().StringVar(&c.router, "router", "", "the command of the router")
	cmd.Flags().StringVar(&c.out, "out", "", "write the figures to this file, JSON")
	cmd.Flags().IntSliceVar(&conns, "connections", []int{1, 16, 64, 256}, "numbers of connections")
	cmd.Flags().IntSliceVar(&sizes, "bytes", []int{100, 8 << 10, 1 << 20}, "sizes of a value")
	cmd.Flags().Float64Var(&each, "for", 2, "seconds for each measurement")
	return cmd
}

// relayCommand is the bare byte relay that cost starts.
func relayCommand() *cobra.Command {
	return &cobra.Command{Use: "relay LISTEN TARGET", Short: "A bare byte relay on one core", Args: cobra.ExactArgs(2), Hidden: true,
		RunE: func(cmd *cobra.Command, args []string) error {
			runtime.GOMAXPROCS(1) // as the router
			return cost.Relay(context.WithoutCancel(cmd.Context()), args[0], args[1])
		}}
}
