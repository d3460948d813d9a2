package main

import (
	"net/http"
	"strings"
	"sync"
	"time"
)

// playForeign lets another writer put entries with missing fields over those of engines:
// they name another service than the engine's.
func playForeign(wo *world) (bool, error) {
	const orders, invoices = "wuno96b", "pano17c"
	route := func(name, prefix, service string) map[string]any {
		return map[string]any{
			"name": name, "host": clientHost, "path_prefix": prefix, "kind": "non_idempotent", "timeout_ms": 1500,
			"target_latency_ms": 300, "priority": 2, "service": service, "max_attempts": 1, "public": false, "resumable": false,
		}
	}
	service := func(name string) map[string]any {
		return map[string]any{"name": name, "health_path": "/healthz", "max_connections": 110, "protocol": "h1", "tls": false}
	}
	wo.store.put("op/config", map[string]any{
		"version":  7,
		"routes":   []map[string]any{route("r-order", "/puxa403/", orders), route("r-invoice", "/tiwe118/", invoices)},
		"services": []map[string]any{service(orders), service(invoices)},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []map[string]any{{"name": "hule930", "api_keys": []string{streamKey}, "priority": 1}},
	})
	serviceOf := map[string]string{}
	var orderEngines []*engine
	for _, zone := range zones {
		for _, name := range []string{orders, invoices} {
			en, err := wo.startEngine(name, zone, 6, 0, "--plain", "--first", "30ms")
			if err != nil {
				return false, err
			}
			serviceOf[en.id] = name
			if name == orders {
				orderEngines = append(orderEngines, en)
			}
		}
	}
	if err := wo.startHosts(3); err != nil {
		return false, err
	}
	time.Sleep(6 * time.Second) // all machines are in touch
	begin := time.Now()
	if wo.trouble {
		go func() {
			for ix := range 6 {
				en := orderEngines[ix%len(orderEngines)]
				time.Sleep(2500 * time.Millisecond)
				wo.store.put("servers/"+en.id, map[string]any{"service": invoices, "address": en.address, "zone": en.zone, "slots": en.slots, "state": "ready"})
				wo.record("another writer: entry of engine %s without version, cold_remaining_ms, sequence and born, with service %s", en.id, invoices)
			}
		}()
	}
	var mu sync.Mutex
	served := 0
	every(50*time.Millisecond, begin.Add(18*time.Second), func(number int) {
		ca := &call{host: wo.hosts[number/2%len(wo.hosts)], method: http.MethodPost, path: []string{"/puxa403/2f", "/tiwe118/2f"}[number%2], header: map[string]string{"Authorization": "Bearer " + streamKey}, body: "order"}
		wo.send(ca, 3*time.Second)
		mu.Lock()
		defer mu.Unlock()
		if ca.status == http.StatusOK && ca.complete {
			served++
		}
	})
	wrong := 0
	for _, ev := range wo.observed("arrive") {
		isInvoice := strings.HasPrefix(ev.field("path"), "/tiwe118/")
		if isInvoice != (serviceOf[ev.engine] == invoices) {
			wrong++
			wo.record("ROUTE: %s for %s ran at engine %s of service %s", ev.fields[1], ev.field("path"), ev.engine, serviceOf[ev.engine])
		}
	}
	wo.record("SUMMARY %d requests served; %d ran at a service to which no configuration lets them go", served, wrong)
	if served < 50 {
		return false, errNotServed
	}
	return wrong > 0, nil
}
