package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["late-read"] = caseLateRead }

// caseLateRead: engines begin to stream before they have read a long body and read the rest
// 3 s later. Meanwhile a host gets SIGTERM. Without the disruption they read the body at once.
func caseLateRead(wo *world, trouble bool) (verdict, error) {
	const bodyBytes = 110_000
	const events, eventGap = 20, 200 * time.Millisecond
	const lateBy = 3 * time.Second
	wo.windowBytes = 32 << 10
	var mu sync.Mutex
	type served struct{ begun, complete bool }
	runs := map[string]*served{}
	wo.raw = func(en *engine, conn net.Conn) {
		rq, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil || en.isMisdirected(conn, rq.Header) {
			return
		}
		id := rq.Header.Get("Request-Id")
		se := &served{begun: true}
		mu.Lock()
		runs[id] = se
		mu.Unlock()
		wo.note("engine %s begins to answer %s", en.id, id)
		readAt := time.Now()
		if trouble {
			readAt = readAt.Add(lateBy)
		}
		read := make(chan int64, 1)
		go func() {
			time.Sleep(time.Until(readAt))
			count, _ := io.Copy(io.Discard, rq.Body)
			read <- count
		}()
		if _, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nUpstream-Signature: s.%s\r\nWeight-Versions: 1\r\nConnection: close\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", id, id); err != nil {
			return
		}
		for n := range events {
			text := fmt.Sprintf("id: %d\ndata: %s %d\n\n", n, id, n)
			if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(text), text); err != nil {
				wo.note("engine %s can't go on with %s at event %d: %v", en.id, id, n, err)
				return
			}
			time.Sleep(eventGap)
		}
		if _, err := io.WriteString(conn, "0\r\n\r\n"); err != nil {
			return
		}
		count := <-read
		mu.Lock()
		se.complete = true
		mu.Unlock()
		wo.note("engine %s answered %s whole and read %d bytes of the body", en.id, id, count)
	}
	if err := wo.deploy(deployment{
		engines: 4, service: "llm", model: true, hosts: 2,
		route: map[string]any{"kind": "streaming", "resumable": false, "max_attempts": 1, "timeout_ms": 15000, "target_latency_ms": 1000, "gap_aim_ms": 600},
	}); err != nil {
		return verdict{}, err
	}
	stopped := wo.hosts[0]
	body := string(make([]byte, bodyBytes))
	var group sync.WaitGroup
	cut := 0
	for ix := range 8 {
		group.Add(1)
		go func() {
			defer group.Done()
			time.Sleep(time.Duration(ix) * 20 * time.Millisecond)
			id, ho := newID(), wo.hosts[ix%2]
			wo.note("client sends %s to %s", id, ho.name)
			re := send(ho.front, "POST", "/r/x", append(fieldsOf(id, 15000), "Model: m", "Token-Usage: 1400,100", "Prompt-Prefix: 5a:1000,"+id+":400"), body, 20*time.Second)
			mu.Lock()
			defer mu.Unlock()
			wo.note("client got for %s from %s after %d ms: %v", id, ho.name, re.tookMS, re)
			// Counted at the stopped host only: the rule is about planned work.
			if ho == stopped && runs[id] != nil && (re.status == 0 || re.err != nil) {
				cut++
			}
		}()
	}
	time.Sleep(500 * time.Millisecond)
	wo.note("SIGTERM to %s", stopped.name)
	if err := stopped.process.Process.Signal(syscall.SIGTERM); err != nil {
		return verdict{}, err
	}
	group.Wait()
	return verdict{cut > 0, fmt.Sprintf("%d of 4 requests at the stopped host, passed on to a sound engine, ended without a complete answer", cut)}, nil
}
