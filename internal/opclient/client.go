// Package opclient is the HTTP client of the operator API. It tries the given entry VMs in turn and retries a change
// with the same change id, so that a lost response does not apply the change twice.
package opclient

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/bramleypick/bramleypick/internal/api"
	"github.com/bramleypick/bramleypick/internal/controlproto"
	"github.com/bramleypick/bramleypick/resultcode"
)

const (
	// requestTimeout bounds one request to one entry VM.
	requestTimeout = 8 * time.Second
	// maxResponseBytes limits the body of a response.
	maxResponseBytes = 64 << 20
	// minStatus and maxStatus are the bounds of a valid status (RFC 9110). net/http accepts all of three digits.
	minStatus, maxStatus = 100, 599
)

// Client is a client of the operator API. It is safe for concurrent use.
type Client struct {
	addresses []string
	token     string
	http      *http.Client
}

// New returns a client that uses the entry VMs with the given operator addresses.
func New(addresses []string, token string) *Client {
	return &Client{addresses: addresses, token: token, http: &http.Client{Timeout: requestTimeout}}
}

// Apply replaces the whole configuration.
func (c *Client) Apply(ctx context.Context, change api.ConfigChange) (api.ChangeResponse, error) {
	var response api.ChangeResponse
	if change.BaseVersion == nil {
		// Without a base version, each entry VM would use its own current version, and a retry at another VM could be a
		// different change.
		current, err := c.Config(ctx)
		if err != nil {
			return response, err
		}
		change.BaseVersion = &current.ConfigVersion
	}
	change.ChangeID = changeIDOrRandom(change.ChangeID)
	return response, c.call(ctx, http.MethodPost, "config", change, &response)
}

// Stop adds a planned stop.
func (c *Client) Stop(ctx context.Context, change api.StopChange) (api.ChangeResponse, error) {
	var response api.ChangeResponse
	change.ChangeID = changeIDOrRandom(change.ChangeID)
	return response, c.call(ctx, http.MethodPost, "stops", change, &response)
}

// Return removes a planned stop.
func (c *Client) Return(ctx context.Context, change api.StopChange) (api.ChangeResponse, error) {
	var response api.ChangeResponse
	change.ChangeID = changeIDOrRandom(change.ChangeID)
	return response, c.call(ctx, http.MethodPost, "returns", change, &response)
}

// Status returns the status report of the control group's leader.
func (c *Client) Status(ctx context.Context) (controlproto.Report, error) {
	var report controlproto.Report
	return report, c.call(ctx, http.MethodGet, "status", nil, &report)
}

// Config returns the configuration in force at the first entry VM that responds.
func (c *Client) Config(ctx context.Context) (api.ConfigResponse, error) {
	var config api.ConfigResponse
	return config, c.call(ctx, http.MethodGet, "config", nil, &config)
}

// changeIDOrRandom returns changeID, or a random id if it is empty. The client chooses the id, so that every entry VM
// that it tries receives the same one.
func changeIDOrRandom(changeID string) string {
	if changeID == "" {
		return rand.Text()
	}
	return changeID
}

// call sends a request to one address after the other until it succeeds or fails with a final error. If the outcome was
// unknown at an earlier address and no later one gives a final result, call returns the error with the unknown outcome:
// a change that one entry VM may have made must not be reported as rejected because the next VM could not reach the
// control group.
func (c *Client) call(ctx context.Context, method, path string, body, result any) error {
	var encoded []byte
	if body != nil {
		var err error
		if encoded, err = json.Marshal(body); err != nil {
			return errors.Wrap(err, "encode the request")
		}
	}
	lastErr := errors.New("no operator address of an entry VM was given")
	var unknownErr error
	for _, address := range c.addresses {
		lastErr = c.send(ctx, method, "http://"+address+api.SystemPrefix+"v1/"+path, encoded, result)
		if lastErr == nil || isFinal(lastErr) {
			return lastErr
		}
		if unknownErr == nil && !reportsNotRun(lastErr) {
			unknownErr = lastErr
		}
		if ctx.Err() != nil {
			break
		}
	}
	if unknownErr != nil {
		return unknownErr
	}
	return lastErr
}

// reportsNotRun reports whether err is an error response that states that the request did not take effect.
func reportsNotRun(err error) bool {
	var response *api.ErrorResponse
	return errors.As(err, &response) && response.NotRun
}

// send sends one request to one entry VM and decodes the response into result.
func (c *Client) send(ctx context.Context, method, url string, body []byte, result any) error {
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "create operator request")
	}
	request.Header.Set("Authorization", "Bearer "+c.token)
	request.Header.Set("Content-Type", "application/json")
	response, err := c.http.Do(request)
	if err != nil {
		return errors.Wrap(err, "send operator request")
	}
	defer response.Body.Close()
	if response.ProtoMajor != 1 || response.StatusCode < minStatus || response.StatusCode > maxStatus {
		return errors.Errorf("operator response from %s with status line %q %q, which is not valid", url, response.Proto, response.Status)
	}
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return errors.Wrapf(err, "read operator response from %s", url)
	}
	if response.StatusCode != http.StatusOK {
		errorResponse := &api.ErrorResponse{}
		if json.Unmarshal(data, errorResponse) != nil || errorResponse.Code == resultcode.OK {
			return errors.Errorf("operator response from %s with status %d and no result code", url, response.StatusCode)
		}
		return errorResponse
	}
	return errors.Wrapf(json.Unmarshal(data, result), "decode operator response from %s", url)
}

// isFinal reports whether err is an error response that every other entry VM would also give.
func isFinal(err error) bool {
	var response *api.ErrorResponse
	return errors.As(err, &response) && !response.Retryable()
}

// Metrics returns the metrics of the first entry VM that responds, as JSON.
func (c *Client) Metrics(ctx context.Context) (json.RawMessage, error) {
	var metrics json.RawMessage
	return metrics, c.call(ctx, http.MethodGet, "metrics", nil, &metrics)
}
