package capacity

import (
	"fmt"
	"io"
	"strings"

	"dockhinge.example/dockhinge/lab/scalingfit"
)

// Row is one figure of a role during an event.
type Row struct {
	Event      string
	Quantity   string
	Figure     func(*Model) Figure
	Budget     func(*Model) float64 // nil: no budget is given
	Mechanism  string               // the mechanism that the figure depends on, with the issue number if it is missing
	FirstLimit string               // the first limit reached when the size doubles
}

// Table holds all rows of a role.
type Table struct {
	Role string
	Rows []Row
}

// State compares a row with its budget.
type State string

// The states, as printed.
const (
	WithinBudget State = "fits"
	OverBudget   State = "RED"
	NotMeasured  State = "not measured"
	NoBudget     State = "no budget"
)

// State returns the state of the row for a model.
func (r *Row) State(m *Model) State {
	f := r.Figure(m)
	switch {
	case !f.IsKnown:
		return NotMeasured
	case r.Budget == nil:
		return NoBudget
	case f.Value > r.Budget(m):
		return OverBudget
	}
	return WithinBudget
}

// marginText formats the unused share of the budget; it is empty without a value or a budget.
func (r *Row) marginText(m *Model) string {
	state := r.State(m)
	if state == NotMeasured || state == NoBudget {
		return ""
	}
	left := 100 * (1 - r.Figure(m).Value/r.Budget(m))
	text := fmt.Sprintf("%.0f%%", left)
	if state == OverBudget {
		return "**RED** " + text
	}
	return text
}

// budgetText formats the budget with its unit.
func (r *Row) budgetText(m *Model) string {
	if r.Budget == nil {
		return ""
	}
	return formatNumber(r.Budget(m)) + " " + r.Figure(m).Unit
}

// doubledText formats the figure at twice the size, marked red if it then exceeds its budget.
func (r *Row) doubledText(m *Model) string {
	double := m.doubled()
	f := r.Figure(double)
	if !f.IsKnown {
		return r.FirstLimit
	}
	text := formatNumber(f.Value)
	if r.State(double) == OverBudget {
		text = "**RED** " + text
	}
	if r.FirstLimit != "" {
		text += ": " + r.FirstLimit
	}
	return text
}

// Write writes the table as Markdown.
func (t *Table) Write(w io.Writer, m *Model) {
	fmt.Fprintf(w, "### %s\n\n", t.Role)
	fmt.Fprintln(w, "| event | figure | value | from | budget | margin | carried by | at twice the size |")
	fmt.Fprintln(w, "| --- | --- | --- | --- | --- | --- | --- | --- |")
	for i := range t.Rows {
		r := &t.Rows[i]
		f := r.Figure(m)
		cells := []string{r.Event, r.Quantity, f.text(), f.sourceText(), r.budgetText(m), r.marginText(m),
			r.Mechanism, r.doubledText(m)}
		fmt.Fprintf(w, "| %s |\n", strings.Join(cells, " | "))
	}
	fmt.Fprintln(w)
}

// WriteAll writes the generated part of the page: all red rows, the tables, and the lines that they are
// computed from.
func WriteAll(w io.Writer, m *Model, lines []scalingfit.Line) {
	tables := Tables()
	writeRed(w, m, tables)
	for i := range tables {
		tables[i].Write(w, m)
	}
	writeLines(w, lines)
}

// writeRed lists the rows that exceed their budget and counts the rows by state.
func writeRed(w io.Writer, m *Model, tables []Table) {
	count := map[State]int{}
	fmt.Fprintf(w, "### Red rows, for %s routers before %s cache servers\n\n",
		formatNumber(m.Routers), formatNumber(m.Servers))
	for _, t := range tables {
		for i := range t.Rows {
			r := &t.Rows[i]
			state := r.State(m)
			count[state]++
			if state == OverBudget {
				fmt.Fprintf(w, "- %s, %s, %s: %s of %s. %s.\n",
					t.Role, r.Event, r.Quantity, r.Figure(m).text(), r.budgetText(m), r.Mechanism)
			}
		}
	}
	fmt.Fprintf(w, "\n%d rows are red, %d fit, %d have no budget, %d were not measured.\n\n",
		count[OverBudget], count[WithinBudget], count[NoBudget], count[NotMeasured])
}

// writeLines writes the lines with the runs that measured them.
func writeLines(w io.Writer, lines []scalingfit.Line) {
	fmt.Fprintln(w, "### Slopes")
	fmt.Fprintln(w)
	fmt.Fprintln(w, "| line | unit | run | from, to | at none | for each 1,000 | misses: root mean square, worst | R² | straight |")
	fmt.Fprintln(w, "| --- | --- | --- | --- | --- | --- | --- | --- | --- |")
	for _, l := range lines {
		straight := "yes"
		if !l.IsLinear() {
			straight = "no"
		}
		fmt.Fprintf(w, "| %s | %s over %ss | %s | %s, %s | %s | %s | %s, %.0f%% | %.3f | %s |\n",
			l.Name, l.Unit, l.SizeUnit, l.Run, formatNumber(l.MinSize),
			formatNumber(l.MaxSize), formatNumber(l.Intercept), formatNumber(1000*l.Slope), formatNumber(l.RMSError),
			100*l.MaxRelativeError, l.R2, straight)
	}
	fmt.Fprintln(w)
}
