package dynconfig

import (
	"fmt"
	"strings"
)

// Fault is one validation error of a configuration.
type Fault struct {
	// Path is the JSON path of the offending value, such as $.services[0].name.
	Path string
	// Value is the offending value, or a description of it, as text. It is shortened if it is long.
	Value string
	// Allowed describes the allowed values.
	Allowed string
}

// String returns the fault on one line.
func (f Fault) String() string {
	return fmt.Sprintf("%s: %s: %s", f.Path, f.Value, f.Allowed)
}

// Faults is the list of all faults that were found. It must be returned as an error only if it is not empty.
type Faults []Fault

// MaxErrorBytes limits the text of Faults.Error, because the text is part of a command result of the replicated log.
const MaxErrorBytes = 32 << 10

// Error returns the faults, one per line, up to MaxErrorBytes, and then the number of faults that it leaves out.
func (f Faults) Error() string {
	var b strings.Builder
	for i, fault := range f {
		line := fault.String()
		if b.Len()+len(line) > MaxErrorBytes {
			fmt.Fprintf(&b, "and %d more faults", len(f)-i)
			break
		}
		if i > 0 {
			b.WriteByte('\n')
		}
		b.WriteString(line)
	}
	return b.String()
}

// maxValueBytes is the length in bytes to which a fault truncates a value.
const maxValueBytes = 80

// formatValue formats a value for a fault. It quotes strings, so that the text is printable ASCII for any input.
func formatValue(value any) string {
	s := fmt.Sprint(value)
	ellipsis := ""
	if len(s) > maxValueBytes {
		s, ellipsis = s[:maxValueBytes], "..."
	}
	if _, ok := value.(string); ok {
		return fmt.Sprintf("%+q", s) + ellipsis
	}
	return s + ellipsis
}
