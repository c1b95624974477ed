package experiment

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"strconv"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// clockTick is the unit of the processor times in /proc, which is 10 ms on Linux.
const clockTick = 10 * time.Millisecond

// Process is a process that an experiment started.
type Process struct {
	name string
	args []string
	log  string
	cmd  *exec.Cmd
	done chan struct{}
	err  error
}

// start runs a program whose output goes to a log file.
func start(name, log string, args ...string) (*Process, error) {
	p := &Process{name: name, args: args, log: log}
	return p, p.restart()
}

// restart runs the program again with the same arguments, and appends to the same log.
func (p *Process) restart() error {
	out, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "log file")
	}
	defer out.Close()
	cmd := exec.Command(p.args[0], p.args[1:]...)
	cmd.Stdout, cmd.Stderr = out, out
	// The child dies with this process, so that nothing is left behind when an experiment is killed.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return errors.Wrapf(err, "start %s", p.name)
	}
	p.cmd, p.done = cmd, make(chan struct{})
	go func(done chan struct{}) {
		p.err = cmd.Wait()
		close(done)
	}(p.done)
	return nil
}

func (p *Process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// kill ends the process at once.
func (p *Process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

// stop asks the process to stop gracefully, and kills it after the timeout.
func (p *Process) stop(timeout time.Duration) error {
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGTERM)
	select {
	case <-p.done:
		return errors.Wrapf(p.err, "stop %s", p.name)
	case <-time.After(timeout):
		p.kill()
		return errors.Errorf("%s did not stop within %v", p.name, timeout)
	}
}

// freeze stops the process from running until thaw.
func (p *Process) freeze() { p.signal(syscall.SIGSTOP) }

func (p *Process) thaw() { p.signal(syscall.SIGCONT) }

// usage is the processor time and memory that a process used.
type usage struct {
	cpu time.Duration
	// rss is the resident memory, in bytes.
	rss int64
}

func (p *Process) usage() (usage, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	if err != nil {
		return usage{}, errors.Wrap(err, "process usage")
	}
	// The second field is the program's name in parentheses and may hold spaces.
	fields := bytes.Fields(data[bytes.LastIndexByte(data, ')')+1:])
	const user, system, resident = 11, 12, 21
	if len(fields) <= resident {
		return usage{}, errors.New("process usage: too few fields")
	}
	number := func(i int) int64 {
		n, _ := strconv.ParseInt(string(fields[i]), 10, 64)
		return n
	}
	return usage{
		cpu: time.Duration(number(user)+number(system)) * clockTick,
		rss: number(resident) * int64(os.Getpagesize()),
	}, nil
}
