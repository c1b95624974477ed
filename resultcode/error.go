package resultcode

import "fmt"

// Error is an error with the result code that is reported to the caller.
type Error struct {
	Code    Code
	Message string
}

// Errorf returns an Error with a formatted message.
func Errorf(c Code, format string, args ...any) *Error {
	return &Error{Code: c, Message: fmt.Sprintf(format, args...)}
}

// Error returns the number and name of the code and the message.
func (e *Error) Error() string {
	return fmt.Sprintf("%d %s: %s", uint16(e.Code), e.Code, e.Message)
}
