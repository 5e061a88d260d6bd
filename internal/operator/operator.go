// Package operator reads the operator file: the one place where what goes beyond the platform's settings is switched on.
// A router without one is what the platform knows. docs/configuration.md describes each key.
package operator

import (
	"errors"
	"fmt"
	"net"
	"os"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2/unstable"

	"dockhinge.example/dockhinge/internal/admission"
	"dockhinge.example/dockhinge/internal/configerror"
)

// Version is the version of the file's form that this program reads.
const Version = 1

// maxCoordinators is how many there may be.
const maxCoordinators = 9

// maxFileBytes bounds an operator file in bytes.
const maxFileBytes = 1 << 20

// File is an operator file. The docs tags are checked against docs/configuration.md by a test.
type File struct {
	Version   int       `toml:"version"`
	Log       Log       `toml:"log"`
	Admission Admission `toml:"admission"`
	Agreement Agreement `toml:"agreement"`
}

// Agreement makes the router a client of the coordinators (docs/agreement.md), for installations that allow talk between processes.
type Agreement struct {
	Coordinators []string `toml:"coordinators"` // NAME=HOST:PORT of each; none: it is off
	TTL          string   `toml:"ttl"`          // of the session, a duration, 3s to 1m
	Probes       bool     `toml:"probes"`       // one router probes a cache server for all
	ProbeEvery   string   `toml:"probe_every"`  // a duration, 200ms to 10s
	ProbeStale   string   `toml:"probe_stale"`  // a report counts until it is so old, 500ms to 30s, more than probe_every
	Drains       bool     `toml:"drains"`       // the router takes part in drains and releases that the fleet agrees on
	Label        string   `toml:"label"`        // what its program's version is called there, at most 64 bytes; "" = the program's own
}

// Duration reads a duration of the file, which has been checked.
func Duration(text string) time.Duration {
	d, _ := time.ParseDuration(text)
	return d
}

// Log says how the router logs.
type Log struct {
	Level       string `toml:"level"`        // debug, info, warn or error
	Format      string `toml:"format"`       // text or json
	RepeatEvery string `toml:"repeat_every"` // a duration, 1s to 1h
	RepeatBurst int    `toml:"repeat_burst"` // lines of one event in that time, 1 to 1000
	Trace       bool   `toml:"trace"`        // single events too, for dockhinge-lab trace-summary
}

// Admission switches fair admission on and sets it. Its bounds are internal/admission's.
type Admission struct {
	Enabled      bool     `toml:"enabled"`
	OthersWeight float64  `toml:"others_weight"`
	Flows        int      `toml:"flows"`
	Buckets      int      `toml:"buckets"`
	TurnMS       float64  `toml:"turn_ms"`
	Queue        int      `toml:"queue"`
	Promises     int      `toml:"promises"`
	MaxWaitMS    float64  `toml:"max_wait_ms"`
	MaxAfterMS   float64  `toml:"max_after_ms"`
	Start        float64  `toml:"start"`
	Least        float64  `toml:"least"`
	Most         float64  `toml:"most"`
	RetryShare   float64  `toml:"retry_share"`
	RetryBurst   float64  `toml:"retry_burst"`
	Tenants      []Tenant `toml:"tenant"`
	Identify     []Match  `toml:"identify"`
}

// Tenant is a tenant with a share of its own.
type Tenant struct {
	Name   string  `toml:"name"`
	Weight float64 `toml:"weight"`
	Rate   float64 `toml:"rate"`
	Burst  float64 `toml:"burst"`
}

// Match tells whom a request is of.
type Match struct {
	By      string `toml:"by"`
	Prefix  string `toml:"prefix"`
	Network string `toml:"network"`
	Tenant  string `toml:"tenant"`
}

// Config is the section in the terms of internal/admission, but for the classes, which the platform's settings name.
func (a Admission) Config() (admission.Config, admission.TenantRules, error) {
	c := admission.Config{OthersWeight: a.OthersWeight, Flows: a.Flows, Buckets: a.Buckets, RehashMillis: a.TurnMS, QueueLimit: a.Queue,
		ReservationLimit: a.Promises, MaxWaitMillis: a.MaxWaitMS, MaxRetryAfterMillis: a.MaxAfterMS, InitialLimit: a.Start, MinLimit: a.Least, MaxLimit: a.Most,
		RetryBudgetShare: a.RetryShare, RetryBudgetBurst: a.RetryBurst}
	for _, t := range a.Tenants {
		c.Tenants = append(c.Tenants, admission.Tenant{Name: t.Name, Weight: t.Weight, GuaranteedPerSecond: t.Rate, GuaranteedBurst: t.Burst})
	}
	var who admission.TenantRules
	for i, m := range a.Identify {
		one, err := admission.NewTenantRule(m.By, m.Prefix, m.Network, m.Tenant)
		if err != nil {
			return c, who, &admission.SettingError{Setting: fmt.Sprintf("identify[%d]", i), Reason: err.Error()}
		}
		who = append(who, one)
	}
	checked := c
	checked.Classes = []admission.Class{{Name: "any", CostMillis: 1}}
	return c, who, checked.Validate()
}

