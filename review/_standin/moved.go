package main

import (
	"net/http"
	"sync"
	"syscall"
	"time"
)

// orderConfiguration has one route of orders that goes to a service, and other services.
func orderConfiguration(version int, service string, others ...string) map[string]any {
	services := []map[string]any{}
	for _, name := range append([]string{service}, others...) {
		services = append(services, map[string]any{"name": name, "health_path": "/healthz", "max_connections": 110, "protocol": "h1", "tls": false})
	}
	return map[string]any{
		"version": version,
		"routes": []map[string]any{{
			"name": "r-order", "host": clientHost, "path_prefix": "/puxa403/", "kind": "non_idempotent", "timeout_ms": 1500,
			"target_latency_ms": 300, "priority": 2, "service": service, "max_attempts": 1, "public": false, "resumable": false,
		}},
		"services": services,
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []map[string]any{{"name": "hule930", "api_keys": []string{streamKey}, "priority": 1}},
	}
}

// playMoved changes the settings files of all hosts, with SIGHUP: the platform's store has
// a new address. Both addresses serve the same store for a while. Then the operator moves a
// route to another service.
func playMoved(wo *world) (bool, error) {
	const before, after = "wuno96b", "pano17c"
	wo.store.put("op/config", orderConfiguration(7, before, after))
	serviceOf := map[string]string{}
	for _, zone := range zones {
		for _, name := range []string{before, after} {
			en, err := wo.startEngine(name, zone, 6, 0, "--plain", "--first", "30ms")
			if err != nil {
				return false, err
			}
			serviceOf[en.id] = name
		}
	}
	if err := wo.startHosts(3); err != nil {
		return false, err
	}
	time.Sleep(6 * time.Second) // all machines are in touch
	address, _, err := wo.serveStore()
	if err != nil {
		return false, err
	}
	var mu sync.Mutex
	var ackedAt time.Time
	var failed error
	begin := time.Now()
	go func() {
		time.Sleep(3 * time.Second)
		for _, ho := range wo.hosts {
			if wo.trouble {
				ho.settings["store"] = address
			}
			err := ho.writeSettings()
			if err == nil {
				err = ho.process.Signal(syscall.SIGHUP)
			}
			if err != nil {
				mu.Lock()
				failed = err
				mu.Unlock()
			}
			wo.record("settings file of %s written, store at %v, SIGHUP", ho.name, ho.settings["store"])
		}
		time.Sleep(10 * time.Second)
		if wo.trouble {
			wo.stopStore()
			wo.record("the store no longer serves its former address")
		}
		time.Sleep(8 * time.Second) // contact_ms and more
		wo.store.put("op/config", orderConfiguration(9, after, before))
		mu.Lock()
		ackedAt = time.Now()
		mu.Unlock()
		wo.record("operator: version 9 acknowledged, route r-order goes to service %s", after)
	}()
	var calls []*call
	every(100*time.Millisecond, begin.Add(32*time.Second), func(number int) {
		ca := &call{host: wo.hosts[number%len(wo.hosts)], method: http.MethodPost, path: "/puxa403/2f", header: map[string]string{"Authorization": "Bearer " + streamKey}, body: "order"}
		wo.send(ca, 3*time.Second)
		mu.Lock()
		defer mu.Unlock()
		calls = append(calls, ca)
	})
	if failed != nil {
		return false, failed
	}
	ranAt := map[string]string{}
	for _, ev := range wo.observed("arrive") {
		ranAt[ev.fields[1]] = ev.engine
	}
	served, old, late := 0, 0, 0
	for _, ca := range calls {
		if ca.status == http.StatusOK && ca.complete {
			served++
		}
		if !ca.sentAt.After(ackedAt.Add(configTime)) {
			continue
		}
		late++
		if engine, ok := ranAt[ca.id]; ok && serviceOf[engine] == before {
			old++
			wo.record("CONFIG: %s, sent %.3f s after the ack, ran at %s of the old service", ca.id, ca.sentAt.Sub(ackedAt).Seconds(), engine)
		}
	}
	wo.record("SUMMARY %d requests, %d served; of %d sent later than config_ms after the ack, %d were run by the old service", len(calls), served, late, old)
	if served < 50 || late < 10 {
		return false, errNotServed
	}
	return old > 0, nil
}
