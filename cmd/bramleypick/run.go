package main

import (
	"context"

	"github.com/urfave/cli/v3"

	"github.com/bramleypick/bramleypick/internal/daemon"
	"github.com/bramleypick/bramleypick/internal/settings"
)

func runCommand() *cli.Command {
	return &cli.Command{
		Name:  "run",
		Usage: "run the process of an entry VM; SIGTERM stops it gracefully",
		Flags: []cli.Flag{&cli.StringFlag{Name: "settings", Required: true, Usage: "settings `FILE`"}},
		Action: func(ctx context.Context, c *cli.Command) error {
			s, err := settings.Load(c.String("settings"))
			if err != nil {
				return err
			}
			log, err := newLog(s)
			if err != nil {
				return err
			}
			defer func() { _ = log.Sync() }()
			d, err := daemon.New(s, log)
			if err != nil {
				return err
			}
			return d.Run(ctx)
		},
	}
}
