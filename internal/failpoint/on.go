//go:build mutants

// Package failpoint injects faults by name in a build with the tag mutants, to verify that the
// checks detect them.
package failpoint

import "os"

// injected is the name of the injected fault, or "" for none. It is read once from DOCKHINGE_MUTANT
// at the start; in-process tests set it with Inject.
var injected = os.Getenv("DOCKHINGE_MUTANT")

// IsInjected reports whether the named fault is injected.
func IsInjected(name string) bool { return name == injected }

// Inject replaces the injected fault; "" removes it. It is for tests and must not run concurrently
// with other code.
func Inject(name string) { injected = name }
