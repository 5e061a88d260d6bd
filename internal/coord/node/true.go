//go:build !faults

package node

// slowSync does nothing but in a build for the laboratory.
func slowSync() {}

// step does nothing either.
func step(string) {}

// epochEvery is how often the disk's epoch grows; what was put back is known by it.
const epochEvery = defaultEpochEvery
