package dynconfig

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"reflect"
	"slices"
	"strconv"
	"strings"
)

// MaxConfigBytes limits the size of an encoded configuration.
const MaxConfigBytes = 4 << 20

// maxDecodeFaults limits the faults that decoding collects, so that hostile input cannot make the list grow without
// bound.
const maxDecodeFaults = 1000

// Decode decodes a configuration from JSON. It rejects unknown fields (names are case-sensitive), duplicate keys, null,
// wrong types and trailing data. The error is a Faults. Decode does not call Validate.
func Decode(data []byte) (Config, error) {
	var c Config
	if len(data) > MaxConfigBytes {
		return c, Faults{{"$", fmt.Sprintf("%d bytes", len(data)), fmt.Sprintf("at most %d bytes", MaxConfigBytes)}}
	}
	checker := typeChecker{decoder: json.NewDecoder(bytes.NewReader(data)), fields: make(map[reflect.Type]map[string]reflect.Type)}
	checker.decoder.UseNumber()
	err := checker.value("$", reflect.TypeFor[Config]())
	if err == nil {
		_, err = checker.decoder.Token()
		if err == nil {
			checker.fault("$", "data after the configuration", "one JSON object")
		} else if err == io.EOF {
			err = nil
		}
	}
	if err != nil {
		checker.fault("$", fmt.Sprintf("%+q at byte %d", err.Error(), checker.decoder.InputOffset()), "valid JSON")
	}
	if len(checker.faults) > 0 {
		return c, checker.faults
	}
	if err := json.Unmarshal(data, &c); err != nil {
		return Config{}, Faults{{"$", formatValue(err.Error()), "valid JSON"}}
	}
	return c, nil
}

// typeChecker compares the tokens of a JSON text with the Go type that it will be decoded to. It is needed because
// encoding/json accepts duplicate keys and keys that differ in case.
type typeChecker struct {
	decoder *json.Decoder
	faults  Faults
	fields  map[reflect.Type]map[string]reflect.Type // Fields of each struct type by JSON name.
}

func (c *typeChecker) fault(path, value, allowed string) {
	if len(c.faults) < maxDecodeFaults {
		c.faults = append(c.faults, Fault{path, value, allowed})
	}
}

// value consumes one value and checks that it has type t. The error is a JSON syntax error; other faults are collected.
func (c *typeChecker) value(path string, t reflect.Type) error {
	token, err := c.decoder.Token()
	if err != nil {
		return err
	}
	switch {
	case token == json.Delim('{') && t.Kind() == reflect.Struct:
		return c.object(path, t)
	case token == json.Delim('[') && t.Kind() == reflect.Slice:
		return c.array(path, t.Elem())
	}
	if !scalarFits(token, t) {
		c.fault(path, formatToken(token), allowedType(t))
	}
	if _, ok := token.(json.Delim); ok {
		return c.skipOpened()
	}
	return nil
}

func (c *typeChecker) object(path string, t reflect.Type) error {
	fields := c.fieldTypes(t)
	var seen []string
	for c.decoder.More() {
		token, err := c.decoder.Token()
		if err != nil {
			return err
		}
		key, _ := token.(string)
		if slices.Contains(seen, key) {
			c.fault(path, "duplicate key "+formatValue(key), "each key once")
		} else if _, known := fields[key]; known {
			seen = append(seen, key) // Unknown keys are not recorded, so that the list has at most one entry for each field.
		}
		if field, known := fields[key]; known {
			err = c.value(path+"."+key, field)
		} else {
			c.fault(path, "unknown field "+formatValue(key), "the fields of "+typeName(t))
			err = c.skipValue()
		}
		if err != nil {
			return err
		}
	}
	_, err := c.decoder.Token()
	return err
}

func (c *typeChecker) array(path string, elem reflect.Type) error {
	for i := 0; c.decoder.More(); i++ {
		if err := c.value(path+"["+strconv.Itoa(i)+"]", elem); err != nil {
			return err
		}
	}
	_, err := c.decoder.Token()
	return err
}

func (c *typeChecker) skipValue() error {
	token, err := c.decoder.Token()
	if err != nil {
		return err
	}
	if _, ok := token.(json.Delim); ok {
		return c.skipOpened()
	}
	return nil
}

// skipOpened skips the rest of an object or array whose opening token has been read.
func (c *typeChecker) skipOpened() error {
	for depth := 1; depth > 0; {
		token, err := c.decoder.Token()
		if err != nil {
			return err
		}
		switch token {
		case json.Delim('{'), json.Delim('['):
			depth++
		case json.Delim('}'), json.Delim(']'):
			depth--
		}
	}
	return nil
}

// fieldTypes returns the field types of the struct type t by JSON name.
func (c *typeChecker) fieldTypes(t reflect.Type) map[string]reflect.Type {
	if fields := c.fields[t]; fields != nil {
		return fields
	}
	fields := make(map[string]reflect.Type, t.NumField())
	for f := range t.Fields() {
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		fields[name] = f.Type
	}
	c.fields[t] = fields
	return fields
}

// typeName returns the name of a type as reported in faults. ClientAccount is reported as Tenant, the term that the
// configuration format uses.
func typeName(t reflect.Type) string {
	if t == reflect.TypeFor[ClientAccount]() {
		return "Tenant"
	}
	return t.Name()
}

func scalarFits(token json.Token, t reflect.Type) bool {
	switch v := token.(type) {
	case string:
		return t.Kind() == reflect.String
	case bool:
		return t.Kind() == reflect.Bool
	case json.Number:
		switch t.Kind() {
		case reflect.Int, reflect.Int64:
			_, err := strconv.ParseInt(v.String(), 10, 64)
			return err == nil
		case reflect.Float64:
			_, err := strconv.ParseFloat(v.String(), 64)
			return err == nil
		}
	}
	return false
}

func formatToken(token json.Token) string {
	switch v := token.(type) {
	case nil:
		return "null"
	case json.Delim:
		if v == '{' {
			return "an object"
		}
		return "an array"
	case json.Number:
		s := v.String()
		return s[:min(len(s), maxValueBytes)]
	default:
		return formatValue(v)
	}
}

// allowedType describes the JSON values that t accepts.
func allowedType(t reflect.Type) string {
	switch t.Kind() {
	case reflect.Struct:
		return "an object"
	case reflect.Slice:
		return "an array"
	case reflect.Int, reflect.Int64:
		return "a 64-bit integer"
	case reflect.Float64:
		return "a number"
	case reflect.Bool:
		return "true or false"
	default:
		return "a string"
	}
}
