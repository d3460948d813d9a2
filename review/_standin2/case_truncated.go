package main

import (
	"bufio"
	"bytes"
	"cmp"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

func init() { cases["truncated"] = caseTruncated }

// caseTruncated: engines answer long requests before they have read their bodies, with neither
// a length nor chunks. One of four crashes in the middle of its answers.
func caseTruncated(wo *world, trouble bool) (verdict, error) {
	const (
		bodyBytes  = 4 << 20 // the largest legal body
		parts      = 12
		partBytes  = 1500
		partGap    = 250 * time.Millisecond
		readAfter  = 1200 * time.Millisecond
		crashAfter = 800 * time.Millisecond
		requests   = 6 // as many such bodies as the hosts have room for
		rounds     = 3
		pause      = time.Second
	)
	wo.windowBytes = 32 << 10
	part := func(en *engine, id string, n int) []byte {
		text := fmt.Sprintf("%s %s %d;", en.id, id, n)
		return []byte(strings.Repeat(text, partBytes/len(text)))
	}
	var mu sync.Mutex
	whole := map[string][]byte{} // the whole body that an engine made for a request, by its ID
	ranAt := map[string]string{}
	inProgress := map[string]int{} // by engine
	wo.raw = func(en *engine, conn net.Conn) {
		rq, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil || en.isMisdirected(conn, rq.Header) {
			return
		}
		id := rq.Header.Get("Request-Id")
		var body []byte
		for n := range parts {
			body = append(body, part(en, id, n)...)
		}
		mu.Lock()
		whole[id], ranAt[id] = body, en.id
		inProgress[en.id]++
		defer func() { mu.Lock(); inProgress[en.id]--; mu.Unlock() }()
		mu.Unlock()
		wo.note("engine %s runs %s and begins to answer", en.id, id)
		read := make(chan int64, 1)
		go func() {
			time.Sleep(readAfter)
			count, _ := io.Copy(io.Discard, rq.Body)
			read <- count
		}()
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nUpstream-Signature: s.%s\r\nContent-Type: text/plain\r\nConnection: close\r\n\r\n", id, id)
		for n := range parts {
			if _, err := conn.Write(part(en, id, n)); err != nil {
				wo.note("engine %s broke off its answer to %s after %d of %d parts", en.id, id, n, parts)
				return
			}
			time.Sleep(partGap)
		}
		wo.note("engine %s answered %s with %d bytes, read %d of its body", en.id, id, len(body), <-read)
	}
	if err := wo.deploy(deployment{
		engines: 4, service: "app", hosts: 2,
		route: map[string]any{"kind": "non_idempotent", "max_attempts": 1, "timeout_ms": 15000, "target_latency_ms": 5000},
	}); err != nil {
		return verdict{}, err
	}
	body := string(bytes.Repeat([]byte("0123456789abcdef"), bodyBytes/16))
	var group sync.WaitGroup
	complete, failed, broken := 0, 0, 0
	for range rounds {
		if trouble {
			time.AfterFunc(crashAfter, func() {
				mu.Lock()
				busiest := slices.MaxFunc(wo.engines, func(a, b *engine) int { return cmp.Compare(inProgress[a.id], inProgress[b.id]) })
				mu.Unlock()
				busiest.crash(2 * time.Second)
			})
		}
		for ix := range requests {
			group.Add(1)
			go func() {
				defer group.Done()
				id, ho := newID(), wo.hosts[ix%2]
				wo.note("client sends %s to %s", id, ho.name)
				re := send(ho.front, "POST", "/r/x", fieldsOf(id, 15000), body, 20*time.Second)
				mu.Lock()
				defer mu.Unlock()
				state := "no success"
				switch isSuccess := re.status/100 == 2 && re.err == nil; {
				case !isSuccess:
					failed++
				case bytes.Equal(whole[id], []byte(re.body)):
					state = "whole"
					complete++
				default:
					state = fmt.Sprintf("a success that looks complete, but has %d of the %d bytes of engine %s", len(re.body), len(whole[id]), ranAt[id])
					broken++
				}
				wo.note("client got for %s after %d ms: %v: %s", id, re.tookMS, re, state)
			}()
		}
		group.Wait()
		time.Sleep(pause)
	}
	return verdict{broken > 0, fmt.Sprintf("%d answers whole, %d no success, %d successes without the engine's whole body", complete, failed, broken)}, nil
}
