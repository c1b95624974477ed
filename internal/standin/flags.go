package standin

import (
	"encoding/json"
	"reflect"
	"strings"

	"github.com/pkg/errors"
)

// Flag describes the command-line flag of one Behaviour field.
type Flag struct {
	Name, Usage string
	// Bool is true if the flag takes no value.
	Bool bool
	key  string
	text bool
}

// Flags returns the flags for the fields of Behaviour.
func Flags() []Flag {
	t := reflect.TypeFor[Behaviour]()
	flags := make([]Flag, t.NumField())
	for i := range flags {
		f := t.Field(i)
		key := f.Tag.Get("json")
		flags[i] = Flag{Name: strings.ReplaceAll(key, "_", "-"), Usage: f.Tag.Get("usage"),
			Bool: f.Type.Kind() == reflect.Bool, key: key, text: f.Type.Kind() == reflect.String}
	}
	return flags
}

// BehaviourFromFlags converts flag values, keyed by flag name, to a Behaviour.
func BehaviourFromFlags(values map[string]string) (Behaviour, error) {
	fields := map[string]json.RawMessage{}
	for _, f := range Flags() {
		value, ok := values[f.Name]
		if !ok {
			continue
		}
		if f.text {
			value = `"` + value + `"`
		}
		if !json.Valid([]byte(value)) {
			return Behaviour{}, errors.Errorf("flag --%s has the invalid value %q", f.Name, value)
		}
		fields[f.key] = json.RawMessage(value)
	}
	patch, err := json.Marshal(fields)
	if err != nil {
		return Behaviour{}, errors.Wrap(err, "encode flags")
	}
	return Behaviour{}.Patch(patch)
}
