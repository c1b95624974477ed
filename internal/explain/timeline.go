package explain

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"slices"

	"github.com/pkg/errors"
)

// maxLine bounds the length of a log line in bytes. Longer lines are counted as unreadable.
const maxLine = 1 << 20

// Timeline collects the log lines about one request, with the state of the processes that logged them. Logs may be
// truncated, have gaps, and contain the lines of several VMs; the lines of one VM must be in order.
type Timeline struct {
	id         string
	vms        map[string]*vmState
	events     []event
	unreadable int
}

// event is a line about the request, with the lines that describe the state of its process at that time.
type event struct {
	vm    string
	line  line
	state []line
}

// vmState is the state of the process of a VM, as the newest line about each item.
type vmState struct {
	view         *line
	noTokens     *line             // while no replica grants tokens of accounts
	upstreams    map[string][]line // by upstream id; the newest line with each message
	replicas     map[string]line   // by peer address
	rollouts     map[string]line   // by service; the newest step
	admission    map[string]line   // by service
	droppedLines float64           // number of lines that the process dropped
}

// New returns an empty timeline of the request with the given id.
func New(id string) *Timeline { return &Timeline{id: id, vms: make(map[string]*vmState)} }

// Add reads a log. Lines without a VM are attributed to name.
func (t *Timeline) Add(name string, log io.Reader) error {
	in := bufio.NewReaderSize(log, maxLine)
	for {
		text, isPrefix, err := in.ReadLine()
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, name)
		}
		l, ok := parse(text)
		if ok && !isPrefix {
			t.addLine(name, l)
		} else if len(text) > 0 {
			t.unreadable++
		}
	}
}

func (t *Timeline) addLine(name string, l line) {
	vm := cmp.Or(l.text(fieldVM), name)
	v := t.vms[vm]
	if v == nil {
		v = &vmState{
			upstreams: make(map[string][]line), replicas: make(map[string]line), rollouts: make(map[string]line),
			admission: make(map[string]line),
		}
		t.vms[vm] = v
	}
	if l.text(fieldRequest) == t.id {
		t.events = append(t.events, event{vm: vm, line: l, state: v.relevantTo(l)})
		return
	}
	v.update(l)
}

// update stores l as the newest line about each item that it describes.
func (v *vmState) update(l line) {
	switch l.message() {
	case messageViewInForce:
		v.view = &l
		return
	case messageNoTokens:
		v.noTokens = &l
		return
	case messageTokens:
		v.noTokens = nil
		return
	case messageReplicaLost, messageReplicaConnected:
		v.replicas[l.text("replica")] = l
		return
	case messageRollout:
		v.rollouts[l.text("service")] = l
	case messageShed, messageAdmitted:
		v.admission[l.text(fieldService)] = l
		return
	case messageLinesDropped:
		n, _ := l.fields["lines"].(float64)
		v.droppedLines += n
		return
	}
	if l.text(fieldRequest) != "" {
		return // about another request
	}
	for _, id := range l.upstreams() {
		kept := slices.DeleteFunc(v.upstreams[id], func(old line) bool { return old.message() == l.message() })
		v.upstreams[id] = append(kept, l)
	}
}

// relevantTo returns the lines that describe the state relevant to a line: the view, for an account that no tokens are granted, the
// rollout of its service and what that admits, the upstreams that the line names, and the lost replicas. The oldest comes first.
func (v *vmState) relevantTo(l line) []line {
	var lines []line
	if v.view != nil {
		lines = append(lines, *v.view)
	}
	if v.noTokens != nil && l.text(fieldAccount) != "" {
		lines = append(lines, *v.noTokens)
	}
	if r, ok := v.rollouts[l.text("service")]; ok {
		lines = append(lines, r)
	}
	for _, id := range l.upstreams() {
		lines = append(lines, v.upstreams[id]...)
	}
	if admission, ok := v.admission[l.text(fieldService)]; ok {
		lines = append(lines, admission)
	}
	for _, r := range v.replicas {
		if r.message() == messageReplicaLost {
			lines = append(lines, r)
		}
	}
	slices.SortStableFunc(lines, func(a, b line) int {
		return cmp.Or(cmp.Compare(a.seconds(), b.seconds()), cmp.Compare(a.describe(), b.describe()))
	})
	return lines
}

// Print writes the timeline: for each VM, in the order of their first lines, the lines about the request, each preceded
// by the lines about the state at that time with their age. It returns found as false if no line names the request.
func (t *Timeline) Print(out io.Writer) (found bool, err error) {
	first := make(map[string]float64)
	for _, e := range t.events {
		if at, seen := first[e.vm]; !seen || e.line.seconds() < at {
			first[e.vm] = e.line.seconds()
		}
	}
	slices.SortStableFunc(t.events, func(a, b event) int {
		return cmp.Or(cmp.Compare(first[a.vm], first[b.vm]), cmp.Compare(a.vm, b.vm))
	})
	w := bufio.NewWriter(out)
	if len(first) > 1 {
		fmt.Fprintf(w, "%d VMs name the request; times are those of each VM's own clock\n", len(first))
	}
	for i, e := range t.events {
		if i == 0 || t.events[i-1].vm != e.vm {
			fmt.Fprintf(w, "%s\n", e.vm)
			if n := t.vms[e.vm].droppedLines; n > 0 {
				fmt.Fprintf(w, "  %.0f lines of this VM are missing, because its log was not read fast enough\n", n)
			}
		}
		for _, l := range e.state {
			fmt.Fprintf(w, "  since %8.3f s before: %s\n", e.line.seconds()-l.seconds(), l.describe())
		}
		fmt.Fprintf(w, "  %.3f: %s\n", e.line.seconds(), e.line.describe())
	}
	if t.unreadable > 0 {
		fmt.Fprintf(w, "%d lines could not be read\n", t.unreadable)
	}
	if len(t.events) == 0 {
		fmt.Fprintf(w, "no line names request %s; requests answered at the first attempt are logged up to a budget\n", t.id)
	}
	return len(t.events) > 0, errors.Wrap(w.Flush(), "write the timeline")
}
