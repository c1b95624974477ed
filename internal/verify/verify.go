// Package verify compares the responses received in a load run with the executions recorded by the test upstreams. It
// detects requests that were executed more than once, executed although reported as not run, or answered without execution.
package verify

import (
	"fmt"
	"io"

	"github.com/bramleypick/bramleypick/internal/loadgen"
	"github.com/bramleypick/bramleypick/internal/standin"
)

// Verdict is the result of a comparison. Only requests with an idempotency key are compared individually.
type Verdict struct {
	// Sent, Answered, NotRun and Uncertain count all requests of the run. A request is uncertain if its outcome is unknown,
	// its response was broken, or it received no response.
	Sent      int `json:"sent"`
	Answered  int `json:"answered"`
	NotRun    int `json:"not_run"`
	Uncertain int `json:"uncertain"`
	// Keys is the number of requests with an idempotency key.
	Keys int `json:"keys"`
	// Duplicated is the number of keys that were executed more than once.
	Duplicated int `json:"doubled"`
	// Lost is the number of keys whose request was answered successfully but never executed.
	Lost int `json:"lost"`
	// FalseNotRun is the number of keys that were executed once although the request was reported as not run. A key that was
	// executed more often counts as Duplicated only.
	FalseNotRun int `json:"false_not_run"`
	// Examples describes up to maxExamples of the keys counted by Duplicated, Lost and FalseNotRun.
	Examples []string `json:"examples,omitempty"`
}

// maxExamples limits the length of Verdict.Examples.
const maxExamples = 10

// Compare compares the result of a run with the executions of all upstreams that the run could reach, one element per
// upstream process.
func Compare(result loadgen.Result, executions []standin.Executions) Verdict {
	var v Verdict
	for _, class := range result.Classes {
		for outcome, n := range class.Outcomes {
			v.count(outcome, n)
		}
	}
	executed := make(map[string]int)
	for _, e := range executions {
		for key, n := range e.ByKey {
			executed[key] += n
		}
	}
	for key, outcome := range result.Keys {
		v.Keys++
		v.compareKey(key, outcome, executed[key])
	}
	return v
}

func (v *Verdict) count(outcome loadgen.Outcome, n int) {
	v.Sent += n
	switch outcome {
	case loadgen.OutcomeOK:
		v.Answered += n
	case loadgen.OutcomeNotRun:
		v.NotRun += n
	default:
		v.Uncertain += n
	}
}

func (v *Verdict) compareKey(key string, outcome loadgen.Outcome, executed int) {
	switch {
	case executed > 1:
		v.Duplicated++
	case executed == 0 && outcome == loadgen.OutcomeOK:
		v.Lost++
	case executed == 1 && outcome == loadgen.OutcomeNotRun:
		v.FalseNotRun++
	default:
		return
	}
	if len(v.Examples) < maxExamples {
		v.Examples = append(v.Examples, fmt.Sprintf("%s: %s, executed %d times", key, outcome, executed))
	}
}

// OK reports whether no request was duplicated, lost, or falsely reported as not run.
func (v Verdict) OK() bool {
	return v.Duplicated == 0 && v.Lost == 0 && v.FalseNotRun == 0
}

// WriteText writes the verdict as text.
func (v Verdict) WriteText(w io.Writer) error {
	_, err := fmt.Fprintf(w, "sent %d, answered %d, refused as not run %d, uncertain %d\n"+
		"with idempotency key %d: duplicated %d, lost %d, executed although reported as not run %d\n",
		v.Sent, v.Answered, v.NotRun, v.Uncertain, v.Keys, v.Duplicated, v.Lost, v.FalseNotRun)
	for _, e := range v.Examples {
		if err == nil {
			_, err = fmt.Fprintln(w, "  "+e)
		}
	}
	return err
}
