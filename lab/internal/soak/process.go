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

// restartPause is the time between the end of a process and its next start.
const restartPause = 200 * time.Millisecond

// process is one instance, started again whenever it ends.
type process struct {
	name, ip, program, file, log string

	mu      sync.Mutex
	command *exec.Cmd
	ended   bool
	starts  int
	strange []string      // strange lists ends that nobody asked for.
	asked   bool          // asked tells that the running process was told to end.
	done    chan struct{} // done closes when the last process has ended.
}

// start starts the process.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	out, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("open log: %w", err)
	}
	c := exec.Command(p.program, "serve", "--settings-file", p.file)
	c.Stdout, c.Stderr = out, out
	if err := c.Start(); err != nil {
		return fmt.Errorf("start %s: %w", p.name, err)
	}
	p.command, p.asked = c, false
	p.starts++
	go p.watch(c, out)
	return nil
}

// watch starts the process again when it has ended.
func (p *process) watch(c *exec.Cmd, out *os.File) {
	err := c.Wait()
	_ = out.Close()
	p.mu.Lock()
	if !p.asked {
		p.strange = append(p.strange, fmt.Sprint(err))
	}
	ended := p.ended
	p.mu.Unlock()
	if ended {
		close(p.done)
		return
	}
	time.Sleep(restartPause)
	if err := p.start(); err != nil {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.strange = append(p.strange, err.Error())
		close(p.done)
	}
}

// send sends a signal to the running process, by its id.
func (p *process) send(s syscall.Signal, ends bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.asked = p.asked || ends
	_ = p.command.Process.Signal(s) // A process that has just ended needs no signal.
}

// signal does to the process what an event says.
func (p *process) signal(ctx context.Context, s Signal, length time.Duration) {
	switch s {
	case Kill:
		p.send(syscall.SIGKILL, true)
	case Stop:
		p.mu.Lock()
		command := p.command
		p.mu.Unlock()
		p.send(syscall.SIGTERM, true)
		time.AfterFunc(graceTime*time.Second, func() { _ = command.Process.Kill() })
	case Pause:
		p.send(syscall.SIGSTOP, false)
		select {
		case <-ctx.Done():
		case <-time.After(length):
		}
		p.send(syscall.SIGCONT, false)
	case Hangup:
		p.send(syscall.SIGHUP, false)
	}
}

// end ends the process for good and waits until it has ended, so that the next run finds its addresses free.
func (p *process) end() {
	p.mu.Lock()
	p.ended = true
	p.mu.Unlock()
	for {
		p.send(syscall.SIGKILL, true)
		select {
		case <-p.done:
			return
		case <-time.After(restartPause):
		}
	}
}
