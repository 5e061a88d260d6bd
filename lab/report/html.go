package report

import (
	"bytes"
	"encoding/json"
	"fmt"
	"html/template"
	"image/color"
	"os"
	"slices"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"dockhinge.example/dockhinge/lab/fleet"
)

// seriesColors is the palette by Okabe and Ito, which readers with red-green color blindness can
// distinguish.
var seriesColors = []color.Color{
	color.RGBA{0, 158, 115, 255}, color.RGBA{230, 159, 0, 255}, color.RGBA{0, 114, 178, 255},
	color.RGBA{213, 94, 0, 255},
	color.RGBA{204, 121, 167, 255}, color.RGBA{86, 180, 233, 255}, color.RGBA{120, 120, 120, 255},
	color.RGBA{0, 0, 0, 255},
}

type series struct {
	name    string
	seconds []float64
	values  []float64
}

const (
	width, height  = 24 * vg.Centimeter, 7 * vg.Centimeter
	maxNamedSeries = 10 // a plot with more series draws them thin and gray, without a legend
)

// drawChart draws series over time as SVG, with a numbered dashed line at each mark.
func drawChart(title, unit string, marks []fleet.Mark, lines []series) (template.HTML, error) {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, "seconds", unit
	p.Title.TextStyle.Font.Size, p.Legend.TextStyle.Font.Size = vg.Points(12), vg.Points(9)
	p.Y.Min, p.X.Min = 0, 0
	p.Legend.Top, p.Legend.Left = true, true
	p.Legend.XOffs = vg.Points(6)
	p.Add(plotter.NewGrid())
	most := 0.0
	for i, s := range lines {
		if len(s.seconds) == 0 {
			continue
		}
		xy := make(plotter.XYs, len(s.seconds))
		for k := range s.seconds {
			xy[k] = plotter.XY{X: s.seconds[k], Y: s.values[k]}
			most = max(most, s.values[k])
		}
		l, err := plotter.NewLine(xy)
		if err != nil {
			return "", fmt.Errorf("plot %s: %w", title, err)
		}
		l.Width, l.Color = vg.Points(1.6), seriesColors[i%len(seriesColors)]
		if len(lines) > maxNamedSeries {
			l.Width, l.Color = vg.Points(0.6), color.NRGBA{70, 70, 70, 150}
		} else {
			p.Legend.Add(s.name, l)
		}
		p.Add(l)
	}
	p.Y.Max = max(most*1.4, 1e-9) // room for the legend
	numbers := plotter.XYLabels{}
	for i, m := range marks {
		numbers.XYs = append(numbers.XYs, plotter.XY{X: m.AtS, Y: p.Y.Max * 0.97})
		numbers.Labels = append(numbers.Labels, fmt.Sprintf(" %d", i+1))
		l, err := plotter.NewLine(plotter.XYs{{X: m.AtS, Y: 0}, {X: m.AtS, Y: p.Y.Max}})
		if err != nil {
			return "", fmt.Errorf("plot %s: %w", title, err)
		}
		l.Color, l.Width, l.Dashes = color.NRGBA{190, 0, 0, 200}, vg.Points(0.9), []vg.Length{vg.Points(3), vg.Points(3)}
		p.Add(l)
	}
	if len(marks) > 0 {
		l, err := plotter.NewLabels(numbers)
		if err != nil {
			return "", fmt.Errorf("plot %s: %w", title, err)
		}
		for i := range l.TextStyle {
			l.TextStyle[i].Color, l.TextStyle[i].Font.Size = color.NRGBA{190, 0, 0, 255}, vg.Points(9)
		}
		p.Add(l)
	}
	p.X.Tick.Marker = plot.TickerFunc(roundTicks)
	c := vgsvg.New(width, height)
	p.Draw(draw.New(c))
	var b bytes.Buffer
	if _, err := c.WriteTo(&b); err != nil {
		return "", fmt.Errorf("plot %s: %w", title, err)
	}
	_, svg, _ := strings.Cut(b.String(), "<svg") // drop the XML declarations, which only a separate file needs
	return template.HTML("<svg" + svg), nil      // safe: the library draws it and escapes its texts
}

// Line is a series of a plot with one value per second.
type Line struct {
	Name   string
	Values []float64
}

// Plot writes a plot of the lines over time as an SVG file.
func Plot(path, title, unit string, lines []Line) error {
	var all []series
	for _, l := range lines {
		s := series{name: l.Name, values: l.Values}
		for i := range l.Values {
			s.seconds = append(s.seconds, float64(i))
		}
		all = append(all, s)
	}
	svg, err := drawChart(title, unit, nil, all)
	if err != nil {
		return err
	}
	if err := os.WriteFile(path, []byte(svg), 0o644); err != nil {
		return fmt.Errorf("plot: %w", err)
	}
	return nil
}

