package settings

import (
	"fmt"
	"strings"
)

// Fault is one fault of a settings file.
type Fault struct {
	// Path is the JSON path of the offending value, such as peers[2].peer_address. Empty is the whole document.
	Path string
	// Value is the offending value as JSON or Go text. Empty where the value is missing.
	Value string
	// Allowed says what is allowed in its place.
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

// Faults is the error of Load, Parse and Validate. It holds every fault, in the order of the document's fields.
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

// asError avoids the non-nil error interface that an empty slice of faults would make.
func (f Faults) asError() error {
	if len(f) == 0 {
		return nil
	}
	return f
}
