package soak

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"
)

// restartDelay is the time from the exit of a process to its next start.
const restartDelay = 200 * time.Millisecond

// process is one instance, which is restarted whenever it exits.
type process struct {
	name, ip, program, settingsFile, logFile string

	mu              sync.Mutex
	command         *exec.Cmd
	stopped         bool // stopped tells that the process must not be restarted.
	startCount      int
	unexpectedExits []string      // unexpectedExits lists exits that no signal caused, and failed restarts.
	exitRequested   bool          // exitRequested tells that the running process was sent a signal that ends it.
	done            chan struct{} // done is closed when the last process has exited.
}

// start starts the process and a goroutine that restarts it.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	logWriter, err := os.OpenFile(p.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("open log: %w", err)
	}
	cmd := exec.Command(p.program, "serve", "--settings-file", p.settingsFile)
	cmd.Stdout, cmd.Stderr = logWriter, logWriter
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", p.name, err)
	}
	p.command, p.exitRequested = cmd, false
	p.startCount++
	go p.restartOnExit(cmd, logWriter)
	return nil
}

// restartOnExit waits until the process exits and starts it again, unless it was stopped.
func (p *process) restartOnExit(cmd *exec.Cmd, logWriter *os.File) {
	err := cmd.Wait()
	_ = logWriter.Close()
	p.mu.Lock()
	if !p.exitRequested {
		p.unexpectedExits = append(p.unexpectedExits, fmt.Sprint(err))
	}
	stopped := p.stopped
	p.mu.Unlock()
	if stopped {
		close(p.done)
		return
	}
	time.Sleep(restartDelay)
	if err := p.start(); err != nil {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.unexpectedExits = append(p.unexpectedExits, err.Error())
		close(p.done)
	}
}

// sendSignal sends a signal to the running process; endsProcess tells that the signal ends it.
func (p *process) sendSignal(s syscall.Signal, endsProcess bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.exitRequested = p.exitRequested || endsProcess
	_ = p.command.Process.Signal(s) // A process that has just exited needs no signal.
}

// applySignal applies a signal of a plan to the process; a pause lasts for the given length.
func (p *process) applySignal(ctx context.Context, s Signal, length time.Duration) {
	switch s {
	case Kill:
		p.sendSignal(syscall.SIGKILL, true)
	case Stop:
		p.mu.Lock()
		command := p.command
		p.mu.Unlock()
		p.sendSignal(syscall.SIGTERM, true)
		time.AfterFunc(graceSeconds*time.Second, func() { _ = command.Process.Kill() })
	case Pause:
		p.sendSignal(syscall.SIGSTOP, false)
		select {
		case <-ctx.Done():
		case <-time.After(length):
		}
		p.sendSignal(syscall.SIGCONT, false)
	case Hangup:
		p.sendSignal(syscall.SIGHUP, false)
	}
}

// shutDown kills the process without a restart and waits until it has exited, so that the next run can use its
// addresses.
func (p *process) shutDown() {
	p.mu.Lock()
	p.stopped = true
	p.mu.Unlock()
	for {
		p.sendSignal(syscall.SIGKILL, true)
		select {
		case <-p.done:
			return
		case <-time.After(restartDelay):
		}
	}
}
