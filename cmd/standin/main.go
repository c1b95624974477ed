// Command standin runs test upstreams on consecutive ports. See package internal/standin.
package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"strconv"
	"syscall"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/bramleypick/bramleypick/internal/standin"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := command().Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
	}
}

func command() *cli.Command {
	flags := []cli.Flag{
		&cli.StringFlag{Name: "service", Required: true, Usage: "service to announce"},
		&cli.StringFlag{Name: "zone", Required: true, Usage: "availability zone to announce"},
		&cli.StringFlag{Name: "listen", Required: true, Usage: "IP:port of the first upstream; the others follow"},
		&cli.StringFlag{Name: "announce", Usage: "IP:port to announce for the first upstream; the others follow (default: listen)"},
		&cli.StringFlag{Name: "admin", Required: true, Usage: "IP:port of the admin endpoint"},
		&cli.StringSliceFlag{Name: "entry", Usage: "caller address of an entry VM to announce to; may be repeated"},
		&cli.StringFlag{Name: "id-prefix", Usage: "prefix of the upstream ids (default: service and zone)"},
		&cli.IntFlag{Name: "count", Value: 1, Usage: "number of upstreams"},
		&cli.IntFlag{Name: "slots", Value: 3, Usage: "slots of each upstream"},
		&cli.IntFlag{Name: "max-connections", Usage: "connection limit to announce (default: 300)"},
		&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the random number generator"},
	}
	for _, f := range standin.Flags() {
		if f.Bool {
			flags = append(flags, &cli.BoolFlag{Name: f.Name, Usage: f.Usage})
		} else {
			flags = append(flags, &cli.StringFlag{Name: f.Name, Usage: f.Usage})
		}
	}
	return &cli.Command{Name: "standin", Usage: "run test upstreams", Flags: flags, Action: run}
}

func run(ctx context.Context, cmd *cli.Command) error {
	values := map[string]string{}
	for _, f := range standin.Flags() {
		if cmd.IsSet(f.Name) {
			values[f.Name] = fmt.Sprint(cmd.Value(f.Name))
		}
	}
	behaviour, err := standin.BehaviourFromFlags(values)
	if err != nil {
		return err
	}
	first, err := netip.ParseAddrPort(cmd.String("listen"))
	if err != nil {
		return errors.Wrap(err, "parse flag --listen")
	}
	var announced netip.AddrPort
	if text := cmd.String("announce"); text != "" {
		if announced, err = netip.ParseAddrPort(text); err != nil {
			return errors.Wrap(err, "parse flag --announce")
		}
	}
	prefix := cmd.String("id-prefix")
	if prefix == "" {
		prefix = cmd.String("service") + "-" + cmd.String("zone")
	}
	recorder := standin.NewExecutionRecorder()
	var upstreams []*standin.Upstream
	for i := range cmd.Int("count") {
		address := ""
		if announced.IsValid() {
			address = netip.AddrPortFrom(announced.Addr(), announced.Port()+uint16(i)).String()
		}
		u := standin.New(standin.Config{
			AnnouncedAddress: address, ID: prefix + "-" + strconv.Itoa(i+1), Service: cmd.String("service"), Zone: cmd.String("zone"),
			Address: netip.AddrPortFrom(first.Addr(), first.Port()+uint16(i)).String(), Slots: cmd.Int("slots"),
			MaxConnections: cmd.Int("max-connections"), Entries: cmd.StringSlice("entry"), Behaviour: behaviour,
			Seed: cmd.Uint64("seed") + uint64(i),
		}, recorder)
		if err := u.Start(); err != nil {
			return err
		}
		defer u.Close()
		upstreams = append(upstreams, u)
	}
	return serveAdmin(ctx, cmd.String("admin"), standin.Admin(upstreams, recorder))
}

// serveAdmin serves the admin endpoint until ctx ends.
func serveAdmin(ctx context.Context, address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	server := &http.Server{Handler: handler}
	defer context.AfterFunc(ctx, func() { server.Close() })()
	if err := server.Serve(listener); err != http.ErrServerClosed {
		return errors.Wrap(err, "serve admin endpoint")
	}
	return nil
}
