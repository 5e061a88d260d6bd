//go:build !faults

package main

// step does nothing but in a build for the laboratory.
func step(string) {}
