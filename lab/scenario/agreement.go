package scenario

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"

	"dockhinge.example/dockhinge/internal/configerror"
)

// Agreement is a scenario of coordinators and leaseholders: which processes run and which faults
// may occur. The order of faults depends on the seed alone.
type Agreement struct {
	Version      int         `toml:"version"`
	Name         string      `toml:"name"`
	About        string      `toml:"about"`
	Seed         uint64      `toml:"seed"`
	DurationS    float64     `toml:"duration_s"` // of the fault phase, at whose end all faults are undone
	HealS        float64     `toml:"heal_s"`     // after it, within which all leases must be held again
	Coordinators int         `toml:"coordinators"`
	Holders      int         `toml:"holders"`
	Leases       int         `toml:"leases"`
	TTLS         float64     `toml:"ttl_s"`
	ClockRate    float64     `toml:"clock_rate"`     // bound on clock drift; clocks run at a bound or without drift
	SnapshotEach int         `toml:"snapshot_every"` // entries between snapshots
	EveryS       float64     `toml:"every_s"`        // mean time between two faults
	Faults       []FaultKind `toml:"fault"`          // the kinds to draw from
}

// FaultKind is a kind of fault, its relative frequency and the range of its duration in seconds.
type FaultKind struct {
	What   string     `toml:"what"`
	Weight float64    `toml:"weight"`
	ForS   [2]float64 `toml:"for_s"`
}

// ScheduledFault is one fault drawn by Schedule.
type ScheduledFault struct {
	AtS, ForS    float64
	What         string
	Target, Peer int     // indices of coordinators or holders, depending on the kind
	U            float64 // random number from 0 to 1 for use by the kind
}

// faultTargets maps each kind to its target and peer: c is a coordinator, h a leaseholder.
var faultTargets = map[string]string{
	// Kill: SIGKILL and restart. Stop: SIGSTOP, later SIGCONT.
	"kill-coordinator": "c", "stop-coordinator": "c", "kill-holder": "h", "stop-holder": "h",
	// Between two coordinators: cut drops both directions and resets the connections at its end;
	// hold-there holds back one direction and delivers it late.
	"cut": "cc", "hold-there": "cc", "delay": "cc",
	"cut-clients":  "c",  // cuts a coordinator off from all holders
	"hold-answers": "hc", // a holder's requests arrive, but the answers are late
	"hold-asks":    "hc", // a holder's requests are late
	// A holder's answers are late and then missing: a period counted from the arrival of an answer
	// would last too long.
	"slow-then-cut": "h",
	"late-acts":     "h", // a holder's acts reach the resource late
	// Faults of a coordinator's disk; it is damaged or wiped while the coordinator is down.
	"damage": "c", "wipe": "c", "disk-full": "c",
	"restart-all": "", // kills and restarts all coordinators
}

// ParseAgreement parses the text of a scenario of coordinators and holders; path names it in
// errors.
func ParseAgreement(path string, text []byte) (Agreement, error) {
	f := Agreement{Seed: 1, DurationS: 20, HealS: 15, Coordinators: 5, Holders: 8, Leases: 3, TTLS: 2,
		ClockRate: 0.01, SnapshotEach: 200, EveryS: 0.7}
	if err := configerror.DecodeTOML(path, text, &f); err != nil {
		return f, err
	}
	var problems []error
	bad := func(setting, form string, v ...any) {
		problems = append(problems, configerror.Problem{File: path, Setting: setting, Reason: fmt.Sprintf(form, v...)})
	}
	if f.Version != 1 {
		bad("version", "%d is not 1", f.Version)
	}
	if f.Coordinators < 1 || f.Coordinators > 9 {
		bad("coordinators", "%d is not from 1 to 9", f.Coordinators)
	}
	if f.Holders < 1 || f.Holders > 300 {
		bad("holders", "%d is not from 1 to 300", f.Holders)
	}
	if f.Leases < 1 || f.Leases > 1000 {
		bad("leases", "%d is not from 1 to 1,000", f.Leases)
	}
	if f.TTLS < 1 || f.TTLS > 300 {
		bad("ttl_s", "%v is not from 1 to 300", f.TTLS)
	}
	if f.DurationS <= 0 || f.EveryS <= 0 {
		bad("every_s", "%v and duration_s %v must be over 0", f.EveryS, f.DurationS)
	}
	for i, k := range f.Faults {
		if _, ok := faultTargets[k.What]; !ok {
			bad(fmt.Sprintf("fault[%d].what", i), "%q is not a known fault", k.What)
		}
		if k.Weight <= 0 || k.ForS[0] < 0 || k.ForS[1] < k.ForS[0] {
			bad(fmt.Sprintf("fault[%d]", i), "weight %v must be over 0 and for_s %v a range", k.Weight, k.ForS)
		}
	}
	return f, errors.Join(problems...)
}

// LoadAgreement reads a shipped scenario of coordinators and holders: leases or slow.
func LoadAgreement(name string) (Agreement, error) {
	text, err := shipped.ReadFile("files/agreement/" + name + ".toml")
	if err != nil {
		return Agreement{}, fmt.Errorf("scenario %q of coordinators and holders: not shipped", name)
	}
	return ParseAgreement(name+".toml", text)
}

// Schedule draws the faults of the scenario's seed, sorted by time.
func (f Agreement) Schedule() (all []ScheduledFault) {
	rng := rand.New(rand.NewPCG(f.Seed, 31))
	sum := 0.0
	for _, k := range f.Faults {
		sum += k.Weight
	}
	// At most one fault per run destroys a disk: two lost disks and a third coordinator down would
	// lose a majority.
	once := map[string]bool{}
	for at := rng.ExpFloat64() * f.EveryS; at < f.DurationS && sum > 0; at += rng.ExpFloat64() * f.EveryS {
		u, i := rng.Float64()*sum, 0
		for u -= f.Faults[0].Weight; u > 0 && i < len(f.Faults)-1; u -= f.Faults[i].Weight {
			i++
		}
		k := f.Faults[i]
		t := ScheduledFault{AtS: at, ForS: k.ForS[0] + rng.Float64()*(k.ForS[1]-k.ForS[0]),
			What: k.What, U: rng.Float64()}
		targetCount, peerCount := f.Coordinators, f.Coordinators
		switch faultTargets[k.What] {
		case "h":
			targetCount = f.Holders
		case "hc":
			targetCount = f.Holders
		}
		t.Target, t.Peer = rng.IntN(targetCount), rng.IntN(peerCount)
		if faultTargets[k.What] == "cc" && t.Target == t.Peer {
			t.Peer = (t.Peer + 1) % peerCount
		}
		if k.What == "damage" || k.What == "wipe" {
			if once["disk"] {
				continue
			}
			once["disk"] = true
		}
		all = append(all, t)
	}
	slices.SortStableFunc(all, func(a, b ScheduledFault) int { return int(a.AtS*1e6) - int(b.AtS*1e6) })
	return all
}
