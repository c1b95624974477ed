package gateway

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/bramleypick/bramleypick/resultcode"
)

// errCallerDisconnected ends a request whose caller no longer waits for a response.
var errCallerDisconnected = errors.New("the caller disconnected")

// withErrorHandling sends the errors of the inner handlers to the caller and turns a panic into an aborted connection.
func (g *Gateway) withErrorHandling(next handler) handler {
	return func(c *call) error {
		defer func() {
			if c.cancel != nil {
				c.cancel()
			}
			g.bufferedBytes.Add(-c.bufferedBytes)
			g.metrics.recordRequest(c)
			v := recover()
			if v == nil {
				return
			}
			if v != http.ErrAbortHandler {
				g.log.Error("panic while serving a request", zap.String("request", c.requestID), zap.Any("panic", v), zap.Stack("stack"))
			}
			// The response may be incomplete, so the connection must not end as if it were complete.
			panic(http.ErrAbortHandler)
		}()
		err := next(c)
		if err != nil {
			g.respondWithError(c, err)
		}
		return nil
	}
}

// errorBody is the JSON body of a response that the gateway itself generates.
type errorBody struct {
	Code    resultcode.Code `json:"code"`
	Name    string          `json:"name"`
	NotRun  bool            `json:"not_run"`
	Message string          `json:"message"`
}

func (g *Gateway) respondWithError(c *call, err error) {
	if errors.Is(err, errCallerDisconnected) {
		return
	}
	var coded *resultcode.Error
	if !errors.As(err, &coded) {
		coded = resultcode.Errorf(resultcode.OutcomeUnknown, "%v", err)
	}
	info, _ := coded.Code.Info()
	if info.NotRun && c.firstFailure != nil {
		// A later attempt was rejected, but an earlier one may have run.
		coded = c.firstFailure
		info, _ = coded.Code.Info()
	}
	c.code = coded.Code
	body, _ := json.Marshal(errorBody{Code: coded.Code, Name: info.Name, NotRun: info.NotRun, Message: coded.Message})
	h := c.w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	h.Set(headerCode, strconv.Itoa(int(coded.Code)))
	c.w.WriteHeader(info.HTTPStatus)
	_, _ = c.w.Write(body) // A write error means that the caller has disconnected and needs no response.
}
