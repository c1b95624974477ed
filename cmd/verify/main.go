// Command verify compares the result of a load run with the executions of the test upstreams. It exits with status 1 if a
// request was duplicated, lost, or executed although reported as not run.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/bramleypick/bramleypick/internal/loadgen"
	"github.com/bramleypick/bramleypick/internal/standin"
	"github.com/bramleypick/bramleypick/internal/verify"
)

// fetchTimeout limits the request to one test upstream process.
const fetchTimeout = 10 * time.Second

func main() {
	if err := command().Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "verify:", err)
		os.Exit(1)
	}
}

func command() *cli.Command {
	return &cli.Command{
		Name:  "verify",
		Usage: "compare the result of a load run with the executions of the test upstreams",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "result", Required: true, Usage: "result `FILE` of bramleypick load run"},
			&cli.StringSliceFlag{Name: "admin", Required: true, Usage: "admin `IP:PORT` of a test upstream process; may be repeated"},
			&cli.BoolFlag{Name: "all-answered", Usage: "fail unless every request was answered"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			v, err := compare(ctx, c.String("result"), c.StringSlice("admin"))
			if err != nil {
				return err
			}
			if err := v.WriteText(c.Root().Writer); err != nil {
				return err
			}
			if !v.OK() {
				return errors.Errorf("verification failed: %d requests were duplicated, %d lost, %d executed although reported as not run",
					v.Duplicated, v.Lost, v.FalseNotRun)
			}
			if c.Bool("all-answered") && v.Answered != v.Sent {
				return errors.Errorf("verification failed: %d of %d requests were not answered", v.Sent-v.Answered, v.Sent)
			}
			return nil
		},
	}
}

func compare(ctx context.Context, resultFile string, admins []string) (verify.Verdict, error) {
	data, err := os.ReadFile(resultFile)
	if err != nil {
		return verify.Verdict{}, errors.Wrap(err, "read load result")
	}
	var result loadgen.Result
	if err := json.Unmarshal(data, &result); err != nil {
		return verify.Verdict{}, errors.Wrap(err, "decode load result")
	}
	var all []standin.Executions
	for _, admin := range admins {
		executions, err := fetchExecutions(ctx, admin)
		if err != nil {
			return verify.Verdict{}, err
		}
		all = append(all, executions)
	}
	return verify.Compare(result, all), nil
}

func fetchExecutions(ctx context.Context, admin string) (standin.Executions, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	var executions standin.Executions
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+admin+"/executions?least=1", nil)
	if err != nil {
		return executions, errors.Wrap(err, "fetch executions")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return executions, errors.Wrap(err, "fetch executions")
	}
	defer response.Body.Close()
	return executions, errors.Wrap(json.NewDecoder(response.Body).Decode(&executions), "decode executions of "+admin)
}
