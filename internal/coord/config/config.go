// Package config reads the TOML files that operators write for coordinators, observers, budgets and
// releases. Each problem in a file is a configerror.Problem that names the file and the setting;
// the returned error joins all problems of the file.
package config

import (
	"time"

	"dockhinge.example/dockhinge/internal/coord"
)

// Limits and defaults of a coordinator's file.
const (
	minSnapshotEvery     = 16
	maxSnapshotEvery     = 1_000_000
	defaultSnapshotEvery = 8192

	minHeartbeat     = 100 * time.Millisecond
	maxHeartbeat     = 10 * time.Second
	defaultHeartbeat = "250ms"

	defaultLogLevel = "info"
)

// Coordinator is a coordinator's configuration file. docs/agreement.md describes each key.
type Coordinator struct {
	// Version is the version of the file format: 1.
	Version int `toml:"version"`
	// Name is unique among the coordinators.
	Name string `toml:"name"`
	// Dir is the directory of the coordinator's log, snapshots and identity.
	Dir string `toml:"dir"`
	// Listen is the host:port for the other coordinators.
	Listen string `toml:"listen"`
	// API is the host:port for clients.
	API string `toml:"api"`
	// MetricsAddress is a host:port that serves metrics and accepts no commands; "" disables it.
	MetricsAddress string `toml:"figures"`
	// ClockRate is the maximum fraction by which any clock may run fast or slow, 0 to 0.1; 0.01 by
	// default.
	ClockRate float64 `toml:"clock_rate"`
	// SnapshotEvery is the number of log entries between two snapshots, 16 to 1,000,000; 8192 by
	// default.
	SnapshotEvery uint64 `toml:"snapshot_every"`
	// Heartbeat is how long a leader may be silent before another is elected, 100ms to 10s; 250ms
	// by default.
	Heartbeat string `toml:"beat"`
	// LogLevel is debug, info, warn or error; info by default.
	LogLevel string `toml:"log_level"`
	// LogJSON selects JSON for log lines.
	LogJSON bool `toml:"log_json"`
	// Peers override, by name, the addresses at which this coordinator connects to others.
	Peers map[string]string `toml:"peers"`
}

// HeartbeatTimeout returns Heartbeat as a duration. The file must have been checked.
func (f Coordinator) HeartbeatTimeout() time.Duration {
	d, _ := time.ParseDuration(f.Heartbeat)
	return d
}

// LoadCoordinator reads a coordinator's file at path.
func LoadCoordinator(path string) (Coordinator, error) {
	text, err := readFile("coordinator's file", path)
	if err != nil {
		return Coordinator{}, err
	}
	return ParseCoordinator(path, text)
}

// ParseCoordinator parses the content of a coordinator's file at path.
func ParseCoordinator(path string, text []byte) (Coordinator, error) {
	f := Coordinator{
		ClockRate:     coord.DefaultClockRateBound,
		SnapshotEvery: defaultSnapshotEvery,
		Heartbeat:     defaultHeartbeat,
		LogLevel:      defaultLogLevel,
	}
	if err := decode(path, text, &f); err != nil {
		return Coordinator{}, err
	}
	c := &checker{path: path}
	c.version(f.Version)
	c.name("name", f.Name)
	if f.Dir == "" {
		c.add("dir", "empty")
	}
	f.checkAddresses(c)
	if !(f.ClockRate >= 0 && f.ClockRate <= coord.MaxClockRateBound) {
		c.add("clock_rate", "%v is not from 0 to %v", f.ClockRate, coord.MaxClockRateBound)
	}
	if f.SnapshotEvery < minSnapshotEvery || f.SnapshotEvery > maxSnapshotEvery {
		c.add("snapshot_every", "%d is not from 16 to 1,000,000", f.SnapshotEvery)
	}
	c.durationWithin("beat", f.Heartbeat, minHeartbeat, maxHeartbeat)
	c.logLevel(f.LogLevel)
	c.addresses("peers", f.Peers)
	if err := c.err(); err != nil {
		return Coordinator{}, err
	}
	return f, nil
}

func (f *Coordinator) checkAddresses(c *checker) {
	c.address("listen", f.Listen)
	c.address("api", f.API)
	isOwn := f.MetricsAddress != f.API && f.MetricsAddress != f.Listen
	if f.MetricsAddress != "" && !(isAddress(f.MetricsAddress) && isOwn) {
		c.add("figures", "%q is not a host:port other than listen and api", f.MetricsAddress)
	}
	if f.Listen != "" && f.Listen == f.API {
		c.add("api", "%q is also the address for the other coordinators", f.API)
	}
}
