package localdeploy

import (
	"os"
	"os/exec"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// Process is a process of a local deployment. It is killed when the process that started it ends. Restart must not be called
// concurrently with any other method.
type Process struct {
	Name    string
	args    []string
	logPath string
	cmd     *exec.Cmd
	done    chan struct{} // closed when the process has ended
	// started is the time of the last start of the program.
	started time.Time
}

// StartProcess starts a program, args[0], and appends its output to a log file.
func StartProcess(name, logPath string, args ...string) (*Process, error) {
	p := &Process{Name: name, args: args, logPath: logPath}
	return p, p.Restart()
}

// Restart starts the program again with the same arguments and log file. The previous process must have ended.
func (p *Process) Restart() error {
	out, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, fileMode)
	if err != nil {
		return errors.Wrap(err, "open log file")
	}
	defer out.Close()
	cmd, done := exec.Command(p.args[0], p.args[1:]...), make(chan struct{})
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return errors.Wrapf(err, "start %s", p.Name)
	}
	go func() {
		_ = cmd.Wait() // The result is available from ExitCode.
		close(done)
	}()
	p.cmd, p.done, p.started = cmd, done, time.Now()
	return nil
}

// Signal sends a signal. It does nothing if the process has ended.
func (p *Process) Signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// Kill sends SIGKILL and waits until the process has ended.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	<-p.done
}

// Stop resumes the process if it is frozen, sends SIGTERM, and kills the process after the timeout. It returns an error
// unless the process ended in time and with exit code 0.
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
		return errors.Errorf("%s stopped with exit code %d, want 0", p.Name, code)
	}
	return nil
}

// Ended reports whether the process has ended.
func (p *Process) Ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// ExitCode returns the exit code of a process that has ended, or -1 if a signal terminated it.
func (p *Process) ExitCode() int { return p.cmd.ProcessState.ExitCode() }

// PID returns the process id of the last start of the program.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Age returns the time since the last start of the program.
func (p *Process) Age() time.Duration { return time.Since(p.started) }

// LogTail returns the last n bytes of the log file.
func (p *Process) LogTail(n int) string {
	data, _ := os.ReadFile(p.logPath) // An unreadable log file gives an empty tail.
	return string(data[max(0, len(data)-n):])
}
