// Command dockhinge-sim runs Balancers on the simulator's line protocol: it reads batches on
// standard input and writes replies on standard output.
package main

import (
	"fmt"
	"os"
	"runtime"
	"runtime/debug"

	"dockhinge.example/dockhinge/internal/simulator"
)

const (
	// threads is one, as batches are handled one at a time: more only add to the CPU time that the
	// simulator measures.
	threads = 1
	// gcPercent lets the heap grow to five times what is in use, which saves CPU time.
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
