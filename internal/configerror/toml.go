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
	var unknownKeys *toml.StrictMissingError
	var mistake *toml.DecodeError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &unknownKeys):
		var problems []error
		for _, e := range unknownKeys.Errors {
			problems = append(problems, problemAt(name, &e, "unknown key"))
		}
		return errors.Join(problems...)
	case errors.As(err, &mistake):
		return problemAt(name, mistake, strings.TrimPrefix(mistake.Error(), "toml: "))
	}
	return Problem{File: name, Reason: err.Error()}
}

// problemAt is the problem of a decoder's mistake, with its line and key.
func problemAt(file string, mistake *toml.DecodeError, reason string) Problem {
	line, _ := mistake.Position()
	return Problem{File: file, Line: line, Setting: strings.Join(mistake.Key(), "."), Reason: reason}
}
