package flood

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"runtime"
)

// planVariable is the environment variable that makes a program of the laboratory run as a flood; its
// value is the plan.
const planVariable = "DOCKHINGE_LAB_FLOOD"

// init makes every program that can start a flood, tests too, able to run as one.
func init() {
	text := os.Getenv(planVariable)
	if text == "" {
		return
	}
	var plan Plan
	if err := json.Unmarshal([]byte(text), &plan); err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", planVariable, err)
		os.Exit(1)
	}
	runtime.GOMAXPROCS(1) // enough to keep a router busy; the rest of the machine is for the laboratory
	plan.runUntilInputEnds()
	os.Exit(0)
}

// runUntilInputEnds runs the flood until the standard input ends, as it does when the process that
// started the flood ends.
func (p Plan) runUntilInputEnds() {
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		_, _ = io.Copy(io.Discard, os.Stdin)
		cancel()
	}()
	p.run(ctx)
}

// Run runs the flood in a process of its own until ctx ends.
func Run(ctx context.Context, p Plan) error {
	program, err := os.Executable()
	if err != nil {
		return fmt.Errorf("flood: %w", err)
	}
	text, err := json.Marshal(p)
	if err != nil {
		return fmt.Errorf("flood: %w", err)
	}
	command := exec.Command(program)
	command.Env = append(os.Environ(), planVariable+"="+string(text))
	command.Stderr = os.Stderr
	input, err := command.StdinPipe()
	if err != nil {
		return fmt.Errorf("flood: %w", err)
	}
	if err := command.Start(); err != nil {
		return fmt.Errorf("flood: %w", err)
	}
	<-ctx.Done()
	input.Close()
	if err := command.Wait(); err != nil {
		return fmt.Errorf("flood: %w", err)
	}
	return nil
}
