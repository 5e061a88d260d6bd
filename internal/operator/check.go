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

// Bounds of values that several processes have to agree on. docs/configuration.md has them all.
const (
	maxCoordinators = 9
	maxLabelBytes   = 64
	maxRepeatBurst  = 1000
)

// checker collects the mistakes of an operator file.
type checker struct {
	path     string
	text     []byte
	problems []error
}

// err joins the mistakes; nil where there are none.
func (c *checker) err() error { return errors.Join(c.problems...) }

// add adds a mistake, with the line of the setting.
func (c *checker) add(setting, format string, args ...any) {
	c.problems = append(c.problems, configerror.Problem{
		File:    c.path,
		Line:    lineOf(c.text, setting),
		Setting: setting,
		Reason:  fmt.Sprintf(format, args...),
	})
}

// file checks all sections.
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
		c.add("agreement.probe_stale", "%q is not more than probe_every, %q: no report would ever count",
			a.ProbeStale, a.ProbeEvery)
	}
	if len(a.Coordinators) > maxCoordinators {
		c.add("agreement.coordinators", "%d, %d at most", len(a.Coordinators), maxCoordinators)
	}
	for _, word := range a.Coordinators {
		name, addr, hasName := strings.Cut(word, "=")
		if _, _, err := net.SplitHostPort(addr); !hasName || name == "" || err != nil {
			c.add("agreement.coordinators", "%q is not NAME=HOST:PORT", word)
		}
	}
	if len(a.Label) > maxLabelBytes {
		c.add("agreement.label", "%d bytes, %d at most", len(a.Label), maxLabelBytes)
	}
	if a.Drains && len(a.Coordinators) == 0 {
		c.add("agreement.drains", "true, and agreement.coordinators names none")
	}
	if a.Probes && len(a.Coordinators) == 0 {
		c.add("agreement.probes", "true, and agreement.coordinators names none")
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

// oneOf checks a setting that is one of a few words.
func (c *checker) oneOf(setting, value string, words ...string) {
	if !slices.Contains(words, value) {
		c.add(setting, "%q is none of %s", value, strings.Join(words, ", "))
	}
}

// duration checks a setting that is a duration within bounds.
func (c *checker) duration(setting, value string, minimum, maximum time.Duration) {
	if d, err := time.ParseDuration(value); err != nil || d < minimum || d > maximum {
		c.add(setting, "%q is no duration from %v to %v", value, minimum, maximum)
	}
}

// lineOf is the line that a key stands in, or 0 where it is not there.
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
