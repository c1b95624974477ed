package main

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/urfave/cli/v3"

	"github.com/bramleypick/bramleypick/internal/controlproto"
)

func statusCommand() *cli.Command {
	return &cli.Command{
		Name:  "status",
		Usage: "print upstream owners, configuration versions and what planned stops wait for",
		Flags: operatorFlags(&cli.BoolFlag{Name: "json", Usage: "print JSON"}),
		Action: func(ctx context.Context, c *cli.Command) error {
			client, err := newOperatorClient(c)
			if err != nil {
				return err
			}
			report, err := client.Status(ctx)
			if err != nil {
				return err
			}
			if c.Bool("json") {
				return printJSON(c.Root().Writer, report)
			}
			return printReport(c.Root().Writer, report)
		},
	}
}

func printReport(out io.Writer, r controlproto.Report) error {
	fmt.Fprintf(out, "leader %s, term %d, commit index %d\n", r.Leader, r.Term, r.CommitIndex)
	fmt.Fprintf(out, "configuration version %d accepted, %d in force everywhere, digest %s\n\n", r.ConfigVersion, r.InForce, r.ConfigDigest)
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "GATEWAY\tZONE\tSESSION\tCONFIG\tLEAVING\tRENEWED MS AGO")
	for _, g := range r.Gateways {
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%v\t%d\n", g.Name, g.Zone, g.SessionID, g.ConfigVersion, g.Leaving, g.SinceRenewalMillis)
	}
	fmt.Fprintln(w, "\nREPLICA\tNODE ID\tVOTER")
	for _, p := range r.Replicas {
		fmt.Fprintf(w, "%s\t%d\t%v\n", p.Name, p.NodeID, p.Voter)
	}
	fmt.Fprintln(w, "\nUPSTREAM\tSERVICE\tZONE\tOWNER\tEPOCH\tMOVING TO")
	for _, u := range r.Upstreams {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%s\n", u.ID, u.Service, u.Zone, u.Owner, u.Epoch, u.MovingTo)
	}
	for _, s := range r.Stops {
		fmt.Fprintf(w, "\nstop of %s%s: stopped %v\n", s.Zone, s.Upstream, s.Stopped)
		for _, reason := range s.WaitingFor {
			fmt.Fprintf(w, "  waits: %s\n", reason)
		}
	}
	return w.Flush()
}
