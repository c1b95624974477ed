// Command harness2 plays the script cases of the second review. It starts processes of the project with the command of the
// deploy file on loopback addresses, and stand-ins for upstreams, clients and operators.
//
// The exit code is 1 if the rule of the case was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
)

// exit codes
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// play is a case. It returns whether the rule was broken.
type play func(d *deployment, trouble bool) (broken bool, err error)

var plays = map[string]play{}

func main() {
	if len(os.Args) != 3 || plays[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness2 CASE FOLDER")
		os.Exit(exitNotRun)
	}
	os.Exit(run(plays[os.Args[1]], os.Args[2]))
}

func run(p play, folder string) int {
	record, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer record.close()
	trouble := os.Getenv("TROUBLE") != "0"
	record.printf("disruption: %v", trouble)
	d, err := startDeployment(record)
	if err != nil {
		record.result("not run: %v", err)
		return exitNotRun
	}
	defer d.stop()
	go func() { // also if the script is ended early
		ended := make(chan os.Signal, 1)
		signal.Notify(ended, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
		<-ended
		d.stop()
		record.result("not run: ended early")
		record.close()
		os.Exit(exitNotRun)
	}()
	broken, err := p(d, trouble)
	switch {
	case err != nil:
		record.result("not run: %v", err)
		return exitNotRun
	case broken:
		record.result("the rule was broken")
		return exitBroken
	}
	record.result("the rule held")
	return exitHeld
}
