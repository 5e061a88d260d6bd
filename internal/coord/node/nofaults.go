//go:build !faults

package node

// slowSync does nothing unless built with the tag faults.
func slowSync() {}

// crashPoint does nothing unless built with the tag faults.
func crashPoint(string) {}

// epochInterval is how often the directory's epoch increases.
const epochInterval = defaultEpochInterval
