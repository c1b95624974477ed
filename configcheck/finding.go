// Package configcheck checks configurations before they are sent, and lists their differences from the version in force by harm.
// It performs no I/O, and its results contain no keys.
package configcheck

// Severity tells whether the running system refuses a configuration.
type Severity string

// Severities.
const (
	Error   Severity = "error"   // the running system refuses the configuration
	Warning Severity = "warning" // accepted by the running system, but probably not meant
)

// Finding is one result of a check.
type Finding struct {
	Severity Severity `json:"severity"`
	Item     string   `json:"item,omitempty"` // kind and name, such as "route r-1"
	Message  string   `json:"message"`
	Line     int      `json:"line,omitempty"`   // from 1; 0 if unknown
	Column   int      `json:"column,omitempty"` // in bytes, from 1; 0 if unknown
}
