package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	memoryLimitMB   = 284 // memory-mb in the settings
	watchInterval   = 5 * time.Millisecond
	restartDelay    = 500 * time.Millisecond
	endsForFault    = 3 // a machine on which processes end by themselves so often counts for the rule
	machinesOfFault = 2 // a tenth of the machines in use, two at least
)

// watcher does what the platform does with its processes: it kills one that uses more than its memory, and starts one again that
// has ended.
type watcher struct {
	d    *deployment
	stop chan struct{}
	done sync.WaitGroup

	mu   sync.Mutex
	ends map[string]int // by machine
	peak map[string]int // MB, by machine
}

func (d *deployment) watch() *watcher {
	w := &watcher{d: d, stop: make(chan struct{}), ends: make(map[string]int), peak: make(map[string]int)}
	for _, n := range d.nodes {
		w.done.Go(func() { w.watchMachine(n) })
	}
	return w
}

func (w *watcher) watchMachine(n *node) {
	for {
		select {
		case <-w.stop:
			return
		case <-n.done:
			w.mu.Lock()
			w.ends[n.name]++
			w.mu.Unlock()
			time.Sleep(restartDelay)
			if err := w.d.restart(n); err != nil {
				w.d.record.printf("%s could not be started again: %v", n.name, err)
				return
			}
		case <-time.After(watchInterval):
			mb := n.anonymousMB()
			w.mu.Lock()
			w.peak[n.name] = max(w.peak[n.name], mb)
			w.mu.Unlock()
			if mb > memoryLimitMB {
				w.d.record.printf("%s uses %d MB of %d: the platform kills it", n.name, mb, memoryLimitMB)
				_ = n.cmd.Process.Kill() // an error means that it has ended
				<-n.done
			}
		}
	}
}

// finish ends the watch. It returns the number of machines on which processes ended by themselves endsForFault times or more.
func (w *watcher) finish() int {
	close(w.stop)
	w.done.Wait()
	machines := 0
	for _, n := range w.d.nodes {
		w.d.record.result("%s: process ended by itself %d times, most memory %d MB of %d", n.name, w.ends[n.name], w.peak[n.name], memoryLimitMB)
		if w.ends[n.name] >= endsForFault {
			machines++
		}
	}
	return machines
}

// restart starts a process again with the settings that hold after the first start.
func (d *deployment) restart(n *node) error {
	if err := d.writeSettings(n, false); err != nil {
		return err
	}
	return d.start(n)
}

// anonymousMB returns the memory of the process in MB without the pages of its program file, or zero if it has ended.
func (n *node) anonymousMB() int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if f := strings.Fields(line); len(f) > 1 && f[0] == "RssAnon:" {
			kb, _ := strconv.Atoi(f[1]) // the kernel writes a number
			return kb >> 10
		}
	}
	return 0
}

// maxKeptLine is the length in bytes up to which lines of a log are kept.
const maxKeptLine = 2000

// collectLog reads the structured log of a process to its end, as the platform does, and writes its lines to a file.
func collectLog(from io.ReadCloser, to io.WriteCloser) {
	defer from.Close()
	defer to.Close()
	in := bufio.NewReader(from)
	for {
		line, err := in.ReadBytes('\n')
		var fields struct{ Level, Msg string }
		if json.Unmarshal(line, &fields) == nil || len(line) > 0 { // other lines, such as those of the runtime, are kept too
			_, _ = to.Write(line[:min(len(line), maxKeptLine)])
		}
		if err != nil {
			return
		}
	}
}
