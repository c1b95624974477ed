package routing

import (
	"slices"
	"strings"
)

// Table matches requests to routes.
type Table struct {
	hosts map[string][]*Route // longest prefix first
}

// NewTable returns the table of a configuration. The routes of c must not be modified afterwards.
func NewTable(c *Config) *Table {
	t := &Table{hosts: make(map[string][]*Route)}
	for i := range c.Routes {
		r := &c.Routes[i]
		t.hosts[r.Host] = append(t.hosts[r.Host], r)
	}
	for _, routes := range t.hosts {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.PathPrefix) - len(a.PathPrefix) })
	}
	return t
}

// Match returns the route of the host with the longest prefix of the path, or nil. A port in host is ignored.
func (t *Table) Match(host, path string) *Route {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	routes, ok := t.hosts[host]
	if !ok {
		routes = t.hosts[strings.ToLower(host)]
	}
	for _, r := range routes {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}
