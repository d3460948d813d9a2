package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

var lastID atomic.Int64

// newID returns the identifier of a new client attempt.
func newID() string { return fmt.Sprintf("%08x%08x", time.Now().UnixNano()&0xffffffff, lastID.Add(1)) }

// reply is what a client got for a request.
type reply struct {
	status   int
	header   http.Header
	body     string
	err      error // of the connection or the framing
	tookMS   int64
	firstErr bool
}

func (re reply) String() string {
	if re.status == 0 {
		return fmt.Sprintf("no answer (%v)", re.err)
	}
	return fmt.Sprintf("status %d, signed %t, %d bytes, error %v", re.status, re.header.Get("Upstream-Signature") != "", len(re.body), re.err)
}

// send sends a request on a new channel and reads the whole answer.
func send(address, method, target string, fields []string, body string, timeout time.Duration) reply {
	began := time.Now()
	re := exchange(address, method, target, fields, body, timeout)
	re.tookMS = time.Since(began).Milliseconds()
	return re
}

func exchange(address, method, target string, fields []string, body string, timeout time.Duration) reply {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(timeout))
	text := method + " " + target + " HTTP/1.1\r\n" + strings.Join(fields, "\r\n") + "\r\n"
	if body != "" {
		text += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	if _, err := io.WriteString(conn, text+"\r\n"+body); err != nil {
		return reply{err: err}
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: method})
	if err != nil {
		return reply{err: err}
	}
	data, err := io.ReadAll(response.Body)
	return reply{status: response.StatusCode, header: response.Header, body: string(data), err: err}
}
