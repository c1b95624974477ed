// Command experiment runs the experiments of package internal/experiment on one machine and writes a report.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/bramleypick/bramleypick/internal/experiment"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := command().Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "experiment:", err)
		os.Exit(1)
	}
}

func command() *cli.Command {
	return &cli.Command{
		Name:  "experiment",
		Usage: "measure tail latency, the cost of probing upstreams, and the planned stop and return of an availability zone",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "bramleypick", Required: true, Usage: "`PATH` of the bramleypick binary"},
			&cli.StringFlag{Name: "standin", Required: true, Usage: "`PATH` of the standin binary"},
			&cli.StringFlag{Name: "work", Required: true, Usage: "`DIRECTORY` for settings and logs"},
			&cli.StringFlag{Name: "out", Required: true, Usage: "`DIRECTORY` for the report"},
			&cli.StringFlag{Name: "revision", Usage: "measured `REVISION`"},
			&cli.StringFlag{Name: "machine", Usage: "`TEXT` that describes the machine"},
			&cli.IntFlag{Name: "base-port", Value: 23000, Usage: "first `PORT`"},
			&cli.StringSliceFlag{Name: "only", Usage: "`NAME` of an experiment: zone, tail or cost, which run by default, or changes, rolling or tail-wide; may be repeated"},
			&cli.DurationFlag{Name: "limit", Value: 295 * time.Second, Usage: "`DURATION` after which the remaining experiments are cancelled"},
		},
		Action: run,
	}
}

func run(ctx context.Context, c *cli.Command) error {
	ctx, cancel := context.WithTimeout(ctx, c.Duration("limit"))
	defer cancel()
	report, err := loadReport(c.String("out"))
	if err != nil {
		return err
	}
	info := experiment.RunInfo{
		Revision: c.String("revision"), Machine: c.String("machine"), Date: time.Now().UTC().Format(time.DateOnly),
	}
	only := c.StringSlice("only")
	for _, e := range experiments(c, &report) {
		if len(only) > 0 && !slices.Contains(only, e.name) || len(only) == 0 && !e.byDefault {
			continue
		}
		delete(report.Missing, e.name)
		report.Runs[e.name] = info
		if err := e.run(ctx); err != nil {
			report.Missing[e.name] = err.Error()
			fmt.Fprintf(os.Stderr, "%s failed: %v\n", e.name, err)
		}
	}
	return writeReport(c.String("out"), report)
}

// loadReport reads the report of earlier runs. Results of experiments that do not run now are kept.
func loadReport(dir string) (experiment.Report, error) {
	report := experiment.Report{Runs: make(map[string]experiment.RunInfo), Missing: make(map[string]string)}
	data, err := os.ReadFile(filepath.Join(dir, "measurements.json"))
	if errors.Is(err, os.ErrNotExist) {
		return report, nil
	}
	if err != nil {
		return report, errors.Wrap(err, "read report")
	}
	if err := json.Unmarshal(data, &report); err != nil {
		return report, errors.Wrapf(err, "decode report in %s", dir)
	}
	return report, nil
}

// namedExperiment is an experiment that adds its results to the report.
type namedExperiment struct {
	name string
	// byDefault is false for experiments with which the default set would take more than five minutes.
	byDefault bool
	run       func(ctx context.Context) error
}

func experiments(c *cli.Command, report *experiment.Report) []namedExperiment {
	programs := experiment.Programs{Bramleypick: c.String("bramleypick"), Standin: c.String("standin")}
	work, port := c.String("work"), c.Int("base-port")
	tail := func(name string, delay time.Duration, seeds ...uint64) func(context.Context) error {
		return func(ctx context.Context) error {
			runs, err := experiment.Tail(ctx, programs, filepath.Join(work, name), port, delay, seeds, os.Stdout)
			report.SetTail(delay, runs)
			return err
		}
	}
	return []namedExperiment{
		{"zone", true, func(ctx context.Context) (err error) {
			report.Zone, err = experiment.Zone(ctx, programs, work, port, experiment.ZoneVariants, os.Stdout)
			return err
		}},
		{"tail", true, tail("tail", 500*time.Microsecond, 1, 2, 3)},
		{"cost", true, func(ctx context.Context) (err error) {
			report.Cost, err = experiment.Cost(ctx, programs, work, port, os.Stdout)
			return err
		}},
		{"changes", false, func(ctx context.Context) error {
			changes, err := experiment.Changes(ctx, programs, filepath.Join(work, "changes"), port, os.Stdout)
			if err == nil {
				report.Changes = &changes
			}
			return err
		}},
		{"rolling", false, func(ctx context.Context) error {
			rolling, err := experiment.Rolling(ctx, programs, filepath.Join(work, "rolling"), port, os.Stdout)
			if err == nil {
				report.Rolling = &rolling
			}
			return err
		}},
		{"tail-wide", false, tail("tail-wide", 1500*time.Microsecond, 1, 2, 3)},
	}
}

func writeReport(dir string, report experiment.Report) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return errors.Wrap(err, "create report directory")
	}
	data, err := json.MarshalIndent(report, "", " ")
	if err != nil {
		return errors.Wrap(err, "encode report")
	}
	if err := os.WriteFile(filepath.Join(dir, "measurements.json"), append(data, '\n'), 0o644); err != nil {
		return errors.Wrap(err, "write report")
	}
	if err := writeFile(filepath.Join(dir, "measurements.md"), report.WriteMarkdown); err != nil {
		return err
	}
	if len(report.Tail) > 0 {
		plot := func(w io.Writer) error { return experiment.PlotTail(w, report.Tail) }
		if err := writeFile(filepath.Join(dir, "tail.svg"), plot); err != nil {
			return err
		}
	}
	if len(report.Zone) > 0 {
		plot := func(w io.Writer) error { return experiment.PlotZone(w, report.Zone[0]) }
		return writeFile(filepath.Join(dir, "zone.svg"), plot)
	}
	return nil
}

func writeFile(name string, content func(io.Writer) error) error {
	f, err := os.Create(name)
	if err != nil {
		return errors.Wrap(err, "write report")
	}
	defer f.Close()
	return errors.Wrap(content(f), name)
}
