//go:build !mutants

// Package failpoint injects faults by name in a build with the tag mutants, so that the checks can be
// seen to fail. Without the tag Is is a constant, and the compiler leaves the faults out.
package failpoint

// Is reports whether the fault of a name is injected: never in a build without the tag.
func Is(string) bool { return false }
