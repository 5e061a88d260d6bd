package capacity

import (
	"fmt"
	"math"
	"strconv"
	"strings"

	"dockhinge.example/dockhinge/lab/scalingfit"
)

// Figure is a value and its source.
type Figure struct {
	Value float64
	Unit  string
	Known bool
	// Error is the root mean square error of the line, in Unit; 0 for a value that follows from the sizes alone.
	Error  float64
	From   string  // names of the slopes, or "sizes"
	Beyond float64 // size that Value is for, as a multiple of the largest measured size; at least 1
	Bent   bool    // the measured points are not linear
}

// Model combines the sizes of a fleet with the measured lines.
type Model struct {
	Sizes
	lines map[string]scalingfit.Line
}

// NewModel returns the model of the given sizes and lines.
func NewModel(sizes Sizes, lines []scalingfit.Line) *Model {
	m := &Model{Sizes: sizes, lines: map[string]scalingfit.Line{}}
	for _, l := range lines {
		m.lines[l.Name] = l
	}
	return m
}

// doubled returns the model with twice the routers, servers, regions and traffic.
func (m *Model) doubled() *Model {
	twice := *m
	for _, size := range []*float64{&twice.Routers, &twice.Servers, &twice.Regions, &twice.Zones, &twice.Sites, &twice.RequestsPerS,
		&twice.BitsPerS, &twice.Objects, &twice.PurgesPerS, &twice.ConfigurationChangesPerDay, &twice.RestartsPerDay} {
		*size *= 2
	}
	return &twice
}

// notMeasured returns a figure that no run has measured.
func notMeasured(unit string) Figure { return Figure{Unit: unit} }

// bySizes returns a figure that follows from the sizes.
func bySizes(value float64, unit string) Figure {
	return Figure{Value: value, Unit: unit, Known: true, From: "sizes", Beyond: 1}
}

// at returns the value of a line for a whole fleet of so many routers.
func (m *Model) at(name string, routers float64) Figure {
	l, ok := m.lines[name]
	if !ok {
		return Figure{From: name}
	}
	return Figure{Value: l.At(routers), Unit: l.Unit, Known: true, Error: l.Error, From: name,
		Beyond: l.ExtrapolationFactor(routers), Bent: !l.IsLinear()}
}

// share returns the part of a line that so many routers of the fleet cause: its slope times their number.
func (m *Model) share(name string, routers float64) Figure {
	l, ok := m.lines[name]
	if !ok {
		return Figure{From: name}
	}
	return Figure{Value: l.Slope * routers, Unit: l.Unit, Known: true, Error: l.Error, From: "slope of " + name,
		Beyond: l.ExtrapolationFactor(m.Routers), Bent: !l.IsLinear()}
}

// times multiplies a figure and sets its unit.
func (f Figure) times(factor float64, unit string) Figure {
	f.Value, f.Error, f.Unit = f.Value*factor, f.Error*factor, unit
	return f
}

// plus adds two figures of the same unit. The sum is known only if both are.
func (f Figure) plus(g Figure) Figure {
	return Figure{Value: f.Value + g.Value, Unit: f.Unit, Known: f.Known && g.Known, Error: f.Error + g.Error,
		From:   f.From + ", " + g.From,
		Beyond: math.Max(f.Beyond, g.Beyond), Bent: f.Bent || g.Bent}
}

// text formats the value with its error and unit.
func (f Figure) text() string {
	if !f.Known {
		return "not measured"
	}
	text := number(f.Value)
	if f.Error > 0 {
		text += " ± " + number(f.Error)
	}
	return text + " " + f.Unit
}

// source describes the source of the value, with its caveats.
func (f Figure) source() string {
	if !f.Known {
		return ""
	}
	text := f.From
	if f.Beyond > 1 {
		text += fmt.Sprintf(" (%.2g times beyond what was measured)", f.Beyond)
	}
	if f.Bent {
		text += " (no straight line)"
	}
	return text
}

// digits is the number of significant digits of a printed number.
const digits = 3

// number formats a number with three significant digits and commas between thousands.
func number(v float64) string {
	if v == 0 {
		return "0"
	}
	scale := math.Pow(10, digits-1-math.Floor(math.Log10(math.Abs(v))))
	v = math.Round(v*scale) / scale
	if math.Abs(v) < 1000 {
		return strconv.FormatFloat(v, 'f', -1, 64)
	}
	return commas(strconv.FormatFloat(v, 'f', 0, 64))
}

// commas inserts a comma between thousands.
func commas(whole string) string {
	sign := ""
	if strings.HasPrefix(whole, "-") {
		sign, whole = "-", whole[1:]
	}
	for i := len(whole) - 3; i > 0; i -= 3 {
		whole = whole[:i] + "," + whole[i:]
	}
	return sign + whole
}
