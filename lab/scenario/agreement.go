package scenario

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"

	"dockhinge.example/dockhinge/internal/configerror"
)

// Agreement is a scenario of coordinators and leaseholders: who runs, and what may happen to them. The order of faults is drawn
// from the seed alone.
type Agreement struct {
	Version      int     `toml:"version"`
	Name         string  `toml:"name"`
	About        string  `toml:"about"`
	Seed         uint64  `toml:"seed"`
	DurationS    float64 `toml:"duration_s"` // of the faults; then all is mended
	HealS        float64 `toml:"heal_s"`     // until all leases must be taken again
	Coordinators int     `toml:"coordinators"`
	Holders      int     `toml:"holders"`
	Leases       int     `toml:"leases"`
	TTLS         float64 `toml:"ttl_s"`
	ClockRate    float64 `toml:"clock_rate"`     // the bound that is set; clocks run at one of its ends or true
	SnapshotEach int     `toml:"snapshot_every"` // entries
	EveryS       float64 `toml:"every_s"`        // between two faults, in the mean
	Faults       []FaultKind `toml:"fault"`          // what may happen
}

// FaultKind is a kind of fault and how often it is drawn beside others.
type FaultKind struct {
	What   string     `toml:"what"`
	Weight float64    `toml:"weight"`
	ForS   [2]float64 `toml:"for_s"`
}

// ScheduledFault is one fault that was drawn.
type ScheduledFault struct {
	AtS, ForS float64
	What      string
	Target, Peer int     // of coordinators or holders, as the kind has it
	U         float64 // drawn for the kind's own use
}

// agreementFaults are the kinds, by whom they meet.
var agreementFaults = map[string]string{
	"kill-coordinator": "c", "stop-coordinator": "c", "kill-holder": "h", "stop-holder": "h", // SIGKILL and start again; SIGSTOP, SIGCONT
	"cut": "cc", "hold-there": "cc", "delay": "cc", // between two coordinators: both ways and reset at its end; one way, held and released late
	"cut-clients":   "c",                                                   // a coordinator from all holders
	"hold-answers":  "hc",                                                  // a holder's requests arrive, the answers come late
	"hold-asks":     "hc",                                                  // requests of a holder come late
	"slow-then-cut": "h",                                                   // a holder's answers come late, and then none: what counts from an answer lasts too long
	"late-acts":     "h",                                                   // a holder's acts reach the resource late
	"damage":        "c", "wipe": "c", "disk-full": "c", "restart-all": "", // of a coordinator's disk while it is dead
}

// ParseAgreement reads a scenario of this kind that was read from path.
func ParseAgreement(path string, text []byte) (Agreement, error) {
	f := Agreement{Seed: 1, DurationS: 20, HealS: 15, Coordinators: 5, Holders: 8, Leases: 3, TTLS: 2, ClockRate: 0.01, SnapshotEach: 200, EveryS: 0.7}
	if err := configerror.DecodeTOML(path, text, &f); err != nil {
		return f, err
	}
	var all []error
	bad := func(setting, form string, v ...any) {
		all = append(all, configerror.Problem{File: path, Setting: setting, Reason: fmt.Sprintf(form, v...)})
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
		if _, ok := agreementFaults[k.What]; !ok {
			bad(fmt.Sprintf("fault[%d].what", i), "%q is none", k.What)
		}
		if k.Weight <= 0 || k.ForS[0] < 0 || k.ForS[1] < k.ForS[0] {
			bad(fmt.Sprintf("fault[%d]", i), "weight %v must be over 0 and for_s %v a range", k.Weight, k.ForS)
		}
	}
	return f, errors.Join(all...)
}

// LoadAgreement reads a shipped scenario of coordinators and holders: leases, or slow.
func LoadAgreement(name string) (Agreement, error) {
	text, err := shipped.ReadFile("files/agreement/" + name + ".toml")
	if err != nil {
		return Agreement{}, fmt.Errorf("scenario %q of coordinators and holders: not shipped", name)
	}
	return ParseAgreement(name+".toml", text)
}

// Schedule draws the faults of a seed, in the order of time.
func (f Agreement) Schedule() (all []ScheduledFault) {
	rng := rand.New(rand.NewPCG(f.Seed, 31))
	sum := 0.0
	for _, k := range f.Faults {
		sum += k.Weight
	}
	once := map[string]bool{} // of what takes a disk away there is one a run: two would be a majority's loss with a third down
	for at := rng.ExpFloat64() * f.EveryS; at < f.DurationS && sum > 0; at += rng.ExpFloat64() * f.EveryS {
		u, i := rng.Float64()*sum, 0
		for u -= f.Faults[0].Weight; u > 0 && i < len(f.Faults)-1; u -= f.Faults[i].Weight {
			i++
		}
		k := f.Faults[i]
		t := ScheduledFault{AtS: at, ForS: k.ForS[0] + rng.Float64()*(k.ForS[1]-k.ForS[0]), What: k.What, U: rng.Float64()}
		n, m := f.Coordinators, f.Coordinators
		switch agreementFaults[k.What] {
		case "h":
			n = f.Holders
		case "hc":
			n = f.Holders
		}
		t.Target, t.Peer = rng.IntN(n), rng.IntN(m)
		if agreementFaults[k.What] == "cc" && t.Target == t.Peer {
			t.Peer = (t.Peer + 1) % m
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
