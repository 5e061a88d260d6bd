// Command dockhinge-lab is the laboratory: a fleet of stand-ins on loopback, real routers, a load, and faults.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"dockhinge.example/dockhinge/lab/fleet"
	"dockhinge.example/dockhinge/lab/load"
	"dockhinge.example/dockhinge/lab/report"
	"dockhinge.example/dockhinge/lab/scenario"
)

// errHeldNot tells that a scenario was played and something did not hold; what is printed already.
var errHeldNot = errors.New("something did not hold")

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	err := root().ExecuteContext(ctx)
	stop()
	switch {
	case errors.Is(err, errHeldNot):
		os.Exit(3)
	case err != nil:
		fmt.Fprintln(os.Stderr, "dockhinge-lab:", err)
		os.Exit(1)
	}
}

// common are the flags that several sub-commands have.
type common struct{ router, logs, out string }

func (c *common) add(cmd *cobra.Command) {
	cmd.Flags().StringVar(&c.router, "router", "", "the command of one router (default: bin/dockhinge serve, built where it is not there)")
	cmd.Flags().StringVar(&c.logs, "logs", "", "keep logs and configurations in this directory (default: a temporary one, removed)")
	cmd.Flags().StringVar(&c.out, "out", "", "write the report to this file, HTML, and the same as JSON beside it")
}

func root() *cobra.Command {
	r := &cobra.Command{Use: "dockhinge-lab", Short: "A fleet on loopback to try the router on", SilenceUsage: true, SilenceErrors: true,
		Long: "A fleet on loopback to try the router on: stand-ins for cache servers, the origin, discovery and the network,\n" +
			"real router processes, a load, and faults. docs/laboratory.md tells more.\n\n" +
			"Exit: 0 where all held, 3 where something did not, 1 where it could not be played."}
	r.AddCommand(up(), run(), all(), changes(), steps(), suspects())
	r.AddCommand(agree(), agreeCost(), observeCost(), hollowCommand(), capacityCommand(), holderCommand(), resourceCommand())
	r.AddCommand(list(), against(), compare(), sweep(), costCommand(), relayCommand(), tallyCommand(), twin(), dutyCommand(), soakCommand())
	return r
}

// routerCommand is what starts one router. Without a word of the user it is the router of this tree, built if need be.
func routerCommand(ctx context.Context, given string) ([]string, error) {
	if given != "" {
		return strings.Fields(given), nil
	}
	if _, err := os.Stat("go.mod"); err == nil { // always, as a build that is up to date costs nothing
		build := exec.CommandContext(ctx, "go", "build", "-o", "bin/", "./cmd/dockhinge", "./cmd/dockhinge-coord")
		build.Stdout, build.Stderr = os.Stderr, os.Stderr
		if err := build.Run(); err != nil {
			return nil, fmt.Errorf("building the router: %w", err)
		}
	}
	path, err := filepath.Abs("bin/dockhinge")
	if err == nil {
		_, err = os.Stat(path)
	}
	if err != nil {
		return nil, fmt.Errorf("no router: %w (say one with --router)", err)
	}
	return []string{path, "serve"}, nil
}

// coordCommand is what starts one coordinator, where it was built.
func coordCommand() []string {
	path, err := filepath.Abs("bin/dockhinge-coord")
	if err != nil {
		return nil
	}
	return []string{path}
}

// play plays a scenario with one router command.
func play(ctx context.Context, f scenario.File, c common, command []string, progress func(load.ProgressReport, *fleet.Fleet)) (fleet.Result, error) {
	dir := c.logs
	if dir == "" {
		tmp, err := fleet.LogDir(os.TempDir(), "dockhinge-lab")
		if err != nil {
			return fleet.Result{}, err
		}
		defer os.RemoveAll(tmp)
		dir = tmp
	} else {
		var err error
		if dir, err = fleet.LogDir(dir, f.Name); err != nil {
			return fleet.Result{}, err
		}
		fmt.Println("logs in", dir)
	}
	return fleet.Run(ctx, f, fleet.Options{RouterCommand: command, CoordinatorCommand: coordCommand(), Dir: dir, Progress: progress,
		Logf: func(form string, v ...any) { fmt.Printf(form+"\n", v...) }})
}

// line prints one second of a run.
func line(n load.ProgressReport, fl *fleet.Fleet) {
	up, all := fl.CountServers()
	gain := 0.0
	if n.Worth > 0 {
		gain = n.Gained / n.Worth
	}
	fmt.Printf("%6d s  asked %4d  served %4d  refused %3d  failed %3d  service %5.3f  p50 %4.0f ms  p99 %4.0f ms  open %3d  cache servers %d of %d\n",
		n.Second-1, n.Asked, n.Served, n.Refused, n.Failed, gain, n.P50MS, n.P99MS, n.Open, up, all)
}

