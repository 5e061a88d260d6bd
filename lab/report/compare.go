package report

import (
	"fmt"
	"io"
	"math"
	"text/tabwriter"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"

	"dockhinge.example/dockhinge/lab/fleet"
)

// metric is a figure that can be computed for each run.
type metric struct {
	name  string
	value func(r fleet.Result) float64
}

var metrics = []metric{
	{"service", func(r fleet.Result) float64 { return r.Service }},
	{"service, last fifth", func(r fleet.Result) float64 { return r.TailService }},
	{"attempts a request", func(r fleet.Result) float64 { return r.AttemptsPerRequest }},
	{"refused, share", func(r fleet.Result) float64 { return unservedShare(r, true) }},
	{"failed, share", func(r fleet.Result) float64 { return unservedShare(r, false) }},
	{"p99 of the first class, ms", func(r fleet.Result) float64 { return r.Load.Classes[largestClass(r)].P99MS }},
	{"CPU of all routers, ms a request", func(r fleet.Result) float64 {
		sum, asked := 0.0, 0
		for _, u := range peakUsage(r) {
			sum += u.CPUMS
		}
		for _, c := range r.Load.Classes {
			asked += c.Asked
		}
		return sum / math.Max(1, float64(asked))
	}},
	{"peak memory of a router, MB", func(r fleet.Result) float64 {
		most := 0.0
		for _, u := range peakUsage(r) {
			most = max(most, u.RSSMB)
		}
		return most
	}},
	{"service of the tenants but the first", func(r fleet.Result) float64 {
		var worth, gained float64
		for name, s := range r.Load.Tenants {
			if name != "tenant-0" {
				worth, gained = worth+s.Worth, gained+s.Gained
			}
		}
		return gained / math.Max(worth, 1)
	}},
	{"Jain's index over tenants", func(r fleet.Result) float64 { return r.Load.JainIndex() }},
	{"requests served in their aim, a second", func(r fleet.Result) float64 {
		n := 0
		for _, s := range r.Load.Seconds {
			n += s.InAim
		}
		return float64(n) / math.Max(1, float64(len(r.Load.Seconds)))
	}},
	{"broken rules", func(r fleet.Result) float64 { return float64(len(r.Breaches)) }},
}

// unservedShare returns the share of requests that were refused, or else of those that failed.
func unservedShare(r fleet.Result, refused bool) float64 {
	n, of := 0, 0
	for _, c := range r.Load.Classes {
		if of += c.Asked; refused {
			n += c.Refused
		} else {
			n += c.Failed
		}
	}
	return float64(n) / math.Max(1, float64(of))
}

// largestClass returns the name of the class with the most requests.
func largestClass(r fleet.Result) (name string) {
	for _, n := range sortedKeys(r.Load.Classes) {
		if name == "" || r.Load.Classes[n].Asked > r.Load.Classes[name].Asked {
			name = n
		}
	}
	return name
}

// Difference compares one figure between the runs of A and those of B.
type Difference struct {
	Name       string  `json:"name"`
	A, B       float64 // means
	Mean       float64 // of B - A, pair by pair
	Low, High  float64 // 95% confidence interval of Mean, by Student's t over the pairs
	Pairs      int
	Conclusive bool // the interval does not contain 0
}

// Compare compares the runs of B with those of A, pair by pair; both runs of a pair have the same
// seed. With fewer than two pairs the confidence interval is infinite.
func Compare(a, b []fleet.Result) (all []Difference) {
	n := min(len(a), len(b))
	if n == 0 {
		return nil
	}
	for _, m := range metrics {
		var as, bs, ds []float64
		for i := range n {
			x, y := m.value(a[i]), m.value(b[i])
			as, bs, ds = append(as, x), append(bs, y), append(ds, y-x)
		}
		d := Difference{Name: m.name, A: stat.Mean(as, nil), B: stat.Mean(bs, nil), Mean: stat.Mean(ds, nil),
			Pairs: n, Low: math.Inf(-1), High: math.Inf(1)}
		if n > 1 {
			half := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: float64(n - 1)}.Quantile(0.975) *
				stat.StdDev(ds, nil) / math.Sqrt(float64(n))
			d.Low, d.High = d.Mean-half, d.Mean+half
			d.Conclusive = d.Low > 0 || d.High < 0
		}
		all = append(all, d)
	}
	return all
}

// CompareTable writes the differences as a text table.
func CompareTable(w io.Writer, all []Difference) {
	t := tabwriter.NewWriter(w, 2, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "\t A\t B\t B - A\t 95% from\t to\t \t")
	for _, d := range all {
		word := "can't be told apart"
		if d.Conclusive {
			word = "differs"
		}
		fmt.Fprintf(t, "%s\t%.3f\t%.3f\t%+.3f\t%+.3f\t%+.3f\t%s\t\n", d.Name, d.A, d.B, d.Mean, d.Low, d.High, word)
	}
	t.Flush()
}

// SweepTable writes a text table with all figures for each value of a parameter; runs[i] belongs to
// values[i].
func SweepTable(w io.Writer, key string, values []string, runs []fleet.Result) {
	t := tabwriter.NewWriter(w, 2, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(t, "%s\t", key)
	for _, m := range metrics {
		fmt.Fprintf(t, "%s\t", m.name)
	}
	fmt.Fprintln(t)
	for i, r := range runs {
		fmt.Fprintf(t, "%s\t", values[i])
		for _, m := range metrics {
			fmt.Fprintf(t, "%.3f\t", m.value(r))
		}
		fmt.Fprintln(t)
	}
	t.Flush()
}
