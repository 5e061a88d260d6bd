//go:build mutants

// Package failpoint injects faults by name in a build with the tag mutants, so that the checks can be
// seen to fail.
package failpoint

import "os"

// injected is the fault's name, "" for none. It is read once at the start from DOCKHINGE_MUTANT;
// Inject sets it in tests that stay in one process.
var injected = os.Getenv("DOCKHINGE_MUTANT")

// Is reports whether the fault of this name is injected.
func Is(name string) bool { return name == injected }

// Inject injects another fault, or none for "". It is for tests; nothing else may run meanwhile.
func Inject(name string) { injected = name }
