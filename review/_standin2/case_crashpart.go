package main

import (
	"fmt"
	"io"
	"math/rand"
	"net"
	"strings"
	"sync"
	"time"
)

func init() { cases["crash-part"] = caseCrashPart }

// caseCrashPart: a part of some prompts crashes each engine that begins to write an answer on
// it. The engines' streams have neither a length nor chunks and end with their channel.
func caseCrashPart(wo *world, trouble bool) (verdict, error) {
	const (
		crashPart   = "dead01"
		length      = 30 * time.Second
		soundGap    = 40 * time.Millisecond
		deadlyGap   = 400 * time.Millisecond
		events      = 5
		eventGap    = 20 * time.Millisecond
		downTime    = 2 * time.Second
		contact     = 4 * time.Second
		allowed     = 3
		freeCrashes = 5
	)
	var mu sync.Mutex
	var crashes, reached []time.Time
	wo.handler = func(en *engine, conn net.Conn, ru run) bool {
		isDeadly := strings.Contains(ru.header.Get("Prompt-Prefix"), crashPart)
		if isDeadly {
			mu.Lock()
			reached = append(reached, ru.at)
			mu.Unlock()
			wo.note("request %s with the part reaches engine %s", ru.id, en.id)
		}
		time.Sleep(30 * time.Millisecond)
		text := "HTTP/1.1 200 OK\r\nRequest-Id: " + ru.id + "\r\nUpstream-Signature: s." + ru.id + "\r\nContent-Type: text/event-stream\r\n\r\n"
		if _, err := io.WriteString(conn, text); err != nil {
			return false
		}
		for n := range events {
			if _, err := fmt.Fprintf(conn, "id: %d\ndata: token %d\n\n", n, n); err != nil {
				return false
			}
			if isDeadly { // the process ends; the system closes its channels
				mu.Lock()
				crashes = append(crashes, time.Now())
				mu.Unlock()
				en.crash(false, downTime)
				return false
			}
			time.Sleep(eventGap)
		}
		return false
	}
	if err := wo.deploy(deployment{
		engines: 12, service: "llm", model: true, hosts: 3,
		route: map[string]any{"kind": "streaming", "resumable": true, "max_attempts": 2, "timeout_ms": 5000, "target_latency_ms": 1500, "gap_aim_ms": 600},
	}); err != nil {
		return verdict{}, err
	}
	var group sync.WaitGroup
	sound, served, sent := 0, 0, 0
	request := func(isDeadly bool) {
		defer group.Done()
		id := newID()
		prompt := fmt.Sprintf("5a%02x:800,7b%02x:400,%s:200", rand.Intn(4), rand.Intn(40), id[4:])
		if isDeadly {
			prompt = fmt.Sprintf("5a%02x:800,%s:400,%s:200", rand.Intn(4), crashPart, id[4:])
		}
		fields := append(fieldsOf(id, 5000), "Model: m", "Token-Usage: 1400,25", "Prompt-Prefix: "+prompt)
		ho := wo.hosts[rand.Intn(len(wo.hosts))]
		re := send(ho.front, "POST", "/r/x", fields, "prompt", 6*time.Second)
		mu.Lock()
		defer mu.Unlock()
		if isDeadly {
			sent++
			wo.note("client got for %s with the part from %s: %v", id, ho.name, re)
			return
		}
		sound++
		if re.status == 200 && re.err == nil && strings.Contains(re.body, fmt.Sprintf("id: %d\n", events-1)) {
			served++
		}
	}
	began, nextDeadly := time.Now(), 3*time.Second
	for time.Since(began) < length {
		group.Add(1)
		go request(false)
		if trouble && time.Since(began) >= nextDeadly {
			nextDeadly += deadlyGap
			group.Add(1)
			go request(true)
		}
		time.Sleep(soundGap)
	}
	group.Wait()
	late := 0
	for _, at := range reached {
		if len(crashes) >= freeCrashes && at.Sub(crashes[freeCrashes-1]) > contact {
			late++
		}
	}
	wo.say("%d of %d sound requests served; %d requests with the part sent, %d reached engines; %d crashes", served, sound, sent, len(reached), len(crashes))
	return verdict{late > allowed, fmt.Sprintf("%d requests with the part reached engines later than %v after the fifth crash (%d are allowed)", late, contact, allowed)}, nil
}
