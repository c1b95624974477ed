package main

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/bramleypick/bramleypick/dynconfig"
	"github.com/bramleypick/bramleypick/internal/settings"
)

func checkCommand() *cli.Command {
	return &cli.Command{
		Name:  "check",
		Usage: "validate a settings file or a configuration without starting a process, and report all errors",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "settings `FILE`"},
			&cli.StringFlag{Name: "config", Usage: "configuration `FILE`, - for standard input"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			return check(c.String("settings"), c.String("config"), c.Root().Writer)
		},
	}
}

func check(settingsFile, configFile string, out io.Writer) error {
	if (settingsFile == "") == (configFile == "") {
		return errors.New("exactly one of --settings and --config is required")
	}
	if settingsFile != "" {
		if _, err := settings.Load(settingsFile); err != nil {
			return err
		}
		fmt.Fprintln(out, "settings are valid")
		return nil
	}
	data, err := readInput(configFile)
	if err != nil {
		return err
	}
	config, err := dynconfig.Parse(data)
	if err != nil {
		return err
	}
	canonical, err := dynconfig.Canonical(config)
	if err != nil {
		return err
	}
	fmt.Fprintln(out, "configuration is valid, digest", dynconfig.Digest(canonical))
	return nil
}

// readInput reads a file, or standard input if name is "-". It stops one byte beyond the size limit of a configuration, so
// that parsing detects an oversized one.
func readInput(name string) ([]byte, error) {
	in := os.Stdin
	if name != "-" {
		f, err := os.Open(name)
		if err != nil {
			return nil, errors.Wrap(err, "read configuration")
		}
		defer f.Close()
		in = f
	}
	data, err := io.ReadAll(io.LimitReader(in, dynconfig.MaxConfigBytes+1))
	return data, errors.Wrap(err, "read configuration")
}
