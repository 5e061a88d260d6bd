// Package config reads a coordinator's file. docs/agreement.md describes each key.
package config

import (
	"errors"
	"fmt"
	"net"
	"os"
	"strings"
	"time"

	"dockhinge.example/dockhinge/internal/configerror"
	"dockhinge.example/dockhinge/internal/coord"
)

// Version is that of the file's form.
const Version = 1

const maxFile = 64 << 10

// File is a coordinator's file.
type File struct {
	Version       int               `toml:"version"`
	Name          string            `toml:"name"`           // unique among the coordinators
	Dir           string            `toml:"dir"`            // of its log, snapshots and identity
	Listen        string            `toml:"listen"`         // host:port for the other coordinators
	API           string            `toml:"api"`            // host:port for clients
	Figures       string            `toml:"figures"`        // host:port that tells figures and takes no commands; "" = none
	ClockRate     float64           `toml:"clock_rate"`     // bound on the rate of all clocks, 0 to 0.1
	SnapshotEvery uint64            `toml:"snapshot_every"` // entries of the log between two snapshots, 16 to 1,000,000
	Beat          string            `toml:"beat"`           // how long a leader may be silent, 100ms to 10s
	LogLevel      string            `toml:"log_level"`      // debug, info, warn or error
	LogJSON       bool              `toml:"log_json"`
	Peers         map[string]string `toml:"peers"` // other coordinators' addresses where they are reached by another than their own, by name
}

// BeatTime is Beat as a duration; the file has been checked.
func (f File) BeatTime() time.Duration {
	d, _ := time.ParseDuration(f.Beat)
	return d
}

// Load reads the file at path. The error joins a configerror.Problem for each mistake.
func Load(path string) (File, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return File{}, fmt.Errorf("coordinator's file: %w", err)
	}
	return Parse(path, text)
}

// Parse reads a file that was read from path.
func Parse(path string, text []byte) (File, error) {
	if len(text) > maxFile {
		return File{}, configerror.Problem{File: path, Reason: fmt.Sprintf("%d bytes, %d at most", len(text), maxFile)}
	}
	f := File{ClockRate: coord.DefaultClockRateBound, SnapshotEvery: 8192, Beat: "250ms", LogLevel: "info"}
	if err := configerror.DecodeTOML(path, text, &f); err != nil {
		return File{}, err
	}
	var all []error
	bad := func(setting, form string, v ...any) {
		all = append(all, configerror.Problem{File: path, Setting: setting, Reason: fmt.Sprintf(form, v...)})
	}
	if f.Version != Version {
		bad("version", "%d is not %d, the version that this program reads", f.Version, Version)
	}
	if err := CheckName(f.Name); err != nil {
		bad("name", "%v", err)
	}
	if f.Dir == "" {
		bad("dir", "empty")
	}
	for _, a := range []struct{ setting, v string }{{"listen", f.Listen}, {"api", f.API}} {
		if _, _, err := net.SplitHostPort(a.v); err != nil {
			bad(a.setting, "%q is no host:port", a.v)
		}
	}
	if _, _, err := net.SplitHostPort(f.Figures); f.Figures != "" && (err != nil || f.Figures == f.API || f.Figures == f.Listen) {
		bad("figures", "%q is no host:port of its own", f.Figures)
	}
	if f.Listen != "" && f.Listen == f.API {
		bad("api", "%q is the address for the other coordinators too", f.API)
	}
	if !(f.ClockRate >= 0 && f.ClockRate <= coord.MaxClockRateBound) {
		bad("clock_rate", "%v is not from 0 to %v", f.ClockRate, coord.MaxClockRateBound)
	}
	if f.SnapshotEvery < 16 || f.SnapshotEvery > 1_000_000 {
		bad("snapshot_every", "%d is not from 16 to 1,000,000", f.SnapshotEvery)
	}
	if d, err := time.ParseDuration(f.Beat); err != nil || d < 100*time.Millisecond || d > 10*time.Second {
		bad("beat", "%q is no duration from 100ms to 10s", f.Beat)
	}
	switch f.LogLevel {
	case "debug", "info", "warn", "error":
	default:
		bad("log_level", "%q is none of debug, info, warn, error", f.LogLevel)
	}
	for name, addr := range f.Peers {
		if err := CheckName(name); err != nil {
			bad("peers."+name, "%v", err)
		}
		if _, _, err := net.SplitHostPort(addr); err != nil {
			bad("peers."+name, "%q is no host:port", addr)
		}
	}
	if err := errors.Join(all...); err != nil {
		return File{}, err
	}
	return f, nil
}

// CheckName checks a coordinator's name: letters, digits, dots, dashes and underscores, 64 at most.
func CheckName(name string) error {
	if name == "" || len(name) > 64 || strings.Trim(name, "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789.-_") != "" {
		return fmt.Errorf("%q is no name of 1 to 64 letters, digits, dots, dashes and underscores", name)
	}
	return nil
}
