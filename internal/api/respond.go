// Package api holds the HTTP handlers of bramleypick's own paths: address lookups of callers, announcements of
// upstreams, and the operator API. Every error response carries a numbered result code in a header and in its JSON
// body.
package api

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"

	"github.com/bramleypick/bramleypick/resultcode"
)

// CodeHeader is the response header with the result code of an error that bramleypick itself reports.
const CodeHeader = "Bramleypick-Code"

// ErrorResponse is the JSON body of an error response. It implements error.
type ErrorResponse struct {
	Code resultcode.Code `json:"code"`
	Name string          `json:"name"`
	// NotRun is true if the request or change certainly did not take effect.
	NotRun  bool   `json:"not_run"`
	Message string `json:"message"`
	// ConfigVersion and ConfigDigest identify the current configuration on a version conflict.
	ConfigVersion uint64 `json:"config_version,omitempty"`
	ConfigDigest  string `json:"config_digest,omitempty"`
}

// Error returns the code, the name and the message.
func (r *ErrorResponse) Error() string {
	return strconv.Itoa(int(r.Code)) + " " + r.Name + ": " + r.Message
}

// Retryable reports whether the same request may succeed later or at another entry VM.
func (r *ErrorResponse) Retryable() bool {
	switch r.Code {
	case resultcode.NotLeader, resultcode.NoQuorum, resultcode.ControlUnavailable, resultcode.ChangeOutcomeUnknown:
		return true
	}
	return false
}

// NewErrorResponse returns the error response for a result code, with the name and NotRun of the code.
func NewErrorResponse(code resultcode.Code, message string) *ErrorResponse {
	info, _ := code.Info()
	return &ErrorResponse{Code: code, Name: info.Name, NotRun: info.NotRun, Message: message}
}

// newEcho returns a router that reports its own errors, such as an unknown path, as an ErrorResponse.
func newEcho() *echo.Echo {
	e := echo.New()
	e.HideBanner = true
	e.HidePort = true
	e.HTTPErrorHandler = func(err error, c echo.Context) {
		if c.Response().Committed {
			return
		}
		code := resultcode.MalformedRequest
		message := err.Error()
		var httpError *echo.HTTPError
		status := http.StatusInternalServerError
		if errors.As(err, &httpError) {
			status = httpError.Code
		}
		c.Response().Header().Set(CodeHeader, strconv.Itoa(int(code)))
		_ = c.JSON(status, NewErrorResponse(code, message))
	}
	return e
}

// respond writes value as JSON, or err as an ErrorResponse with the HTTP status of its result code.
func respond(c echo.Context, value any, err error) error {
	if err == nil {
		return c.JSON(http.StatusOK, value)
	}
	response := errorResponseOf(err)
	info, _ := response.Code.Info()
	c.Response().Header().Set(CodeHeader, strconv.Itoa(int(response.Code)))
	return c.JSON(info.HTTPStatus, response)
}

// errorResponseOf converts err to an ErrorResponse. An error without a result code is reported as ChangeOutcomeUnknown,
// because it does not say whether the change was made.
func errorResponseOf(err error) *ErrorResponse {
	var response *ErrorResponse
	if errors.As(err, &response) {
		return response
	}
	var coded *resultcode.Error
	if errors.As(err, &coded) {
		return NewErrorResponse(coded.Code, coded.Message)
	}
	return NewErrorResponse(resultcode.ChangeOutcomeUnknown, err.Error())
}

// decodeBody decodes a JSON body of at most limit bytes into value. It rejects null, unknown fields and trailing data.
func decodeBody(c echo.Context, limit int64, value any) error {
	body, err := readBody(c, limit)
	if err != nil {
		return err
	}
	if bytes.Equal(bytes.TrimSpace(body), []byte("null")) {
		return resultcode.Errorf(resultcode.MalformedBody, "the body is null")
	}
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(value); err != nil {
		return resultcode.Errorf(resultcode.MalformedBody, "%v", err)
	}
	if _, err := decoder.Token(); err != io.EOF {
		return resultcode.Errorf(resultcode.MalformedBody, "data after the JSON value")
	}
	return nil
}

func readBody(c echo.Context, limit int64) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(c.Request().Body, limit+1))
	if err != nil {
		return nil, resultcode.Errorf(resultcode.MalformedBody, "read the body: %v", err)
	}
	if int64(len(body)) > limit {
		return nil, resultcode.Errorf(resultcode.BodyTooLarge, "the body exceeds %d bytes", limit)
	}
	return body, nil
}
