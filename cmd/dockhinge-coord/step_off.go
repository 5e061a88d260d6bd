//go:build !faults

package main

// step does nothing: crashes and pauses are injected only in a build with the tag faults.
func step(string) {}
