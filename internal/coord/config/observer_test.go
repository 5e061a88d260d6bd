package config

import (
	"strings"
	"testing"
)

// A valid observer file is read with the defaults; each problem is reported with the file and the
// setting.
func TestMistakesInObserverFileAreReported(t *testing.T) {
	good := "version = 1\nname = \"o1\"\napi = \"a:1\"\n[coordinators]\nc1 = \"b:2\"\n"
	t.Run("defaults", func(t *testing.T) {
		f, err := ParseObserver("o.toml", []byte(good))
		if err != nil {
			t.Fatal(err)
		}
		if f.MaxWatchers != 2048 || f.JoinsPerSecond != 200 || f.WatcherBytesPerSecond != 256<<10 {
			t.Errorf("%+v", f)
		}
		if f.Coordinators["c1"] != "b:2" {
			t.Errorf("coordinators %v", f.Coordinators)
		}
	})
	for _, mistake := range []struct{ name, text, want string }{
		{"empty", "", "coordinators: none"},
		{"version", strings.Replace(good, "1", "2", 1), "version: 2 is not 1"},
		{"name", strings.Replace(good, "o1", "o 1", 1), "name: \"o 1\" is not a name"},
		{"api", strings.Replace(good, "a:1", "a", 1), "api: \"a\" is not a host:port"},
		{"coordinator", strings.Replace(good, "b:2", "b", 1), "coordinators.c1: \"b\" is not a host:port"},
		{"watchers", "max_watchers = 9000\n" + good, "max_watchers: 9000 is not from 1 to 8192"},
		{"joins", "joins_per_second = 0.5\n" + good, "joins_per_second: 0.5 is not from 1"},
		{"bytes", "watcher_bytes = 1\n" + good, "watcher_bytes: 1 is not from 16384"},
		{"log level", "log_level = \"loud\"\n" + good, "log_level: \"loud\" is not one of debug, info, warn, error"},
		{"unknown key", "dir = \"there is none\"\n" + good, "dir"},
		{"too long", strings.Repeat("#", maxFileBytes+1) + good, "at most"},
	} {
		t.Run(mistake.name, func(t *testing.T) {
			_, err := ParseObserver("o.toml", []byte(mistake.text))
			expectProblem(t, err, "o.toml", mistake.want)
		})
	}
}
