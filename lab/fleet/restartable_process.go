package fleet

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// restartableProcess is a process that can be killed and started again under the same name.
type restartableProcess struct {
	name    string
	command []string
	env     []string
	dir     string

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{} // closed when the process exits
	err  error         // of that exit
	runs int
}

// start starts the process, which must not be running.
func (p *restartableProcess) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	cmd, err := Spawn(p.command, p.env, filepath.Join(p.dir, p.name+".log"))
	if err != nil {
		return fmt.Errorf("%s: %w", p.name, err)
	}
	p.runs++
	done := make(chan struct{})
	p.cmd, p.done = cmd, done
	go func() { // ends when the process exits; kill and end wait for that
		err := cmd.Wait()
		p.mu.Lock()
		p.err = err
		p.mu.Unlock()
		close(done)
	}()
	return nil
}

func (p *restartableProcess) signal(sig syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		_ = p.cmd.Process.Signal(sig) // it may have ended
	}
}

// running reports whether the process runs. If not, the error tells how it exited.
func (p *restartableProcess) running() (bool, error) {
	p.mu.Lock()
	done := p.done
	p.mu.Unlock()
	if done == nil {
		return false, nil
	}
	select {
	case <-done:
		p.mu.Lock()
		defer p.mu.Unlock()
		return false, p.err
	default:
		return true, nil
	}
}

// kill sends SIGKILL and waits until the process has exited.
func (p *restartableProcess) kill() {
	p.mu.Lock()
	done := p.done
	p.mu.Unlock()
	if done != nil {
		p.signal(syscall.SIGKILL)
		<-done
	}
}

// end sends SIGTERM, and kills the process if it doesn't exit in time. It returns the exit error.
func (p *restartableProcess) end(within time.Duration) error {
	p.mu.Lock()
	done := p.done
	p.mu.Unlock()
	if done == nil {
		return nil
	}
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGTERM)
	t := time.NewTimer(within)
	defer t.Stop()
	select {
	case <-done:
	case <-t.C:
		p.kill()
		return fmt.Errorf("%s did not end within %v", p.name, within)
	}
	_, err := p.running()
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		if s, ok := exit.Sys().(syscall.WaitStatus); ok && s.Signaled() && s.Signal() == syscall.SIGTERM {
			return nil // it had just started and did not handle signals yet
		}
	}
	return err
}

func (p *restartableProcess) logTail(lines int) string {
	text, _ := os.ReadFile(filepath.Join(p.dir, p.name+".log"))
	return string(tail(text, lines))
}
