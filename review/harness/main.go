package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxRunTime bounds a whole run.
const maxRunTime = 115 * time.Second

// caseFunc plays a case and reports whether the rule was broken.
type caseFunc func(e *env) (broken bool, err error)

var cases = map[string]caseFunc{
	"stop":   playStop,
	"poison": playPoison,
	"left":   playLeft,
	"cold":   playCold,
	"leave":  playLeave,
	"ghost":  playGhost,
	"stale":  playStale,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-harness stop|poison|left|cold|leave|ghost|stale RECORD")
		return exitNotRun
	}
	e, err := newEnv(os.Args[2], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer e.close()
	type result struct {
		broken bool
		err    error
	}
	done := make(chan result, 1)
	go func() {
		broken, err := cases[os.Args[1]](e)
		done <- result{broken, err}
	}()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	select {
	case <-interrupted:
		e.record.line("not run: interrupted")
		return exitNotRun
	case r := <-done:
		switch {
		case r.err != nil:
			e.record.line("not run: %v", r.err)
			return exitNotRun
		case r.broken:
			e.record.line("RESULT broken")
			return exitBroken
		}
		e.record.line("RESULT held")
		return exitHeld
	case <-time.After(maxRunTime):
		e.record.line("not run: the case took more than %v", maxRunTime)
		return exitNotRun
	}
}
