// Command dockhinge-lab runs experiments on a fleet on loopback: simulated cache servers, origin
// and discovery, real router processes, generated load and injected faults.
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

// errExpectationFailed means that a run was played and a rule or expectation failed, which is
// already printed.
var errExpectationFailed = errors.New("a rule or expectation failed")

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	err := rootCommand().ExecuteContext(ctx)
	stop()
	switch {
	case errors.Is(err, errExpectationFailed):
		os.Exit(3)
	case err != nil:
		fmt.Fprintln(os.Stderr, "dockhinge-lab:", err)
		os.Exit(1)
	}
}

// commonFlags are the flags that several sub-commands share.
type commonFlags struct{ router, logs, out string }

func (c *commonFlags) add(cmd *cobra.Command) {
	cmd.Flags().StringVar(&c.router, "router", "",
		"command that starts one router (default: bin/dockhinge serve, built first if run in the repository)")
	cmd.Flags().StringVar(&c.logs, "logs", "",
		"keep logs and configurations in this directory (default: a temporary one, removed at the end)")
	cmd.Flags().StringVar(&c.out, "out", "", "write the report as HTML to this file, and as JSON beside it")
}

func rootCommand() *cobra.Command {
	r := &cobra.Command{Use: "dockhinge-lab", Short: "A fleet on loopback to try the router on",
		SilenceUsage: true, SilenceErrors: true,
		Long: "A fleet on loopback to try the router on: simulated cache servers, origin, discovery and network,\n" +
			"real router processes, generated load and injected faults. See docs/laboratory.md.\n\n" +
			"Exit status: 0 if all expectations were met, 3 if one was not, 1 if the run could not be played."}
	r.AddCommand(upCommand(), runCommand(), allCommand(), plannedChangesCommand(), crashPointsCommand(),
		outlierSharingCommand())
	r.AddCommand(leaseFaultsCommand(), leaseCostCommand(), observerCostCommand(), hollowCommand(),
		capacityCommand(), holderCommand(), resourceCommand())
	r.AddCommand(listCommand(), loadCommand(), compareCommand(), sweepCommand(), costCommand(), relayCommand(),
		traceSummaryCommand(), simulateCommand(), regressionCommand(), soakCommand(),
		largeFleetCommand())
	return r
}

// routerCommandLine returns the command that starts one router: the given one, or if that is empty
// the router of this repository, which is built first.
func routerCommandLine(ctx context.Context, given string) ([]string, error) {
	if given != "" {
		return strings.Fields(given), nil
	}
	if _, err := os.Stat("go.mod"); err == nil { // unconditionally: an up-to-date build costs nothing
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
		return nil, fmt.Errorf("router not found: %w (pass its command with --router)", err)
	}
	return []string{path, "serve"}, nil
}

// coordinatorCommandLine returns the command that starts one coordinator; routerCommandLine has
// built it.
func coordinatorCommandLine() []string {
	path, err := filepath.Abs("bin/dockhinge-coord")
	if err != nil {
		return nil
	}
	return []string{path}
}

// playScenario plays a scenario with the given router command.
func playScenario(
	ctx context.Context, f scenario.File, c commonFlags, command []string,
	progress func(load.ProgressReport, *fleet.Fleet),
) (fleet.Result, error) {
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
	return fleet.Run(ctx, f, fleet.Options{
		RouterCommand: command, CoordinatorCommand: coordinatorCommandLine(), Dir: dir, Progress: progress,
		Logf: func(form string, v ...any) { fmt.Printf(form+"\n", v...) }})
}

// printSecond prints the figures of one second of a run.
func printSecond(n load.ProgressReport, fl *fleet.Fleet) {
	up, all := fl.CountServers()
	gain := 0.0
	if n.Worth > 0 {
		gain = n.Gained / n.Worth
	}
	fmt.Printf("%6d s  asked %4d  served %4d  refused %3d  failed %3d  service %5.3f  p50 %4.0f ms  p99 %4.0f ms"+
		"  open %3d  cache servers %d of %d\n",
		n.Second-1, n.Asked, n.Served, n.Refused, n.Failed, gain, n.P50MS, n.P99MS, n.Open, up, all)
}

