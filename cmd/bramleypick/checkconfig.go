package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"strings"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/bramleypick/bramleypick/configcheck"
	"github.com/bramleypick/bramleypick/dynconfig"
	"github.com/bramleypick/bramleypick/platform"
	"github.com/bramleypick/bramleypick/routing"
)

// Exit codes of check-config.
const (
	exitFindings   = 1 // at least one finding of severity error
	exitUnreadable = 2 // the file, or the version in force, could not be read
)

func checkConfigCommand() *cli.Command {
	return &cli.Command{
		Name:      "check-config",
		Usage:     "check a configuration of run or entry before it is sent, and compare it with the version in force",
		ArgsUsage: "FILE (- for standard input)",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "against", Usage: "version in force: `FILE|ADDRESS`, the address of a control port of entry"},
			&cli.BoolFlag{Name: "json", Usage: "print JSON"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			if c.Args().Len() != 1 {
				return cli.Exit("bramleypick: exactly one file is required", exitUnreadable)
			}
			report, err := checkConfig(ctx, c.Args().First(), c.String("against"))
			if err != nil {
				return cli.Exit("bramleypick: "+err.Error(), exitUnreadable)
			}
			if err := report.print(c.Root().Writer, c.Bool("json")); err != nil {
				return err
			}
			if report.Errors > 0 {
				return cli.Exit("", exitFindings)
			}
			return nil
		},
	}
}

// decodedConfig is a configuration in one of the two formats. Both pointers are nil if it cannot be decoded.
type decodedConfig struct {
	entry *routing.Config
	run   *dynconfig.Config
}

func checkConfig(ctx context.Context, file, against string) (*checkReport, error) {
	data, err := readInput(file)
	if err != nil {
		return nil, err
	}
	var inForce decodedConfig
	if against != "" {
		data, err := readInForce(ctx, against)
		if err != nil {
			return nil, err
		}
		var findings []configcheck.Finding
		if inForce, findings = decodeEither(data); inForce == (decodedConfig{}) {
			return nil, errors.Errorf("%s cannot be decoded: %s", against, findings[0].Message)
		}
	}
	report := &checkReport{Findings: []configcheck.Finding{}, Differences: []configcheck.Difference{}}
	config, findings := decodeEither(data)
	report.add(findings)
	switch {
	case config.entry != nil && inForce.entry != nil:
		report.Differences = configcheck.Compare(inForce.entry, config.entry)
		report.add(configcheck.CheckVersion(inForce.entry, config.entry))
	case config.run != nil && inForce.run != nil:
		report.Differences = configcheck.CompareDynamic(inForce.run, config.run)
	case config != (decodedConfig{}) && against != "":
		return nil, errors.Errorf("%s has another format than %s", against, file)
	}
	return report, nil
}

// readInForce reads a file, or from a control port if there is no such file and the name is an address.
func readInForce(ctx context.Context, name string) ([]byte, error) {
	if _, err := os.Stat(name); err != nil && name != "-" {
		if _, _, notAddress := net.SplitHostPort(name); notAddress == nil {
			return platform.FetchConfiguration(ctx, name)
		}
	}
	return readInput(name)
}

// decodeEither decodes a configuration and returns what is found about it alone. Only the format of run has zones at the top level.
func decodeEither(data []byte) (decodedConfig, []configcheck.Finding) {
	if syntax := configcheck.Syntax(data); syntax != nil {
		return decodedConfig{}, []configcheck.Finding{*syntax}
	}
	var top map[string]json.RawMessage
	_ = json.Unmarshal(data, &top) // other values than objects are reported by the decoder of entry
	if _, isRun := top["zones"]; isRun {
		return decodeRun(data)
	}
	config, err := platform.DecodeConfiguration(data)
	if err == nil {
		return decodedConfig{entry: config}, configcheck.Check(config)
	}
	finding := configcheck.Finding{Severity: configcheck.Error, Message: err.Error()}
	var decodeError *platform.DecodeError
	if errors.As(err, &decodeError) {
		finding.Item = decodeError.Item
		if offset, found := configcheck.Locate(data, decodeError.Path)[decodeError.Path]; found {
			finding.Line, finding.Column = configcheck.Position(data, offset)
		} else if decodeError.Offset > 0 {
			finding.Line, finding.Column = configcheck.Position(data, decodeError.Offset-1)
		}
	}
	return decodedConfig{}, []configcheck.Finding{finding}
}

func decodeRun(data []byte) (decodedConfig, []configcheck.Finding) {
	config, err := dynconfig.Parse(data)
	if err == nil {
		return decodedConfig{run: &config}, configcheck.CheckDynamic(&config)
	}
	var faults dynconfig.Faults
	if !errors.As(err, &faults) {
		return decodedConfig{}, []configcheck.Finding{{Severity: configcheck.Error, Message: err.Error()}}
	}
	paths := make([]string, len(faults))
	for i, f := range faults {
		paths[i] = f.Path
	}
	offsets := configcheck.Locate(data, paths...)
	findings := make([]configcheck.Finding, 0, len(faults))
	for _, f := range faults {
		finding := configcheck.Finding{Severity: configcheck.Error, Item: f.Path, Message: f.Value + "; allowed: " + f.Allowed}
		if offset, found := offsets[f.Path]; found {
			finding.Line, finding.Column = configcheck.Position(data, offset)
		}
		findings = append(findings, finding)
	}
	return decodedConfig{}, findings
}

// checkReport is the output of check-config.
type checkReport struct {
	Errors      int                      `json:"errors"`
	Findings    []configcheck.Finding    `json:"findings"`
	Differences []configcheck.Difference `json:"differences"` // most harmful first
}

func (r *checkReport) add(findings []configcheck.Finding) {
	for _, f := range findings {
		if f.Severity == configcheck.Error {
			r.Errors++
		}
		r.Findings = append(r.Findings, f)
	}
}

func (r *checkReport) print(out io.Writer, asJSON bool) error {
	if asJSON {
		encoder := json.NewEncoder(out)
		encoder.SetIndent("", "  ")
		return errors.Wrap(encoder.Encode(r), "print the report")
	}
	var b strings.Builder
	for _, f := range r.Findings {
		b.WriteString(string(f.Severity) + ": ")
		if f.Line > 0 {
			fmt.Fprintf(&b, "line %d, column %d: ", f.Line, f.Column)
		}
		if f.Item != "" {
			b.WriteString(f.Item + ": ")
		}
		b.WriteString(f.Message + "\n")
	}
	for _, d := range r.Differences {
		fmt.Fprintf(&b, "difference: %s: %s\n", d.Item, d.Message)
	}
	fmt.Fprintf(&b, "%d errors, %d warnings, %d differences\n", r.Errors, len(r.Findings)-r.Errors, len(r.Differences))
	_, err := io.WriteString(out, b.String())
	return errors.Wrap(err, "print the report")
}
