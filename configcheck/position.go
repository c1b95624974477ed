package configcheck

import (
	"bytes"
	"encoding/json"
	"errors"
	"strconv"
)

// Position returns the line and the column in bytes, both from 1, of the byte with the given offset.
func Position(data []byte, offset int64) (line, column int) {
	before := data[:min(max(offset, 0), int64(len(data)))]
	return bytes.Count(before, []byte{'\n'}) + 1, len(before) - bytes.LastIndexByte(before, '\n')
}

// Syntax returns the syntax error of a JSON text, or nil. It does not quote the text, which may contain keys.
func Syntax(data []byte) *Finding {
	var value json.RawMessage
	var syntax *json.SyntaxError
	if !errors.As(json.Unmarshal(data, &value), &syntax) {
		return nil
	}
	f := &Finding{Severity: Error, Message: "invalid JSON: unexpected character or end of the text"}
	f.Line, f.Column = Position(data, syntax.Offset-1)
	return f
}

// Locate returns the offsets of the values at the paths that a valid JSON text has. A path is written like $.services[0].name.
func Locate(data []byte, paths ...string) map[string]int64 {
	l := locator{json.NewDecoder(bytes.NewReader(data)), data, make(map[string]bool, len(paths)), make(map[string]int64)}
	for _, path := range paths {
		l.wanted[path] = true
	}
	l.value("$")
	return l.found
}

type locator struct {
	decoder *json.Decoder
	data    []byte
	wanted  map[string]bool
	found   map[string]int64
}

// value consumes one value and records the offsets of the wanted paths in it.
func (l *locator) value(path string) {
	if l.wanted[path] {
		rest := l.data[l.decoder.InputOffset():]
		l.found[path] = int64(len(l.data) - len(bytes.TrimLeft(rest, " \t\r\n:,")))
	}
	token, err := l.decoder.Token()
	if delim, ok := token.(json.Delim); err != nil || !ok || delim == '}' || delim == ']' {
		return
	}
	for i := 0; l.decoder.More(); i++ {
		child := path + "[" + strconv.Itoa(i) + "]"
		if token == json.Delim('{') {
			key, err := l.decoder.Token()
			if err != nil {
				return
			}
			name, _ := key.(string)
			child = path + "." + name
		}
		l.value(child)
	}
	_, _ = l.decoder.Token()
}
