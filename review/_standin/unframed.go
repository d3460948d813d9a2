package main

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

var errNotServed = errors.New("too few requests were served for a judgement")

const (
	engineService = "huvo11a"
	deadlyPart    = "deadbeef"
)

// streamConfiguration has one route of resumable streams.
func streamConfiguration() map[string]any {
	return map[string]any{
		"version": 7,
		"routes": []map[string]any{{
			"name": "r-report", "host": clientHost, "path_prefix": "/lohu930/", "kind": "streaming", "timeout_ms": 15000,
			"target_latency_ms": 1000, "priority": 0, "service": engineService, "max_attempts": 2, "public": false, "sticky": true, "resumable": true, "gap_aim_ms": 150,
		}},
		"services": []map[string]any{{
			"name": engineService, "health_path": "/healthz", "max_connections": 370, "protocol": "h1", "tls": false,
			"engine": map[string]any{"slots": 64, "kv_capacity": 325133, "kv_token_bytes": 18432, "link_mbps": 88000.0, "stride": tokensPerEvent, "models": []map[string]any{{"name": "m"}}},
		}},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []map[string]any{{"name": "hule930", "api_keys": []string{streamKey}, "priority": 1}},
	}
}

const streamKey = "n2ctnfzs989anu6wsjnb"

// usage returns the value of Token-Usage: the tokens of all parts of a prompt, and the most
// tokens of the answer.
func usage(parts []string, events int) string {
	prompt := 0
	for _, part := range parts {
		_, text, _ := strings.Cut(part, ":")
		tokens, err := strconv.Atoi(text)
		if err != nil {
			panic(err)
		}
		prompt += tokens
	}
	return fmt.Sprintf("%d,%d", prompt, events*tokensPerEvent)
}

// stream is a request for a stream with a number of events, on a prompt with shared parts.
func (wo *world) stream(ho *host, events int, parts ...string) *call {
	parts = append(parts, newID()[:8]+":200")
	ca := &call{host: ho, method: http.MethodPost, path: "/lohu930/2f", body: strings.Repeat("t", 1400), header: map[string]string{
		"Authorization": "Bearer " + streamKey, "Model": "m", "Token-Usage": usage(parts, events), "Prompt-Prefix": strings.Join(parts, ","),
	}}
	wo.send(ca, 15*time.Second)
	return ca
}

// playUnframed kills engines one after the other while they write streams that have
// neither a length nor chunks.
func playUnframed(wo *world) (bool, error) {
	wo.store.put("op/config", streamConfiguration())
	for ix := range 6 {
		if _, err := wo.startEngine(engineService, zones[ix%len(zones)], 64, 3*time.Second, "--framing", "unframed", "--gap", "80ms"); err != nil {
			return false, err
		}
	}
	if err := wo.startHosts(3); err != nil {
		return false, err
	}
	time.Sleep(6 * time.Second) // all machines are in touch
	const events = 25
	begin := time.Now()
	if wo.trouble {
		go func() { // one of six engines at a time, as srv_crash: one that is at work
			for range 3 {
				time.Sleep(5 * time.Second)
				arrived := wo.observed("arrive")
				for _, en := range wo.engines {
					if en.id == arrived[len(arrived)-1].engine {
						wo.crash(en)
					}
				}
			}
		}()
	}
	var mu sync.Mutex
	whole, cut, failed, broken := 0, 0, 0, 0
	every(80*time.Millisecond, begin.Add(18*time.Second), func(number int) {
		ca := wo.stream(wo.hosts[number%len(wo.hosts)], events, fmt.Sprintf("a%d:100", number%20), fmt.Sprintf("b%d:70", number%74))
		mu.Lock()
		defer mu.Unlock()
		switch {
		case ca.status == http.StatusOK && ca.complete && len(ca.events) == events:
			whole++
		case ca.status == http.StatusOK && ca.complete:
			broken++
			wo.record("ORDER: stream %s ended as complete with %d of %d pieces", ca.id, len(ca.events), events)
		case ca.status == http.StatusOK:
			cut++
		default:
			failed++
		}
	})
	wo.record("SUMMARY %d streams whole, %d ended as complete before the last piece, %d visibly cut, %d refused or failed", whole, broken, cut, failed)
	if whole < 50 {
		return false, errNotServed
	}
	return broken > 0, nil
}
