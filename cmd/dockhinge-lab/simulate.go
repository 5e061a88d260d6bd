package main

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"runtime"
	"slices"
	"strings"
	"sync"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"dockhinge.example/dockhinge/lab/report"
	"dockhinge.example/dockhinge/lab/simulation"
)

// playedDay is one simulated day and its results, as --out writes and --against reads them.
type playedDay struct {
	Day  string          `json:"day"`
	Seed uint64          `json:"seed"`
	Size [2]int          `json:"routers_servers"`
	Sums simulation.Sums `json:"sums"`
}

func simulateCommand() *cobra.Command {
	var routers, servers, seeds, workers int
	var seed uint64
	var out, against, plot string
	var bySecond bool
	var probeMillis float64
	cmd := &cobra.Command{Use: "simulate DAY [DAY...]", Aliases: []string{"twin"}, Args: cobra.MinimumNArgs(1),
		Short: "Simulate days of hundreds of routers in virtual time",
		Long: "Simulates days of the regression test's kinds in virtual time, with the decision module of\n" +
			"this build and modeled servers: " +
			strings.Join(slices.Concat(simulation.Days, simulation.SlowStartDays, simulation.ReleaseDays), ", ") +
			".\n--out writes the results; --against compares them seed by seed with another build, and prints the\n" +
			"mean difference with its 95% confidence interval. docs/simulation.md describes how far to\n" +
			"trust the results.",
		RunE: func(_ *cobra.Command, days []string) error {
			var jobs []playedDay
			for _, day := range days {
				for i := range seeds {
					jobs = append(jobs, playedDay{Day: day, Seed: seed + uint64(i), Size: [2]int{routers, servers}})
				}
			}
			if err := playDays(jobs, workers, probeMillis); err != nil {
				return err
			}
			if out != "" {
				text, err := json.Marshal(jobs)
				if err == nil {
					err = os.WriteFile(out, text, 0o644)
				}
				if err != nil {
					return err
				}
			}
			var before []playedDay
			if against != "" {
				text, err := os.ReadFile(against)
				if err == nil {
					err = json.Unmarshal(text, &before)
				}
				if err != nil {
					return fmt.Errorf("--against: %w", err)
				}
			}
			for _, day := range days {
				if err := printDayTable(os.Stdout, day, jobs, before); err != nil {
					return err
				}
			}
			if err := printSlowStartTable(os.Stdout, jobs); err != nil {
				return err
			}
			if bySecond {
				printSeconds(os.Stdout, jobs)
			}
			if plot != "" {
				return plotReleases(plot, jobs)
			}
			return nil
		}}
	f := cmd.Flags()
	f.IntVar(&routers, "routers", 300, "number of routers")
	f.IntVar(&servers, "servers", 150, "number of cache servers")
	f.IntVar(&seeds, "seeds", 1, "days of each kind, with consecutive seeds")
	f.Uint64Var(&seed, "seed", 1, "the first seed")
	f.IntVar(&workers, "workers", max(1, runtime.NumCPU()/2), "days simulated at a time")
	f.StringVar(&out, "out", "", "write the results as JSON to this file")
	f.StringVar(&against, "against", "", "compare with the file that --out of another build wrote")
	f.Float64Var(&probeMillis, "shared-probes", 0,
		"one router probes each server for all, at this interval in ms (700 in [agreement] probes); 0 = each alone")
	f.StringVar(&plot, "plot", "",
		"plot the served share, and for release days what was out, by second to this SVG file")
	f.BoolVar(&bySecond, "by-second", false, "print each second of each day")
	return cmd
}

// plotReleases plots the share of requests served in time by second, and for release days the share
// of routers and servers that were out, as an SVG file.
func plotReleases(path string, jobs []playedDay) error {
	var lines []report.Line
	for _, p := range jobs {
		l := report.Line{Name: p.Day + ": served in time, %"}
		for _, s := range p.Sums.Seconds {
			l.Values = append(l.Values, 100*simulation.Quotient(s.InTime, s.Requests))
		}
		if n := len(l.Values); n > 0 { // the last second is incomplete
			l.Values = l.Values[:n-1]
		}
		lines = append(lines, l)
		if p.Day != "release" && p.Day != "release-zone" {
			continue
		}
		day, err := simulation.GenerateDay(p.Day, p.Size[0], p.Size[1], p.Seed)
		if err != nil {
			return err
		}
		plan, err := simulation.PlanRelease(p.Size[0], p.Size[1], day.Zones, p.Day == "release-zone", p.Seed)
		if err != nil {
			return err
		}
		routers, servers := report.Line{Name: p.Day + ": routers out, %", Values: make([]float64, 3)},
			report.Line{Name: p.Day + ": servers out, %", Values: make([]float64, 3)}
		for _, out := range plan.OutBySecond {
			routers.Values, servers.Values = append(routers.Values, 100*float64(out[0])/float64(p.Size[0])),
				append(servers.Values, 100*float64(out[1])/float64(p.Size[1]))
		}
		lines = append(lines, routers, servers)
	}
	return report.Plot(path, "A release of all routers and cache servers", "per cent", lines)
}

