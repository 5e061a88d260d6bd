//go:build !mutants

// Package failpoint injects faults by name in a build with the tag mutants, to verify that the checks
// detect them. Without the tag Is is constant, and the compiler removes the faults.
package failpoint

// Is reports whether the named fault is injected. It is always false in a build without the tag.
func Is(string) bool { return false }
