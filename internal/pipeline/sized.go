package pipeline

import (
	"net/http"
	"strconv"
	"time"
)

// maxSized is the length in bytes up to which SizedResponses determines the length of a response, as in net/http.
const maxSized = 2 << 10

// SizedResponses returns a handler whose responses have what those of the server of net/http have: Date, and if they are short
// Content-Type and Content-Length.
func SizedResponses(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Date", time.Now().UTC().Format(http.TimeFormat))
		s := &sizedWriter{ResponseWriter: w}
		h.ServeHTTP(s, r)
		s.finish()
	})
}

// sizedWriter holds the beginning of a response until its length is known.
type sizedWriter struct {
	http.ResponseWriter
	status int
	data   []byte
	passed bool // the header was sent
}

// Unwrap returns the writer that s wraps.
func (s *sizedWriter) Unwrap() http.ResponseWriter { return s.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (s *sizedWriter) WriteHeader(status int) {
	if s.status == 0 {
		s.status = status
	}
}

// Write implements http.ResponseWriter.
func (s *sizedWriter) Write(p []byte) (int, error) {
	s.WriteHeader(http.StatusOK)
	if !s.passed && len(s.data)+len(p) <= maxSized {
		s.data = append(s.data, p...)
		return len(p), nil
	}
	if err := s.pass(); err != nil {
		return 0, err
	}
	return s.ResponseWriter.Write(p)
}

// pass sends the header and the data held so far.
func (s *sizedWriter) pass() error {
	if s.passed {
		return nil
	}
	s.passed = true
	header := s.Header()
	if header.Get("Content-Type") == "" && len(s.data) > 0 {
		header.Set("Content-Type", http.DetectContentType(s.data))
	}
	s.ResponseWriter.WriteHeader(s.status)
	_, err := s.ResponseWriter.Write(s.data)
	s.data = nil
	return err
}

// finish completes a response that was held.
func (s *sizedWriter) finish() {
	s.WriteHeader(http.StatusOK)
	if s.passed {
		return
	}
	header := s.Header()
	if s.status >= 200 && s.status != http.StatusNoContent && s.status != http.StatusNotModified && header.Get("Content-Length") == "" {
		header.Set("Content-Length", strconv.Itoa(len(s.data)))
	}
	_ = s.pass() // an error means that the client disconnected
}
