package loadgen

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"os"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
)

// Command returns the command "load" with the subcommands "run" and "compare". Both read a JSON configuration, print a
// text table, and optionally write the result as JSON.
func Command() *cli.Command {
	flags := func() []cli.Flag {
		return []cli.Flag{
			&cli.StringFlag{Name: "config", Required: true, Usage: "JSON file that describes the run"},
			&cli.StringFlag{Name: "out", Usage: "file to write the result to, as JSON"},
		}
	}
	return &cli.Command{Name: "load", Usage: "generate load and measure latency", Commands: []*cli.Command{
		{Name: "run", Usage: "send open-loop load through the entry VMs", Flags: flags(),
			Action: func(ctx context.Context, cmd *cli.Command) error { return runCommand(ctx, cmd, Run) }},
		{Name: "compare", Usage: "compare the latency of direct calls to an upstream with that of calls through a gateway", Flags: flags(),
			Action: func(ctx context.Context, cmd *cli.Command) error { return runCommand(ctx, cmd, Compare) }},
	}}
}

type tableWriter interface{ WriteTable(w io.Writer) error }

func runCommand[C any, R tableWriter](ctx context.Context, cmd *cli.Command, f func(context.Context, C) (R, error)) error {
	data, err := os.ReadFile(cmd.String("config"))
	if err != nil {
		return errors.Wrap(err, "read configuration")
	}
	var config C
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&config); err != nil {
		return errors.Wrapf(err, "decode configuration %s", cmd.String("config"))
	}
	result, err := f(ctx, config)
	if err != nil {
		return err
	}
	if out := cmd.String("out"); out != "" {
		data, err := json.MarshalIndent(result, "", " ")
		if err != nil {
			return errors.Wrap(err, "encode result")
		}
		if err := os.WriteFile(out, append(data, '\n'), 0o644); err != nil {
			return errors.Wrap(err, "write result")
		}
	}
	return result.WriteTable(cmd.Root().Writer)
}
