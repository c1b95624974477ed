package main

import (
	"context"
	"os"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/bramleypick/bramleypick/internal/explain"
)

func explainCommand() *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "print how a request was handled and the state of the entry VMs at that time, from their logs",
		ArgsUsage: "REQUEST-ID FILE...",
		Action: func(_ context.Context, c *cli.Command) error {
			if c.Args().Len() < 2 {
				return errors.New("a request id and at least one log file are required")
			}
			timeline := explain.New(c.Args().First())
			for _, name := range c.Args().Tail() {
				if err := addLog(timeline, name); err != nil {
					return err
				}
			}
			found, err := timeline.Print(c.Root().Writer)
			if err == nil && !found {
				err = errors.Errorf("no line of the log files names the request %s", c.Args().First())
			}
			return err
		},
	}
}

func addLog(timeline *explain.Timeline, name string) error {
	file, err := os.Open(name)
	if err != nil {
		return errors.Wrap(err, "open the log")
	}
	defer file.Close()
	return timeline.Add(name, file)
}
