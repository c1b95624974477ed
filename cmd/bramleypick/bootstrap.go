package main

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"github.com/bramleypick/bramleypick/internal/daemon"
	"github.com/bramleypick/bramleypick/internal/settings"
)

func bootstrapCommand() *cli.Command {
	return &cli.Command{
		Name:  "bootstrap",
		Usage: "create the control group; run it once for each initial replica, never after a disk was lost",
		Flags: []cli.Flag{&cli.StringFlag{Name: "settings", Required: true, Usage: "settings `FILE`"}},
		Action: func(_ context.Context, c *cli.Command) error {
			s, err := settings.Load(c.String("settings"))
			if err != nil {
				return err
			}
			if err := daemon.Bootstrap(s); err != nil {
				return err
			}
			fmt.Fprintf(c.Root().Writer, "replica %d bootstrapped the control group of voters %v\n", s.NodeID, s.BootstrapVoters)
			return nil
		},
	}
}
