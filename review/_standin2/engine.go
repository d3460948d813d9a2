package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/textproto"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// run is a request that reached an engine.
type run struct {
	at     time.Time
	engine string
	id     string
	line   string // the request line as it arrived
	header http.Header
	body   []byte
}

// engine is a server of a service. It serves one request at a time on a connection.
type engine struct {
	world   *world
	id      string
	service string
	address string

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]struct{}
	born     int64
	sequence int64
	down     bool
	state    string
	stopBeat chan struct{}
}

func (wo *world) newEngine(id, service, ip string) (*engine, error) {
	en := &engine{world: wo, id: id, service: service, conns: map[net.Conn]struct{}{}, state: "ready"}
	listener, err := wo.listen(ip + ":0")
	if err != nil {
		return nil, err
	}
	en.address = listener.Addr().String()
	en.begin(listener)
	wo.engines = append(wo.engines, en)
	return en, nil
}

// listen opens the listener of an engine, with small windows if the case wants them.
func (wo *world) listen(address string) (net.Listener, error) {
	lc := net.ListenConfig{Control: func(_, _ string, rc syscall.RawConn) error {
		if wo.windowBytes == 0 {
			return nil
		}
		var set error
		if err := rc.Control(func(fd uintptr) {
			set = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, wo.windowBytes)
		}); err != nil {
			return err
		}
		return set
	}}
	return lc.Listen(context.Background(), "tcp", address)
}

// begin starts a lifetime of the engine.
func (en *engine) begin(listener net.Listener) {
	en.mu.Lock()
	en.listener, en.down = listener, false
	en.born, en.sequence = time.Now().UnixMilli(), 0
	en.stopBeat = make(chan struct{})
	stop := en.stopBeat
	en.mu.Unlock()
	en.beat()
	go func() {
		ticker := time.NewTicker(heartbeat)
		defer ticker.Stop()
		for {
			select {
			case <-stop:
				return
			case <-ticker.C:
				en.beat()
			}
		}
	}()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			en.mu.Lock()
			if en.down {
				en.mu.Unlock()
				_ = conn.Close()
				continue
			}
			en.conns[conn] = struct{}{}
			en.mu.Unlock()
			go en.serve(conn)
		}
	}()
}

// beat writes the entry of the engine to the store.
func (en *engine) beat() {
	en.mu.Lock()
	en.sequence++
	entry := map[string]any{
		"service": en.service, "address": en.address, "zone": "z1", "version": "1", "slots": 64,
		"state": en.state, "cold_remaining_ms": 0, "sequence": en.sequence, "born": en.born,
	}
	if en.world.model {
		entry["stage"] = "both"
		entry["models"] = []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}
	}
	en.mu.Unlock()
	en.world.currentStore().put("servers/"+en.id, entry)
}

// crash ends the engine's process: nothing listens any more and its connections end. It is
// back after a while, in a new lifetime. crash returns false if the engine was down already.
func (en *engine) crash(back time.Duration) bool {
	en.mu.Lock()
	if en.down {
		en.mu.Unlock()
		return false
	}
	en.down = true
	close(en.stopBeat)
	_ = en.listener.Close()
	for conn := range en.conns {
		_ = conn.Close()
	}
	en.conns = map[net.Conn]struct{}{}
	en.mu.Unlock()
	en.world.note("engine %s crashed", en.id)
	time.AfterFunc(back, func() {
		listener, err := en.world.listen(en.address)
		if err != nil {
			en.world.note("engine %s can't start again: %v", en.id, err)
			return
		}
		en.begin(listener)
		en.world.note("engine %s is back", en.id)
	})
	return true
}

func (en *engine) serve(conn net.Conn) {
	defer func() {
		en.mu.Lock()
		delete(en.conns, conn)
		en.mu.Unlock()
		_ = conn.Close()
	}()
	if en.world.raw != nil {
		en.world.raw(en, conn)
		return
	}
	reader := bufio.NewReader(conn)
	text := textproto.NewReader(reader)
	for {
		line, err := text.ReadLine()
		if err != nil {
			return
		}
		fields, err := text.ReadMIMEHeader()
		if err != nil {
			return
		}
		header := http.Header(fields)
		length, _ := strconv.Atoi(header.Get("Content-Length")) // hosts send bodies with a length
		body := make([]byte, length)
		if _, err := io.ReadFull(reader, body); err != nil {
			return
		}
		ru := run{at: time.Now(), engine: en.id, id: header.Get("Request-Id"), line: line, header: header, body: body}
		if en.isMisdirected(conn, header) {
			continue
		}
		if !en.world.handler(en, conn, ru) {
			return
		}
	}
}

// isMisdirected answers 421 to a request that expects another engine.
func (en *engine) isMisdirected(conn net.Conn, header http.Header) bool {
	want := header.Get("Expect-Instance")
	if want == "" || want == en.id {
		return false
	}
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: %s\r\nRequest-Id: %s\r\nContent-Length: 0\r\n\r\n", en.id, header.Get("Request-Id"))
	return true
}

// answer writes a whole answer with a length.
func answer(conn net.Conn, ru run, status int, body string) bool {
	_, err := fmt.Fprintf(conn, "HTTP/1.1 %d %s\r\nRequest-Id: %s\r\nUpstream-Signature: s.%s\r\nContent-Length: %d\r\n\r\n%s",
		status, http.StatusText(status), ru.id, ru.id, len(body), body)
	return err == nil
}
