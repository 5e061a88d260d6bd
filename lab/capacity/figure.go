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
	Value   float64
	Unit    string
	IsKnown bool
	// Error is the root mean square error of the line, in Unit; 0 for a value that follows from the sizes alone.
	Error               float64
	Source              string  // names of the slopes, or "sizes"
	ExtrapolationFactor float64 // size that Value is for, as a multiple of the largest measured size; at least 1
	IsNonlinear         bool    // the measured points are not linear
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
	for _, size := range []*float64{&twice.Routers, &twice.Servers, &twice.Regions, &twice.Zones, &twice.Sites,
		&twice.RequestsPerS, &twice.BitsPerS, &twice.Objects,
		&twice.PurgesPerS, &twice.ConfigurationChangesPerDay, &twice.RestartsPerDay} {
		*size *= 2
	}
	return &twice
}

// notMeasured returns a figure that no run has measured.
func notMeasured(unit string) Figure { return Figure{Unit: unit} }

// bySizes returns a figure that follows from the sizes.
func bySizes(value float64, unit string) Figure {
	return Figure{Value: value, Unit: unit, IsKnown: true, Source: "sizes", ExtrapolationFactor: 1}
}

// at returns the value of a line for a whole fleet of so many routers.
func (m *Model) at(name string, routers float64) Figure {
	l, ok := m.lines[name]
	if !ok {
		return Figure{Source: name}
	}
	return Figure{Value: l.At(routers), Unit: l.Unit, IsKnown: true, Error: l.RMSError, Source: name,
		ExtrapolationFactor: l.ExtrapolationFactor(routers), IsNonlinear: !l.IsLinear()}
}

// share returns the part of a line that so many routers of the fleet cause: its slope times their number.
func (m *Model) share(name string, routers float64) Figure {
	l, ok := m.lines[name]
	if !ok {
		return Figure{Source: name}
	}
	return Figure{Value: l.Slope * routers, Unit: l.Unit, IsKnown: true, Error: l.RMSError, Source: "slope of " + name,
		ExtrapolationFactor: l.ExtrapolationFactor(m.Routers), IsNonlinear: !l.IsLinear()}
}

// times multiplies a figure and sets its unit.
func (f Figure) times(factor float64, unit string) Figure {
	f.Value, f.Error, f.Unit = f.Value*factor, f.Error*factor, unit
	return f
}

// plus adds two figures of the same unit. The sum is known only if both are.
func (f Figure) plus(g Figure) Figure {
	return Figure{Value: f.Value + g.Value, Unit: f.Unit, IsKnown: f.IsKnown && g.IsKnown, Error: f.Error + g.Error,
		Source:              f.Source + ", " + g.Source,
		ExtrapolationFactor: math.Max(f.ExtrapolationFactor, g.ExtrapolationFactor),
		IsNonlinear:         f.IsNonlinear || g.IsNonlinear}
}

// text formats the value with its error and unit.
func (f Figure) text() string {
	if !f.IsKnown {
		return "not measured"
	}
	text := formatNumber(f.Value)
	if f.Error > 0 {
		text += " ± " + formatNumber(f.Error)
	}
	return text + " " + f.Unit
}

// sourceText describes the source of the value, with its caveats.
func (f Figure) sourceText() string {
	if !f.IsKnown {
		return ""
	}
	text := f.Source
	if f.ExtrapolationFactor > 1 {
		text += fmt.Sprintf(" (%.2g times beyond what was measured)", f.ExtrapolationFactor)
	}
	if f.IsNonlinear {
		text += " (no straight line)"
	}
	return text
}

// significantDigits is the number of significant digits of a printed number.
const significantDigits = 3

// formatNumber formats a number with three significant digits and commas between thousands.
func formatNumber(v float64) string {
	if v == 0 {
		return "0"
	}
	scale := math.Pow(10, significantDigits-1-math.Floor(math.Log10(math.Abs(v))))
	v = math.Round(v*scale) / scale
	if math.Abs(v) < 1000 {
		return strconv.FormatFloat(v, 'f', -1, 64)
	}
	return insertCommas(strconv.FormatFloat(v, 'f', 0, 64))
}

// insertCommas inserts a comma between thousands.
func insertCommas(whole string) string {
	sign := ""
	if strings.HasPrefix(whole, "-") {
		sign, whole = "-", whole[1:]
	}
	for i := len(whole) - 3; i > 0; i -= 3 {
		whole = whole[:i] + "," + whole[i:]
	}
	return sign + whole
}
