// Package operator reads the operator file, which enables and configures everything beyond the
// platform's settings. Without an operator file, a router runs with the platform's settings only.
// docs/configuration.md describes each key.
package operator

import (
	"fmt"
	"os"
	"strings"
	"time"

	"dockhinge.example/dockhinge/internal/configerror"
)

// Version is the version of the file format that this program reads.
const Version = 1

// maxFileBytes is the maximum size of an operator file.
const maxFileBytes = 1 << 20

// File is an operator file. A test compares the toml tags with docs/configuration.md.
type File struct {
	Version   int       `toml:"version"`
	Log       Log       `toml:"log"`
	Admission Admission `toml:"admission"`
	Agreement Agreement `toml:"agreement"`
}

// Log is the section that configures the router's log.
type Log struct {
	// Level is debug, info, warn or error.
	Level string `toml:"level"`
	// Format is text or json.
	Format string `toml:"format"`
	// RepeatEvery is a duration, 1s to 1h.
	RepeatEvery string `toml:"repeat_every"`
	// RepeatBurst is the number of lines of one event that are logged in that time, 1 to 1000.
	RepeatBurst int `toml:"repeat_burst"`
	// Trace enables trace events in the log, for dockhinge-lab trace-summary.
	Trace bool `toml:"trace"`
}

// Agreement is the section that makes the router a client of the coordinators (docs/agreement.md),
// for installations that allow messages between processes.
type Agreement struct {
	// Coordinators lists each coordinator as NAME=HOST:PORT. If it is empty, the router runs
	// without coordinators.
	Coordinators []string `toml:"coordinators"`
	// TTL is the time to live of the session, a duration from 3s to 1m.
	TTL string `toml:"ttl"`
	// Probes enables shared health checks: one router checks a cache server for all routers.
	Probes bool `toml:"probes"`
	// ProbeEvery is the time between two health checks, a duration from 200ms to 10s.
	ProbeEvery string `toml:"probe_every"`
	// ProbeStale is the age up to which a load report is used, 500ms to 30s and more than
	// ProbeEvery.
	ProbeStale string `toml:"probe_stale"`
	// Drains makes the router take part in the drains and releases that the coordinators decide on.
	Drains bool `toml:"drains"`
	// Label is the version of the program that is reported for releases, at most 64 bytes; "" = the
	// version that the program was built from.
	Label string `toml:"label"`
}

// RepeatInterval returns RepeatEvery as a duration. The file must have been checked.
func (l Log) RepeatInterval() time.Duration { return Duration(l.RepeatEvery) }

// CoordinatorAddrs maps the coordinators' names to their addresses. The file must have been
// checked.
func (a Agreement) CoordinatorAddrs() map[string]string {
	addrs := map[string]string{}
	for _, coordinator := range a.Coordinators {
		name, addr, _ := strings.Cut(coordinator, "=")
		addrs[name] = addr
	}
	return addrs
}

// Duration parses a duration of a file that has been checked.
func Duration(text string) time.Duration {
	d, _ := time.ParseDuration(text)
	return d
}

// Default returns the values that are used for missing keys, or without an operator file.
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
			OthersWeight:    1,
			Flows:           1024,
			Buckets:         64,
			RehashMS:        10000,
			QueueSize:       512,
			Reservations:    4096,
			MaxWaitMS:       200,
			MaxRetryAfterMS: 1500,
			LimitAtStart:    64,
			LimitMin:        4,
			LimitMax:        4096,
			RetryShare:      0.2,
			RetryBurst:      20,
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

// Parse parses the text of an operator file that was read from path. Unknown keys are errors, so
// that a misspelled key is not mistaken for an omitted one. The error joins a configerror.Problem
// for each mistake.
func Parse(path string, text []byte) (File, error) {
	if len(text) > maxFileBytes {
		reason := fmt.Sprintf("%d bytes, at most %d are allowed", len(text), maxFileBytes)
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