func up() *cobra.Command {
	var c common
	var forS float64
	cmd := &cobra.Command{Use: "up", Short: "A served, breaking, healing fleet, until Ctrl-C", Args: cobra.NoArgs,
		Long: "Starts cache servers, an origin, discovery, one router for each zone and a steady load, and prints a line\n" +
			"each second. Every now and then a cache server dies and comes back cold, and one says that it leaves.\n" +
			"The routers' addresses are printed: talk to them meanwhile. Ctrl-C ends all.",
		RunE: func(cmd *cobra.Command, _ []string) error {
			f, err := scenario.Load("up")
			if err != nil {
				return err
			}
			if forS > 0 {
				f.DurationS = forS
			}
			for at := 12.0; at < f.DurationS; at += 30 { // for as long as it runs
				f.Faults = append(f.Faults, scenario.Fault{AtS: at, What: "crash", Count: 1, ForS: 8},
					scenario.Fault{AtS: at + 15, What: "deploy", Count: 1, Batch: 1, DrainS: 4, DownS: 1})
			}
			return playAndReport(cmd.Context(), f, c, true)
		}}
	c.add(cmd)
	cmd.Flags().Float64Var(&forS, "for", 0, "seconds (default: an hour)")
	return cmd
}

// playAndReport plays a scenario, prints what became of it and writes the report.
func playAndReport(ctx context.Context, f scenario.File, c common, addresses bool) error {
	command, err := routerCommand(ctx, c.router)
	if err != nil {
		return err
	}
	fmt.Printf("%s: %s\n%d routers, %.0f requests a second for %.0f s; Ctrl-C ends it\n", f.Name, f.About, f.Fleet.Routers, f.Load.Rate, f.DurationS)
	shown := !addresses
	began := time.Now()
	res, err := play(ctx, f, c, command, func(n load.ProgressReport, fl *fleet.Fleet) {
		if !shown {
			shown = true
			fmt.Println(strings.Join(fl.RouterAddresses(), "\n"))
		}
		if n.Second > 1 {
			line(n, fl)
		}
	})
	if err != nil {
		return err
	}
	report.Table(os.Stdout, res)
	if c.out != "" {
		if err := report.Write(c.out, []fleet.Result{res}); err != nil {
			return err
		}
		fmt.Println("report:", c.out)
	}
	fmt.Printf("%.0f s in all\n", time.Since(began).Seconds())
	if len(res.Failures) > 0 {
		return errHeldNot
	}
	return nil
}

func run() *cobra.Command {
	var c common
	var seed uint64
	var sets []string
	cmd := &cobra.Command{Use: "run SCENARIO", Short: "Play a scenario, judge it by the rules, report", Args: cobra.ExactArgs(1),
		Long:      "Plays a scenario: a file, or one that is shipped, by its name. dockhinge-lab list names those.",
		ValidArgs: scenario.Shipped(),
		RunE: func(cmd *cobra.Command, args []string) error {
			f, err := scenario.Load(args[0])
			if err != nil {
				return err
			}
			if f, err = with(f, sets); err != nil {
				return err
			}
			if cmd.Flags().Changed("seed") {
				f.Seed, f.Load.Seed = seed, seed
			}
			return playAndReport(cmd.Context(), f, c, false)
		}}
	c.add(cmd)
	cmd.Flags().Uint64Var(&seed, "seed", 0, "another seed than the scenario's")
	cmd.Flags().StringArrayVar(&sets, "set", nil, "KEY=VALUE of the scenario, as load.rate=300")
	return cmd
}

func list() *cobra.Command {
	return &cobra.Command{Use: "list", Short: "List the scenarios that are shipped", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			for _, name := range scenario.Shipped() {
				f, err := scenario.Load(name)
				if err != nil {
					return err
				}
				fmt.Fprintf(cmd.OutOrStdout(), "%-20s %3.0f s  %s\n", name, f.DurationS, f.About)
			}
			return nil
		}}
}

func against() *cobra.Command {
	var o loadFlags
	cmd := &cobra.Command{Use: "load ADDR [ADDR...]", Short: "Send a load to routers that run already", Args: cobra.MinimumNArgs(1),
		Long: "Sends the calm scenario's classes and keys to routers at the addresses and tells what became of it. Only\n" +
			"loopback addresses are taken.",
		RunE: func(cmd *cobra.Command, addrs []string) error { return loadAgainst(cmd.Context(), addrs, o) }}
	cmd.Flags().Float64Var(&o.rate, "rate", 100, "requests a second")
	cmd.Flags().Float64Var(&o.seconds, "for", 10, "seconds")
	cmd.Flags().StringVar(&o.shape, "shape", "poisson", "poisson, bursty or closed")
	cmd.Flags().IntVar(&o.workers, "workers", 8, "closed: clients with one request at a time each")
	return cmd
}
