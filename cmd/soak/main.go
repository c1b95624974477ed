// Command soak runs bramleypick's processes under random faults and checks its promises. See experiment.Soak.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/bramleypick/bramleypick/internal/experiment"
	"github.com/bramleypick/bramleypick/internal/localdeploy"
)

// firstPort, lastPort and portsPerRun are the ports that runs use. They lie outside those of the tests.
const firstPort, lastPort, portsPerRun = 29000, 32600, 120

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := command().Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
		os.Exit(1)
	}
}

func command() *cli.Command {
	return &cli.Command{
		Name:  "soak",
		Usage: "run real processes under random faults, one seed after another, and check the promises",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "bramleypick", Required: true, Usage: "`PATH` of the bramleypick binary"},
			&cli.StringFlag{Name: "standin", Required: true, Usage: "`PATH` of the standin binary"},
			&cli.StringFlag{Name: "work", Required: true, Usage: "`FOLDER` for settings and logs; those of failed seeds are kept"},
			&cli.Uint64Flag{Name: "seed", Usage: "first `SEED` (default: from the time of day)"},
			&cli.IntFlag{Name: "seeds", Value: 1, Usage: "`NUMBER` of seeds"},
			&cli.DurationFlag{Name: "length", Value: 12 * time.Second, Usage: "`DURATION` of the load of each seed"},
		},
		Action: run,
	}
}

func run(ctx context.Context, c *cli.Command) error {
	first := c.Uint64("seed")
	if !c.IsSet("seed") {
		first = uint64(time.Now().UnixNano())
	}
	failed := 0
	for i := range uint64(c.Int("seeds")) {
		ok, err := runSeed(ctx, c, first+i)
		if err != nil {
			return err
		}
		if !ok {
			failed++
		}
	}
	if failed > 0 {
		return errors.Errorf("%d of %d seeds failed", failed, c.Int("seeds"))
	}
	return nil
}

func runSeed(ctx context.Context, c *cli.Command, seed uint64) (ok bool, err error) {
	base, release, err := localdeploy.ReservePorts(firstPort, lastPort, portsPerRun)
	if err != nil {
		return false, err
	}
	defer release()
	dir := filepath.Join(c.String("work"), fmt.Sprint("seed-", seed))
	programs := experiment.Programs{Bramleypick: c.String("bramleypick"), Standin: c.String("standin")}
	r, err := experiment.Soak(ctx, programs, dir, base, seed, c.Duration("length"))
	if err != nil {
		return false, errors.Wrapf(err, "seed %d", seed)
	}
	fmt.Printf("seed %d: %d faults, %d requests, %d answered, %d refused, %d uncertain\n", seed, len(r.Faults), r.Verdict.Sent,
		r.Verdict.Answered, r.Verdict.NotRun, r.Verdict.Uncertain)
	if len(r.Violations) == 0 {
		return true, errors.Wrap(os.RemoveAll(dir), "remove the files of the seed")
	}
	for _, line := range append(r.Faults, r.Violations...) {
		fmt.Println("  " + line)
	}
	fmt.Println("  logs:", dir)
	return false, nil
}
