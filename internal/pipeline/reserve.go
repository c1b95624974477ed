package pipeline

import "net/http"

// Reserve charges n bytes that a handler of a Server wants to hold until it returns, and waits a short time for them. It returns false
// if there is no room. w may wrap the writer that the handler got, if it has a method Unwrap. Nothing is limited on other servers.
func Reserve(w http.ResponseWriter, n int64) bool {
	for {
		if x, ok := w.(*exchange); ok {
			return x.reserve(n, x.conn.charge)
		}
		wrapper, ok := w.(interface{ Unwrap() http.ResponseWriter })
		if !ok {
			return true
		}
		w = wrapper.Unwrap()
	}
}
