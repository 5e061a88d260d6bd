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

// played is one day as it was played: what --out writes and --against reads.
type played struct {
	Day  string          `json:"day"`
	Seed uint64          `json:"seed"`
	Size [2]int          `json:"routers_servers"`
	Sums simulation.Sums `json:"sums"`
}

func twin() *cobra.Command {
	var routers, servers, seeds, workers int
	var seed uint64
	var out, old, plot string
	var bySecond bool
	var shared float64
	cmd := &cobra.Command{Use: "simulate DAY [DAY...]", Aliases: []string{"twin"}, Short: "Play days of hundreds of routers in virtual time",
		Args: cobra.MinimumNArgs(1),
		Long: "Plays days of the standing test's kinds with the decision module of this build before modelled servers, in virtual\n" +
			"time: " + strings.Join(slices.Concat(simulation.Days, simulation.SlowStartDays, simulation.ReleaseDays), ", ") + ". --out keeps what was counted; --against compares with what another build kept, seed\n" +
			"by seed, and tells the mean difference with its 95% confidence interval. docs/simulation.md tells how far to trust it.",
		RunE: func(_ *cobra.Command, days []string) error {
			var jobs []played
			for _, day := range days {
				for i := range seeds {
					jobs = append(jobs, played{Day: day, Seed: seed + uint64(i), Size: [2]int{routers, servers}})
				}
			}
			if err := playAll(jobs, workers, shared); err != nil {
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
			var before []played
			if old != "" {
				text, err := os.ReadFile(old)
				if err == nil {
					err = json.Unmarshal(text, &before)
				}
				if err != nil {
					return fmt.Errorf("--against: %w", err)
				}
			}
			for _, day := range days {
				if err := table(os.Stdout, day, jobs, before); err != nil {
					return err
				}
			}
			if err := coldTable(os.Stdout, jobs); err != nil {
				return err
			}
			if bySecond {
				seconds(os.Stdout, jobs)
			}
			if plot != "" {
				return plotReleases(plot, jobs)
			}
			return nil
		}}
	f := cmd.Flags()
	f.IntVar(&routers, "routers", 300, "how many routers")
	f.IntVar(&servers, "servers", 150, "how many cache servers")
	f.IntVar(&seeds, "seeds", 1, "how many days of each kind, of seeds in a row")
	f.Uint64Var(&seed, "seed", 1, "the first seed")
	f.IntVar(&workers, "workers", max(1, runtime.NumCPU()/2), "how many days are played side by side")
	f.StringVar(&out, "out", "", "write what was counted to this file, JSON")
	f.StringVar(&old, "against", "", "compare with what --out of another build wrote")
	f.Float64Var(&shared, "shared-probes", 0, "one router probes a server for all, each so many ms, as [agreement] probes has it (700 there); 0 = each for itself")
	f.StringVar(&plot, "plot", "", "draw what was served and who was out by second into this SVG file, of release days")
	f.BoolVar(&bySecond, "by-second", false, "tell each second of each day")
	return cmd
}

// plotReleases draws what was served of releases' days, and who was out, into a file.
func plotReleases(path string, jobs []played) error {
	var lines []report.Line
	for _, p := range jobs {
		l := report.Line{Name: p.Day + ": served in time, %"}
		for _, s := range p.Sums.Seconds {
			l.V = append(l.V, 100*simulation.Quotient(s.InTime, s.Requests))
		}
		if n := len(l.V); n > 0 { // the last one is not a whole second
			l.V = l.V[:n-1]
		}
		lines = append(lines, l)
		if p.Day != "release" && p.Day != "release-zone" {
			continue
		}
		day, err := simulation.GenerateDay(p.Day, p.Size[0], p.Size[1], p.Seed)
		if err != nil {
			return err
		}
		pl, err := simulation.PlanRelease(p.Size[0], p.Size[1], day.Zones, p.Day == "release-zone", p.Seed)
		if err != nil {
			return err
		}
		routers, servers := report.Line{Name: p.Day + ": routers out, %", V: make([]float64, 3)}, report.Line{Name: p.Day + ": servers out, %", V: make([]float64, 3)}
		for _, o := range pl.OutBySecond {
			routers.V, servers.V = append(routers.V, 100*float64(o[0])/float64(p.Size[0])), append(servers.V, 100*float64(o[1])/float64(p.Size[1]))
		}
		lines = append(lines, routers, servers)
	}
	return report.Plot(path, "A release of all routers and cache servers", "per cent", lines)
}

// playAll plays the days side by side. What comes out does not depend on how many workers there are.
func playAll(jobs []played, workers int, shared float64) error {
	next := make(chan int)
	errs := make([]error, len(jobs))
	var all sync.WaitGroup
	for range max(1, min(workers, len(jobs))) {
		all.Go(func() {
			for i := range next {
				p, err := simulation.GenerateDay(jobs[i].Day, jobs[i].Size[0], jobs[i].Size[1], jobs[i].Seed)
				p.SharedProbeMillis = shared
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
	all.Wait()
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// table prints the figures of a day over its seeds, and beside them how they differ from those of the same days before.
func table(w io.Writer, day string, jobs, before []played) error {
	var names []string
	var now, diff [][]float64
	was := map[string][]float64{}
	id := func(p played) string { return fmt.Sprint(p.Day, p.Seed, p.Size) }
	for _, p := range before {
		_, was[id(p)] = p.Sums.Figures()
	}
	for _, p := range jobs {
		if p.Day != day {
			continue
		}
		var v []float64
		names, v = p.Sums.Figures()
		now = append(now, v)
		if old := was[id(p)]; len(old) == len(v) {
			d := make([]float64, len(v))
			for i := range v {
				d[i] = v[i] - old[i]
			}
			diff = append(diff, d)
		}
	}
	if before != nil && len(diff) != len(now) {
		return fmt.Errorf("--against: %d of %d days of %s were played there", len(diff), len(now), day)
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

// coldTable prints the fullest slow-start window of each day in which servers were started.
func coldTable(w io.Writer, jobs []played) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "day\trouters\tservers\tseed\tcold starts\tover\tbroken\tage, ms\tN\tsent\ttold\tbound\tsent by told routers\tits N\tits bound\t")
	for _, p := range jobs {
		cold := &p.Sums.Cold
		if cold.Starts == 0 {
			continue
		}
		most, told := cold.Fullest, cold.FullestByInformed
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%.0f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t\n", p.Day, p.Size[0], p.Size[1], p.Seed,
			cold.Starts, cold.OverBound, cold.OverBoundByInformed, most.AgeMillis, most.Allowed, most.Sent, most.SentByInformed, most.Bound(), told.Sent, told.Allowed, told.Bound())
	}
	fmt.Fprintln(t)
	return t.Flush()
}

// seconds prints each second of each day.
func seconds(w io.Writer, jobs []played) {
	for _, p := range jobs {
		t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
		fmt.Fprintf(w, "%s, seed %d\n", p.Day, p.Seed)
		fmt.Fprintln(t, "s\tasked\tin time\tasks\tturned away\tattempts\tmisses\tcancels\tfull\tfetches\tdials\t")
		for i, s := range p.Sums.Seconds {
			fmt.Fprintf(t, "%d\t%d\t%.2f\t%d\t%d\t%d\t%.2f\t%.2f\t%d\t%d\t%d\t\n", i, s.Requests, simulation.Quotient(s.InTime, s.Requests), s.Tries, s.Rejected,
				s.Attempts, simulation.Quotient(s.Misses, s.Attempts), simulation.Quotient(s.Cancels, s.Attempts), s.QueueFullAttempts, s.Fetches, s.Dials)
		}
		t.Flush()
		fmt.Fprintln(w, "refused:", p.Sums.RejectedByCause)
		fmt.Fprintln(w, "not in time, by how the first try ended:")
		stories := slices.SortedFunc(maps.Keys(p.Sums.NotInTimeByOutcome), func(a, b string) int {
			return cmp.Or(cmp.Compare(p.Sums.NotInTimeByOutcome[b], p.Sums.NotInTimeByOutcome[a]), cmp.Compare(a, b))
		})
		for _, s := range stories[:min(12, len(stories))] {
			fmt.Fprintf(w, "%7d %s\n", p.Sums.NotInTimeByOutcome[s], s)
		}
		t = tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
		fmt.Fprintln(t, "ranks below\tkeys\tasked\tin time\tturned away\tattempts\tat the main server\tservers a key\tmisses\tcancels\t")
		for _, b := range p.Sums.Bands {
			fmt.Fprintf(t, "%d\t%d\t%d\t%.2f\t%d\t%d\t%.2f\t%.1f\t%.2f\t%.2f\t\n", b.RankLimit, b.Keys, b.Requests, simulation.Quotient(b.InTime, b.Requests), b.Rejected,
				b.Attempts, simulation.Quotient(b.AtMainServer, b.Attempts), simulation.Quotient(b.ServersTried, b.Keys), simulation.Quotient(b.Misses, b.Attempts),
				simulation.Quotient(b.Cancels, b.Attempts))
		}
		t.Flush()
		fmt.Fprintln(w)
	}
}
