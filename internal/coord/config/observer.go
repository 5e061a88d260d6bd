package config

import (
	"errors"
	"fmt"
	"net"
	"os"

	"dockhinge.example/dockhinge/internal/configerror"
)

// The bounds and defaults of an observer's file.
const (
	MaxObserverWatchers = 8192 // two connections each
	MaxJoinsPerSecond   = 10_000
	MinWatcherBytes     = 16 << 10
	MaxWatcherBytes     = 1 << 30

	defaultWatchers     = 2048 // several times the routers of one observer among twelve
	defaultJoins        = 200
	defaultWatcherBytes = 256 << 10
)

// Observer is an observer's file. docs/observers.md describes each key.
type Observer struct {
	Version        int               `toml:"version"`
	Name           string            `toml:"name"`
	API            string            `toml:"api"`              // host:port for routers and tools
	Coordinators   map[string]string `toml:"coordinators"`     // addresses for clients, by name
	MaxWatchers    int               `toml:"max_watchers"`     // 1 to 8192
	JoinsPerSecond float64           `toml:"joins_per_second"` // watches begun, 1 to 10,000
	WatcherBytes   int               `toml:"watcher_bytes"`    // a second, to each watcher, 16 KiB to 1 GiB
	LogLevel       string            `toml:"log_level"`        // debug, info, warn or error
	LogJSON        bool              `toml:"log_json"`
}

// LoadObserver reads the file at path. The error joins a configerror.Problem for each mistake.
func LoadObserver(path string) (Observer, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Observer{}, fmt.Errorf("observer's file: %w", err)
	}
	return ParseObserver(path, text)
}

// ParseObserver reads a file that was read from path.
func ParseObserver(path string, text []byte) (Observer, error) {
	if len(text) > maxFile {
		return Observer{}, configerror.Problem{File: path, Reason: fmt.Sprintf("%d bytes, %d at most", len(text), maxFile)}
	}
	f := Observer{MaxWatchers: defaultWatchers, JoinsPerSecond: defaultJoins, WatcherBytes: defaultWatcherBytes, LogLevel: "info"}
	if err := configerror.DecodeTOML(path, text, &f); err != nil {
		return Observer{}, err
	}
	var problems []error
	bad := func(setting, form string, v ...any) {
		problems = append(problems, configerror.Problem{File: path, Setting: setting, Reason: fmt.Sprintf(form, v...)})
	}
	if f.Version != Version {
		bad("version", "%d is not %d, the version that this program reads", f.Version, Version)
	}
	if err := CheckName(f.Name); err != nil {
		bad("name", "%v", err)
	}
	if _, _, err := net.SplitHostPort(f.API); err != nil {
		bad("api", "%q is no host:port", f.API)
	}
	if len(f.Coordinators) == 0 {
		bad("coordinators", "none")
	}
	for name, address := range f.Coordinators {
		if err := CheckName(name); err != nil {
			bad("coordinators."+name, "%v", err)
		}
		if _, _, err := net.SplitHostPort(address); err != nil {
			bad("coordinators."+name, "%q is no host:port", address)
		}
	}
	if f.MaxWatchers < 1 || f.MaxWatchers > MaxObserverWatchers {
		bad("max_watchers", "%d is not from 1 to %d", f.MaxWatchers, MaxObserverWatchers)
	}
	if !(f.JoinsPerSecond >= 1 && f.JoinsPerSecond <= MaxJoinsPerSecond) {
		bad("joins_per_second", "%v is not from 1 to %d", f.JoinsPerSecond, MaxJoinsPerSecond)
	}
	if f.WatcherBytes < MinWatcherBytes || f.WatcherBytes > MaxWatcherBytes {
		bad("watcher_bytes", "%d is not from %d to %d", f.WatcherBytes, MinWatcherBytes, MaxWatcherBytes)
	}
	switch f.LogLevel {
	case "debug", "info", "warn", "error":
	default:
		bad("log_level", "%q is none of debug, info, warn, error", f.LogLevel)
	}
	if err := errors.Join(problems...); err != nil {
		return Observer{}, err
	}
	return f, nil
}
