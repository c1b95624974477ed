// Command bramleypick runs the load balancer and provides commands to validate its files, operate it and generate load.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"github.com/bramleypick/bramleypick/internal/loadgen"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := newApp().Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "bramleypick:", err)
		os.Exit(1)
	}
}

func newApp() *cli.Command {
	return &cli.Command{
		Name:  "bramleypick",
		Usage: "an L7 load balancer for upstreams whose load changes within milliseconds",
		Commands: []*cli.Command{
			runCommand(), entryCommand(), bootstrapCommand(), checkCommand(), checkConfigCommand(),
			applyCommand(), configCommand(), statusCommand(), stopCommand(), returnCommand(),
			explainCommand(),
			keysCommand(), trialCommand(), loadgen.Command(),
		},
	}
}
