package config

// Limits of an observer's file.
const (
	// MaxObserverWatchers is the highest limit on the watchers of one observer. Each watcher has
	// two connections.
	MaxObserverWatchers = 8192
	// MaxJoinsPerSecond is the highest limit on new watches per second.
	MaxJoinsPerSecond = 10_000
	// MinWatcherBytesPerSecond and MaxWatcherBytesPerSecond bound the limit on bytes per second to
	// each watcher.
	MinWatcherBytesPerSecond = 16 << 10
	MaxWatcherBytesPerSecond = 1 << 30
)

// Defaults of an observer's file.
const (
	// defaultWatchers is several times the number of routers per observer in a fleet with 12
	// observers.
	defaultWatchers     = 2048
	defaultJoins        = 200
	defaultWatcherBytes = 256 << 10
)

// Observer is an observer's configuration file. docs/observers.md describes each key.
type Observer struct {
	// Version is the version of the file format: 1.
	Version int `toml:"version"`
	// Name is the name of the observer.
	Name string `toml:"name"`
	// API is the host:port for routers and tools.
	API string `toml:"api"`
	// Coordinators are the coordinators' addresses for clients, by name.
	Coordinators map[string]string `toml:"coordinators"`
	// MaxWatchers is the maximum number of watchers, 1 to 8192; 2048 by default.
	MaxWatchers int `toml:"max_watchers"`
	// JoinsPerSecond is the maximum number of new watches per second, 1 to 10,000; 200 by default.
	JoinsPerSecond float64 `toml:"joins_per_second"`
	// WatcherBytesPerSecond is the maximum number of bytes per second to each watcher, 16 KiB to 1
	// GiB; 256 KiB by default.
	WatcherBytesPerSecond int `toml:"watcher_bytes"`
	// LogLevel is debug, info, warn or error; info by default.
	LogLevel string `toml:"log_level"`
	// LogJSON selects JSON for log lines.
	LogJSON bool `toml:"log_json"`
}

// LoadObserver reads an observer's file at path.
func LoadObserver(path string) (Observer, error) {
	text, err := readFile("observer's file", path)
	if err != nil {
		return Observer{}, err
	}
	return ParseObserver(path, text)
}

// ParseObserver parses the content of an observer's file at path.
func ParseObserver(path string, text []byte) (Observer, error) {
	f := Observer{
		MaxWatchers:           defaultWatchers,
		JoinsPerSecond:        defaultJoins,
		WatcherBytesPerSecond: defaultWatcherBytes,
		LogLevel:              defaultLogLevel,
	}
	if err := decode(path, text, &f); err != nil {
		return Observer{}, err
	}
	c := &checker{path: path}
	c.version(f.Version)
	c.name("name", f.Name)
	c.address("api", f.API)
	if len(f.Coordinators) == 0 {
		c.add("coordinators", "none")
	}
	c.addresses("coordinators", f.Coordinators)
	if f.MaxWatchers < 1 || f.MaxWatchers > MaxObserverWatchers {
		c.add("max_watchers", "%d is not from 1 to %d", f.MaxWatchers, MaxObserverWatchers)
	}
	if !(f.JoinsPerSecond >= 1 && f.JoinsPerSecond <= MaxJoinsPerSecond) {
		c.add("joins_per_second", "%v is not from 1 to %d", f.JoinsPerSecond, MaxJoinsPerSecond)
	}
	if f.WatcherBytesPerSecond < MinWatcherBytesPerSecond || f.WatcherBytesPerSecond > MaxWatcherBytesPerSecond {
		c.add("watcher_bytes", "%d is not from %d to %d",
			f.WatcherBytesPerSecond, MinWatcherBytesPerSecond, MaxWatcherBytesPerSecond)
	}
	c.logLevel(f.LogLevel)
	if err := c.err(); err != nil {
		return Observer{}, err
	}
	return f, nil
}
