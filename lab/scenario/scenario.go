// Package scenario reads scenario files: a fleet, a load, a time line of faults and what must hold. The same files are for
// the laboratory on loopback and in virtual time. docs/laboratory.md describes each key.
package scenario

import (
	"embed"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"

	"dockhinge.example/dockhinge/internal/configerror"
	"dockhinge.example/dockhinge/lab/fakes"
	"dockhinge.example/dockhinge/lab/load"
	"dockhinge.example/dockhinge/lab/model"
)

// File is a scenario.
type File struct {
	Version   int                   `toml:"version"`
	Base      string                `toml:"base"` // a shipped scenario whose keys hold where this one is silent; lists are taken whole
	Name      string                `toml:"name"`
	About     string                `toml:"about"`
	DurationS float64               `toml:"duration_s"` // of the load, once the routers are ready
	WarmS     float64               `toml:"warm_s"`     // at its beginning, not counted in what must hold
	Seed      uint64                `toml:"seed"`
	Fleet     Fleet                 `toml:"fleet"`
	Kinds     []Kind                `toml:"kind"`
	Origin    model.Params          `toml:"origin"`
	Discovery model.DirectoryParams `toml:"discovery"`
	Classes   []load.Class          `toml:"class"`
	Load      load.Params           `toml:"load"`
	Faults    []Fault               `toml:"fault"`
	Expect    Expect                `toml:"expect"`
}

// Fleet describes the routers and where all stand.
type Fleet struct {
	Routers      int      `toml:"routers"`
	Zones        []string `toml:"zones"`
	Relays       bool     `toml:"relays"`        // a relay between each router and each server, where faults of the network need one
	ZoneDelayMS  float64  `toml:"zone_delay_ms"` // one way, between zones; needs relays
	MemoryMB     int      `toml:"memory_mb"`     // of a router
	Sockets      int      `toml:"sockets"`       // of a router
	MaxAttempts  int      `toml:"max_attempts"`
	Probes       bool     `toml:"probes"`
	RetryAfter   bool     `toml:"retry_after"`
	Cancel       bool     `toml:"cancel"`
	AskList      bool     `toml:"ask_list"`      // discovery is asked; else it is an agent that answers at once
	DrainGrace   float64  `toml:"drain_grace_s"` // the rule on drains
	NoticeMS     float64  `toml:"notice_ms"`     // the front notices a router's death this much later
	Cells        int      `toml:"cells"`         // servers are dealt into so many cells
	Operator     string   `toml:"operator"`      // an operator file, for each router
	Coordinators int      `toml:"coordinators"`  // 0 to 9; the routers are their clients, and one probes a server for all
	Warm         bool     `toml:"warm"`          // servers begin with the most popular keys in memory
	Out          Out      `toml:"out"`           // budgets of who may be out; needs coordinators
}

// Out bounds what may be out at once by the fleet's agreement; all 0: it is off.
type Out struct {
	Routers int     `toml:"routers"`
	Servers int     `toml:"servers"`
	WarmS   float64 `toml:"warm_s"` // one that is back counts as out for so long
	Quorum  int     `toml:"quorum"` // so many routers must find a server bad for all to leave it out; 0 = each for itself
	Busy    float64 `toml:"busy"`   // where the fleet refuses or fails more than this share, nothing new goes out; 0 = whatever it does
}

// On reports whether there are budgets.
func (o Out) On() bool { return o.Routers > 0 || o.Servers > 0 }

// Kind is a kind of cache server.
type Kind struct {
	Name  string       `toml:"name"`
	Count int          `toml:"count"`
	Model model.Params `toml:"model"`
}

// Fault is one trouble on the time line.
type Fault struct {
	AtS      float64  `toml:"at_s"`
	What     string   `toml:"what"`
	ForS     float64  `toml:"for_s"`    // until it is over; 0 = to the end of the run
	Share    float64  `toml:"share"`    // of servers or routers that it meets, 0 to 1
	Count    int      `toml:"count"`    // so many of them, where share is 0
	Servers  []string `toml:"servers"`  // or these, by id
	Spoil    string   `toml:"spoil"`    // spoil: how
	Answers  float64  `toml:"answers"`  // spoil: share of the answers
	BytesS   float64  `toml:"bytes_s"`  // slow: of answers
	DelayMS  float64  `toml:"delay_ms"` // network: one way
	Batch    int      `toml:"batch"`    // deploy, roll: how many at a time
	DrainS   float64  `toml:"drain_s"`  // deploy, shrink: between the word that one leaves and its end
	DownS    float64  `toml:"down_s"`   // deploy, roll: between an end and the next start
	Versions int64    `toml:"versions"` // rewind: back by so many
}

// Expect is what must hold. A rule broken is never borne.
type Expect struct {
	Service float64 `toml:"service"`   // at least this share of the worth, after the warm-up
	Served  int     `toml:"served"`    // at least so many requests served
	Tail    float64 `toml:"tail"`      // at least this share of the worth in the last fifth of the run: it has healed
	Tries   float64 `toml:"attempts"`  // at most so many attempts for a request; 0 = no bound
	Rude    bool    `toml:"rude_told"` // misbehaving clients are each told or closed on
}

