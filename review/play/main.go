// Command play runs one case of the review: it starts the router as the deploy file says, with
// stand-ins for its clients, its cache servers, the origin and discovery, and judges one rule by
// what these have seen. It exits with 0 if the rule held, 1 if it was broken, and 2 if the case
// could not run.
package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// errBroken is returned by a case that saw the rule broken.
var errBroken = errors.New("the rule was broken")

// cases are the cases by the name of their folder.
var cases = map[string]func(*scene) error{
	"1": playSecondCopy,
	"2": playUpgrade,
	"3": playPipelined,
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: play CASE FOLDER, from the root of the repository")
		os.Exit(exitNotRun)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

// play runs a case and returns the exit code. The record goes into the folder.
func play(name, folder string) int {
	run := cases[name]
	if run == nil {
		fmt.Fprintf(os.Stderr, "play: no case %q\n", name)
		return exitNotRun
	}
	s, err := newScene(filepath.Join(folder, "record.txt"), os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "play:", err)
		return exitNotRun
	}
	err = s.runBounded(run)
	s.close()
	verdict, code := "held: the rule was kept", exitHeld
	switch {
	case errors.Is(err, errBroken):
		verdict, code = "BROKEN: "+err.Error(), exitBroken
	case err != nil:
		verdict, code = "not run: "+err.Error(), exitNotRun
	}
	s.note("verdict", "%s", verdict)
	fmt.Println(verdict)
	if err := s.writeRecord(); err != nil {
		fmt.Fprintln(os.Stderr, "play:", err)
		return exitNotRun
	}
	return code
}
