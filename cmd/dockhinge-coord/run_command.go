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

// killDelay is how long a command that got TERM has before it gets KILL.
const killDelay = 2 * time.Second

// newCommand makes an operator's command that runs in a process group of its own, so that none of
// its processes outlives this program.
func newCommand(ctx context.Context, words []string, environment ...string) *exec.Cmd {
	command := exec.CommandContext(ctx, words[0], words[1:]...)
	command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	command.Stdin = os.Stdin
	command.Stderr = os.Stderr
	command.Env = append(os.Environ(), environment...)
	return command
}

// signalGroup signals the process group of a command that has started. The group may have ended.
func signalGroup(command *exec.Cmd, signal syscall.Signal) error {
	return syscall.Kill(-command.Process.Pid, signal)
}

// tokenVariable passes a fencing token to a command.
func tokenVariable(token uint64) string { return "DOCKHINGE_TOKEN=" + strconv.FormatUint(token, 10) }

// runCommand runs an operator's command. When ctx ends its process group gets TERM, and KILL after
// killDelay.
func runCommand(ctx context.Context, stdout io.Writer, words []string, environment ...string) error {
	command := newCommand(ctx, words, environment...)
	command.Cancel = func() error { return signalGroup(command, syscall.SIGTERM) }
	command.WaitDelay = killDelay
	command.Stdout = stdout
	err := command.Run()
	if ctx.Err() != nil && command.Process != nil {
		_ = signalGroup(command, syscall.SIGKILL) // what is left of the group
	}
	return err
}

// runUnderLease runs a command until it ends or ctx does, which ends when the lease can't be kept.
// Then its process group gets TERM, and KILL within two thirds of the margin, a third of it before
// the lease's time is out.
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
