// Command dockhinge-sim runs Balancers on the simulator's wire: batches on standard input, replies on standard output.
package main

import (
	"fmt"
	"os"
	"runtime"
	"runtime/debug"

	"dockhinge.example/dockhinge/internal/simulator"
)

func main() {
	runtime.GOMAXPROCS(1) // one batch at a time: more threads only add to the bill
	debug.SetGCPercent(400)
	if err := simulator.Run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "dockhinge-sim:", err)
		os.Exit(1)
	}
}
