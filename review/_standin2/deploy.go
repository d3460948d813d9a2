package main

import (
	"fmt"
	"time"
)

// deployment is what a case runs: engines of one service, one route to it under /r/, and
// entry hosts.
type deployment struct {
	engines int
	service string
	// model marks the engines as model engines.
	model bool
	hosts int
	// prefix is that of the route's paths; "/r/" if it is empty.
	prefix string
	// route holds the fields of the route beside those that are the same in all cases.
	route map[string]any
}

const (
	hostName   = "a.example"
	apiKey     = "n2ctnfzs989anu6wsjnb"
	otherKey   = "anfqasnmgkcuyj8pjbvk"
	tenantName = "hule930"
)

// settleTime is how long the hosts run before a case begins: longer than contact_ms.
const settleTime = 5 * time.Second

// deploy writes the configuration, starts the engines and the hosts and waits until all are
// in touch.
func (wo *world) deploy(de deployment) error {
	wo.model = de.model
	for ix := range de.engines {
		if _, err := wo.newEngine(fmt.Sprintf("i-%s%02d", de.service, ix+1), de.service, "127.0.0.1"); err != nil {
			return err
		}
	}
	service := map[string]any{"name": de.service, "health_path": "/healthz", "max_connections": 370, "protocol": "h1", "tls": false}
	if de.model {
		service["engine"] = map[string]any{"slots": 64, "stride": 5, "kv_capacity": 325133, "models": []any{map[string]any{"name": "m"}}}
	}
	prefix := de.prefix
	if prefix == "" {
		prefix = "/r/"
	}
	route := map[string]any{"name": "r", "host": hostName, "path_prefix": prefix, "priority": 1, "service": de.service, "public": false, "sticky": de.model}
	for name, value := range de.route {
		route[name] = value
	}
	wo.configuration = map[string]any{
		"version":  7,
		"services": []any{service},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4 << 20, "header_timeout_ms": 5000, "idle_timeout_ms": 30000},
		"tenants":  []any{map[string]any{"name": tenantName, "api_keys": []string{apiKey, otherKey}}},
		"routes":   []any{route},
	}
	wo.store.put("op/config", wo.configuration)
	if err := wo.prepareHosts(de.hosts); err != nil {
		return err
	}
	for _, ho := range wo.hosts {
		if err := ho.run(wo); err != nil {
			return err
		}
	}
	if err := wo.awaitReady(15 * time.Second); err != nil {
		return err
	}
	time.Sleep(settleTime)
	wo.note("all hosts are ready")
	return nil
}

// fieldsOf returns the header fields that each request has.
func fieldsOf(id string, deadlineMS int) []string {
	return []string{"Host: " + hostName, "Request-Id: " + id, fmt.Sprintf("Deadline-Ms: %d", deadlineMS), "Authorization: Bearer " + apiKey}
}
