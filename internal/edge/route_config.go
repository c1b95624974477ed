package edge

import (
	"github.com/bramleypick/bramleypick/routing"
)

// routeConfig is the part of the configuration that requests are matched against. It is immutable.
type routeConfig struct {
	version uint64 // of the configuration
	table   *routing.Table
	// splitters holds a splitter for each route with a traffic split.
	splitters map[*routing.Route]*routing.Splitter
	maxBody   int64
	// accounts finds client accounts by key. It is nil if requests need no key.
	accounts *routing.AccountIndex
}

// service returns the name of the service for the next request of a route.
func (c *routeConfig) service(r *routing.Route) string {
	if splitter := c.splitters[r]; splitter != nil {
		return splitter.Next()
	}
	return r.Service
}
