package operator

import (
	"errors"
	"fmt"
	"net"
	"slices"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2/unstable"

	"dockhinge.example/dockhinge/internal/admission"
	"dockhinge.example/dockhinge/internal/configerror"
)

// Upper bounds of values that several processes share. docs/configuration.md lists all bounds.
const (
	maxCoordinators = 9
	maxLabelBytes   = 64
	maxRepeatBurst  = 1000
)

// checker collects the problems of an operator file.
type checker struct {
	path     string
	text     []byte
	problems []error
}

// err joins the problems; nil if there are none.
func (c *checker) err() error { return errors.Join(c.problems...) }

// add adds a problem, with the line of the setting.
func (c *checker) add(setting, format string, args ...any) {
	c.problems = append(c.problems, configerror.Problem{
		File:    c.path,
		Line:    lineOf(c.text, setting),
		Setting: setting,
		Reason:  fmt.Sprintf(format, args...),
	})
}

// file checks all sections of the file.
func (c *checker) file(f File) {
	if f.Version != Version {
		c.add("version", "%d is not %d, the version that this program reads", f.Version, Version)
	}
	c.oneOf("log.level", f.Log.Level, "debug", "info", "warn", "error")
	c.oneOf("log.format", f.Log.Format, "text", "json")
	c.duration("log.repeat_every", f.Log.RepeatEvery, time.Second, time.Hour)
	c.agreement(f.Agreement)
	if f.Log.RepeatBurst < 1 || f.Log.RepeatBurst > maxRepeatBurst {
		c.add("log.repeat_burst", "%d is not from 1 to %d", f.Log.RepeatBurst, maxRepeatBurst)
	}
	c.admission(f.Admission)
}

func (c *checker) agreement(a Agreement) {
	c.duration("agreement.ttl", a.TTL, 3*time.Second, time.Minute)
	c.duration("agreement.probe_every", a.ProbeEvery, 200*time.Millisecond, 10*time.Second)
	c.duration("agreement.probe_stale", a.ProbeStale, 500*time.Millisecond, 30*time.Second)
	if Duration(a.ProbeStale) <= Duration(a.ProbeEvery) {
		c.add("agreement.probe_stale", "%q is not above probe_every, %q: every report would be stale",
			a.ProbeStale, a.ProbeEvery)
	}
	if len(a.Coordinators) > maxCoordinators {
		c.add("agreement.coordinators", "%d coordinators, at most %d are allowed", len(a.Coordinators), maxCoordinators)
	}
	for _, coordinator := range a.Coordinators {
		name, addr, hasName := strings.Cut(coordinator, "=")
		if _, _, err := net.SplitHostPort(addr); !hasName || name == "" || err != nil {
			c.add("agreement.coordinators", "%q is not NAME=HOST:PORT", coordinator)
		}
	}
	if len(a.Label) > maxLabelBytes {
		c.add("agreement.label", "%d bytes, at most %d are allowed", len(a.Label), maxLabelBytes)
	}
	if a.Drains && len(a.Coordinators) == 0 {
		c.add("agreement.drains", "true, but agreement.coordinators is empty")
	}
	if a.Probes && len(a.Coordinators) == 0 {
		c.add("agreement.probes", "true, but agreement.coordinators is empty")
	}
}

func (c *checker) admission(a Admission) {
	_, _, err := a.Config()
	var settingError *admission.SettingError
	switch {
	case err == nil:
	case errors.As(err, &settingError):
		c.add("admission."+settingError.Setting, "%s", settingError.Reason)
	default:
		c.add("admission", "%v", err)
	}
}

// oneOf checks that a setting has one of the given values.
func (c *checker) oneOf(setting, value string, allowed ...string) {
	if !slices.Contains(allowed, value) {
		c.add(setting, "%q is not one of %s", value, strings.Join(allowed, ", "))
	}
}

// duration checks that a setting is a duration within bounds.
func (c *checker) duration(setting, value string, minimum, maximum time.Duration) {
	if d, err := time.ParseDuration(value); err != nil || d < minimum || d > maximum {
		c.add(setting, "%q is not a duration from %v to %v", value, minimum, maximum)
	}
}

// lineOf returns the line of a key, or 0 if the file does not have it.
func lineOf(text []byte, setting string) int {
	var p unstable.Parser
	p.Reset(text)
	table := ""
	for p.NextExpression() {
		expression := p.Expression()
		var parts []string
		line := 0
		for it := expression.Key(); it.Next(); {
			if line == 0 {
				line = p.Shape(it.Node().Raw).Start.Line
			}
			parts = append(parts, string(it.Node().Data))
		}
		key := strings.Join(parts, ".")
		if expression.Kind != unstable.KeyValue {
			table = key + "."
		} else if table+key == setting {
			return line
		}
	}
	return 0
}
