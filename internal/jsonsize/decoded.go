package jsonsize

import "io"

const (
	// valueBytes is the memory of a decoded value: the slice of its text, and its part of the slice of the values, which doubles.
	valueBytes = 80
	// containerBytes is the memory of an object or an array: the decoded item and its text, which is kept beside it.
	containerBytes = 400
	// readBytes is the size of the buffer for reading the text.
	readBytes = 4 << 10
)

// Decoded returns the memory in bytes that a text takes with what it is decoded to. It counts separators and opening brackets, so
// that it needs no memory for invalid texts either. Those in strings count too, which makes the result larger.
func Decoded(text io.Reader) (int64, error) {
	var total int64
	buffer := make([]byte, readBytes)
	for {
		n, err := text.Read(buffer)
		total += int64(n)
		for _, b := range buffer[:n] {
			switch b {
			case ',':
				total += valueBytes
			case '[', '{':
				total += containerBytes
			}
		}
		if err == io.EOF {
			return total, nil
		}
		if err != nil {
			return 0, err
		}
	}
}
