package main

import (
	"fmt"
	"net"
	"strings"
	"syscall"
	"time"
)

func init() { cases["moved"] = caseMoved }

// caseMoved: the settings files change, with a SIGHUP for two of three hosts: the store has
// another address. Later a key is taken away.
func caseMoved(wo *world, trouble bool) (verdict, error) {
	const (
		hupGap      = 1800 * time.Millisecond
		contact     = 4 * time.Second
		configBound = 3 * time.Second
		watched     = 12 * time.Second
	)
	ran := make(chan string, 10_000)
	wo.handler = func(en *engine, conn net.Conn, ru run) bool {
		ran <- ru.id
		wo.note("engine %s runs %s", en.id, ru.id)
		return answer(conn, ru, 200, "done")
	}
	if err := wo.deploy(deployment{
		engines: 3, service: "app", hosts: 3,
		route: map[string]any{"kind": "non_idempotent", "max_attempts": 1, "timeout_ms": 3000, "target_latency_ms": 300},
	}); err != nil {
		return verdict{}, err
	}
	if trouble {
		if err := wo.moveStore(); err != nil {
			return verdict{}, err
		}
		for _, ho := range wo.hosts[:2] {
			wo.note("SIGHUP to %s", ho.name)
			if err := ho.process.Process.Signal(syscall.SIGHUP); err != nil {
				return verdict{}, err
			}
			time.Sleep(hupGap)
		}
	}
	time.Sleep(contact + time.Second)
	wo.configuration["version"] = 9
	wo.configuration["tenants"] = []any{map[string]any{"name": tenantName, "api_keys": []string{apiKey}}}
	wo.currentStore().put("op/config", wo.configuration)
	acked := time.Now()
	wo.note("the store has acknowledged version 9, without the key %s", otherKey)
	late, byHost := 0, map[string]int{}
	for ix := 0; time.Since(acked) < watched; ix++ {
		ho, id := wo.hosts[ix%len(wo.hosts)], newID()
		fields := fieldsOf(id, 3000)
		fields[len(fields)-1] = "Authorization: Bearer " + otherKey
		sentAt := time.Since(acked)
		re := send(ho.front, "POST", "/r/x", fields, "", 5*time.Second)
		wo.note("client got for %s with the key from %s: %v", id, ho.name, re)
		if sentAt > configBound && re.status == 200 {
			late++
			byHost[ho.name]++
		}
		time.Sleep(200 * time.Millisecond)
	}
	var hosts []string
	for _, ho := range wo.hosts {
		hosts = append(hosts, fmt.Sprintf("%s %d", ho.name, byHost[ho.name]))
	}
	return verdict{late > 0, fmt.Sprintf("%d requests sent over %v after the ack ran with the dropped key (%s); %d ran in all", late, configBound, strings.Join(hosts, ", "), len(ran))}, nil
}
