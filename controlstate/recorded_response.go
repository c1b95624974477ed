package controlstate

// RecordedResponse is the response to a claimed request. It is returned to retries with the same idempotency key.
type RecordedResponse struct {
	Status int                 `cbor:"1,keyasint"`
	Header map[string][]string `cbor:"2,keyasint,omitempty"`
	Body   []byte              `cbor:"3,keyasint,omitempty"`
	// TooLarge reports whether the response exceeded a limit, so that only Status was recorded.
	TooLarge bool `cbor:"4,keyasint,omitempty"`
}

// withinLimits returns the response, or a response with only its status if it exceeds a limit.
func (r *RecordedResponse) withinLimits() *RecordedResponse {
	if !r.TooLarge && r.fitsLimits() {
		return r
	}
	return &RecordedResponse{Status: r.Status, TooLarge: true}
}

func (r *RecordedResponse) fitsLimits() bool {
	if len(r.Body) > MaxResponseBodyBytes || len(r.Header) > MaxResponseHeaderValues {
		return false
	}
	bytes, values := 0, 0
	for name, list := range r.Header {
		values += len(list)
		for _, value := range list {
			bytes += len(name) + len(value)
		}
		if len(list) == 0 {
			bytes += len(name)
		}
	}
	return bytes <= MaxResponseHeaderBytes && values <= MaxResponseHeaderValues
}
