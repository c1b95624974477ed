package gateway

import (
	"bytes"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"github.com/bramleypick/bramleypick/admission"
	"github.com/bramleypick/bramleypick/internal/hopheader"
)

// newRequest returns the request to send to the upstream.
func (a *attempt) newRequest() *http.Request {
	r := a.c.outgoingRequest()
	r.URL.Host = a.upstream.Address
	r.Header.Set(headerRequestID, a.id)
	return r.WithContext(a.ctx)
}

// outgoingRequest returns a copy of the caller's request for an upstream or a peer.
func (c *call) outgoingRequest() *http.Request {
	header := c.r.Header.Clone()
	hopheader.Remove(header)
	header.Del(headerHop)
	header.Del("Expect")
	header.Set(headerTimeout, c.remainingMillis())
	r := &http.Request{
		Method: c.r.Method, Host: c.r.Host, Header: header, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		URL: &url.URL{
			Scheme: "http", Path: c.r.URL.Path, RawPath: c.r.URL.RawPath, RawQuery: c.r.URL.RawQuery, ForceQuery: c.r.URL.ForceQuery,
		},
		Body: http.NoBody,
	}
	if len(c.body) > 0 {
		body := c.body
		r.ContentLength = int64(len(body))
		r.Body = io.NopCloser(bytes.NewReader(body))
		r.GetBody = func() (io.ReadCloser, error) { return io.NopCloser(bytes.NewReader(body)), nil }
	}
	return r
}

// parseReport reads the boot id and load that an upstream reports in a response header. A malformed load is ignored.
func parseReport(h http.Header) admission.Report {
	report := admission.Report{BootID: h.Get(headerBootID)}
	inFlightText, slotsText, ok := strings.Cut(h.Get(headerLoad), "/")
	if !ok {
		return report
	}
	inFlight, err := strconv.Atoi(inFlightText)
	slots, slotsErr := strconv.Atoi(slotsText)
	if err == nil && slotsErr == nil && inFlight >= 0 && slots > 0 {
		report.HasLoad, report.InFlight, report.Slots = true, inFlight, slots
	}
	return report
}
