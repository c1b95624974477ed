package settings

import (
	"fmt"
	"strings"
)

// Fault is one validation error of a settings file.
type Fault struct {
	// Path is the JSON path of the offending value, such as peers[2].peer_address. It is empty for the whole document.
	Path string
	// Value is the offending value, or a description of it, as text. Strings are quoted. It is empty if the value is
	// missing.
	Value string
	// Allowed describes the allowed values.
	Allowed string
}

// String returns the fault on one line.
func (f Fault) String() string {
	path, value := f.Path, f.Value
	if path == "" {
		path = "(document)"
	}
	if value == "" {
		value = "nothing"
	}
	return fmt.Sprintf("%s: got %s; allowed: %s", path, value, f.Allowed)
}

// Faults is the error returned by Load, Parse and Validate. It holds every fault that was found: first those of the
// JSON, in document order, then those of the values.
type Faults []Fault

// Error returns one line for each fault.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.String()
	}
	return strings.Join(lines, "\n")
}

func (f *Faults) add(path string, value any, allowed string) {
	text := fmt.Sprint(value)
	if s, ok := value.(string); ok && s != "" {
		text = fmt.Sprintf("%q", s)
	}
	*f = append(*f, Fault{path, text, allowed})
}

// asError returns f as an error. It returns nil for an empty list, which as an error interface would not be nil.
func (f Faults) asError() error {
	if len(f) == 0 {
		return nil
	}
	return f
}