// roundTicks returns ticks at round numbers of seconds, at most about a dozen.
func roundTicks(low, high float64) (all []plot.Tick) {
	step := 1.0
	for _, s := range []float64{2, 5, 10, 30, 60, 300, 600} {
		if (high-low)/step > 12 {
			step = s
		}
	}
	for x := 0.0; x <= high; x += step {
		all = append(all, plot.Tick{Value: x, Label: fmt.Sprintf("%.0f", x)})
	}
	return all
}

// secondSeries returns a series with one value for each second of the load.
func secondSeries(r fleet.Result, name string, of func(i int) float64) series {
	s := series{name: name}
	for i := range r.Load.Seconds {
		s.seconds, s.values = append(s.seconds, float64(i)+0.5), append(s.values, of(i))
	}
	return s
}

// usageSeries returns a series for each router, computed from consecutive samples.
func usageSeries(r fleet.Result, of func(before, now fleet.Usage, dt float64) float64) (all []series) {
	byName := map[string]*series{}
	var names []string
	var last fleet.Sample
	for i, s := range r.Samples {
		for name, u := range s.Routers {
			if byName[name] == nil {
				byName[name] = &series{name: name}
				names = append(names, name)
			}
			if i > 0 {
				byName[name].seconds = append(byName[name].seconds, s.AtS)
				byName[name].values = append(byName[name].values, of(last.Routers[name], u, s.AtS-last.AtS))
			}
		}
		last = s
	}
	slices.Sort(names)
	for _, n := range names {
		all = append(all, *byName[n])
	}
	return all
}

// heldTitle returns the title of the plot of requests held by n servers.
func heldTitle(n int) string {
	if n > maxNamedSeries {
		return "Requests held by each server (too many to name: one grey line each)"
	}
	return "Requests held by each server"
}

// budgetSeries returns, for each budget, a step series of how many are out and one of how many are
// allowed.
func budgetSeries(r fleet.Result) (all []series) {
	byName := map[string]*series{}
	var names []string
	for _, x := range r.BudgetUse {
		for _, s := range []struct {
			name string
			v    int
		}{{x.Budget + " out", x.Out}, {x.Budget + ", at most", x.Allowed}} {
			if byName[s.name] == nil {
				byName[s.name] = &series{name: s.name}
				names = append(names, s.name)
			}
			b := byName[s.name]
			if n := len(b.values); n > 0 { // a step
				b.seconds, b.values = append(b.seconds, x.AtS), append(b.values, b.values[n-1])
			}
			b.seconds, b.values = append(b.seconds, x.AtS), append(b.values, float64(s.v))
		}
	}
	slices.Sort(names)
	for _, n := range names {
		all = append(all, *byName[n])
	}
	return all
}

// drawCharts returns the plots of a run as SVG.
func drawCharts(r fleet.Result) (all []template.HTML, err error) {
	secs := r.Load.Seconds
	held := map[string]*series{}
	var names []string
	for _, s := range r.Samples {
		for id, n := range s.Held {
			if held[id] == nil {
				held[id] = &series{name: id}
				names = append(names, id)
			}
			held[id].seconds, held[id].values = append(held[id].seconds, s.AtS), append(held[id].values, float64(n))
		}
	}
	slices.Sort(names)
	var servers []series
	for _, n := range names {
		servers = append(servers, *held[n])
	}
	for _, c := range []struct {
		title, unit string
		lines       []series
	}{
		{"Requests by what became of them (by the second in which they were meant to be sent)", "a second", []series{
			secondSeries(r, "in aim", func(i int) float64 { return float64(secs[i].InAim) }),
			secondSeries(r, "served late", func(i int) float64 { return float64(secs[i].Served - secs[i].InAim) }),
			secondSeries(r, "refused", func(i int) float64 { return float64(secs[i].Refused) }),
			secondSeries(r, "failed", func(i int) float64 { return float64(secs[i].Failed) })}},
		{"Worth", "a second", []series{
			secondSeries(r, "answered in aim", func(i int) float64 { return secs[i].Gained }),
			secondSeries(r, "lost", func(i int) float64 { return secs[i].Worth - secs[i].Gained })}},
		{"Latency of what was served, from the intended time", "ms", []series{
			secondSeries(r, "p50", func(i int) float64 { return secs[i].P50MS }),
			secondSeries(r, "p99", func(i int) float64 { return secs[i].P99MS })}},
		{"Attempts for each request", "attempts", []series{
			secondSeries(r, "attempts", func(i int) float64 {
				if i >= len(r.AttemptsBySecond) || secs[i].Asked == 0 {
					return 0
				}
				return float64(r.AttemptsBySecond[i]) / float64(secs[i].Asked)
			})}},
		{heldTitle(len(servers)), "requests", servers},
		{"Routers: resident memory", "MB",
			usageSeries(r, func(_, u fleet.Usage, _ float64) float64 { return u.RSSMB })},
		{"Routers: descriptors", "open",
			usageSeries(r, func(_, u fleet.Usage, _ float64) float64 { return float64(u.FDs) })},
		{"Routers: CPU", "share of a core", usageSeries(r, func(b, u fleet.Usage, dt float64) float64 {
			return max(0, u.CPUMS-b.CPUMS) / 1000 / max(dt, 0.1)
		})},
		{"Out, whatever the reason, against the budgets", "routers or servers", budgetSeries(r)},
	} {
		if len(c.lines) == 0 {
			continue
		}
		svg, err := drawChart(c.title, c.unit, r.Marks, c.lines)
		if err != nil {
			return nil, err
		}
		all = append(all, svg)
	}
	return all, nil
}

