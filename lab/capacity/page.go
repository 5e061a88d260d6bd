package capacity

import (
	"bytes"
	"errors"
	"fmt"
	"os"

	"dockhinge.example/dockhinge/lab/scalingfit"
)

// The generated part of the page is between these markers.
const (
	beginMarker = "<!-- dockhinge-lab capacity: begin -->\n"
	endMarker   = "<!-- dockhinge-lab capacity: end -->\n"
)

var errNoMarkers = errors.New("the page lacks the markers of the generated part")

// FillPage returns the page with the tables between its markers, or an error if a marker is missing.
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

// UpdatePage replaces the tables in the file of a page.
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
