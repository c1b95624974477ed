package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// route is a route of a configuration.
type route struct {
	name, prefix, kind  string
	timeoutMS, targetMS int
	attempts            int
	service             string
}

const routeHost = "review.example"

// putConfig sends the first configuration until it is acknowledged.
func (e *env) putConfig(routes []route, services []string) error {
	type columns struct {
		Columns []string `json:"columns"`
		Rows    [][]any  `json:"rows"`
	}
	r := columns{Columns: []string{"name", "host", "path-prefix", "kind", "timeout-ms", "target-latency-ms", "priority", "traffic-split", "max-attempts", "service"}}
	for _, x := range routes {
		r.Rows = append(r.Rows, []any{x.name, routeHost, x.prefix, x.kind, x.timeoutMS, x.targetMS, 1, nil, x.attempts, x.service})
	}
	s := columns{Columns: []string{"name", "health-path", "max-connections", "protocol", "tls", "warmup-s", "warmup-per-s"}}
	for _, name := range services {
		s.Rows = append(s.Rows, []any{name, "/health", 280, "h1", false, 3.0, warmupPerSecond})
	}
	body, err := json.Marshal(map[string]any{
		"version": 7, "base-version": 0, "routes": r, "services": s,
		"limits": map[string]int{"max-header-bytes": 16384, "max-body-bytes": 67108864, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	})
	if err != nil {
		return err
	}
	client := http.Client{Timeout: time.Second}
	for deadline, i := time.Now().Add(20*time.Second), 0; time.Now().Before(deadline); i++ {
		m := e.machines[i%len(e.machines)]
		resp, err := client.Post("http://"+m.control()+"/Config.Put", "application/json", bytes.NewReader(body))
		if err == nil {
			text, _ := io.ReadAll(resp.Body) // only for the record
			resp.Body.Close()
			e.record.line("operator: Config.Put 7 at %s: %d %s", m.name, resp.StatusCode, text)
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	return fmt.Errorf("the configuration was not acknowledged")
}
