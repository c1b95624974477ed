package main

import (
	"context"
	"fmt"
	"net/netip"
	"path/filepath"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/bramleypick/bramleypick/internal/keys"
)

const (
	defaultCAValidity = 10 * 365 * 24 * time.Hour
	defaultVMValidity = 365 * 24 * time.Hour
)

func keysCommand() *cli.Command {
	return &cli.Command{
		Name:     "keys",
		Usage:    "create the private CA and the certificates of the VMs",
		Commands: []*cli.Command{caCommand(), issueCommand()},
	}
}

func dirFlag() cli.Flag {
	return &cli.StringFlag{Name: "dir", Required: true, Usage: "`DIRECTORY` of the key files"}
}

func validityFlag(value time.Duration) cli.Flag {
	return &cli.DurationFlag{Name: "validity", Value: value, Usage: "validity `DURATION` of the certificate"}
}

func caCommand() *cli.Command {
	return &cli.Command{
		Name: "ca", Usage: "create a CA: ca.crt and ca.key",
		Flags: []cli.Flag{dirFlag(), validityFlag(defaultCAValidity)},
		Action: func(_ context.Context, c *cli.Command) error {
			ca, err := keys.NewAuthority(time.Now(), c.Duration("validity"))
			if err != nil {
				return err
			}
			return ca.Save(filepath.Join(c.String("dir"), "ca.crt"), filepath.Join(c.String("dir"), "ca.key"))
		},
	}
}

func issueCommand() *cli.Command {
	return &cli.Command{
		Name: "issue", Usage: "issue the certificate of a VM with the CA in the same directory: NAME.crt and NAME.key",
		Flags: []cli.Flag{
			dirFlag(), validityFlag(defaultVMValidity),
			&cli.StringFlag{Name: "name", Required: true, Usage: "`NAME` of the VM"},
			&cli.StringSliceFlag{Name: "ip", Required: true, Usage: "`IP` address of the VM; may be repeated"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			return issue(c.String("dir"), c.String("name"), c.StringSlice("ip"), c.Duration("validity"))
		},
	}
}

func issue(dir, name string, ips []string, validity time.Duration) error {
	var addresses []netip.Addr
	for _, ip := range ips {
		address, err := netip.ParseAddr(ip)
		if err != nil {
			return errors.Wrapf(err, "%q is not an IP address", ip)
		}
		addresses = append(addresses, address)
	}
	ca, err := keys.LoadAuthority(filepath.Join(dir, "ca.crt"), filepath.Join(dir, "ca.key"))
	if err != nil {
		return err
	}
	pair, err := ca.Issue(name, addresses, time.Now(), validity)
	if err != nil {
		return err
	}
	return pair.Save(filepath.Join(dir, fmt.Sprintf("%s.crt", name)), filepath.Join(dir, fmt.Sprintf("%s.key", name)))
}
