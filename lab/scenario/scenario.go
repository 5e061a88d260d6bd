// Package scenario reads scenario files: a fleet, a load, a timeline of faults and the expected
// results. The same files are played with real processes on loopback and in virtual time.
// docs/laboratory.md describes each key.
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

// File is one scenario. Its durations are in seconds or milliseconds, as the suffix of the name
// says.
type File struct {
	Version   int                   `toml:"version"`
	Base      string                `toml:"base"` // shipped scenario that provides missing keys, lists as a whole
	Name      string                `toml:"name"`
	About     string                `toml:"about"`
	DurationS float64               `toml:"duration_s"` // of the load, once the routers are ready
	WarmS     float64               `toml:"warm_s"`     // warm-up at its beginning, ignored by the expectations
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

// Fleet describes the routers, the zones and the network between them.
type Fleet struct {
	Routers      int      `toml:"routers"`
	Zones        []string `toml:"zones"`
	Relays       bool     `toml:"relays"`               // a relay between each router and server, for network faults
	ZoneDelayMS  float64  `toml:"zone_delay_ms"`        // one-way delay between zones; needs relays
	MemoryMB     int      `toml:"memory_mb"`            // limit for each router
	Sockets      int      `toml:"sockets"`              // limit for each router
	Processors   int      `toml:"processors,omitempty"` // number that the routers share; 0 = all
	MaxAttempts  int      `toml:"max_attempts"`
	Probes       bool     `toml:"probes"`
	RetryAfter   bool     `toml:"retry_after"`
	Cancel       bool     `toml:"cancel"`
	AskList      bool     `toml:"ask_list"`      // routers query discovery; otherwise an agent answers at once
	DrainGrace   float64  `toml:"drain_grace_s"` // seconds that the drain rule allows
	NoticeMS     float64  `toml:"notice_ms"`     // delay until the front detects that a router has exited
	Cells        int      `toml:"cells"`         // number of cells into which the servers are divided
	Operator     string   `toml:"operator"`      // operator file for each router
	Coordinators int      `toml:"coordinators"`  // 0 to 9; with them one router probes a server for all
	Warm         bool     `toml:"warm"`          // servers start with the most popular keys in memory
	Out          Out      `toml:"out"`           // budgets for routers and servers that are out; needs coordinators
}

// Out limits how many routers and cache servers may be out at the same time, as the coordinators
// enforce it. The zero value turns it off.
type Out struct {
	Routers int     `toml:"routers"`
	Servers int     `toml:"servers"`
	WarmS   float64 `toml:"warm_s"` // how long one that has returned still counts as out
	Quorum  int     `toml:"quorum"` // routers that must report a server before all eject it; 0 = each on its own
	Busy    float64 `toml:"busy"`   // no new permits while a larger share of requests is not served; 0 = no limit
}

// On reports whether any budget is set.
func (o Out) On() bool { return o.Routers > 0 || o.Servers > 0 }

// Kind is a kind of cache server.
type Kind struct {
	Name  string       `toml:"name"`
	Count int          `toml:"count"`
	Model model.Params `toml:"model"`
}

// Fault is one fault on the timeline.
type Fault struct {
	AtS      float64  `toml:"at_s"`
	What     string   `toml:"what"`
	ForS     float64  `toml:"for_s"`    // duration; 0 = to the end of the run
	Share    float64  `toml:"share"`    // share of servers or routers affected, 0 to 1
	Count    int      `toml:"count"`    // number of servers or routers affected if Share is 0
	Servers  []string `toml:"servers"`  // or the IDs of the affected servers
	Spoil    string   `toml:"spoil"`    // spoil: kind of damage
	Answers  float64  `toml:"answers"`  // spoil: share of answers affected
	BytesS   float64  `toml:"bytes_s"`  // slow, origin-slow-read: bytes per second of answers or of values read
	DelayMS  float64  `toml:"delay_ms"` // network: one-way delay
	Batch    int      `toml:"batch"`    // deploy, roll: how many at a time
	DrainS   float64  `toml:"drain_s"`  // deploy, shrink: time between announcing a removal and the stop
	DownS    float64  `toml:"down_s"`   // deploy, roll: time between the stop and the restart
	Versions int64    `toml:"versions"` // rewind: number of versions to go back
}

// Expect holds the expectations of a run. A broken rule fails a run regardless of them.
type Expect struct {
	Service float64 `toml:"service"`   // minimum share of the worth gained after the warm-up
	Served  int     `toml:"served"`    // minimum number of requests served
	Tail    float64 `toml:"tail"`      // like Service, for the last fifth of the run, by when the fleet must recover
	Tries   float64 `toml:"attempts"`  // maximum of attempts per request; 0 = no limit
	Rude    bool    `toml:"rude_told"` // each misbehaving client gets an error or is disconnected
}

// faultRequirements maps each kind of fault to the further keys that it needs.
var faultRequirements = map[string][]string{
	"crash": {"part"}, "silence": {"part"}, "spoil": {"part", "spoil"}, "slow": {"part", "bytes_s"}, "shrink": {"part"},
	"deploy": {"part", "batch"}, "roll": {"batch"}, "discovery-down": nil, "watches-silent": nil,
	"rewind": {"versions"}, "origin-busy": nil,
	"partition-there": {"part", "relays"}, "partition-back": {"part", "relays"}, "partition": {"part", "relays"},
	"delay": {"part", "relays", "delay_ms"}, "rude": nil, "upgrade": nil, "release": nil, "reload": nil,
	"move-discovery": nil, "discovery-silent": nil, "end-routers": {"part"}, "signals": {"part"},
	"upgrade-one": nil, "crowd": nil, "origin-slow-read": {"bytes_s"}, "flood": {"count"},
	"request-flood":    {"count"},
	"coordinators-die": {"coordinators"}, "coordinator-dies": {"coordinators"},
	"change-servers": {"part", "out"}, "change-routers": {"part", "out"}, "release-routers": {"out"},
	"kill-routers": {"part"}, "stop-routers": {"part"}, "cut-routers": {"part", "out"},
	"tools-die": {"count", "out"}, "tools-stop": {"count", "out"},
}

// FaultNames returns the names of all kinds of faults, sorted.
func FaultNames() (names []string) {
	for name := range faultRequirements {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Defaults returns the values of the keys that a scenario leaves out.
func Defaults() File {
	return File{DurationS: 20, WarmS: 3, Seed: 1, Load: load.Defaults(),
		Fleet: Fleet{Routers: 2, Zones: []string{"a"}, MemoryMB: 64, Sockets: 512, MaxAttempts: 3,
			Probes: true, RetryAfter: true,
			Cancel: true, AskList: true, DrainGrace: 2, NoticeMS: 1500, Cells: 2, Warm: true},
		Origin:    model.Params{Cores: 8, Speed: 1, Queue: 200, Origin: true, ReportEveryMS: 250, KeyedMS: 3000},
		Discovery: model.DirectoryParams{LateMS: [2]float64{500, 1500}, CallsPerS: 40, TimeoutMS: 2000}}
}

//go:embed files/*.toml files/agreement/*.toml
var shipped embed.FS

// Shipped returns the names of the scenarios built into the program.
func Shipped() (names []string) {
	files, _ := fs.Glob(shipped, "files/*.toml") // the pattern is well-formed
	for _, f := range files {
		names = append(names, strings.TrimSuffix(path.Base(f), ".toml"))
	}
	return names
}

// Load reads a scenario: a file if name contains a slash or a dot, otherwise a shipped scenario.
func Load(name string) (File, error) {
	if !strings.ContainsAny(name, "/.") {
		text, err := shipped.ReadFile("files/" + name + ".toml")
		if err != nil {
			return File{}, fmt.Errorf("scenario %q is not shipped; the shipped scenarios are %s", name,
				strings.Join(Shipped(), ", "))
		}
		return Parse(name, text)
	}
	text, err := os.ReadFile(name)
	if err != nil {
		return File{}, fmt.Errorf("scenario: %w", err)
	}
	return Parse(name, text)
}

// Parse parses and checks the text of a scenario; name identifies it in errors.
func Parse(name string, text []byte) (File, error) {
	f := Defaults()
	if err := f.decode(name, text, 0); err != nil {
		return File{}, err
	}
	if err := f.check(); err != nil {
		return File{}, fmt.Errorf("%s: %w", name, err)
	}
	f.deriveLoad()
	return f, nil
}

// With returns the scenario with one key changed, such as "load.rate"; value is in TOML syntax.
func (f File) With(key, value string) (File, error) {
	if err := f.decode(key+" = "+value, []byte(key+" = "+value), 0); err != nil {
		return File{}, err
	}
	if err := f.check(); err != nil {
		return File{}, fmt.Errorf("%s = %s: %w", key, value, err)
	}
	f.deriveLoad()
	return f, nil
}

// deriveLoad sets the load parameters that follow from the rest of the scenario.
func (f *File) deriveLoad() {
	f.Load.Classes, f.Load.Seed, f.Load.Zones, f.Load.FromMS = f.Classes, f.Seed, nil, f.WarmS*1000
	for i, z := range f.Fleet.Zones { // uneven on purpose: earlier zones get more traffic than later ones
		f.Load.Zones = append(f.Load.Zones, load.Zone{Name: z, Share: 1 + 0.5*float64(len(f.Fleet.Zones)-1-i)})
	}
}

// maxBases limits the depth of a chain of base scenarios.
const maxBases = 8

// decode decodes the text on top of its base scenarios. Keys that the text does not contain keep
// their value; lists are replaced as a whole.
func (f *File) decode(name string, text []byte, depth int) error {
	var first struct{ Base string }
	if toml.Unmarshal(text, &first) == nil && first.Base != "" { // other errors are reported by DecodeTOML below
		base, err := shipped.ReadFile("files/" + first.Base + ".toml")
		if err != nil || depth == maxBases {
			return configerror.Problem{File: name, Setting: "base",
				Reason: fmt.Sprintf("%q is not shipped, or its chain of bases is too long or circular", first.Base)}
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

// check returns an error that names the first key that is missing or invalid.
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
		return errors.New("fleet.coordinators: the laboratory then writes the routers' operator file," +
			" and fleet.operator must not name another")
	case len(f.Fleet.Zones) == 0:
		return errors.New("fleet.zones: at least one is required")
	case f.Fleet.ZoneDelayMS > 0 && !f.Fleet.Relays:
		return errors.New("fleet.zone_delay_ms: needs fleet.relays = true")
	case len(f.Kinds) == 0:
		return errors.New("kind: at least one is required")
	case len(f.Classes) == 0:
		return errors.New("class: at least one is required")
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
			return fmt.Errorf("class[%d]: name, share, aim_ms, deadline_ms, worth and work_ms must be set"+
				" and above 0", i)
		}
		if c.Effect != "repeatable" && c.Effect != "by_key" && c.Effect != "once" {
			return bad(fmt.Sprintf("class[%d].effect", i), c.Effect)
		}
		if c.Effect == "by_key" && (c.Scope != "all" && c.Scope != "zone" && c.Scope != "cell" || !(c.WindowMS > 0)) {
			return fmt.Errorf("class[%d]: by_key needs scope (all, zone or cell) and window_ms", i)
		}
	}
	for i, t := range f.Faults {
		needs, ok := faultRequirements[t.What]
		at := fmt.Sprintf("fault[%d].", i)
		if !ok {
			return fmt.Errorf("%swhat: %q is not one of %s", at, t.What, strings.Join(FaultNames(), ", "))
		}
		for _, n := range needs {
			isMissing := map[string]bool{"part": t.Share <= 0 && t.Count <= 0 && len(t.Servers) == 0,
				"spoil":   !slices.Contains(fakes.Corruptions, t.Spoil) || t.Answers <= 0,
				"bytes_s": t.BytesS <= 0, "batch": t.Batch < 1, "relays": !f.Fleet.Relays,
				"coordinators": f.Fleet.Coordinators == 0, "versions": t.Versions < 1, "count": t.Count < 1,
				"out": !f.Fleet.Out.On() || f.Fleet.Coordinators == 0, "delay_ms": t.DelayMS <= 0}[n]
			if isMissing {
				return fmt.Errorf("%swhat: %s needs %s", at, t.What, map[string]string{
					"part":   "share, count or servers",
					"spoil":  "spoil (" + strings.Join(fakes.Corruptions, ", ") + ") and answers",
					"relays": "fleet.relays = true", "coordinators": "fleet.",
					"out": "fleet.coordinators and fleet."}[n]+
					map[bool]string{true: n}[n != "part" && n != "spoil" && n != "relays"])
			}
		}
		if t.AtS < 0 || t.ForS < 0 || t.Share < 0 || t.Share > 1 {
			return fmt.Errorf("%sat_s, for_s or share: out of range", at)
		}
	}
	return f.Load.Check()
}
