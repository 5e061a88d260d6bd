package scalingfit

import (
	"encoding/json"
	"errors"
	"fmt"
)

// ErrNoLines is returned for a file without lines, because its run had too few steps for a fit.
var ErrNoLines = errors.New("the file has no slopes")

// Read returns the lines in the JSON text of a file that a run of measurements wrote.
func Read(text []byte) ([]Line, error) {
	var file struct {
		Slopes []Line `json:"slopes"`
	}
	if err := json.Unmarshal(text, &file); err != nil {
		return nil, fmt.Errorf("slopes: %w", err)
	}
	if len(file.Slopes) == 0 {
		return nil, ErrNoLines
	}
	return file.Slopes, nil
}
