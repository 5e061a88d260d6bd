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

// Version is the version of the format of all files that this package reads.
const Version = 1

// maxFileBytes is the maximum size of a file; a larger file can't be a configuration file.
const maxFileBytes = 64 << 10

// maxNameBytes is the maximum length of a coordinator's or observer's name.
const maxNameBytes = 64

const nameCharacters = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789.-_"

// logLevels are the values of log_level.
var logLevels = []string{"debug", "info", "warn", "error"}

// readFile reads the file at path. kind names the kind of file in the error.
func readFile(kind, path string) ([]byte, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", kind, err)
	}
	return text, nil
}

// decode decodes the TOML text of the file at path into a struct that holds the defaults.
func decode(path string, text []byte, into any) error {
	if len(text) > maxFileBytes {
		reason := fmt.Sprintf("%d bytes, %d at most", len(text), maxFileBytes)
		return configerror.Problem{File: path, Reason: reason}
	}
	return configerror.DecodeTOML(path, text, into)
}

// checker collects the problems of one file.
type checker struct {
	path     string
	problems []error
}

// add records a problem with a setting.
func (c *checker) add(setting, format string, values ...any) {
	problem := configerror.Problem{File: c.path, Setting: setting, Reason: fmt.Sprintf(format, values...)}
	c.problems = append(c.problems, problem)
}

// err joins the recorded problems (configerror.Problem); nil if there are none.
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
		c.add(setting, "%q is not a host:port", address)
	}
}

// addresses checks the names and addresses of a table.
func (c *checker) addresses(table string, byName map[string]string) {
	for name, address := range byName {
		setting := table + "." + name
		c.name(setting, name)
		c.address(setting, address)
	}
}

func (c *checker) logLevel(level string) {
	if !slices.Contains(logLevels, level) {
		c.add("log_level", "%q is not one of %s", level, strings.Join(logLevels, ", "))
	}
}

// duration parses a duration. It returns false if the duration is invalid, which it has recorded.
func (c *checker) duration(setting, text string) (d time.Duration, isValid bool) {
	d, err := time.ParseDuration(text)
	if err != nil {
		c.add(setting, "%q is not a duration", text)
		return 0, false
	}
	return d, true
}

// durationWithin parses a duration and records a problem if it is invalid or out of bounds.
func (c *checker) durationWithin(setting, text string, minimum, maximum time.Duration) time.Duration {
	d, err := time.ParseDuration(text)
	if err != nil || d < minimum || d > maximum {
		c.add(setting, "%q is not a duration from %v to %v", text, minimum, maximum)
	}
	return d
}

func isAddress(address string) bool {
	_, _, err := net.SplitHostPort(address)
	return err == nil
}

// CheckName returns an error unless the name of a coordinator or observer has 1 to 64 letters,
// digits, dots, dashes and underscores.
func CheckName(name string) error {
	if name == "" || len(name) > maxNameBytes || strings.Trim(name, nameCharacters) != "" {
		return fmt.Errorf("%q is not a name of 1 to %d letters, digits, dots, dashes and underscores",
			name, maxNameBytes)
	}
	return nil
}
