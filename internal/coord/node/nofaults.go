//go:build !faults

package node

// slowSync does nothing but in a build with the tag faults.
func slowSync() {}

// crashPoint does nothing but in a build with the tag faults.
func crashPoint(string) {}

// epochInterval is how often the directory's epoch grows.
const epochInterval = defaultEpochInterval
