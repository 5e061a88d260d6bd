package config

import (
	"errors"
	"fmt"
	"os"
	"time"

	"dockhinge.example/dockhinge/internal/configerror"
	"dockhinge.example/dockhinge/internal/rollout"
)

// Budgets is a file of budgets. docs/rollout.md describes each key.
type Budgets struct {
	Version int      `toml:"version"`
	Grace   string   `toml:"grace"`   // longer than routers' sessions last, 1s to 1h
	Routers int      `toml:"routers"` // so many must take part before a server is drained; 0: nobody says
	Quorum  int      `toml:"quorum"`  // so many routers must find a server bad for all to leave it out; 0: each finds out by itself
	Busy    float64  `toml:"busy"`    // where the fleet refuses or fails more than this share of requests nothing new goes out; 0: whatever it does
	Budget  []Budget `toml:"budget"`
}

// Budget is one of them; see rollout.Budget.
type Budget struct {
	Name  string  `toml:"name"`
	Kind  string  `toml:"kind"`
	Match string  `toml:"match"`
	Per   string  `toml:"per"`
	Most  int     `toml:"most"`
	Share float64 `toml:"share"`
	Warm  string  `toml:"warm"`
}

// LoadBudgets reads the file at path. The error joins a configerror.Problem for each mistake.
func LoadBudgets(path string) (cmd rollout.Command, err error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return cmd, fmt.Errorf("budgets: %w", err)
	}
	return ParseBudgets(path, text)
}

// ParseBudgets reads a file that was read from path.
func ParseBudgets(path string, text []byte) (cmd rollout.Command, err error) {
	cmd.Op = rollout.OpSetBudgets
	if len(text) > maxFile {
		return cmd, configerror.Problem{File: path, Reason: fmt.Sprintf("%d bytes, %d at most", len(text), maxFile)}
	}
	f := Budgets{Grace: rollout.DefaultGrace.String()}
	if err := configerror.DecodeTOML(path, text, &f); err != nil {
		return cmd, err
	}
	var errs []error
	bad := func(setting, form string, v ...any) {
		errs = append(errs, configerror.Problem{File: path, Setting: setting, Reason: fmt.Sprintf(form, v...)})
	}
	if f.Version != Version {
		bad("version", "%d is not %d, the version that this program reads", f.Version, Version)
	}
	if cmd.Grace, err = time.ParseDuration(f.Grace); err != nil || cmd.Grace < rollout.MinGrace || cmd.Grace > rollout.MaxDuration {
		bad("grace", "%q is no duration from %v to %v", f.Grace, rollout.MinGrace, rollout.MaxDuration)
	}
	if cmd.ExpectedRouters = f.Routers; f.Routers < 0 || f.Routers > rollout.MaxRouters {
		bad("routers", "%d is not from 0 to %d", f.Routers, rollout.MaxRouters)
	}
	if cmd.EjectionQuorum = f.Quorum; f.Quorum != 0 && (f.Quorum < rollout.MinEjectionQuorum || f.Quorum > rollout.MaxEjectionQuorum) {
		bad("quorum", "%d is neither 0 nor from %d to %d: one router alone is never believed", f.Quorum, rollout.MinEjectionQuorum, rollout.MaxEjectionQuorum)
	}
	if cmd.OverloadShare = f.Busy; !(f.Busy >= 0 && f.Busy < 1) {
		bad("busy", "%v is not between 0 and 1", f.Busy)
	}
	if len(f.Budget) == 0 {
		bad("budget", "none: nothing would ever be let out")
	}
	if len(f.Budget) > rollout.MaxBudgets {
		bad("budget", "%d, %d at most", len(f.Budget), rollout.MaxBudgets)
	}
	names := map[string]bool{}
	for i, x := range f.Budget {
		b := rollout.Budget{Name: x.Name, Kind: rollout.Kind(x.Kind), Match: x.Match, Per: x.Per, MaxOut: x.Most, MaxOutShare: x.Share}
		setting := fmt.Sprintf("budget[%d]", i+1)
		if x.Warm != "" {
			if b.SlowStart, err = time.ParseDuration(x.Warm); err != nil {
				bad(setting+".warm", "%q is no duration", x.Warm)
				continue
			}
		}
		if err := b.Check(); err != nil {
			bad(setting, "%v", err)
		}
		if names[x.Name] {
			bad(setting+".name", "%q is there twice", x.Name)
		}
		names[x.Name] = true
		cmd.Budgets = append(cmd.Budgets, b)
	}
	return cmd, errors.Join(errs...)
}
