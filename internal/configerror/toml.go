package configerror

import (
	"bytes"
	"errors"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// DecodeTOML reads a TOML text into a struct. Keys that the struct does not know are mistakes: a
// key misspelt must not pass for one that was left out. The error is a Problem, or joins one for
// each unknown key.
func DecodeTOML(name string, text []byte, into any) error {
	dec := toml.NewDecoder(bytes.NewReader(text))
	dec.DisallowUnknownFields()
	err := dec.Decode(into)
	var strict *toml.StrictMissingError
	var one *toml.DecodeError
	switch {
	case errors.As(err, &strict):
		var all []error
		for _, e := range strict.Errors {
			line, _ := e.Position()
			all = append(all, Problem{File: name, Line: line, Setting: strings.Join(e.Key(), "."), Reason: "unknown key"})
		}
		return errors.Join(all...)
	case errors.As(err, &one):
		line, _ := one.Position()
		return Problem{File: name, Line: line, Setting: strings.Join(one.Key(), "."), Reason: strings.TrimPrefix(one.Error(), "toml: ")}
	case err != nil:
		return Problem{File: name, Reason: err.Error()}
	}
	return nil
}
