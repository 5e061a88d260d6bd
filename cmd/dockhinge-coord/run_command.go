package main

import (
	"context"
	"errors"
	"io"
	"os"
	"os/exec"
	"strconv"
	"syscall"
	"time"

	"dockhinge.example/dockhinge/internal/coord/client"
)

// killDelay is the time between TERM and KILL for a command that does not end.
const killDelay = 2 * time.Second

// newCommand prepares an operator's command. It gets its own process group, so that all of its
// processes can be signaled, and it is killed if this program ends first.
func newCommand(ctx context.Context, words []string, environment ...string) *exec.Cmd {
	command := exec.CommandContext(ctx, words[0], words[1:]...)
	command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	command.Stdin = os.Stdin
	command.Stderr = os.Stderr
	command.Env = append(os.Environ(), environment...)
	return command
}

// signalGroup signals the process group of a started command. It returns an error if the group has
// already ended.
func signalGroup(command *exec.Cmd, signal syscall.Signal) error {
	return syscall.Kill(-command.Process.Pid, signal)
}

// tokenVariable returns the environment entry that passes a fencing token to a command.
func tokenVariable(token uint64) string { return "DOCKHINGE_TOKEN=" + strconv.FormatUint(token, 10) }

// runCommand runs an operator's command. When ctx ends, the command's process group gets TERM, and
// KILL after killDelay.
func runCommand(ctx context.Context, stdout io.Writer, words []string, environment ...string) error {
	command := newCommand(ctx, words, environment...)
	command.Cancel = func() error { return signalGroup(command, syscall.SIGTERM) }
	command.WaitDelay = killDelay
	command.Stdout = stdout
	err := command.Run()
	if ctx.Err() != nil && command.Process != nil {
		_ = signalGroup(command, syscall.SIGKILL) // kill the remaining processes of the group
	}
	return err
}

// runUnderLease runs a command. When ctx ends, which happens if the lease can't be renewed, the
// command's process group gets TERM. It gets KILL after two thirds of the margin, or earlier if
// only a third of the margin remains until the lease expires.
func runUnderLease(ctx context.Context, l *client.Lease, words []string, margin time.Duration) error {
	command := newCommand(context.Background(), words, "DOCKHINGE_LEASE="+l.Name, tokenVariable(l.Token))
	command.Stdout = os.Stdout
	if err := command.Start(); err != nil {
		return err
	}
	done := make(chan error, 1)
	go func() { done <- command.Wait() }() // ends with the command, which is awaited below
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
	}
	_ = signalGroup(command, syscall.SIGTERM)
	timer := time.NewTimer(min(margin*2/3, max(0, l.Remaining()-margin/3)))
	defer timer.Stop()
	select {
	case err := <-done:
		return errors.Join(context.Cause(ctx), err)
	case <-timer.C:
	}
	_ = signalGroup(command, syscall.SIGKILL)
	return errors.Join(context.Cause(ctx), <-done)
}
