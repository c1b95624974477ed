package main

import "encoding/json"

// config is a configuration in the operators' format.
type config struct {
	Version  uint64         `json:"version"`
	Routes   table          `json:"routes"`
	Services table          `json:"services"`
	Limits   map[string]int `json:"limits"`
	Base     uint64         `json:"base-version"`
}

type table struct {
	Columns []string `json:"columns"`
	Rows    [][]any  `json:"rows"`
}

// route is a route in a configuration.
type route struct {
	name, host, prefix, kind string
	timeoutMillis            int
	maxAttempts              int
	service                  string
}

func newConfig(version, base uint64, services []string, routes ...route) config {
	c := config{
		Version: version, Base: base,
		Routes:   table{Columns: []string{"name", "host", "path-prefix", "kind", "timeout-ms", "target-latency-ms", "priority", "max-attempts", "service"}},
		Services: table{Columns: []string{"name", "health-path", "max-connections", "protocol", "tls", "warmup-s", "warmup-per-s"}},
		Limits:   map[string]int{"max-header-bytes": 16384, "max-body-bytes": 67108864, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	}
	for _, r := range routes {
		c.Routes.Rows = append(c.Routes.Rows, []any{r.name, r.host, r.prefix, r.kind, r.timeoutMillis, 600, 1, r.maxAttempts, r.service})
	}
	for _, s := range services {
		c.Services.Rows = append(c.Services.Rows, []any{s, "/health", 300, "h1", false, 3.0, 7.6})
	}
	return c
}

func (c config) encode() []byte {
	data, err := json.Marshal(c)
	if err != nil {
		panic(err) // cannot happen: the types always encode
	}
	return data
}
