// Package operator reads the operator file: the one place where what goes beyond the platform's
// settings is enabled. A router without one is what the platform knows. docs/configuration.md
// describes each key.
package operator

import (
	"fmt"
	"os"
	"strings"
	"time"

	"dockhinge.example/dockhinge/internal/configerror"
)

// Version is the version of the file's form that this program reads.
const Version = 1

// maxFileBytes bounds an operator file.
const maxFileBytes = 1 << 20

// File is an operator file. The toml tags are checked against docs/configuration.md by a test.
type File struct {
	Version   int       `toml:"version"`
	Log       Log       `toml:"log"`
	Admission Admission `toml:"admission"`
	Agreement Agreement `toml:"agreement"`
}

// Log says how the router logs.
type Log struct {
	// Level is debug, info, warn or error.
	Level string `toml:"level"`
	// Format is text or json.
	Format string `toml:"format"`
	// RepeatEvery is a duration, 1s to 1h.
	RepeatEvery string `toml:"repeat_every"`
	// RepeatBurst is how many lines of one event are logged in that time, 1 to 1000.
	RepeatBurst int `toml:"repeat_burst"`
	// Trace logs single events too, for dockhinge-lab trace-summary.
	Trace bool `toml:"trace"`
}

// Agreement makes the router a client of the coordinators (docs/agreement.md), for installations
// that allow messages between processes.
type Agreement struct {
	// Coordinators are NAME=HOST:PORT of each. Without any the router does without them.
	Coordinators []string `toml:"coordinators"`
	// TTL is the session's, a duration, 3s to 1m.
	TTL string `toml:"ttl"`
	// Probes has one router health-check a cache server for all.
	Probes bool `toml:"probes"`
	// ProbeEvery is a duration, 200ms to 10s.
	ProbeEvery string `toml:"probe_every"`
	// ProbeStale is the age up to which a load report counts, 500ms to 30s and more than ProbeEvery.
	ProbeStale string `toml:"probe_stale"`
	// Drains has the router take part in drains and releases that the fleet agrees on.
	Drains bool `toml:"drains"`
	// Label names the program's version there, in at most 64 bytes; "" = the program's own.
	Label string `toml:"label"`
}

// RepeatInterval is RepeatEvery as a duration. The file has been checked.
func (l Log) RepeatInterval() time.Duration { return Duration(l.RepeatEvery) }

// CoordinatorAddrs maps the coordinators' names to their addresses. The file has been checked.
func (a Agreement) CoordinatorAddrs() map[string]string {
	addrs := map[string]string{}
	for _, word := range a.Coordinators {
		name, addr, _ := strings.Cut(word, "=")
		addrs[name] = addr
	}
	return addrs
}

// Duration returns a duration of the file, which has been checked.
func Duration(text string) time.Duration {
	d, _ := time.ParseDuration(text)
	return d
}

// Default is what holds where there is no operator file, or where it lacks a key.
func Default() File {
	return File{
		Version: Version,
		Log: Log{
			Level:       "info",
			Format:      "text",
			RepeatEvery: "10s",
			RepeatBurst: 20,
		},
		Admission: Admission{
			OthersWeight: 1,
			Flows:        1024,
			Buckets:      64,
			TurnMS:       10000,
			Queue:        512,
			Promises:     4096,
			MaxWaitMS:    200,
			MaxAfterMS:   1500,
			Start:        64,
			Least:        4,
			Most:         4096,
			RetryShare:   0.2,
			RetryBurst:   20,
		},
		Agreement: Agreement{
			TTL:        "10s",
			ProbeEvery: "700ms",
			ProbeStale: "2500ms",
		},
	}
}

// Load reads the operator file at path. The error joins a configerror.Problem for each mistake.
func Load(path string) (File, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return File{}, fmt.Errorf("operator file: %w", err)
	}
	return Parse(path, text)
}

// Parse reads an operator file that was read from path. Unknown keys are mistakes: a misspelt key
// must not pass for one that was left out. The error joins a configerror.Problem for each mistake.
func Parse(path string, text []byte) (File, error) {
	if len(text) > maxFileBytes {
		reason := fmt.Sprintf("%d bytes, %d at most", len(text), maxFileBytes)
		return File{}, configerror.Problem{File: path, Reason: reason}
	}
	f := Default()
	f.Version = 0
	if err := configerror.DecodeTOML(path, text, &f); err != nil {
		return File{}, err
	}
	check := checker{path: path, text: text}
	check.file(f)
	if err := check.err(); err != nil {
		return File{}, err
	}
	return f, nil
}