var pageTemplate = template.Must(template.New("page").Funcs(template.FuncMap{"seconds": func(ms float64) string {
	if ms == 0 {
		return "-"
	}
	return fmt.Sprintf("%.1f", ms/1000)
}}).Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>dockhinge laboratory</title>
<style>
body { font: 15px/1.45 system-ui, sans-serif; max-width: 60rem; margin: 2rem auto; padding: 0 1rem; color: #222 }
h1 { font-size: 1.5rem } h2 { margin-top: 2.2rem; border-bottom: 1px solid #ccc } table { font-size: 13px; border-spacing: 1rem 0 } td, th { text-align: left } svg { width: 100%; height: auto; margin: .6rem 0 }
pre { background: #f5f5f3; padding: .8rem; white-space: pre-wrap; font-size: 12px } .bad { color: #b00020; font-weight: 600 } .good { color: #00734f; font-weight: 600 }
.marks { columns: 2; font-size: 13px; padding-left: 1.2rem }
</style></head><body><h1>dockhinge laboratory</h1>
{{.Beside}}{{range .Runs}}<h2>{{.Scenario}}{{if .Name}}, {{.Name}}{{end}}</h2>
<p>{{if .Failures}}<span class="bad">Something does not hold:</span>{{else}}<span class="good">All rules kept, all expectations hold.</span>{{end}}</p>
{{if .Failures}}<ul>{{range .Failures}}<li>{{.}}</li>{{end}}</ul>{{end}}
{{if .Marks}}<p>What happened; the dashed lines have these numbers:</p><ol class="marks">{{range .Marks}}<li>{{printf "%.1f" .AtS}} s: {{.Text}}</li>{{end}}</ol>{{end}}
{{range .Charts}}{{.}}{{end}}
{{if .Changes}}<table><tr><th>planned change</th><th>asked, s</th><th>out, s</th><th>back, s</th><th>runs of the tool</th></tr>
{{range .Changes}}<tr><td>{{.Resource}}</td><td>{{.RequestedAtMS | seconds}}</td><td>{{.StoppedAtMS | seconds}}</td><td>{{.RunningAtMS | seconds}}</td><td>{{.ToolRuns}}</td></tr>{{end}}</table>
<p>The times in this table are on the laboratory's clock, which started with the fleet.</p>{{end}}
<pre>{{.Table}}</pre>
{{end}}</body></html>
`))

// Write writes the runs to path as one self-contained HTML page, and as JSON to a file beside it.
// names label the first runs; two or more of them are also drawn in one plot.
func Write(path string, runs []fleet.Result, names ...string) error {
	type shown struct {
		fleet.Result
		Name   string
		Charts []template.HTML
		Table  string
	}
	var all []shown
	for i, r := range runs {
		svgs, err := drawCharts(r)
		if err != nil {
			return err
		}
		var b strings.Builder
		Table(&b, r)
		name := ""
		if i < len(names) {
			name = names[i]
		}
		all = append(all, shown{r, name, svgs, strings.TrimSpace(b.String())})
	}
	var beside template.HTML
	if len(names) > 1 {
		var lines []series
		for i, name := range names {
			secs := runs[i].Load.Seconds
			lines = append(lines, secondSeries(runs[i], name, func(j int) float64 { return secs[j].Gained }))
		}
		var err error
		if beside, err = drawChart("Worth answered in aim, beside one another", "a second",
			runs[0].Marks, lines); err != nil {
			return err
		}
	}
	var b bytes.Buffer
	if err := pageTemplate.Execute(&b, struct {
		Beside template.HTML
		Runs   []shown
	}{beside, all}); err != nil {
		return fmt.Errorf("report: %w", err)
	}
	if err := os.WriteFile(path, b.Bytes(), 0o644); err != nil {
		return fmt.Errorf("report: %w", err)
	}
	text, err := json.MarshalIndent(runs, "", " ")
	if err != nil {
		return fmt.Errorf("report: %w", err)
	}
	if err := os.WriteFile(strings.TrimSuffix(path, ".html")+".json", append(text, '\n'), 0o644); err != nil {
		return fmt.Errorf("report: %w", err)
	}
	return nil
}
