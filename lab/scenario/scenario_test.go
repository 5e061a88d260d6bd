package scenario

import (
	"strings"
	"testing"
)

func TestShippedScenariosAreComplete(t *testing.T) {
	if len(Shipped()) < 10 {
		t.Errorf("%v", Shipped())
	}
	for _, name := range Shipped() {
		f, err := Load(name)
		if err != nil {
			t.Error(err)
			continue
		}
		if f.Name != name || f.About == "" {
			t.Errorf("%s: named %q, about %q", name, f.Name, f.About)
		}
		for _, x := range f.Faults {
			if x.AtS >= f.DurationS {
				t.Errorf("%s: %s at %v s of %v", name, x.What, x.AtS, f.DurationS)
			}
		}
	}
}

func TestInvalidScenarioErrorNamesTheKey(t *testing.T) {
	for text, want := range map[string]string{
		"version = 1\nbase = \"calm\"\nname = \"x\"\nfurther = 1\n":                                                          "x:4: further: unknown key",
		"version = 1\nbase = \"none\"\nname = \"x\"\n":                                                                       `base: "none" is not shipped`,
		"version = 1\nname = \"x\"\n":                                                                                        "kind: at least one is required",
		"version = 2\nbase = \"calm\"\nname = \"x\"\n":                                                                       "version: impossible value 2",
		"version = 1\nbase = \"calm\"\n":                                                                                     "name: missing",
		"version = 1\nbase = \"calm\"\nname = \"x\"\n[load]\nshape = \"odd\"\n":                                              "load.shape: impossible value odd",
		"version = 1\nbase = \"calm\"\nname = \"x\"\n[[fault]]\nwhat = \"meteor\"\n":                                         `fault[0].what: "meteor" is not one of`,
		"version = 1\nbase = \"calm\"\nname = \"x\"\n[[fault]]\nwhat = \"crash\"\n":                                          "crash needs share, count or servers",
		"version = 1\nbase = \"calm\"\nname = \"x\"\n[[fault]]\nwhat = \"spoil\"\nshare = 0.5\nspoil = \"odd\"\nanswers=1.0": "spoil needs spoil (cut, noise",
		"version = 1\nbase = \"calm\"\nname = \"x\"\n[[fault]]\nwhat = \"partition\"\nshare = 0.5\n":                         "partition needs fleet.relays = true",
		"version = 1\nbase = \"calm\"\nname = \"x\"\n[fleet]\nzone_delay_ms = 3.0\n":                                         "fleet.zone_delay_ms: needs fleet.relays",
		"version = 1\nbase = \"calm\"\nname = \"x\"\n[[kind]]\nname=\"k\"\ncount=1\nmodel={cores=0}\n":                       "kind[0].model.cores: impossible value 0",
	} {
		if _, err := Parse("x", []byte(text)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s\n got %v\nwant %s", text, err, want)
		}
	}
}

func TestWithChangesOneKey(t *testing.T) {
	f, err := Load("crash")
	if err != nil {
		t.Fatal(err)
	}
	g, err := f.With("load.rate", "77")
	if err != nil || g.Load.Rate != 77 || f.Load.Rate == 77 || len(g.Faults) != len(f.Faults) ||
		len(g.Kinds) != len(f.Kinds) || g.Load.Zipf != f.Load.Zipf {
		t.Errorf("%v: %+v", err, g.Load)
	}
	if _, err := f.With("load.rat", "77"); err == nil || !strings.Contains(err.Error(), "load.rat: unknown key") {
		t.Error(err)
	}
	if _, err := f.With("fleet.operator", `"x.toml"`); err != nil {
		t.Error(err)
	}
}
