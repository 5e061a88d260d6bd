package config

import (
	"strings"
	"testing"
)

// An observer's file is read with its defaults, and each mistake in one is told with file and setting.
func TestObserverFile(t *testing.T) {
	good := "version = 1\nname = \"o1\"\napi = \"a:1\"\n[coordinators]\nc1 = \"b:2\"\n"
	f, err := ParseObserver("o.toml", []byte(good))
	if err != nil || f.MaxWatchers != 2048 || f.JoinsPerSecond != 200 || f.WatcherBytes != 256<<10 || f.Coordinators["c1"] != "b:2" {
		t.Errorf("%+v, %v", f, err)
	}
	for text, want := range map[string]string{
		"":                                    "coordinators: none",
		strings.Replace(good, "1", "2", 1):    "version: 2 is not 1",
		strings.Replace(good, "o1", "o 1", 1): "name: \"o 1\" is no name",
		strings.Replace(good, "a:1", "a", 1):  "api: \"a\" is no host:port",
		strings.Replace(good, "b:2", "b", 1):  "coordinators.c1: \"b\" is no host:port",
		"max_watchers = 9000\n" + good:        "max_watchers: 9000 is not from 1 to 8192",
		"joins_per_second = 0.5\n" + good:     "joins_per_second: 0.5 is not from 1",
		"watcher_bytes = 1\n" + good:          "watcher_bytes: 1 is not from 16384",
		"log_level = \"loud\"\n" + good:       "log_level: \"loud\" is none",
		"dir = \"there is none\"\n" + good:    "dir",
		strings.Repeat("#", maxFile+1) + good: "at most",
	} {
		if _, err := ParseObserver("o.toml", []byte(text)); err == nil || !strings.Contains(err.Error(), want) || !strings.Contains(err.Error(), "o.toml") {
			t.Errorf("%q: %v, want %q", text, err, want)
		}
	}
}
