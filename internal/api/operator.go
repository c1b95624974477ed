package api

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"net/http"
	"strings"

	"github.com/labstack/echo/v4"

	"github.com/bramleypick/bramleypick/dynconfig"
	"github.com/bramleypick/bramleypick/internal/controlproto"
	"github.com/bramleypick/bramleypick/resultcode"
)

// maxChangeBytes limits the body of a change, in bytes. It leaves room for the other fields and for white space beside a
// configuration of dynconfig.MaxConfigBytes.
const maxChangeBytes = 5 << 20

// ConfigChange is the body of POST config.
type ConfigChange struct {
	// BaseVersion is the configuration version that the change is based on. If it is absent, the current version is
	// used.
	BaseVersion *uint64 `json:"base_version,omitempty"`
	// ChangeID identifies the change. A retry with the same id is not applied again and gets the first result.
	ChangeID string `json:"change_id"`
	// Config is the whole configuration.
	Config json.RawMessage `json:"config"`
}

// StopChange is the body of POST stops and POST returns. Stop must have exactly one of zone and upstream set.
type StopChange struct {
	ChangeID string         `json:"change_id"`
	Stop     dynconfig.Stop `json:"stop"`
}

// ChangeResponse is the response to an accepted change. The status reports when the change is in force everywhere.
type ChangeResponse struct {
	ConfigVersion uint64 `json:"config_version"`
	ConfigDigest  string `json:"config_digest"`
}

// ConfigResponse is the response to GET config.
type ConfigResponse struct {
	ConfigVersion uint64           `json:"config_version"`
	ConfigDigest  string           `json:"config_digest"`
	Config        dynconfig.Config `json:"config"`
}

// OperatorBackend implements the operator API.
type OperatorBackend interface {
	// ApplyConfig replaces the whole configuration.
	ApplyConfig(ctx context.Context, change ConfigChange) (ChangeResponse, error)
	// Stop adds a planned stop to the configuration.
	Stop(ctx context.Context, change StopChange) (ChangeResponse, error)
	// Return removes a planned stop from the configuration.
	Return(ctx context.Context, change StopChange) (ChangeResponse, error)
	// Status returns the status report of the control group's leader.
	Status(ctx context.Context) (controlproto.Report, error)
	// Config returns the configuration in force.
	Config(ctx context.Context) (ConfigResponse, error)
	// Metrics returns the process's metrics as JSON.
	Metrics() ([]byte, error)
}

// NewOperatorHandler returns the handler of the operator listener. Every request must carry token as its bearer token.
func NewOperatorHandler(backend OperatorBackend, token string) http.Handler {
	e := newEcho()
	e.Use(requireToken(token))
	group := e.Group(SystemPrefix + "v1")
	group.POST("/config", changeHandler(backend.ApplyConfig))
	group.POST("/stops", changeHandler(backend.Stop))
	group.POST("/returns", changeHandler(backend.Return))
	group.GET("/config", func(c echo.Context) error {
		config, err := backend.Config(c.Request().Context())
		return respond(c, config, err)
	})
	group.GET("/status", func(c echo.Context) error {
		report, err := backend.Status(c.Request().Context())
		return respond(c, report, err)
	})
	group.GET("/metrics", func(c echo.Context) error {
		data, err := backend.Metrics()
		if err != nil {
			return respond(c, nil, err)
		}
		return c.JSONBlob(http.StatusOK, data)
	})
	return e
}

// changeHandler returns a handler that decodes the body of a change and applies it.
func changeHandler[T any](apply func(context.Context, T) (ChangeResponse, error)) echo.HandlerFunc {
	return func(c echo.Context) error {
		var body T
		if err := decodeBody(c, maxChangeBytes, &body); err != nil {
			return respond(c, nil, err)
		}
		response, err := apply(c.Request().Context(), body)
		return respond(c, response, err)
	}
}

// requireToken returns middleware that checks the bearer token. It compares SHA-256 digests in constant time, so that
// timing reveals neither the content nor the length of the token. An empty token grants no access.
func requireToken(token string) echo.MiddlewareFunc {
	want := sha256.Sum256([]byte(token))
	return func(next echo.HandlerFunc) echo.HandlerFunc {
		return func(c echo.Context) error {
			given, ok := strings.CutPrefix(c.Request().Header.Get("Authorization"), "Bearer ")
			sum := sha256.Sum256([]byte(given))
			if !ok || token == "" || subtle.ConstantTimeCompare(sum[:], want[:]) != 1 {
				return respond(c, nil, resultcode.Errorf(resultcode.Unauthorized, "operator credential missing or wrong"))
			}
			return next(c)
		}
	}
}
