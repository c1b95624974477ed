package process_test

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
)

// programs are the binaries under test, which TestMain builds once.
var programs struct{ bramleypick, standin string }

func TestMain(m *testing.M) { os.Exit(runTests(m)) }

func runTests(m *testing.M) int {
	dir, err := os.MkdirTemp("", "bramleypick-process")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	programs.bramleypick, programs.standin = filepath.Join(dir, "bramleypick"), filepath.Join(dir, "standin")
	build := exec.Command("go", "build", "-o", dir, "../../cmd/bramleypick", "../../cmd/standin")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// child is a process that dies with the test.
type child struct {
	t    *testing.T
	name string
	args []string
	log  string
	cmd  *exec.Cmd
	done chan struct{} // closed when the process has ended
}

func startChild(t *testing.T, name, log string, args ...string) *child {
	t.Helper()
	c := &child{t: t, name: name, args: args, log: log}
	c.start()
	t.Cleanup(c.kill)
	return c
}

// start runs the program, again after it ended, and appends to the same log.
func (c *child) start() {
	c.t.Helper()
	out, err := os.OpenFile(c.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		c.t.Fatal(err)
	}
	defer out.Close()
	cmd, done := exec.Command(c.args[0], c.args[1:]...), make(chan struct{})
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		c.t.Fatalf("start %s: %v", c.name, err)
	}
	go func() {
		_ = cmd.Wait() // ProcessState holds the result.
		close(done)
	}()
	c.cmd, c.done = cmd, done
}

func (c *child) signal(s syscall.Signal) { _ = c.cmd.Process.Signal(s) }

// kill ends the process at once.
func (c *child) kill() {
	c.signal(syscall.SIGKILL)
	<-c.done
}

func (c *child) ended() bool {
	select {
	case <-c.done:
		return true
	default:
		return false
	}
}

// tailLines and tailWidth bound what a failed test prints of a log.
const tailLines, tailWidth = 12, 300

// logTail returns the last lines of the log.
func (c *child) logTail() string {
	data, _ := os.ReadFile(c.log)
	lines := bytes.Split(bytes.TrimSpace(data), []byte("\n"))
	lines = lines[max(0, len(lines)-tailLines):]
	for i, line := range lines {
		lines[i] = line[:min(len(line), tailWidth)]
	}
	return string(bytes.Join(lines, []byte("\n")))
}
