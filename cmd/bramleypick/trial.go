package main

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"github.com/bramleypick/bramleypick/internal/localdeploy"
)

func trialCommand() *cli.Command {
	return &cli.Command{
		Name:  "trial",
		Usage: "write settings, keys and an operator token for a trial deployment on loopback addresses",
		Flags: []cli.Flag{
			dirFlag(),
			&cli.StringSliceFlag{Name: "zone", Required: true, Usage: "`NAME` of an availability zone; may be repeated"},
			&cli.IntFlag{Name: "vms", Value: 6, Usage: "`NUMBER` of entry VMs"},
			&cli.IntFlag{Name: "control", Value: 3, Usage: "`NUMBER` of VMs with a control replica: 1, 3 or 5"},
			&cli.IntFlag{Name: "base-port", Value: 21000, Usage: "first `PORT`; each VM uses three"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			files, err := localdeploy.Write(localdeploy.Plan{
				Dir: c.String("dir"), Zones: c.StringSlice("zone"),
				VMs: c.Int("vms"), ControlReplicas: c.Int("control"), BasePort: c.Int("base-port"),
			})
			for _, f := range files {
				fmt.Fprintln(c.Root().Writer, f)
			}
			return err
		},
	}
}
