package capacity

import (
	"fmt"
	"math"
	"strconv"
	"strings"

	"dockhinge.example/dockhinge/lab/scalingfit"
)

// Figure is a value with where it comes from.
type Figure struct {
	Value float64
	Unit  string
	Known bool
	// Error is what the line misses its points by, in the value's unit; 0 for what follows from the sizes alone.
	Error  float64
	From   string  // slopes by name, or "sizes"
	Beyond float64 // how many times the largest measured size it was worked out for
	Bent   bool    // the points don't lie on a line
}

// Model is the sizes with the lines that were measured.
type Model struct {
	Sizes
	lines map[string]scalingfit.Line
}

// NewModel makes a model of sizes and lines.
func NewModel(sizes Sizes, lines []scalingfit.Line) *Model {
	m := &Model{Sizes: sizes, lines: map[string]scalingfit.Line{}}
	for _, l := range lines {
		m.lines[l.Name] = l
	}
	return m
}

// doubled is the model with twice the routers, servers, regions and traffic.
func (m *Model) doubled() *Model {
	twice := *m
	for _, size := range []*float64{&twice.Routers, &twice.Servers, &twice.Regions, &twice.Zones, &twice.Sites, &twice.RequestsPerS, &twice.BitsPerS,
		&twice.Objects, &twice.PurgesPerS, &twice.ConfigurationChangesPerDay, &twice.RestartsPerDay} {
		*size *= 2
	}
	return &twice
}

// notMeasured is a figure that no run gave.
func notMeasured(unit string) Figure { return Figure{Unit: unit} }

// bySizes is a figure that follows from the sizes.
func bySizes(value float64, unit string) Figure {
	return Figure{Value: value, Unit: unit, Known: true, From: "sizes", Beyond: 1}
}

// at is a line's value for a whole fleet of so many routers.
func (m *Model) at(name string, routers float64) Figure {
	l, ok := m.lines[name]
	if !ok {
		return Figure{From: name}
	}
	return Figure{Value: l.At(routers), Unit: l.Unit, Known: true, Error: l.Error, From: name, Beyond: l.ExtrapolationFactor(routers), Bent: !l.IsLinear()}
}

// share is what so many routers of the whole fleet add to a line: its slope times their number.
func (m *Model) share(name string, routers float64) Figure {
	l, ok := m.lines[name]
	if !ok {
		return Figure{From: name}
	}
	return Figure{Value: l.Slope * routers, Unit: l.Unit, Known: true, Error: l.Error, From: "slope of " + name, Beyond: l.ExtrapolationFactor(m.Routers), Bent: !l.IsLinear()}
}

// times multiplies a figure, which then has another unit.
func (f Figure) times(factor float64, unit string) Figure {
	f.Value, f.Error, f.Unit = f.Value*factor, f.Error*factor, unit
	return f
}

// plus adds two figures of one unit. It is known only if both are.
func (f Figure) plus(g Figure) Figure {
	return Figure{Value: f.Value + g.Value, Unit: f.Unit, Known: f.Known && g.Known, Error: f.Error + g.Error, From: f.From + ", " + g.From,
		Beyond: math.Max(f.Beyond, g.Beyond), Bent: f.Bent || g.Bent}
}

// text is the value with its unit and error.
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

// source tells where the value comes from and what speaks against it.
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

// digits are those that a number keeps.
const digits = 3

// number writes a number with three digits and commas between thousands.
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

// commas puts one between thousands.
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
