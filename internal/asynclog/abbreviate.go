package asynclog

import "strconv"

// MaxValueBytes is the length in bytes up to which Abbreviate returns a text as it is.
const MaxValueBytes = 256

// Abbreviate returns a text that a client chose for a log line, or its beginning and its length if it is longer than MaxValueBytes.
func Abbreviate(text string) string {
	if len(text) <= MaxValueBytes {
		return text
	}
	return text[:MaxValueBytes] + "... (" + strconv.Itoa(len(text)) + " bytes)"
}
