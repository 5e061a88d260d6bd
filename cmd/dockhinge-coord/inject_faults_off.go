//go:build !faults

package main

// injectFaultAt does nothing: crashes and pauses are only injected in builds with the tag faults.
func injectFaultAt(string) {}
