package localdeploy

import (
	"os"
	"os/exec"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// Process is a process of a trial deployment. It ends with the process that started it.
type Process struct {
	Name string
	args []string
	log  string
	cmd  *exec.Cmd
	done chan struct{}
	// started is when the program was run last.
	started time.Time
}

// StartProcess runs a program, whose output is appended to a log file.
func StartProcess(name, log string, args ...string) (*Process, error) {
	p := &Process{Name: name, args: args, log: log}
	return p, p.Restart()
}

// Restart runs the program again after it ended, with the same arguments and log.
func (p *Process) Restart() error {
	out, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, fileMode)
	if err != nil {
		return errors.Wrap(err, "log file")
	}
	defer out.Close()
	cmd, done := exec.Command(p.args[0], p.args[1:]...), make(chan struct{})
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return errors.Wrapf(err, "start %s", p.Name)
	}
	go func() {
		_ = cmd.Wait() // ExitCode holds the result.
		close(done)
	}()
	p.cmd, p.done, p.started = cmd, done, time.Now()
	return nil
}

// Signal sends a signal. A process that has ended receives none.
func (p *Process) Signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// Kill ends the process at once and waits until it has ended.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	<-p.done
}

// Stop asks the process to stop gracefully, also if it is frozen, and kills it after the timeout. It returns an error unless the
// process ended in time and with status 0.
func (p *Process) Stop(timeout time.Duration) error {
	p.Signal(syscall.SIGCONT)
	p.Signal(syscall.SIGTERM)
	select {
	case <-p.done:
	case <-time.After(timeout):
		p.Kill()
		return errors.Errorf("%s did not stop within %v", p.Name, timeout)
	}
	if code := p.ExitCode(); code != 0 {
		return errors.Errorf("%s stopped with status %d", p.Name, code)
	}
	return nil
}

// Ended tells whether the process has ended.
func (p *Process) Ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// ExitCode returns the exit status of a process that has ended, and -1 if a signal ended it.
func (p *Process) ExitCode() int { return p.cmd.ProcessState.ExitCode() }

// Age returns how long ago the program was run last.
func (p *Process) Age() time.Duration { return time.Since(p.started) }

// LogTail returns the last n bytes of the log.
func (p *Process) LogTail(n int) string {
	data, _ := os.ReadFile(p.log) // An unreadable log has no tail.
	return string(data[max(0, len(data)-n):])
}