// Kinds of faults, and which of the further keys each needs.
var what = map[string][]string{
	"crash": {"part"}, "silence": {"part"}, "spoil": {"part", "spoil"}, "slow": {"part", "bytes_s"}, "shrink": {"part"},
	"deploy": {"part", "batch"}, "roll": {"batch"}, "discovery-down": nil, "watches-silent": nil, "rewind": {"versions"}, "origin-busy": nil,
	"partition-there": {"part", "relays"}, "partition-back": {"part", "relays"}, "partition": {"part", "relays"},
	"delay": {"part", "relays", "delay_ms"}, "rude": nil, "upgrade": nil, "release": nil, "reload": nil, "move-discovery": nil, "discovery-silent": nil, "end-routers": {"part"}, "signals": {"part"}, "upgrade-one": nil, "crowd": nil,
	"coordinators-die": {"coordinators"}, "coordinator-dies": {"coordinators"},
	"change-servers": {"part", "out"}, "change-routers": {"part", "out"}, "release-routers": {"out"}, "kill-routers": {"part"}, "stop-routers": {"part"}, "cut-routers": {"part", "out"}, "tools-die": {"count", "out"}, "tools-stop": {"count", "out"},
}

// FaultNames lists the faults that a scenario may name.
func FaultNames() (names []string) {
	for name := range what {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Defaults are what a scenario leaves out.
func Defaults() File {
	return File{DurationS: 20, WarmS: 3, Seed: 1, Load: load.Defaults(),
		Fleet: Fleet{Routers: 2, Zones: []string{"a"}, MemoryMB: 64, Sockets: 512, MaxAttempts: 3, Probes: true, RetryAfter: true,
			Cancel: true, AskList: true, DrainGrace: 2, NoticeMS: 1500, Cells: 2, Warm: true},
		Origin:    model.Params{Cores: 8, Speed: 1, Queue: 200, Origin: true, ReportEveryMS: 250, KeyedMS: 3000},
		Discovery: model.DirectoryParams{LateMS: [2]float64{500, 1500}, CallsPerS: 40, TimeoutMS: 2000}}
}

//go:embed files/*.toml files/agreement/*.toml
var shipped embed.FS

// Shipped lists the scenarios that come with the laboratory.
func Shipped() (names []string) {
	files, _ := fs.Glob(shipped, "files/*.toml") // the pattern is well-formed
	for _, f := range files {
		names = append(names, strings.TrimSuffix(path.Base(f), ".toml"))
	}
	return names
}

// Load reads a scenario: a file, or one that is shipped by its name.
func Load(name string) (File, error) {
	if !strings.ContainsAny(name, "/.") {
		text, err := shipped.ReadFile("files/" + name + ".toml")
		if err != nil {
			return File{}, fmt.Errorf("scenario %q: not shipped; there are %s", name, strings.Join(Shipped(), ", "))
		}
		return Parse(name, text)
	}
	text, err := os.ReadFile(name)
	if err != nil {
		return File{}, fmt.Errorf("scenario: %w", err)
	}
	return Parse(name, text)
}

// Parse reads a scenario from its text.
func Parse(name string, text []byte) (File, error) {
	f := Defaults()
	if err := f.decode(name, text, 0); err != nil {
		return File{}, err
	}
	if err := f.check(); err != nil {
		return File{}, fmt.Errorf("%s: %w", name, err)
	}
	f.finish()
	return f, nil
}

// With is the scenario with one key changed, as "load.rate" and a value in TOML.
func (f File) With(key, value string) (File, error) {
	if err := f.decode(key+" = "+value, []byte(key+" = "+value), 0); err != nil {
		return File{}, err
	}
	if err := f.check(); err != nil {
		return File{}, fmt.Errorf("%s = %s: %w", key, value, err)
	}
	f.finish()
	return f, nil
}

// finish hands to the load what it takes from the rest of the scenario.
func (f *File) finish() {
	f.Load.Classes, f.Load.Seed, f.Load.Zones, f.Load.FromMS = f.Classes, f.Seed, nil, f.WarmS*1000
	for i, z := range f.Fleet.Zones { // uneven on purpose: the first zone has more traffic than its share
		f.Load.Zones = append(f.Load.Zones, load.Zone{Name: z, Share: 1 + 0.5*float64(len(f.Fleet.Zones)-1-i)})
	}
}

// maxBases bounds how many scenarios may stand under one another.
const maxBases = 8

// decode reads a text over what its bases say. Keys that the file does not name keep their value; lists are taken whole.
func (f *File) decode(name string, text []byte, depth int) error {
	var first struct{ Base string }
	if toml.Unmarshal(text, &first) == nil && first.Base != "" { // what else is wrong shows below
		base, err := shipped.ReadFile("files/" + first.Base + ".toml")
		if err != nil || depth == maxBases {
			return configerror.Problem{File: name, Setting: "base", Reason: fmt.Sprintf("%q is not shipped, or stands on itself", first.Base)}
		}
		if err := f.decode(first.Base, base, depth+1); err != nil {
			return err
		}
		f.Name, f.About, f.Expect, f.Faults = "", "", Expect{}, nil
	}
	kinds, classes := f.Kinds, f.Classes
	f.Kinds, f.Classes = nil, nil
	err := configerror.DecodeTOML(name, text, f)
	if f.Kinds == nil {
		f.Kinds = kinds
	}
	if f.Classes == nil {
		f.Classes = classes
	}
	return err
}

// check names the first key that is missing or impossible.
func (f *File) check() error {
	bad := func(key string, v any) error { return fmt.Errorf("%s: impossible value %v", key, v) }
	switch {
	case f.Version != 1:
		return bad("version", f.Version)
	case f.Name == "":
		return errors.New("name: missing")
	case !(f.DurationS > 0) || f.DurationS > 3600:
		return bad("duration_s", f.DurationS)
	case f.Fleet.Routers < 1 || f.Fleet.Routers > 64:
		return bad("fleet.routers", f.Fleet.Routers)
	case f.Fleet.Coordinators < 0 || f.Fleet.Coordinators > 9:
		return bad("fleet.coordinators", f.Fleet.Coordinators)
	case f.Fleet.Coordinators > 0 && f.Fleet.Operator != "":
		return errors.New("fleet.coordinators: the routers' operator file is the laboratory's then, and fleet.operator must not name another")
	case len(f.Fleet.Zones) == 0:
		return errors.New("fleet.zones: none")
	case f.Fleet.ZoneDelayMS > 0 && !f.Fleet.Relays:
		return errors.New("fleet.zone_delay_ms: needs fleet.relays = true")
	case len(f.Kinds) == 0:
		return errors.New("kind: none")
	case len(f.Classes) == 0:
		return errors.New("class: none")
	}
	servers := 0
	for i, k := range f.Kinds {
		if err := k.Model.Check(); err != nil {
			return fmt.Errorf("kind[%d].model.%w", i, err)
		}
		if k.Name == "" || k.Name == "origin" || k.Count < 1 {
			return fmt.Errorf("kind[%d]: needs a name other than origin, and a count", i)
		}
		servers += k.Count
	}
	if servers > 200 {
		return fmt.Errorf("kind: %d cache servers, 200 at most on loopback", servers)
	}
	if f.Origin.Origin = true; f.Origin.Check() != nil {
		return fmt.Errorf("origin.%w", f.Origin.Check())
	}
	for i, c := range f.Classes {
		if c.Name == "" || !(c.Share > 0) || !(c.AimMS > 0) || !(c.LimitMS > 0) || !(c.Worth > 0) || !(c.WorkMS > 0) {
			return fmt.Errorf("class[%d]: name, share, aim_ms, deadline_ms, worth and work_ms must be there and above 0", i)
		}
		if c.Effect != "repeatable" && c.Effect != "by_key" && c.Effect != "once" {
			return bad(fmt.Sprintf("class[%d].effect", i), c.Effect)
		}
		if c.Effect == "by_key" && (c.Scope != "all" && c.Scope != "zone" && c.Scope != "cell" || !(c.WindowMS > 0)) {
			return fmt.Errorf("class[%d]: by_key needs scope (all, zone or cell) and window_ms", i)
		}
	}
	for i, t := range f.Faults {
		needs, ok := what[t.What]
		at := fmt.Sprintf("fault[%d].", i)
		if !ok {
			return fmt.Errorf("%swhat: %q is none of %s", at, t.What, strings.Join(FaultNames(), ", "))
		}
		for _, n := range needs {
			lacks := map[string]bool{"part": t.Share <= 0 && t.Count <= 0 && len(t.Servers) == 0, "spoil": !slices.Contains(fakes.Spoils, t.Spoil) || t.Answers <= 0,
				"bytes_s": t.BytesS <= 0, "batch": t.Batch < 1, "relays": !f.Fleet.Relays, "coordinators": f.Fleet.Coordinators == 0, "versions": t.Versions < 1, "count": t.Count < 1, "out": !f.Fleet.Out.On() || f.Fleet.Coordinators == 0, "delay_ms": t.DelayMS <= 0}[n]
			if lacks {
				return fmt.Errorf("%swhat: %s needs %s", at, t.What, map[string]string{"part": "share, count or servers",
					"spoil": "spoil (" + strings.Join(fakes.Spoils, ", ") + ") and answers", "relays": "fleet.relays = true", "coordinators": "fleet.", "out": "fleet.coordinators and fleet."}[n]+
					map[bool]string{true: n}[n != "part" && n != "spoil" && n != "relays"])
			}
		}
		if t.AtS < 0 || t.ForS < 0 || t.Share < 0 || t.Share > 1 {
			return fmt.Errorf("%sat_s, for_s or share: impossible", at)
		}
	}
	return f.Load.Check()
}
