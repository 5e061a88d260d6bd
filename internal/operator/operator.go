// Package operator reads the operator file: the one place where what goes beyond the platform's settings is switched on.
// A router without one is what the platform knows. docs/configuration.md describes each key.
package operator

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2/unstable"

	"dockhinge.example/dockhinge/internal/diag"
)

// Version is the version of the file's form that this program reads.
const Version = 1

// maxFile bounds an operator file in bytes.
const maxFile = 1 << 20

// File is an operator file. The docs tags are checked against docs/configuration.md by a test.
type File struct {
	Version int `toml:"version"`
	Log     Log `toml:"log"`
}

// Log says how the router logs.
type Log struct {
	Level       string `toml:"level"`        // debug, info, warn or error
	Format      string `toml:"format"`       // text or json
	RepeatEvery string `toml:"repeat_every"` // a duration, 1s to 1h
	RepeatBurst int    `toml:"repeat_burst"` // lines of one event in that time, 1 to 1000
}

// Every is RepeatEvery as a duration; the file has been checked.
func (l Log) Every() time.Duration {
	d, _ := time.ParseDuration(l.RepeatEvery)
	return d
}

// Default is what holds where there is no operator file, or where it is silent.
func Default() File {
	return File{Version: Version, Log: Log{Level: "info", Format: "text", RepeatEvery: "10s", RepeatBurst: 20}}
}

// Load reads the operator file at path. The error joins a diag.Problem for each mistake.
func Load(path string) (File, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return File{}, fmt.Errorf("operator file: %w", err)
	}
	return Parse(path, text)
}

// Parse reads an operator file that was read from path. Unknown keys are mistakes: a key misspelt must not pass for
// one that was left out.
func Parse(path string, text []byte) (File, error) {
	if len(text) > maxFile {
		return File{}, diag.Problem{File: path, Reason: fmt.Sprintf("%d bytes, %d at most", len(text), maxFile)}
	}
	f := Default()
	f.Version = 0
	if err := diag.DecodeTOML(path, text, &f); err != nil {
		return File{}, err
	}
	var all []error
	bad := func(setting, form string, v ...any) {
		all = append(all, diag.Problem{File: path, Line: lineOf(text, setting), Setting: setting, Reason: fmt.Sprintf(form, v...)})
	}
	if f.Version != Version {
		bad("version", "%d is not %d, the version that this program reads", f.Version, Version)
	}
	oneOf := func(setting, v string, of ...string) {
		for _, o := range of {
			if v == o {
				return
			}
		}
		bad(setting, "%q is none of %s", v, strings.Join(of, ", "))
	}
	oneOf("log.level", f.Log.Level, "debug", "info", "warn", "error")
	oneOf("log.format", f.Log.Format, "text", "json")
	if d, err := time.ParseDuration(f.Log.RepeatEvery); err != nil || d < time.Second || d > time.Hour {
		bad("log.repeat_every", "%q is no duration from 1s to 1h", f.Log.RepeatEvery)
	}
	if f.Log.RepeatBurst < 1 || f.Log.RepeatBurst > 1000 {
		bad("log.repeat_burst", "%d is not from 1 to 1000", f.Log.RepeatBurst)
	}
	if err := errors.Join(all...); err != nil {
		return File{}, err
	}
	return f, nil
}

// lineOf is the line in which a key stands, or 0 where it does not stand.
func lineOf(text []byte, setting string) (line int) {
	var p unstable.Parser
	p.Reset(text)
	table := ""
	for p.NextExpression() {
		e := p.Expression()
		var parts []string
		at := 0
		for it := e.Key(); it.Next(); {
			if at == 0 {
				at = p.Shape(it.Node().Raw).Start.Line
			}
			parts = append(parts, string(it.Node().Data))
		}
		key := strings.Join(parts, ".")
		if e.Kind != unstable.KeyValue {
			table = key + "."
		} else if table+key == setting {
			return at
		}
	}
	return 0
}
