//go:build !mutants

// Package failpoint plants faults by name in a build with the tag mutants, so that the checks can be seen to fail. Without the tag
// it is a constant, and the compiler leaves the faults out.
package failpoint

// Is reports whether the fault is planted: never in a build without the tag.
func Is(string) bool { return false }
