//go:build !faults

package main

// step does nothing: crashes and pauses are only injected in builds with the tag faults.
func step(string) {}
