package configerror

import (
	"bytes"
	"errors"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// DecodeTOML decodes a TOML text into a struct. Keys without a field are errors, so that a
// misspelled key is not mistaken for an omitted one. The error is a Problem, or joins a Problem for
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

// problemAt returns the Problem for a decoding error, with its line and key.
func problemAt(file string, mistake *toml.DecodeError, reason string) Problem {
	line, _ := mistake.Position()
	return Problem{File: file, Line: line, Setting: strings.Join(mistake.Key(), "."), Reason: reason}
}
