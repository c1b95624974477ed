package main

import (
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/bramleypick/bramleypick/internal/asynclog"
	"github.com/bramleypick/bramleypick/internal/entrynode"
	"github.com/bramleypick/bramleypick/platform"
)

// entryGCPercent is half the default of Go. This saves memory, the scarcer resource, and costs little CPU time, because an
// entry process allocates little.
const entryGCPercent = 50

// otherMemory is the memory in bytes of a process that the Go runtime does not count: the pages of the program file that are in
// use (12 to 16 MB), and the difference between what the runtime returns and what the operating system has taken back.
const otherMemory = 24 << 20

// memoryLimit returns the memory from which on the garbage collector runs more often, or zero for none. What clients can hold is
// far below it, so that the collector does not run all the time.
func memoryLimit(s entrynode.Settings) int64 {
	if s.MemoryBytes <= 0 {
		return 0
	}
	return max(s.MemoryBytes/2, s.MemoryBytes-otherMemory)
}

// logCloseTimeout limits the time to flush the log at exit, so that a blocked log reader does not delay the exit.
const logCloseTimeout = 200 * time.Millisecond

func entryCommand() *cli.Command {
	return &cli.Command{
		Name:  "entry",
		Usage: "run the process of an entry VM on the operators' platform; SIGTERM stops it gracefully",
		Flags: []cli.Flag{
			&cli.StringFlag{
				Name: "settings", Sources: cli.EnvVars(platform.SettingsVariable), Required: true, Usage: "settings `FILE` of the platform",
			},
			&cli.FloatFlag{
				Name: "hedge-limit", Usage: "largest `SHARE` of additional requests that hedges may cause for each service, 0 to 1; 0 turns hedges " +
					"off. Without this flag hedges are limited only together with the retries",
			},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			debug.SetGCPercent(entryGCPercent)
			// The platform sends SIGHUP when the settings file has changed. The file is read every second anyway, because it may
			// also change without a signal. SIGHUP is ignored so that it does not terminate the process.
			signal.Ignore(syscall.SIGHUP)
			path := c.String("settings")
			s, err := platform.LoadSettings(path)
			if err != nil {
				return err
			}
			if c.IsSet("hedge-limit") {
				limit := c.Float("hedge-limit")
				if !(limit >= 0 && limit <= 1) {
					return errors.Errorf("--hedge-limit: %g is not between 0 and 1", limit)
				}
				s.HedgeLimit = &limit
			}
			if limit := memoryLimit(s); limit > 0 {
				debug.SetMemoryLimit(limit)
			}
			encoder := zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig())
			sink := asynclog.NewSink(os.Stdout)
			defer sink.Close(logCloseTimeout)
			log := zap.New(errorTextCore{zapcore.NewCore(encoder, sink, zap.InfoLevel)})
			node := entrynode.New(s, platform.Adapter{SettingsPath: path}, log.With(zap.String("vm", s.Name)))
			return errors.Wrap(node.Run(ctx), "entry")
		},
	}
}
