package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"
)

// call is one client attempt with its answer.
type call struct {
	id     string
	host   *host
	sentAt time.Time
	method string
	path   string
	header map[string]string
	body   string
	// leaveAfter is when the client ends its side of the channel; it reads on until the
	// host has closed the other one. Zero for never.
	leaveAfter time.Duration

	doneAt   time.Time
	status   int  // zero for none
	signed   bool // bears an Upstream-Signature
	complete bool // the answer came to its end
	events   []string
	err      error
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

const clientHost = "ficu95.example"

// send makes a client attempt on a new channel and reads the answer.
func (wo *world) send(ca *call, deadline time.Duration) {
	ca.id, ca.sentAt = newID(), time.Now()
	defer func() {
		ca.doneAt = time.Now()
		wo.recordAt(ca.sentAt, "client sends %s %s %s to %s %v", ca.id, ca.method, ca.path, ca.host.name, ca.header)
		wo.recordAt(ca.doneAt, "client got %s status=%d signed=%t complete=%t events=%d err=%v", ca.id, ca.status, ca.signed, ca.complete, len(ca.events), ca.err)
	}()
	conn, err := net.DialTimeout("tcp", ca.host.front, time.Second)
	if err != nil {
		ca.err = err
		return
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(deadline))
	var text strings.Builder
	fmt.Fprintf(&text, "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n", ca.method, ca.path, clientHost, ca.id, deadline.Milliseconds())
	for name, value := range ca.header {
		fmt.Fprintf(&text, "%s: %s\r\n", name, value)
	}
	fmt.Fprintf(&text, "Content-Length: %d\r\n\r\n%s", len(ca.body), ca.body)
	if _, err := io.WriteString(conn, text.String()); err != nil {
		ca.err = err
		return
	}
	if ca.leaveAfter > 0 {
		timer := time.AfterFunc(ca.leaveAfter, func() {
			wo.record("client leaves %s", ca.id)
			_ = conn.(*net.TCPConn).CloseWrite()
		})
		defer timer.Stop()
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		ca.err = err
		return
	}
	defer func() { _ = response.Body.Close() }()
	ca.status, ca.signed = response.StatusCode, response.Header.Get("Upstream-Signature") != ""
	data, err := io.ReadAll(response.Body)
	ca.err, ca.complete = err, err == nil
	if ca.status == http.StatusOK && strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream") {
		for _, block := range strings.SplitAfter(string(data), "\n\n") {
			if strings.HasSuffix(block, "\n\n") {
				ca.events = append(ca.events, block)
			}
		}
	}
}

// every calls a function at a regular interval until a time, each in a goroutine of its
// own, and waits for all.
func every(interval time.Duration, until time.Time, act func(number int)) {
	done := make(chan struct{})
	running := 0
	for number := 0; time.Now().Before(until); number++ {
		running++
		go func() {
			act(number)
			done <- struct{}{}
		}()
		time.Sleep(interval)
		for drained := false; !drained; {
			select {
			case <-done:
				running--
			default:
				drained = true
			}
		}
	}
	for ; running > 0; running-- {
		<-done
	}
}
