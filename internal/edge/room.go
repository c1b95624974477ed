package edge

import (
	"io"
	"net/http"
)

// freeResponse is the length in bytes up to which a buffered response needs no room of its own. The server allows for it with each
// request.
const freeResponse = 4 << 10

// firstRead is the length in bytes of the buffer for a body of unknown length, as in io.ReadAll.
const firstRead = 512

// reserve returns the function that reserves room for what the call holds, or nil if the server does not limit it.
func (c *call) reserve() func(n int64) bool {
	if w, ok := c.w.(interface{ Reserve(n int64) bool }); ok {
		return w.Reserve
	}
	return nil
}

// readResponse reads a body up to limit bytes. If there is no room for all of it, it returns the beginning. complete reports
// whether this is the whole body. The data may have one byte more than the limit.
func (c *call) readResponse(resp *http.Response, limit int64) (data []byte, complete bool, err error) {
	reserve := c.reserve()
	// grow returns data with room for size bytes, or the unchanged data if there is no room.
	grow := func(size int64) []byte {
		if reserve != nil && size > freeResponse && !reserve(size) {
			return data
		}
		return append(make([]byte, 0, size), data...)
	}
	if length := resp.ContentLength; length >= 0 && c.r.Method != http.MethodHead && bodyAllowed(resp.StatusCode) {
		data = grow(length + 1) // the last byte is for the end of the body
	} else {
		data = grow(firstRead)
	}
	for {
		if len(data) == cap(data) {
			size := min(max(2*int64(cap(data)), firstRead), limit+1)
			if data = grow(size); len(data) == cap(data) {
				return data, false, nil
			}
		}
		n, err := resp.Body.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		switch {
		case err == io.EOF:
			return data, int64(len(data)) <= limit, nil
		case err != nil:
			return data, false, err
		case int64(len(data)) > limit:
			return data, false, nil
		}
	}
}