// RepeatInterval is RepeatEvery as a duration; the file has been checked.
func (l Log) RepeatInterval() time.Duration {
	d, _ := time.ParseDuration(l.RepeatEvery)
	return d
}

// Default is what holds where there is no operator file, or where it is silent.
func Default() File {
	return File{Version: Version, Log: Log{Level: "info", Format: "text", RepeatEvery: "10s", RepeatBurst: 20},
		Admission: Admission{OthersWeight: 1, Flows: 1024, Buckets: 64, TurnMS: 10000, Queue: 512, Promises: 4096, MaxWaitMS: 200,
			MaxAfterMS: 1500, Start: 64, Least: 4, Most: 4096, RetryShare: 0.2, RetryBurst: 20},
		Agreement: Agreement{TTL: "10s", ProbeEvery: "700ms", ProbeStale: "2500ms"}}
}

// Load reads the operator file at path. The error joins a configerror.Problem for each mistake.
func Load(path string) (File, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return File{}, fmt.Errorf("operator file: %w", err)
	}
	return Parse(path, text)
}

// Parse reads an operator file that was read from path. Unknown keys are mistakes: a key misspelt must not pass for
// one that was left out.
func Parse(path string, text []byte) (File, error) {
	if len(text) > maxFileBytes {
		return File{}, configerror.Problem{File: path, Reason: fmt.Sprintf("%d bytes, %d at most", len(text), maxFileBytes)}
	}
	f := Default()
	f.Version = 0
	if err := configerror.DecodeTOML(path, text, &f); err != nil {
		return File{}, err
	}
	var all []error
	bad := func(setting, form string, v ...any) {
		all = append(all, configerror.Problem{File: path, Line: lineOf(text, setting), Setting: setting, Reason: fmt.Sprintf(form, v...)})
	}
	if f.Version != Version {
		bad("version", "%d is not %d, the version that this program reads", f.Version, Version)
	}
	oneOf := func(setting, v string, of ...string) {
		for _, o := range of {
			if v == o {
				return
			}
		}
		bad(setting, "%q is none of %s", v, strings.Join(of, ", "))
	}
	oneOf("log.level", f.Log.Level, "debug", "info", "warn", "error")
	oneOf("log.format", f.Log.Format, "text", "json")
	between := func(setting, v string, least, most time.Duration) {
		if d, err := time.ParseDuration(v); err != nil || d < least || d > most {
			bad(setting, "%q is no duration from %v to %v", v, least, most)
		}
	}
	between("log.repeat_every", f.Log.RepeatEvery, time.Second, time.Hour)
	between("agreement.ttl", f.Agreement.TTL, 3*time.Second, time.Minute)
	between("agreement.probe_every", f.Agreement.ProbeEvery, 200*time.Millisecond, 10*time.Second)
	between("agreement.probe_stale", f.Agreement.ProbeStale, 500*time.Millisecond, 30*time.Second)
	if Duration(f.Agreement.ProbeStale) <= Duration(f.Agreement.ProbeEvery) {
		bad("agreement.probe_stale", "%q is not more than probe_every, %q: no report would ever count", f.Agreement.ProbeStale, f.Agreement.ProbeEvery)
	}
	if len(f.Agreement.Coordinators) > maxCoordinators {
		bad("agreement.coordinators", "%d, %d at most", len(f.Agreement.Coordinators), maxCoordinators)
	}
	for _, w := range f.Agreement.Coordinators {
		name, addr, ok := strings.Cut(w, "=")
		if _, _, err := net.SplitHostPort(addr); !ok || name == "" || err != nil {
			bad("agreement.coordinators", "%q is not NAME=HOST:PORT", w)
		}
	}
	if len(f.Agreement.Label) > 64 {
		bad("agreement.label", "%d bytes, 64 at most", len(f.Agreement.Label))
	}
	if f.Agreement.Drains && len(f.Agreement.Coordinators) == 0 {
		bad("agreement.drains", "true, and agreement.coordinators names none")
	}
	if f.Agreement.Probes && len(f.Agreement.Coordinators) == 0 {
		bad("agreement.probes", "true, and agreement.coordinators names none")
	}
	if f.Log.RepeatBurst < 1 || f.Log.RepeatBurst > 1000 {
		bad("log.repeat_burst", "%d is not from 1 to 1000", f.Log.RepeatBurst)
	}
	if _, _, err := f.Admission.Config(); err != nil {
		var e *admission.SettingError
		if errors.As(err, &e) {
			bad("admission."+e.Setting, "%s", e.Reason)
		} else {
			bad("admission", "%v", err)
		}
	}
	if err := errors.Join(all...); err != nil {
		return File{}, err
	}
	return f, nil
}

// lineOf is the line in which a key stands, or 0 where it does not stand.
func lineOf(text []byte, setting string) (line int) {
	var p unstable.Parser
	p.Reset(text)
	table := ""
	for p.NextExpression() {
		e := p.Expression()
		var parts []string
		at := 0
		for it := e.Key(); it.Next(); {
			if at == 0 {
				at = p.Shape(it.Node().Raw).Start.Line
			}
			parts = append(parts, string(it.Node().Data))
		}
		key := strings.Join(parts, ".")
		if e.Kind != unstable.KeyValue {
			table = key + "."
		} else if table+key == setting {
			return at
		}
	}
	return 0
}
