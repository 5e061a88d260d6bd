// Command dockhinge-sim runs Balancers with the simulator's line protocol: it reads batches from
// standard input and writes the replies to standard output.
package main

import (
	"fmt"
	"os"
	"runtime"
	"runtime/debug"

	"dockhinge.example/dockhinge/internal/simulator"
)

const (
	// threads is 1 because batches are handled one at a time: more threads only add to the CPU time
	// that the simulator measures.
	threads = 1
	// gcPercent lets the heap grow to five times the memory in use, which saves CPU time.
	gcPercent = 400
)

func main() {
	runtime.GOMAXPROCS(threads)
	debug.SetGCPercent(gcPercent)
	if err := simulator.Run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "dockhinge-sim:", err)
		os.Exit(1)
	}
}
