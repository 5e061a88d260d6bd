package config

import (
	"fmt"
	"time"

	"dockhinge.example/dockhinge/internal/rollout"
)

// budgetsFile is the content of a budgets file. docs/rollout.md describes each key.
type budgetsFile struct {
	// Version is the version of the file format: 1.
	Version int `toml:"version"`
	// GracePeriod must be longer than the TTL of routers' sessions, from 1s to 1h.
	GracePeriod string `toml:"grace"`
	// ExpectedRouters is how many routers must take part before a server is drained; 0 disables the
	// check.
	ExpectedRouters int `toml:"routers"`
	// EjectionQuorum is how many routers must find a server failing before all of them eject it; 0
	// disables shared ejection.
	EjectionQuorum int `toml:"quorum"`
	// OverloadShare is the fraction of rejected or failed requests above which no outage may start
	// except in an emergency; 0 disables the check.
	OverloadShare float64 `toml:"busy"`
	// Budgets limit how many routers or servers may be out of service at the same time.
	Budgets []budgetEntry `toml:"budget"`
}

// budgetEntry is one budget in the file; see rollout.Budget for the fields.
type budgetEntry struct {
	Name        string  `toml:"name"`
	Kind        string  `toml:"kind"`
	Match       string  `toml:"match"`
	Per         string  `toml:"per"`
	MaxOut      int     `toml:"most"`
	MaxOutShare float64 `toml:"share"`
	SlowStart   string  `toml:"warm"`
}

// LoadBudgets reads the budgets file at path and returns the command that puts it in force.
func LoadBudgets(path string) (rollout.Command, error) {
	text, err := readFile("budgets", path)
	if err != nil {
		return rollout.Command{}, err
	}
	return ParseBudgets(path, text)
}

// ParseBudgets parses the content of the budgets file at path.
func ParseBudgets(path string, text []byte) (rollout.Command, error) {
	file := budgetsFile{GracePeriod: rollout.DefaultGracePeriod.String()}
	if err := decode(path, text, &file); err != nil {
		return rollout.Command{Op: rollout.OpSetBudgets}, err
	}
	c := &checker{path: path}
	c.version(file.Version)
	command := rollout.Command{
		Op:              rollout.OpSetBudgets,
		GracePeriod:     c.durationWithin("grace", file.GracePeriod, rollout.MinGracePeriod, rollout.MaxDuration),
		ExpectedRouters: file.ExpectedRouters,
		EjectionQuorum:  file.EjectionQuorum,
		OverloadShare:   file.OverloadShare,
	}
	if file.ExpectedRouters < 0 || file.ExpectedRouters > rollout.MaxRouters {
		c.add("routers", "%d is not from 0 to %d", file.ExpectedRouters, rollout.MaxRouters)
	}
	if !rollout.IsValidEjectionQuorum(file.EjectionQuorum) {
		c.add("quorum", "%d is neither 0 nor from %d to %d: the reports of one router alone never eject a server",
			file.EjectionQuorum, rollout.MinEjectionQuorum, rollout.MaxEjectionQuorum)
	}
	if !(file.OverloadShare >= 0 && file.OverloadShare < 1) {
		c.add("busy", "%v is not between 0 and 1", file.OverloadShare)
	}
	command.Budgets = file.checkBudgets(c)
	return command, c.err()
}

// checkBudgets checks the budgets and returns the valid ones.
func (f *budgetsFile) checkBudgets(c *checker) (budgets []rollout.Budget) {
	if len(f.Budgets) == 0 {
		c.add("budget", "none: no router or server could ever be taken out of service")
	}
	if len(f.Budgets) > rollout.MaxBudgets {
		c.add("budget", "%d, %d at most", len(f.Budgets), rollout.MaxBudgets)
	}
	names := map[string]bool{}
	for i, entry := range f.Budgets {
		setting := fmt.Sprintf("budget[%d]", i+1)
		budget, isValid := entry.budget(c, setting)
		if !isValid {
			continue
		}
		if err := budget.Check(); err != nil {
			c.add(setting, "%v", err)
		}
		if names[entry.Name] {
			c.add(setting+".name", "%q is used twice", entry.Name)
		}
		names[entry.Name] = true
		budgets = append(budgets, budget)
	}
	return budgets
}

// budget converts the entry. It returns false if its duration is invalid, which it has recorded.
func (e *budgetEntry) budget(c *checker, setting string) (b rollout.Budget, isValid bool) {
	slowStart := time.Duration(0)
	if e.SlowStart != "" {
		slowStart, isValid = c.duration(setting+".warm", e.SlowStart)
		if !isValid {
			return b, false
		}
	}
	return rollout.Budget{
		Name:        e.Name,
		Kind:        rollout.Kind(e.Kind),
		Match:       e.Match,
		Per:         e.Per,
		MaxOut:      e.MaxOut,
		MaxOutShare: e.MaxOutShare,
		SlowStart:   slowStart,
	}, true
}
