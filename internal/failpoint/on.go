//go:build mutants

// Package failpoint plants faults by name in a build with the tag mutants, so that the checks can be seen to fail.
package failpoint

import "os"

// planted is read once at the start; Plant sets it in tests that stay in one process.
var planted = os.Getenv("DOCKHINGE_MUTANT")

// Is reports whether the fault of this name is planted.
func Is(name string) bool { return name == planted }

// Plant plants another fault, or none for "". It is for tests; nothing else may run meanwhile.
func Plant(name string) { planted = name }
