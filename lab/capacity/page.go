package capacity

import (
	"bytes"
	"errors"
	"fmt"
	"os"

	"dockhinge.example/dockhinge/lab/scalingfit"
)

// The markers between which the tool writes in the page.
const (
	beginMarker = "<!-- dockhinge-lab capacity: begin -->\n"
	endMarker   = "<!-- dockhinge-lab capacity: end -->\n"
)

var errNoMarkers = errors.New("its markers are missing")

// FillPage puts the tables between a page's markers.
func FillPage(page []byte, m *Model, lines []scalingfit.Line) ([]byte, error) {
	before, rest, ok := bytes.Cut(page, []byte(beginMarker))
	if !ok {
		return nil, errNoMarkers
	}
	_, after, ok := bytes.Cut(rest, []byte(endMarker))
	if !ok {
		return nil, errNoMarkers
	}
	var out bytes.Buffer
	out.Write(before)
	out.WriteString(beginMarker + "\n")
	WriteAll(&out, m, lines)
	out.WriteString(endMarker)
	out.Write(after)
	return out.Bytes(), nil
}

// UpdatePage writes the tables into a page's file.
func UpdatePage(path string, m *Model, lines []scalingfit.Line) error {
	page, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	filled, err := FillPage(page, m, lines)
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	return os.WriteFile(path, filled, 0o644)
}
