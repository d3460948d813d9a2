package main

import (
	"net/http"
	"sync"
	"time"
)

// playKeys takes away all keys of the only tenant of a deployment. Clients go on with the
// dropped keys, and others come with a key that no configuration ever held.
func playKeys(wo *world) (bool, error) {
	const dropped1, dropped2, unknown = "n2ctnfzs989anu6wsjnb", "anfqasnmgkcuyj8pjbvk", "zz0never0held0by0anybody"
	configuration := func(version, timeout int, keys []string) map[string]any {
		return map[string]any{
			"version": version,
			"routes": []map[string]any{{
				"name": "r-order", "host": clientHost, "path_prefix": "/puxa403/", "kind": "non_idempotent", "timeout_ms": timeout,
				"target_latency_ms": 300, "priority": 2, "service": "wuno96b", "max_attempts": 1, "public": false, "resumable": false,
			}},
			"services": []map[string]any{{"name": "wuno96b", "health_path": "/healthz", "max_connections": 110, "protocol": "h1", "tls": false}},
			"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
			"tenants":  []map[string]any{{"name": "hule930", "api_keys": keys, "priority": 1}},
		}
	}
	wo.store.put("op/config", configuration(7, 1500, []string{dropped1, dropped2}))
	for _, zone := range zones {
		if _, err := wo.startEngine("wuno96b", zone, 6, 0, "--plain", "--first", "30ms"); err != nil {
			return false, err
		}
	}
	if err := wo.startHosts(3); err != nil {
		return false, err
	}
	time.Sleep(6 * time.Second) // all machines are in touch
	var mu sync.Mutex
	var calls []*call
	droppedAt := map[string]time.Time{} // by key, the ack of the version without it
	keyOf := map[string]string{}
	begin := time.Now()
	go func() {
		time.Sleep(6 * time.Second)
		left := []string{dropped1, dropped2}
		for ix, key := range []string{dropped1, dropped2} {
			if wo.trouble {
				left = left[1:]
			}
			version := 9 + 3*ix
			wo.store.put("op/config", configuration(version, 1600, left))
			mu.Lock()
			droppedAt[key] = time.Now()
			mu.Unlock()
			wo.record("operator: version %d acknowledged, tenant hule930 has %d keys", version, len(left))
			time.Sleep(500 * time.Millisecond)
		}
	}()
	every(100*time.Millisecond, begin.Add(18*time.Second), func(number int) {
		key := []string{dropped1, dropped2, dropped1, dropped2, unknown}[number%5]
		ca := &call{host: wo.hosts[number%len(wo.hosts)], method: http.MethodPost, path: "/puxa403/2f", header: map[string]string{"Authorization": "Bearer " + key}, body: "order"}
		wo.send(ca, 3*time.Second)
		mu.Lock()
		defer mu.Unlock()
		calls = append(calls, ca)
		keyOf[ca.id] = key
	})
	time.Sleep(time.Second)
	ran := map[string]event{}
	for _, ev := range wo.observed("arrive") {
		ran[ev.fields[1]] = ev
	}
	late, never, served := 0, 0, 0
	for _, ca := range calls {
		ev, hasRun := ran[ca.id]
		switch {
		case !hasRun:
		case keyOf[ca.id] == unknown:
			never++
			wo.record("ROUTE: %s ran at %s with a key that no configuration ever held, Tenant %q", ca.id, ev.engine, ev.field("tenant"))
		case wo.trouble && ca.sentAt.After(droppedAt[keyOf[ca.id]].Add(configTime)):
			late++
			wo.record("CONFIG: %s, sent %.3f s after the ack, ran at %s with a dropped key, Tenant %q", ca.id, ca.sentAt.Sub(droppedAt[keyOf[ca.id]]).Seconds(), ev.engine, ev.field("tenant"))
		default:
			served++
		}
	}
	wo.record("SUMMARY %d requests; %d ran as allowed; %d ran with a dropped key later than config_ms after the ack; %d ran with a key never held", len(calls), served, late, never)
	if served < 20 {
		return false, errNotServed
	}
	return late > 0 || never > 0, nil
}
