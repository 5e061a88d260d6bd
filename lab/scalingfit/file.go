package scalingfit

import (
	"encoding/json"
	"errors"
	"fmt"
)

// ErrNoLines tells that a file has no lines: its ladder had too few steps.
var ErrNoLines = errors.New("it has no slopes")

// Read reads the lines of a ladder's file.
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
