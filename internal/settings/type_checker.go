package settings

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strconv"
	"strings"
)

// typeChecker compares the tokens of a JSON document with a Go type. It is needed because encoding/json accepts
// duplicate keys, keys that differ in case and null for any value, and stops at the first unknown field.
type typeChecker struct {
	decoder *json.Decoder
	faults  Faults
}

// value consumes one value and checks that it has type t. A nil t accepts any value. The error is a JSON syntax error;
// other faults are collected.
func (c *typeChecker) value(path string, t reflect.Type) error {
	token, err := c.decoder.Token()
	if err != nil {
		return err
	}
	switch token {
	case json.Delim('{'):
		if t != nil && t.Kind() != reflect.Struct {
			c.faults.add(path, "an object", allowedType(t))
			t = nil
		}
		return c.object(path, t)
	case json.Delim('['):
		if t != nil && t.Kind() != reflect.Slice {
			c.faults.add(path, "an array", allowedType(t))
			t = nil
		}
		return c.array(path, t)
	}
	if t != nil && !scalarFits(token, t) {
		c.faults = append(c.faults, Fault{path, formatToken(token), allowedType(t)})
	}
	return nil
}

func (c *typeChecker) object(path string, t reflect.Type) error {
	seen := map[string]bool{}
	for c.decoder.More() {
		token, err := c.decoder.Token()
		if err != nil {
			return err
		}
		key := token.(string) // The decoder returns an error for a key that is not a string.
		child := strings.TrimPrefix(path+"."+key, ".")
		if seen[key] {
			c.faults.add(child, key, "each key once")
		}
		seen[key] = true
		var field reflect.Type
		if t != nil {
			if field = fieldType(t, key); field == nil {
				c.faults.add(child, key, "one of "+strings.Join(fieldNames(t), ", "))
			}
		}
		if err := c.value(child, field); err != nil {
			return err
		}
	}
	_, err := c.decoder.Token()
	return err
}

func (c *typeChecker) array(path string, t reflect.Type) error {
	var element reflect.Type
	if t != nil {
		element = t.Elem()
	}
	for i := 0; c.decoder.More(); i++ {
		if err := c.value(fmt.Sprintf("%s[%d]", path, i), element); err != nil {
			return err
		}
	}
	_, err := c.decoder.Token()
	return err
}

func scalarFits(token json.Token, t reflect.Type) bool {
	switch v := token.(type) {
	case string:
		return t.Kind() == reflect.String
	case json.Number:
		switch t.Kind() {
		case reflect.Uint64:
			_, err := strconv.ParseUint(v.String(), 10, 64)
			return err == nil
		case reflect.Int, reflect.Int64:
			_, err := strconv.ParseInt(v.String(), 10, t.Bits())
			return err == nil
		}
	}
	return false
}

func formatToken(token json.Token) string {
	switch v := token.(type) {
	case nil:
		return "null"
	case string:
		return strconv.Quote(v)
	default:
		return fmt.Sprint(v)
	}
}

// allowedType describes the JSON values that t accepts.
func allowedType(t reflect.Type) string {
	switch t.Kind() {
	case reflect.Struct:
		return "an object with " + strings.Join(fieldNames(t), ", ")
	case reflect.Slice:
		return "an array"
	case reflect.String:
		return "a string"
	case reflect.Uint64:
		return "a whole number, 0 or more"
	default:
		return "a whole number"
	}
}

// fieldNames returns the JSON names of the fields of the struct type t.
func fieldNames(t reflect.Type) []string {
	names := make([]string, t.NumField())
	for i := range names {
		names[i], _, _ = strings.Cut(t.Field(i).Tag.Get("json"), ",")
	}
	return names
}

// fieldType returns the type of the field with the given JSON name, or nil if there is none.
func fieldType(t reflect.Type, name string) reflect.Type {
	for i, n := range fieldNames(t) {
		if n == name {
			return t.Field(i).Type
		}
	}
	return nil
}
