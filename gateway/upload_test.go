package gateway_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mangopaddle/mangopaddle/platform/fakeserver"
)

// uploadBytes is the size of a body that the buffers of a connection don't take.
const uploadBytes = 8 << 20

// uploadRounds is how often a reset is played: which of two calls of the host gets its error
// is a matter of chance.
const uploadRounds = 10

// allowUploads sets the limit of bodies.
func (fx *fixture) allowUploads() {
	fx.configure(func(content map[string]any) {
		content["limits"].(map[string]any)["max_body_bytes"] = uploadBytes
	})
}

// resetAfter begins a response that has neither a length nor chunks, sends a part of its body
// and resets the connection.
func resetAfter(co *fakeserver.Conn, rq fakeserver.Request, part string) {
	co.BeginUnframed(rq)
	co.Printf("%s", part)
	time.Sleep(20 * time.Millisecond) // a reset drops what the host hasn't read
	co.Reset()
}

// TestCutResponseToAnUploadIsNotComplete plays servers that answer a long upload at once, with
// neither a length nor chunks, and reset the connection while the host still writes. What the
// caller has of the answer must not look complete.
func TestCutResponseToAnUploadIsNotComplete(t *testing.T) {
	upload := strings.Repeat("u", uploadBytes)
	for name, fault := range map[string]struct{ path, part string }{
		"buffered":         {nonIdempotentPath, "order confir"},
		"buffered, empty":  {nonIdempotentPath, ""},
		"partly relayed":   {nonIdempotentPath, strings.Repeat("x", 300<<10)},
		"stream":           {nonResumablePath, events(1, 2)},
		"stream, no event": {nonResumablePath, ""},
	} {
		t.Run(name, func(t *testing.T) {
			servers := []*fakeserver.Server{startServer(t, func(co *fakeserver.Conn, rq fakeserver.Request) bool {
				resetAfter(co, rq, fault.part)
				return false
			}, fakeserver.WithUnreadBodies())}
			fx := newFixture(t, servers, servers)
			fx.allowUploads()
			for round := range uploadRounds {
				got := fx.post(fault.path, fmt.Sprint("r-", round), upload)
				require.True(t, got.err != nil || got.status == http.StatusBadGateway, "round %d: status %d, %d bytes", round, got.status, len(got.body))
				require.Len(t, servers[0].Requests(), round+1, "the request may have run")
			}
		})
	}
}

// TestUploadWhoseResponseIsCutIsAskedForAgain plays the same on routes that allow a second
// attempt. The caller gets the whole answer.
func TestUploadWhoseResponseIsCutIsAskedForAgain(t *testing.T) {
	upload := strings.Repeat("u", uploadBytes)
	const last = 4
	var calls atomic.Int64
	handler := func(co *fakeserver.Conn, rq fakeserver.Request) bool {
		if calls.Add(1) == 1 {
			resetAfter(co, rq, events(1, 2))
			return false
		}
		co.ReadBody()
		co.BeginUnframed(rq)
		co.Printf("%s", events(rq.LastEventID()+1, last))
		return false
	}
	servers := []*fakeserver.Server{startServer(t, handler, fakeserver.WithUnreadBodies()), startServer(t, handler, fakeserver.WithUnreadBodies())}
	fx := newFixture(t, servers, servers)
	fx.allowUploads()
	for _, path := range []string{idempotentPath, resumablePath} {
		for round := range uploadRounds {
			calls.Store(0)
			got := fx.post(path, fmt.Sprint("r-", round), upload)
			require.NoError(t, got.err, path)
			require.Equal(t, http.StatusOK, got.status, path)
			require.Equal(t, events(1, last), got.body, "%s, round %d", path, round)
			require.Equal(t, int64(2), calls.Load())
		}
	}
}

// TestEarlyResponseToAnUploadIsRelayed guards against sound responses that count as cut because
// they begin, or end, before the server has read the upload.
func TestEarlyResponseToAnUploadIsRelayed(t *testing.T) {
	upload := strings.Repeat("u", uploadBytes)
	body := events(1, 3)
	for name, respond := range map[string]func(co *fakeserver.Conn, rq fakeserver.Request){
		"length": func(co *fakeserver.Conn, rq fakeserver.Request) { co.Respond(rq, http.StatusOK, body) },
		"chunks": func(co *fakeserver.Conn, rq fakeserver.Request) {
			co.BeginStream(rq)
			co.WriteChunk(body)
			co.EndStream()
		},
		"ends with the connection": func(co *fakeserver.Conn, rq fakeserver.Request) {
			co.BeginUnframed(rq)
			co.Printf("%s", body)
		},
		"ends while the server reads on": func(co *fakeserver.Conn, rq fakeserver.Request) {
			co.BeginUnframed(rq)
			co.Printf("%s", body)
			co.CloseWrite()
		},
	} {
		t.Run(name, func(t *testing.T) {
			read := make(chan int64, 1)
			servers := []*fakeserver.Server{startServer(t, func(co *fakeserver.Conn, rq fakeserver.Request) bool {
				respond(co, rq)
				time.Sleep(20 * time.Millisecond)
				read <- co.ReadBody()
				return false
			}, fakeserver.WithUnreadBodies())}
			fx := newFixture(t, servers, servers)
			fx.allowUploads()
			for _, path := range []string{nonIdempotentPath, nonResumablePath} {
				got := fx.post(path, "r-1", upload)
				require.NoError(t, got.err, path)
				require.Equal(t, http.StatusOK, got.status, path)
				require.Equal(t, body, got.body, path)
				<-read
			}
		})
	}
}
