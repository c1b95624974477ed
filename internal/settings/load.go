package settings

import (
	"bytes"
	"encoding/json"
	"io"
	"os"
	"reflect"
	"strings"

	"github.com/pkg/errors"
)

// Load reads the settings file at path, sets the defaults and validates the result. The error is a Faults unless the
// file could not be read.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.Wrap(err, "read settings")
	}
	return Parse(data)
}

// Parse decodes a settings document, sets the defaults and validates the result. The error is a Faults.
func Parse(data []byte) (Settings, error) {
	var s Settings
	faults, ok := checkTypes(data, reflect.TypeFor[Settings]())
	if !ok {
		return Settings{}, faults
	}
	// A value of the wrong type leaves its field zero. checkTypes has already reported it.
	if err := json.Unmarshal(data, &s); err != nil && len(faults) == 0 {
		faults.add("", err.Error(), "a settings document")
	}
	s = s.WithDefaults()
	if valueFaults, ok := s.Validate().(Faults); ok {
		faults = append(faults, withoutRepeated(valueFaults, faults)...)
	}
	return s, faults.asError()
}

// withoutRepeated returns the faults without those at or below the path of a known fault, because they have the same
// cause.
func withoutRepeated(faults, known Faults) Faults {
	var kept Faults
	for _, f := range faults {
		repeated := false
		for _, k := range known {
			rest, below := strings.CutPrefix(f.Path, k.Path)
			repeated = repeated || k.Path != "" && below && (rest == "" || rest[0] == '.' || rest[0] == '[')
		}
		if !repeated {
			kept = append(kept, f)
		}
	}
	return kept
}

// checkTypes checks the JSON document against the Go type t: unknown and duplicate keys, wrong types, trailing data. It
// returns false if the document cannot be parsed as one JSON value, in which case no further checks are possible.
func checkTypes(data []byte, t reflect.Type) (Faults, bool) {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.UseNumber()
	checker := typeChecker{decoder: decoder}
	if err := checker.value("", t); err != nil {
		checker.faults.add("", err.Error(), "a JSON document")
		return checker.faults, false
	}
	if _, err := decoder.Token(); err != io.EOF {
		checker.faults.add("", "data after the document", "one JSON object and nothing after it")
		return checker.faults, false
	}
	return checker.faults, true
}