func upCommand() *cobra.Command {
	var c commonFlags
	var runSeconds float64
	cmd := &cobra.Command{Use: "up", Short: "Run a fleet with recurring faults until Ctrl-C", Args: cobra.NoArgs,
		Long: "Starts cache servers, an origin, discovery, one router per zone and a steady load, and prints a line\n" +
			"each second. Every 30 seconds one cache server crashes and restarts with an empty cache, and another\n" +
			"is drained and redeployed. The routers' addresses are printed, so that clients can connect to them.\n" +
			"Ctrl-C stops everything.",
		RunE: func(cmd *cobra.Command, _ []string) error {
			f, err := scenario.Load("up")
			if err != nil {
				return err
			}
			if runSeconds > 0 {
				f.DurationS = runSeconds
			}
			for at := 12.0; at < f.DurationS; at += 30 {
				f.Faults = append(f.Faults, scenario.Fault{AtS: at, What: "crash", Count: 1, ForS: 8},
					scenario.Fault{AtS: at + 15, What: "deploy", Count: 1, Batch: 1, DrainS: 4, DownS: 1})
			}
			return playAndReport(cmd.Context(), f, c, true)
		}}
	c.add(cmd)
	cmd.Flags().Float64Var(&runSeconds, "for", 0, "seconds (default: an hour)")
	return cmd
}

// playAndReport plays a scenario, prints its result and writes the report if --out names a file.
// With printAddresses it first prints the routers' addresses.
func playAndReport(ctx context.Context, f scenario.File, c commonFlags, printAddresses bool) error {
	command, err := routerCommandLine(ctx, c.router)
	if err != nil {
		return err
	}
	fmt.Printf("%s: %s\n%d routers, %.0f requests a second for %.0f s; Ctrl-C ends it\n",
		f.Name, f.About, f.Fleet.Routers, f.Load.Rate, f.DurationS)
	skipAddresses := !printAddresses
	began := time.Now()
	res, err := playScenario(ctx, f, c, command, func(n load.ProgressReport, fl *fleet.Fleet) {
		if !skipAddresses {
			skipAddresses = true
			fmt.Println(strings.Join(fl.RouterAddresses(), "\n"))
		}
		if n.Second > 1 {
			printSecond(n, fl)
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
		return errExpectationFailed
	}
	return nil
}

func runCommand() *cobra.Command {
	var c commonFlags
	var seed uint64
	var sets []string
	cmd := &cobra.Command{Use: "run SCENARIO", Args: cobra.ExactArgs(1),
		Short:     "Play a scenario, check it against the rules and report",
		Long:      "Plays a scenario, given as a file or by the name of a shipped one (see dockhinge-lab list).",
		ValidArgs: scenario.Shipped(),
		RunE: func(cmd *cobra.Command, args []string) error {
			f, err := scenario.Load(args[0])
			if err != nil {
				return err
			}
			if f, err = applySettings(f, sets); err != nil {
				return err
			}
			if cmd.Flags().Changed("seed") {
				f.Seed, f.Load.Seed = seed, seed
			}
			return playAndReport(cmd.Context(), f, c, false)
		}}
	c.add(cmd)
	cmd.Flags().Uint64Var(&seed, "seed", 0, "seed to use instead of the scenario's")
	cmd.Flags().StringArrayVar(&sets, "set", nil, "KEY=VALUE to change in the scenario, such as load.rate=300")
	return cmd
}

func listCommand() *cobra.Command {
	return &cobra.Command{Use: "list", Short: "List the shipped scenarios", Args: cobra.NoArgs,
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

func loadCommand() *cobra.Command {
	var o loadFlags
	cmd := &cobra.Command{Use: "load ADDR [ADDR...]", Args: cobra.MinimumNArgs(1),
		Short: "Send load to routers that already run",
		Long: "Sends requests with the calm scenario's classes and keys to the routers at the given addresses and\n" +
			"prints the results. Only loopback addresses are accepted.",
		RunE: func(cmd *cobra.Command, addrs []string) error { return sendLoad(cmd.Context(), addrs, o) }}
	cmd.Flags().Float64Var(&o.rate, "rate", 100, "requests a second")
	cmd.Flags().Float64Var(&o.seconds, "for", 10, "seconds")
	cmd.Flags().StringVar(&o.shape, "shape", "poisson", "poisson, bursty or closed")
	cmd.Flags().IntVar(&o.workers, "workers", 8, "with shape closed: clients, each with one request at a time")
	return cmd
}
