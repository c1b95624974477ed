package main

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/bramleypick/bramleypick/dynconfig"
	"github.com/bramleypick/bramleypick/internal/api"
	"github.com/bramleypick/bramleypick/internal/opclient"
)

// operatorFlags returns the flags of a command that uses the operator API, followed by more.
func operatorFlags(more ...cli.Flag) []cli.Flag {
	return append([]cli.Flag{
		&cli.StringSliceFlag{
			Name: "address", Required: true, Sources: cli.EnvVars("BRAMLEYPICK_OPERATOR_ADDRESSES"),
			Usage: "operator `IP:PORT` of an entry VM; may be repeated, the next one is tried if one does not respond",
		},
		&cli.StringFlag{
			Name: "token-file", Required: true, Sources: cli.EnvVars("BRAMLEYPICK_OPERATOR_TOKEN_FILE"),
			Usage: "`FILE` with the operator token",
		},
	}, more...)
}

func changeIDFlag() cli.Flag {
	return &cli.StringFlag{Name: "change-id", Usage: "`ID` of the change; a change resent with the same id is applied only once (default: random)"}
}

func newOperatorClient(c *cli.Command) (*opclient.Client, error) {
	token, err := os.ReadFile(c.String("token-file"))
	if err != nil {
		return nil, errors.Wrap(err, "read operator token")
	}
	return opclient.New(c.StringSlice("address"), strings.TrimSpace(string(token))), nil
}

func changeID(c *cli.Command) string {
	if id := c.String("change-id"); id != "" {
		return id
	}
	return rand.Text()
}

func applyCommand() *cli.Command {
	return &cli.Command{
		Name:      "apply",
		Usage:     "apply a configuration",
		ArgsUsage: "FILE|-",
		Flags: operatorFlags(changeIDFlag(), &cli.Uint64Flag{
			Name: "base-version", Usage: "`VERSION` that the configuration is based on; if another operator has changed it since, the change is rejected as a conflict (default: the current version)",
		}),
		Action: func(ctx context.Context, c *cli.Command) error {
			if c.Args().Len() != 1 {
				return errors.New("exactly one configuration file is required")
			}
			data, err := readInput(c.Args().First())
			if err != nil {
				return err
			}
			if _, err := dynconfig.Parse(data); err != nil {
				return err
			}
			client, err := newOperatorClient(c)
			if err != nil {
				return err
			}
			change := api.ConfigChange{ChangeID: changeID(c), Config: data}
			if c.IsSet("base-version") {
				base := c.Uint64("base-version")
				change.BaseVersion = &base
			}
			accepted, err := client.Apply(ctx, change)
			return printAccepted(c.Root().Writer, accepted, err)
		},
	}
}

func stopCommand() *cli.Command {
	return stopOrReturn("stop", "take an upstream or an availability zone out of service", (*opclient.Client).Stop)
}

func returnCommand() *cli.Command {
	return stopOrReturn("return", "return an upstream or an availability zone to service", (*opclient.Client).Return)
}

func stopOrReturn(name, usage string, call func(*opclient.Client, context.Context, api.StopChange) (api.ChangeResponse, error)) *cli.Command {
	return &cli.Command{
		Name: name, Usage: usage, ArgsUsage: "upstream|zone NAME", Flags: operatorFlags(changeIDFlag()),
		Action: func(ctx context.Context, c *cli.Command) error {
			stop, err := parseStop(c.Args().Slice())
			if err != nil {
				return err
			}
			client, err := newOperatorClient(c)
			if err != nil {
				return err
			}
			accepted, err := call(client, ctx, api.StopChange{ChangeID: changeID(c), Stop: stop})
			return printAccepted(c.Root().Writer, accepted, err)
		},
	}
}

func parseStop(args []string) (dynconfig.Stop, error) {
	if len(args) == 2 && args[1] != "" {
		switch args[0] {
		case "upstream":
			return dynconfig.Stop{Upstream: args[1]}, nil
		case "zone":
			return dynconfig.Stop{Zone: args[1]}, nil
		}
	}
	return dynconfig.Stop{}, errors.New(`"upstream NAME" or "zone NAME" is required`)
}

func printAccepted(out io.Writer, accepted api.ChangeResponse, err error) error {
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "accepted as version %d, digest %s\n", accepted.ConfigVersion, accepted.ConfigDigest)
	return nil
}

func configCommand() *cli.Command {
	return &cli.Command{
		Name: "config", Usage: "print the configuration in force at an entry VM", Flags: operatorFlags(),
		Action: func(ctx context.Context, c *cli.Command) error {
			client, err := newOperatorClient(c)
			if err != nil {
				return err
			}
			config, err := client.Config(ctx)
			if err != nil {
				return err
			}
			return printJSON(c.Root().Writer, config)
		},
	}
}

func printJSON(out io.Writer, value any) error {
	data, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode the output")
	}
	_, err = fmt.Fprintln(out, string(data))
	return err
}
