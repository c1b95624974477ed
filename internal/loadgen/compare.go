package loadgen

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"
)

// CompareConfig describes a closed-loop comparison. Calls are made one at a time, alternately to an upstream and through a
// gateway.
type CompareConfig struct {
	// Direct and Gateway are the addresses (IP:port) of the two sides. Required.
	Direct  string `json:"direct"`
	Gateway string `json:"gateway"`
	// Path starts with a slash and the service name. Required.
	Path string `json:"path"`
	// Method is the HTTP method of the calls. Default GET; empty means the default.
	Method string `json:"method,omitempty"`
	// ClientAccount is sent as Bramleypick-Tenant unless empty.
	ClientAccount string `json:"tenant,omitempty"`
	// Calls is the number of measured calls to each side. Default 10000; zero means the default.
	Calls int `json:"calls,omitempty"`
	// WarmUpCalls is the number of calls to each side before the measurement. Default 200; zero means the default.
	WarmUpCalls int `json:"warm_up_calls,omitempty"`
}

const (
	defaultCompareCalls  = 10000
	defaultCompareWarmUp = 200
	compareTimeout       = 5 * time.Second
	// One in compareCallsPerAllowedError calls to a side may fail, and at least one. With more failures the latencies of the
	// two sides would not be comparable.
	compareCallsPerAllowedError = 100
)

// Comparison is the result of Compare.
type Comparison struct {
	Direct  Latency `json:"direct"`
	Gateway Latency `json:"gateway"`
	// DirectErrors and GatewayErrors count the calls without a 2xx response. The latencies exclude them.
	DirectErrors  int `json:"direct_errors"`
	GatewayErrors int `json:"gateway_errors"`
	// AddedP50 and AddedP99 are the differences between the quantiles of the two sides, in ms.
	AddedP50 float64 `json:"added_p50_ms"`
	AddedP99 float64 `json:"added_p99_ms"`
}

// Compare measures pairs of calls, one to each side. Which side comes first alternates from pair to pair, so that the order
// does not favour one side.
func Compare(ctx context.Context, c CompareConfig) (Comparison, error) {
	if c.Method == "" {
		c.Method = http.MethodGet
	}
	if c.Calls == 0 {
		c.Calls = defaultCompareCalls
	}
	if c.WarmUpCalls == 0 {
		c.WarmUpCalls = defaultCompareWarmUp
	}
	if c.Direct == "" || c.Gateway == "" || c.Path == "" || c.Calls < 0 || c.WarmUpCalls < 0 {
		return Comparison{}, errors.New("direct, gateway and path are required, and calls and warm_up_calls must not be negative")
	}
	class := &Class{Method: c.Method, Path: c.Path, ClientAccount: c.ClientAccount}
	client := newClient(Config{Classes: []Class{*class}})
	defer client.close()
	sides := [2]string{c.Direct, c.Gateway}
	var histograms [2]*hdrhistogram.Histogram
	var failed [2]int
	for i := range histograms {
		histograms[i] = hdrhistogram.New(1, maxLatencyMicros*1000, significantDigits) // ns
	}
	for i := range c.WarmUpCalls + c.Calls {
		for j := range sides {
			side := (i + j) % 2
			took, err := timeCall(ctx, client, class, sides[side])
			switch {
			case ctx.Err() != nil:
				return Comparison{}, errors.Wrap(ctx.Err(), "compare")
			case i < c.WarmUpCalls:
			case err == nil:
				histograms[side].RecordValue(took.Nanoseconds()) // cannot fail: compareTimeout is within the range of the histogram
			default:
				failed[side]++
				if failed[side] > max(1, c.Calls/compareCallsPerAllowedError) {
					return Comparison{}, errors.Wrapf(err, "%d failed calls to %s, limit %d", failed[side], sides[side], max(1, c.Calls/compareCallsPerAllowedError))
				}
			}
		}
	}
	r := Comparison{Direct: summariseNanos(histograms[0]), Gateway: summariseNanos(histograms[1]), DirectErrors: failed[0],
		GatewayErrors: failed[1]}
	r.AddedP50, r.AddedP99 = r.Gateway.P50-r.Direct.P50, r.Gateway.P99-r.Direct.P99
	return r, nil
}

// timeCall returns the latency of one call, or an error if it did not get a 2xx response.
func timeCall(ctx context.Context, client *client, class *Class, address string) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, compareTimeout)
	defer cancel()
	start := time.Now()
	result, _ := client.attempt(ctx, newCall(class, start), []string{address}, "")
	if result.outcome != OutcomeOK {
		return 0, errors.Errorf("%s (%s)", result.outcome, result.code)
	}
	return time.Since(start), nil
}

// summariseNanos summarises a histogram of latencies in ns.
func summariseNanos(h *hdrhistogram.Histogram) Latency {
	l := summarise(h)
	for _, field := range []*float64{&l.Mean, &l.P50, &l.P90, &l.P99, &l.P999, &l.Max} {
		*field /= 1000
	}
	return l
}

// WriteTable writes the comparison as a text table.
func (r Comparison) WriteTable(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "side\tcalls\terrors\tp50 ms\tp99 ms\t")
	fmt.Fprintf(table, "direct\t%d\t%d\t%.3f\t%.3f\t\n", r.Direct.Count, r.DirectErrors, r.Direct.P50, r.Direct.P99)
	fmt.Fprintf(table, "gateway\t%d\t%d\t%.3f\t%.3f\t\n", r.Gateway.Count, r.GatewayErrors, r.Gateway.P50, r.Gateway.P99)
	fmt.Fprintf(table, "difference\t\t\t%.3f\t%.3f\t\n", r.AddedP50, r.AddedP99)
	return table.Flush()
}
