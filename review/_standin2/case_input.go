package main

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"time"
)

func init() {
	cases["target"] = caseTarget
	cases["asterisk"] = caseAsterisk
}

// serveAll deploys three engines of a plain service behind a route for all paths of a host.
// They run what they get.
func serveAll(wo *world) (lineOf func(id string) string, err error) {
	var mu sync.Mutex
	lines := map[string]string{}
	wo.handler = func(en *engine, conn net.Conn, ru run) bool {
		mu.Lock()
		lines[ru.id] = strings.TrimSuffix(ru.line, " HTTP/1.1")
		mu.Unlock()
		wo.note("engine %s runs %s: %q", en.id, ru.id, ru.line)
		return answer(conn, ru, 200, "done")
	}
	err = wo.deploy(deployment{
		engines: 3, service: "app", hosts: 1, prefix: "/",
		route: map[string]any{"kind": "idempotent", "max_attempts": 2, "timeout_ms": 3000, "target_latency_ms": 300},
	})
	return func(id string) string { mu.Lock(); defer mu.Unlock(); return lines[id] }, err
}

// caseTarget: clients send legal targets that few clients send.
func caseTarget(wo *world, trouble bool) (verdict, error) {
	targets := []string{"/a/b", "/a/b?x=1", "/a//b", "/a/%2F/b"}
	if trouble {
		targets = append(targets, "//a/b", "//a/b?x=1", "/a/b?")
	}
	lineOf, err := serveAll(wo)
	if err != nil {
		return verdict{}, err
	}
	var changed []string
	for _, target := range targets {
		for _, method := range []string{"GET", "POST"} {
			id, body := newID(), ""
			if method == "POST" {
				body = "body"
			}
			re := send(wo.hosts[0].front, method, target, fieldsOf(id, 3000), body, 5*time.Second)
			sent, got := method+" "+target, lineOf(id)
			wo.note("client got for %s %q: %v", id, sent, re)
			if got != "" && got != sent {
				changed = append(changed, fmt.Sprintf("%q ran as %q", sent, got))
			}
		}
	}
	return verdict{len(changed) > 0, fmt.Sprintf("%d requests ran with another target: %s", len(changed), strings.Join(changed, ", "))}, nil
}

// caseAsterisk: a client asks for the options of the whole server. No route has that path.
func caseAsterisk(wo *world, trouble bool) (verdict, error) {
	targets := []string{"/", "/a/b"}
	if trouble {
		targets = append(targets, "*")
	}
	lineOf, err := serveAll(wo)
	if err != nil {
		return verdict{}, err
	}
	unsigned := 0
	for _, target := range targets {
		for _, host := range []string{hostName, "unknown.example"} {
			id := newID()
			fields := fieldsOf(id, 3000)
			fields[0] = "Host: " + host
			re := send(wo.hosts[0].front, "OPTIONS", target, fields, "", 5*time.Second)
			wo.note("client got for %s, OPTIONS %q at %s: %v; an engine ran %q", id, target, host, re, lineOf(id))
			if re.status/100 == 2 && re.header.Get("Upstream-Signature") == "" {
				unsigned++
			}
		}
	}
	return verdict{unsigned > 0, fmt.Sprintf("%d successes without an engine's signature", unsigned)}, nil
}
