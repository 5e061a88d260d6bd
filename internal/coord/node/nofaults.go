//go:build !faults

package node

// slowSync does nothing but in a build for the laboratory.
func slowSync() {}

// crashPoint does nothing either.
func crashPoint(string) {}

// epochInterval is how often the disk's epoch grows; what was put back is known by it.
const epochInterval = defaultEpochInterval
