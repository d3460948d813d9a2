package main

import (
	"bufio"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"
)

// engineSettings are those of one engine process.
type engineSettings struct {
	id, listen string
	// plain is an application service that answers with a body; otherwise the engine
	// streams events.
	plain bool
	// framing of streams: "chunked", or "unframed" for one that ends with its channel.
	framing string
	// first and gap are the times to the first event and between two.
	first, gap time.Duration
	// deadly is a part of prompts that ends the engine once it has written the first event
	// of an answer on it.
	deadly string
}

// idleTimeout is how long a channel stays open without a request. Keep-Alive states it.
const idleTimeout = 10 * time.Second

// tokensPerEvent is how many tokens an event of a stream holds.
const tokensPerEvent = 5

// runEngine is an engine: it prints what it receives and does, a line each.
func runEngine(args []string) {
	var se engineSettings
	set := flag.NewFlagSet("engine", flag.ExitOnError)
	set.StringVar(&se.id, "id", "", "")
	set.StringVar(&se.listen, "listen", "", "")
	set.BoolVar(&se.plain, "plain", false, "")
	set.StringVar(&se.framing, "framing", "chunked", "")
	set.DurationVar(&se.first, "first", 60*time.Millisecond, "")
	set.DurationVar(&se.gap, "gap", 60*time.Millisecond, "")
	set.StringVar(&se.deadly, "deadly", "", "")
	_ = set.Parse(args)
	listener, err := net.Listen("tcp", se.listen)
	if err != nil {
		fmt.Println("failed", err)
		os.Exit(exitNotRun)
	}
	fmt.Println("listening")
	for {
		conn, err := listener.Accept()
		if err != nil {
			os.Exit(exitNotRun)
		}
		go se.serve(conn)
	}
}

func (se engineSettings) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		_ = conn.SetReadDeadline(time.Now().Add(idleTimeout))
		rq, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_ = conn.SetReadDeadline(time.Time{})
		if _, err := io.Copy(io.Discard, rq.Body); err != nil {
			return
		}
		if !se.answer(conn, reader, rq) {
			return
		}
	}
}

// answer answers one request and reports whether the channel stays open.
func (se engineSettings) answer(conn net.Conn, reader *bufio.Reader, rq *http.Request) bool {
	id := rq.Header.Get("Request-Id")
	if expected := rq.Header.Get("Expect-Instance"); expected != "" && expected != se.id {
		_, err := fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: %s\r\nInstance-Id: %s\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", id, se.id)
		return err == nil
	}
	if rq.URL.Path == "/healthz" {
		_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n", se.id)
		return err == nil
	}
	prefix := rq.Header.Get("Prompt-Prefix")
	fmt.Printf("arrive %s path=%s prefix=%s after=%s tenant=%s key=%t\n", id, rq.URL.Path, prefix, rq.Header.Get("Last-Event-Id"), rq.Header.Get("Tenant"), rq.Header.Get("Authorization") != "")
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nUpstream-Signature: %s.%s\r\n", id, se.id, id)
	if se.plain {
		time.Sleep(se.first)
		body := strings.Repeat("x", 800)
		fmt.Printf("ran %s\n", id)
		_, err := fmt.Fprintf(conn, "%sKeep-Alive: timeout=%d\r\nContent-Length: %d\r\n\r\n%s", head, int(idleTimeout.Seconds()), len(body), body)
		return err == nil
	}
	return se.stream(conn, reader, rq, head)
}

// stream answers with the events that follow Last-Event-Id.
func (se engineSettings) stream(conn net.Conn, reader *bufio.Reader, rq *http.Request, head string) bool {
	id := rq.Header.Get("Request-Id")
	last, _ := strconv.Atoi(rq.Header.Get("Last-Event-Id")) // none: from the beginning
	events := eventCount(rq.Header.Get("Token-Usage"))
	head += "Weight-Versions: 1\r\nContent-Type: text/event-stream\r\n"
	if last >= events { // nothing is left
		_, err := fmt.Fprintf(conn, "%sContent-Length: 0\r\n\r\n", head)
		return err == nil
	}
	gone := make(chan struct{})
	go func() { // an engine drops a request when its channel closes
		_, _ = reader.Peek(1)
		close(gone)
	}()
	unframed := se.framing == "unframed"
	if unframed {
		head += "Connection: close\r\n\r\n"
	} else {
		head += fmt.Sprintf("Keep-Alive: timeout=%d\r\nTransfer-Encoding: chunked\r\n\r\n", int(idleTimeout.Seconds()))
	}
	wait := se.first
	for number := last + 1; number <= events; number++ {
		select {
		case <-time.After(wait):
		case <-gone:
			fmt.Printf("dropped %s after=%d\n", id, number-1)
			return false
		}
		wait = se.gap
		event := fmt.Sprintf("id: %d\ndata: piece %d of %s\n\n", number, number, id)
		if !unframed {
			event = fmt.Sprintf("%x\r\n%s\r\n", len(event), event)
		}
		if _, err := io.WriteString(conn, head+event); err != nil {
			fmt.Printf("dropped %s after=%d\n", id, number-1)
			return false
		}
		head = ""
		if se.deadly != "" && strings.Contains(rq.Header.Get("Prompt-Prefix"), se.deadly+":") {
			fmt.Printf("crash %s\n", id)
			os.Exit(exitBroken)
		}
	}
	fmt.Printf("ran %s\n", id)
	if unframed {
		return false
	}
	if _, err := io.WriteString(conn, "0\r\n\r\n"); err != nil {
		return false
	}
	_ = conn.SetReadDeadline(time.Now().Add(idleTimeout))
	<-gone // the next request, or the end of the channel
	return true
}

// eventCount returns the number of events of an answer, from the value of Token-Usage.
func eventCount(usage string) int {
	_, out, _ := strings.Cut(usage, ",")
	tokens, _ := strconv.Atoi(out)
	return max(1, tokens/tokensPerEvent)
}
