//go:build !mutants

// Package failpoint injects faults by name in a build with the tag mutants, to verify that the
// checks detect them. Without the tag IsInjected is constant, and the compiler removes the faults.
package failpoint

// IsInjected reports whether the named fault is injected. It is always false in a build without the
// tag.
func IsInjected(string) bool { return false }