// playDays simulates the days concurrently and stores the results in jobs. The results do not
// depend on the number of workers.
func playDays(jobs []playedDay, workers int, probeMillis float64) error {
	next := make(chan int)
	errs := make([]error, len(jobs))
	var workersDone sync.WaitGroup
	for range max(1, min(workers, len(jobs))) {
		workersDone.Go(func() {
			for i := range next {
				p, err := simulation.GenerateDay(jobs[i].Day, jobs[i].Size[0], jobs[i].Size[1], jobs[i].Seed)
				p.SharedProbeMillis = probeMillis
				if err == nil {
					jobs[i].Sums, err = simulation.Play(p)
				}
				errs[i] = err
			}
		})
	}
	for i := range jobs {
		next <- i
	}
	close(next)
	workersDone.Wait()
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// printDayTable prints the mean figures of a kind of day over its seeds and, if before is not nil,
// how they differ from those of the same days in before.
func printDayTable(w io.Writer, day string, jobs, before []playedDay) error {
	var names []string
	var now, diff [][]float64
	previous := map[string][]float64{}
	id := func(p playedDay) string { return fmt.Sprint(p.Day, p.Seed, p.Size) }
	for _, p := range before {
		_, previous[id(p)] = p.Sums.Figures()
	}
	for _, p := range jobs {
		if p.Day != day {
			continue
		}
		var v []float64
		names, v = p.Sums.Figures()
		now = append(now, v)
		if old := previous[id(p)]; len(old) == len(v) {
			d := make([]float64, len(v))
			for i := range v {
				d[i] = v[i] - old[i]
			}
			diff = append(diff, d)
		}
	}
	if before != nil && len(diff) != len(now) {
		return fmt.Errorf("--against: the file has %d of the %d days of %s", len(diff), len(now), day)
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "%s, %d seeds\tmean\t95%%", day, len(now))
	if before != nil {
		fmt.Fprint(t, "\tchange\t95%\t")
	}
	fmt.Fprintln(t)
	for i, name := range names {
		mean, half := simulation.MeanWithInterval(column(now, i))
		fmt.Fprintf(t, "%s\t%.4f\t±%.4f", name, mean, half)
		if before != nil {
			mean, half := simulation.MeanWithInterval(column(diff, i))
			mark := ""
			if mean > half || mean < -half {
				mark = "*"
			}
			fmt.Fprintf(t, "\t%+.4f\t±%.4f\t%s", mean, half, mark)
		}
		fmt.Fprintln(t)
	}
	fmt.Fprintln(t)
	return t.Flush()
}

func column(rows [][]float64, i int) (all []float64) {
	for _, r := range rows {
		all = append(all, r[i])
	}
	return all
}

// printSlowStartTable prints, for each day in which servers were started, the slow-start window in
// which the most was sent to a server.
func printSlowStartTable(w io.Writer, jobs []playedDay) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "day\trouters\tservers\tseed\tcold starts\tover\tbroken\tage, ms\tN\tsent\ttold\tbound"+
		"\tsent by told routers\tits N\tits bound\t")
	for _, p := range jobs {
		cold := &p.Sums.Cold
		if cold.Starts == 0 {
			continue
		}
		fullest, informed := cold.Fullest, cold.FullestByInformed
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%.0f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t\n",
			p.Day, p.Size[0], p.Size[1], p.Seed, cold.Starts, cold.OverBound, cold.OverBoundByInformed,
			fullest.AgeMillis, fullest.Allowed, fullest.Sent, fullest.SentByInformed, fullest.Bound(),
			informed.Sent, informed.Allowed, informed.Bound())
	}
	fmt.Fprintln(t)
	return t.Flush()
}

// printSeconds prints each second of each day.
func printSeconds(w io.Writer, jobs []playedDay) {
	for _, p := range jobs {
		t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
		fmt.Fprintf(w, "%s, seed %d\n", p.Day, p.Seed)
		fmt.Fprintln(t, "s\tasked\tin time\tasks\tturned away\tattempts\tmisses\tcancels\tfull\tfetches\tdials\t")
		for i, s := range p.Sums.Seconds {
			fmt.Fprintf(t, "%d\t%d\t%.2f\t%d\t%d\t%d\t%.2f\t%.2f\t%d\t%d\t%d\t\n",
				i, s.Requests, simulation.Quotient(s.InTime, s.Requests), s.Tries, s.Rejected, s.Attempts,
				simulation.Quotient(s.Misses, s.Attempts), simulation.Quotient(s.Cancels, s.Attempts),
				s.QueueFullAttempts, s.Fetches, s.Dials)
		}
		t.Flush()
		fmt.Fprintln(w, "refused:", p.Sums.RejectedByCause)
		fmt.Fprintln(w, "not in time, by how the first try ended:")
		causes := slices.SortedFunc(maps.Keys(p.Sums.NotInTimeByOutcome), func(a, b string) int {
			return cmp.Or(cmp.Compare(p.Sums.NotInTimeByOutcome[b], p.Sums.NotInTimeByOutcome[a]), cmp.Compare(a, b))
		})
		for _, cause := range causes[:min(12, len(causes))] {
			fmt.Fprintf(w, "%7d %s\n", p.Sums.NotInTimeByOutcome[cause], cause)
		}
		t = tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
		fmt.Fprintln(t, "ranks below\tkeys\tasked\tin time\tturned away\tattempts\tat the main server\tservers a key"+
			"\tmisses\tcancels\t")
		for _, b := range p.Sums.Bands {
			fmt.Fprintf(t, "%d\t%d\t%d\t%.2f\t%d\t%d\t%.2f\t%.1f\t%.2f\t%.2f\t\n",
				b.RankLimit, b.Keys, b.Requests, simulation.Quotient(b.InTime, b.Requests), b.Rejected, b.Attempts,
				simulation.Quotient(b.AtMainServer, b.Attempts), simulation.Quotient(b.ServersTried, b.Keys),
				simulation.Quotient(b.Misses, b.Attempts), simulation.Quotient(b.Cancels, b.Attempts))
		}
		t.Flush()
		fmt.Fprintln(w)
	}
}
