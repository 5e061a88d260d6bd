// Command rig plays the cases of a review. It starts the router by the run line of the deploy file
// and stands in for its clients, its servers, discovery and the platform, on loopback addresses.
//
//	rig CASE FOLDER
//
// It runs in the root of the repository and writes FOLDER/record.txt. The exit code is 1 if the rule of the case
// was broken, 0 if it held and 2 if the case could not be played. With TROUBLE=0 in the environment it does the
// same without the disruption.
package main

import (
	"fmt"
	"os"
)

// The exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// cases are the cases by name. Each reports whether the rule was broken.
var cases = map[string]func(s *scene) (isBroken bool, err error){
	"second-miss":    secondMiss,
	"over-memory":    overMemory,
	"cut-off-origin": cutOffOrigin,
	"evicted-writer": evictedWriter,
	"slow-writer":    slowWriter,
	"cut-off-value":  cutOffValue,
	"restart-reader": restartReader,
}

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	if len(args) != 2 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE FOLDER")
		return exitFailed
	}
	s, err := newScene(args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, "rig:", err)
		return exitFailed
	}
	defer s.end()
	isBroken, err := s.play(cases[args[0]])
	switch {
	case err != nil:
		s.log("the case could not be played: %v", err)
		return exitFailed
	case isBroken:
		s.log("the rule was broken")
		return exitBroken
	}
	s.log("the rule held")
	return exitHeld
}
