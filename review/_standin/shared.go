package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	busyKey  = streamKey              // of a tenant with much traffic
	quietKey = "anfqasnmgkcuyj8pjbvk" // of a tenant with little, from which the deadly requests come
	// sharedPart is the first part of all prompts of the quiet tenant.
	sharedPart = "5c1e07a2"
)

// playShared lets requests with a part that crashes engines come from a tenant whose sound
// requests share their first part and their key.
func playShared(wo *world) (bool, error) {
	configuration := streamConfiguration()
	route := configuration["routes"].([]map[string]any)[0]
	route["resumable"], route["max_attempts"] = false, 1
	configuration["tenants"] = []map[string]any{
		{"name": "hule930", "api_keys": []string{busyKey}, "priority": 1},
		{"name": "vomi417", "api_keys": []string{quietKey}, "priority": 1},
	}
	wo.store.put("op/config", configuration)
	for ix := range 6 {
		if _, err := wo.startEngine(engineService, zones[ix%len(zones)], 64, 3*time.Second, "--gap", "60ms", "--deadly", deadlyPart); err != nil {
			return false, err
		}
	}
	if err := wo.startHosts(3); err != nil {
		return false, err
	}
	time.Sleep(6 * time.Second) // all machines are in touch
	const (
		quietGap    = 2 * time.Second // between two sound requests of the quiet tenant
		quietEvents = 30
		before      = 21 // sound requests of the quiet tenant before the trouble
		after       = 26 // and from then on
	)
	ask := func(number int, key string, events int, parts ...string) *call {
		parts = append(parts, newID()[:8]+":200")
		ca := &call{host: wo.hosts[number%len(wo.hosts)], method: http.MethodPost, path: "/lohu930/2f", body: strings.Repeat("t", 1400), header: map[string]string{
			"Authorization": "Bearer " + key, "Model": "m", "Token-Usage": usage(parts, events), "Prompt-Prefix": strings.Join(parts, ","),
		}}
		wo.send(ca, 15*time.Second)
		return ca
	}
	begin := time.Now()
	end := begin.Add((before + after) * quietGap)
	var group sync.WaitGroup
	group.Go(func() {
		every(50*time.Millisecond, end, func(number int) {
			ask(number, busyKey, 6, fmt.Sprintf("a%d:100", number%4), fmt.Sprintf("b%d:70", number%20))
		})
	})
	troubled := begin.Add((before-1)*quietGap + 250*time.Millisecond)
	if wo.trouble {
		group.Go(func() {
			time.Sleep(time.Until(troubled))
			every(400*time.Millisecond, end, func(number int) {
				ask(number, quietKey, 6, sharedPart+":800", deadlyPart+":70")
			})
		})
	}
	var mu sync.Mutex
	var quiet []*call
	every(quietGap, end, func(number int) {
		ca := ask(number, quietKey, quietEvents, sharedPart+":800", fmt.Sprintf("d%d:70", number))
		mu.Lock()
		defer mu.Unlock()
		quiet = append(quiet, ca)
	})
	group.Wait()
	begun := map[string]bool{}
	for _, ev := range wo.observed("arrive") {
		begun[ev.fields[1]] = true
	}
	crashes := wo.observed("crash")
	since := troubled
	if len(crashes) > 0 {
		since = crashes[min(len(crashes), 5)-1].at
	}
	var calm, late, calmBegun, lateBegun int
	for _, ca := range quiet {
		switch {
		case ca.sentAt.Before(troubled):
			calm++
			if begun[ca.id] {
				calmBegun++
			}
		case ca.sentAt.After(since.Add(2 * contactTime)):
			late++
			if begun[ca.id] {
				lateBegun++
			}
		}
	}
	wo.record("SUMMARY %d crashes; sound requests with the same key and first part that began at the first attempt: %d of %d before, %d of %d from 2 x contact_ms after the fifth or last crash", len(crashes), calmBegun, calm, lateBegun, late)
	if calm < 20 || late < 20 {
		return false, errNotServed
	}
	return lateBegun*calm*2 < calmBegun*late, nil
}
