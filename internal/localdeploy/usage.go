package localdeploy

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"time"

	"github.com/pkg/errors"
)

// clockTick is the unit of the CPU times in /proc, which is 10 ms on Linux.
const clockTick = 10 * time.Millisecond

// Usage is the CPU time and memory that a process uses.
type Usage struct {
	CPU time.Duration
	// RSS is the resident memory, in bytes.
	RSS int64
}

// Usage returns the CPU time that the process has used since its start and its current resident memory.
func (p *Process) Usage() (Usage, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	if err != nil {
		return Usage{}, errors.Wrap(err, "read process usage")
	}
	// The second field is the program name in parentheses, which may contain spaces, so only the fields after it are split.
	// The indices are those of utime, stime and rss in proc(5), counted from there.
	fields := bytes.Fields(data[bytes.LastIndexByte(data, ')')+1:])
	const user, system, resident = 11, 12, 21
	if len(fields) <= resident {
		return Usage{}, errors.Errorf("read process usage: got %d fields after the program name, want more than %d", len(fields), resident)
	}
	number := func(i int) int64 {
		n, _ := strconv.ParseInt(string(fields[i]), 10, 64)
		return n
	}
	return Usage{
		CPU: time.Duration(number(user)+number(system)) * clockTick,
		RSS: number(resident) * int64(os.Getpagesize()),
	}, nil
}
