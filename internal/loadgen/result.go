package loadgen

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Result is the result of a run. Every request is counted once, with its final outcome.
type Result struct {
	Classes []ClassResult `json:"classes"`
	// Steps is the time series, by intended send time.
	Steps []Step `json:"steps"`
	// Lateness is the part of the latency that the generator itself caused: the time from the intended send time to the
	// actual start.
	Lateness Latency `json:"lateness"`
	// AddressFailures counts the failed address queries to entry VMs.
	AddressFailures int `json:"address_failures"`
	// StaleAddresses counts the failed refreshes after which expired addresses were used.
	StaleAddresses int `json:"stale_addresses"`
	// Keys holds the final outcome of each idempotency key if Config.RecordKeys is set.
	Keys map[string]Outcome `json:"keys,omitempty"`
}

// ClassResult is the result of one class.
type ClassResult struct {
	Name string `json:"name"`
	// Unsent counts the scheduled requests that the generator could not send. If it is not zero, the run is not a valid
	// open loop.
	Unsent   int             `json:"unsent"`
	Resent   int             `json:"resent"` // number of attempts after the first
	Outcomes map[Outcome]int `json:"outcomes"`
	Codes    map[string]int  `json:"codes"` // requests by result code of the last attempt
	// Latency covers the successful requests, FailureLatency the others.
	Latency        Latency `json:"latency"`
	FailureLatency Latency `json:"failure_latency"`
}

// Latency summarises a histogram of latencies, in ms.
type Latency struct {
	Count int64   `json:"count"`
	Mean  float64 `json:"mean_ms"`
	P50   float64 `json:"p50_ms"`
	P90   float64 `json:"p90_ms"`
	P99   float64 `json:"p99_ms"`
	P999  float64 `json:"p999_ms"`
	Max   float64 `json:"max_ms"`
}

// Step is one step of the time series. It covers 100 ms.
type Step struct {
	AtMillis int             `json:"at_ms"`
	Outcomes map[Outcome]int `json:"outcomes"`
	P50      float64         `json:"p50_ms"` // of the successful requests; 0 if there are none
	P99      float64         `json:"p99_ms"`
}

func summarise(h *hdrhistogram.Histogram) Latency {
	at := func(percentile float64) float64 { return float64(h.ValueAtPercentile(percentile)) / 1000 }
	return Latency{Count: h.TotalCount(), Mean: h.Mean() / 1000, P50: at(50), P90: at(90), P99: at(99), P999: at(99.9),
		Max: float64(h.Max()) / 1000}
}

// WriteTable writes the result as a text table, followed by the result codes of each class.
func (r Result) WriteTable(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprint(table, "class\t")
	for _, o := range outcomes {
		fmt.Fprintf(table, "%s\t", o)
	}
	fmt.Fprintln(table, "unsent\tresent\tp50 ms\tp90 ms\tp99 ms\tp99.9 ms\tmax ms\t")
	for _, c := range r.Classes {
		fmt.Fprintf(table, "%s\t", c.Name)
		for _, o := range outcomes {
			fmt.Fprintf(table, "%d\t", c.Outcomes[o])
		}
		fmt.Fprintf(table, "%d\t%d\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t\n", c.Unsent, c.Resent, c.Latency.P50, c.Latency.P90,
			c.Latency.P99, c.Latency.P999, c.Latency.Max)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	for _, c := range r.Classes {
		var codes []string
		for _, code := range slices.Sorted(maps.Keys(c.Codes)) {
			codes = append(codes, fmt.Sprintf("%s: %d", code, c.Codes[code]))
		}
		if _, err := fmt.Fprintf(w, "%s by code: %s\n", c.Name, strings.Join(codes, ", ")); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintf(w, "generator's lateness: p50 %.2f ms, p99 %.2f ms\n", r.Lateness.P50, r.Lateness.P99)
	return err
}
