package config

import (
	"errors"
	"fmt"
	"net"
	"os"
	"slices"
	"strings"
	"time"

	"dockhinge.example/dockhinge/internal/configerror"
)

// Version is that of the form of all files of this package.
const Version = 1

// maxFileBytes bounds a file: a larger one is none of these.
const maxFileBytes = 64 << 10

// maxNameBytes bounds a coordinator's or observer's name.
const maxNameBytes = 64

const nameCharacters = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789.-_"

// logLevels are the values of log_level.
var logLevels = []string{"debug", "info", "warn", "error"}

// readFile reads the file at path; kind names it in the error.
func readFile(kind, path string) ([]byte, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", kind, err)
	}
	return text, nil
}

// decode decodes the TOML text of the file at path into a struct that has the defaults.
func decode(path string, text []byte, into any) error {
	if len(text) > maxFileBytes {
		reason := fmt.Sprintf("%d bytes, %d at most", len(text), maxFileBytes)
		return configerror.Problem{File: path, Reason: reason}
	}
	return configerror.DecodeTOML(path, text, into)
}

// checker collects the mistakes in one file.
type checker struct {
	path     string
	problems []error
}

// add records a mistake in a setting.
func (c *checker) add(setting, format string, values ...any) {
	problem := configerror.Problem{File: c.path, Setting: setting, Reason: fmt.Sprintf(format, values...)}
	c.problems = append(c.problems, problem)
}

// err joins a configerror.Problem for each mistake; nil without one.
func (c *checker) err() error { return errors.Join(c.problems...) }

func (c *checker) version(version int) {
	if version != Version {
		c.add("version", "%d is not %d, the version that this program reads", version, Version)
	}
}

func (c *checker) name(setting, name string) {
	if err := CheckName(name); err != nil {
		c.add(setting, "%v", err)
	}
}

func (c *checker) address(setting, address string) {
	if !isAddress(address) {
		c.add(setting, "%q is no host:port", address)
	}
}

// addresses checks a table of names and their addresses.
func (c *checker) addresses(table string, byName map[string]string) {
	for name, address := range byName {
		setting := table + "." + name
		c.name(setting, name)
		c.address(setting, address)
	}
}

func (c *checker) logLevel(level string) {
	if !slices.Contains(logLevels, level) {
		c.add("log_level", "%q is none of %s", level, strings.Join(logLevels, ", "))
	}
}

// duration parses a duration; false once the mistake is recorded.
func (c *checker) duration(setting, text string) (d time.Duration, isValid bool) {
	d, err := time.ParseDuration(text)
	if err != nil {
		c.add(setting, "%q is no duration", text)
		return 0, false
	}
	return d, true
}

// durationWithin parses a duration that must lie within bounds.
func (c *checker) durationWithin(setting, text string, least, most time.Duration) time.Duration {
	d, err := time.ParseDuration(text)
	if err != nil || d < least || d > most {
		c.add(setting, "%q is no duration from %v to %v", text, least, most)
	}
	return d
}

func isAddress(address string) bool {
	_, _, err := net.SplitHostPort(address)
	return err == nil
}

// CheckName checks the name of a coordinator or observer: 1 to 64 letters, digits, dots, dashes and
// underscores.
func CheckName(name string) error {
	if name == "" || len(name) > maxNameBytes || strings.Trim(name, nameCharacters) != "" {
		return fmt.Errorf("%q is no name of 1 to %d letters, digits, dots, dashes and underscores", name, maxNameBytes)
	}
	return nil
}
