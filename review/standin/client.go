package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
)

// tenant is a tenant of the configuration.
type tenant struct {
	name, key   string
	rate, burst int
}

// configure stores the next configuration: for each service an unsafe and a safe route.
func (f *fleet) configure(services []string, tenants []tenant) error {
	f.version += 3
	var routes, served, clients []any
	for _, s := range services {
		for _, kind := range []string{"unsafe", "safe"} {
			routes = append(routes, map[string]any{
				"name": s + "-" + kind, "hostname": s + ".example", "path_prefix": "/" + kind + "/", "kind": kind, "timeout_s": 1.5,
				"target_latency_s": 0.8, "priority": 1, "service": s, "max_attempts": 2, "public": false,
			})
		}
		served = append(served, map[string]any{
			"name": s, "health_check_path": "/health", "max_connections": 390, "protocol": "h1", "tls": false,
		})
	}
	for _, t := range tenants {
		clients = append(clients, map[string]any{
			"name": t.name, "api_keys": []string{t.key}, "priority": 1, "rate_per_s": t.rate, "burst": t.burst,
		})
	}
	data, err := json.Marshal(map[string]any{
		"version": fmt.Sprintf("%08x", f.version), "routes": routes, "services": served, "tenants": clients,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_s": 3, "idle_timeout_s": 15},
	})
	if err != nil {
		return err
	}
	f.store.Put("config", "main", data)
	f.record.add("configuration %08x is acknowledged", f.version)
	return nil
}

// requestCount numbers the requests of all clients.
var requestCount atomic.Int64

// newRequestID returns a new ID.
func newRequestID() string { return fmt.Sprintf("%016x", requestCount.Add(1)) }

// send sends one request of a client on a machine and returns the status, or 0 without a whole answer.
func (m *machine) send(id, service, kind, key string) int {
	method, body := http.MethodGet, ""
	if kind == "unsafe" {
		method, body = http.MethodPost, strings.Repeat(id, 20)
	}
	r, err := http.NewRequest(method, "http://"+m.address("outbound")+"/"+kind+"/x", strings.NewReader(body))
	if err != nil {
		return 0
	}
	r.Host = service + ".example"
	r.Header.Set("Request-Id", id)
	r.Header.Set("Deadline-Milliseconds", "3000")
	r.Header.Set("Authorization", "Bearer "+key)
	r.GetBody = nil // the client library sends nothing twice
	resp, err := m.client.Do(r)
	if err != nil {
		m.fleet.record.add("%s: the client on %s gets no answer: %v", id, m.name, err)
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}
