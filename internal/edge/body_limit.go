package edge

import (
	"math"
	"net/http"
)

// BodyLimit returns the largest body in bytes that the gateway takes of a request whose header was read, or a negative number if it
// refuses the request whatever its body is. ServeHTTP decides again, since the configuration may change meanwhile.
func (g *Gateway) BodyLimit(r *http.Request) int64 {
	const refused = -1
	config := g.routes.Load()
	if config == nil {
		return math.MaxInt64
	}
	c := &call{g: g, r: r, route: config.table.Match(r.Host, r.URL.Path)}
	if c.route == nil || c.authenticate(config.accounts) != nil || r.ContentLength > config.maxBody {
		return refused
	}
	return config.maxBody
}
