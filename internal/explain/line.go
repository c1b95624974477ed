package explain

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
)

// Keys and messages of the log lines.
const (
	fieldTime               = "ts"
	fieldMessage            = "msg"
	fieldVM                 = "vm"
	fieldRequest            = "request"
	fieldService            = "service"
	fieldUpstream           = "upstream"
	fieldUpstreams          = "upstreams"
	fieldPassedOver         = "passed_over"
	fieldAccount            = "account"
	messageViewInForce      = "view in force"
	messageReplicaLost      = "replica lost"
	messageReplicaConnected = "replica connected"
	messageLinesDropped     = "lines left out"
	messageNoTokens         = "no replica grants tokens, accounts are limited to the shares of this gateway"
	messageTokens           = "tokens are granted again"
	messageRollout          = "rollout step in force"
	messageShed             = "requests shed"
	messageAdmitted         = "requests admitted again"
)

// line is a structured log line.
type line struct {
	fields map[string]any
}

// parse parses a line. It skips text before the opening brace, such as the timestamp of a log collector. It returns
// false for lines that are not structured or are truncated.
func parse(text []byte) (line, bool) {
	begin := bytes.IndexByte(text, '{')
	if begin < 0 {
		return line{}, false
	}
	var l line
	if err := json.Unmarshal(text[begin:], &l.fields); err != nil || l.message() == "" {
		return line{}, false
	}
	return l, true
}

func (l line) text(field string) string {
	s, _ := l.fields[field].(string)
	return s
}

func (l line) message() string { return l.text(fieldMessage) }

// seconds returns the time of the line on its VM's clock.
func (l line) seconds() float64 {
	t, _ := l.fields[fieldTime].(float64)
	return t
}

// upstreams returns the ids of the upstreams that the line names.
func (l line) upstreams() []string {
	var ids []string
	for _, field := range []string{fieldUpstream, fieldPassedOver} {
		if id := l.text(field); id != "" {
			ids = append(ids, id)
		}
	}
	list, _ := l.fields[fieldUpstreams].([]any)
	for _, id := range list {
		if s, ok := id.(string); ok && !slices.Contains(ids, s) {
			ids = append(ids, s)
		}
	}
	return ids
}

// describe returns the message and the fields, except those that every line has, sorted by key.
func (l line) describe() string {
	var names []string
	for name := range l.fields {
		if !slices.Contains([]string{fieldTime, fieldMessage, fieldVM, fieldRequest, "level", "logger", "zone"}, name) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	var b strings.Builder
	b.WriteString(l.message())
	for _, name := range names {
		fmt.Fprintf(&b, " %s=%v", name, l.fields[name])
	}
	return b.String()
}
