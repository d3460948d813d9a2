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

func init() {
	const busy = 40 * time.Millisecond
	cases["quiet"] = crashPartCase{chunked: true, soundGap: 5 * time.Second}.play
	cases["unframed"] = crashPartCase{soundGap: busy}.play
	cases["many-parts"] = crashPartCase{chunked: true, commonParts: 150, soundGap: busy}.play
}

// crashPartCase is a case in which a part of some prompts crashes each engine that begins to
// write an answer on it.
type crashPartCase struct {
	// chunked streams come in chunks; others have neither a length nor chunks and end with
	// their channel.
	chunked bool
	// commonParts is the number of parts that all prompts have.
	commonParts int
	// soundGap is the time between two sound requests.
	soundGap time.Duration
}

func (cc crashPartCase) play(wo *world, trouble bool) (verdict, error) {
	const (
		crashPart   = "dead01"
		length      = 30 * time.Second
		tick        = 5 * time.Millisecond
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
		text := "HTTP/1.1 200 OK\r\nRequest-Id: " + ru.id + "\r\nUpstream-Signature: s." + ru.id + "\r\nWeight-Versions: 1\r\nContent-Type: text/event-stream\r\n"
		if cc.chunked {
			text += "Transfer-Encoding: chunked\r\n"
		}
		text += "\r\n"
		if _, err := io.WriteString(conn, text); err != nil {
			return false
		}
		for n := range events {
			event := fmt.Sprintf("id: %d\ndata: token %d\n\n", n, n)
			if cc.chunked {
				event = fmt.Sprintf("%x\r\n%s\r\n", len(event), event)
			}
			if _, err := io.WriteString(conn, event); err != nil {
				return false
			}
			if isDeadly { // the process ends; the system closes its channels
				if en.crash(downTime) {
					mu.Lock()
					crashes = append(crashes, time.Now())
					mu.Unlock()
				}
				return false
			}
			time.Sleep(eventGap)
		}
		if !cc.chunked {
			return false
		}
		_, err := io.WriteString(conn, "0\r\n\r\n")
		return err == nil
	}
	if err := wo.deploy(deployment{
		engines: 12, service: "llm", model: true, hosts: 3,
		route: map[string]any{"kind": "streaming", "resumable": true, "max_attempts": 2, "timeout_ms": 5000, "target_latency_ms": 1500, "gap_aim_ms": 600},
	}); err != nil {
		return verdict{}, err
	}
	common := ""
	for ix := range cc.commonParts {
		common += fmt.Sprintf("c%03x:10,", ix)
	}
	var group sync.WaitGroup
	sound, served, sent := 0, 0, 0
	request := func(isDeadly bool) {
		defer group.Done()
		id := newID()
		last := fmt.Sprintf("7b%02x", rand.Intn(40))
		if isDeadly {
			last = crashPart
		}
		prompt := fmt.Sprintf("5a%02x:800,%s%s:400,%s:200", rand.Intn(4), common, last, id[4:])
		usage := fmt.Sprintf("Token-Usage: %d,25", 1400+10*cc.commonParts)
		fields := append(fieldsOf(id, 5000), "Model: m", usage, "Prompt-Prefix: "+prompt)
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
	began, nextSound, nextDeadly := time.Now(), time.Duration(0), 3*time.Second
	for time.Since(began) < length {
		if time.Since(began) >= nextSound {
			nextSound += cc.soundGap
			group.Add(1)
			go request(false)
		}
		if trouble && time.Since(began) >= nextDeadly {
			nextDeadly += deadlyGap
			group.Add(1)
			go request(true)
		}
		time.Sleep(tick)
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
