package gateway_test

import (
	"fmt"
	"hash/crc32"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mangopaddle/mangopaddle/platform"
	"github.com/mangopaddle/mangopaddle/platform/fakeserver"
)

const (
	stutterCallers  = 6
	stutterRequests = 60 // of each caller
	// stutterDelay is how late a second answer is. The next request is often under way by then.
	stutterDelay = 5 * time.Millisecond
)

// stutterBody returns the only body that is the whole answer to a request. It is a stream, too.
func stutterBody(id string) string { return fmt.Sprintf("id: 1\ndata: %s\n\nid: 2\ndata: end\n\n", id) }

// stutterer is a server that breaks off some of its answers and writes some twice, at once or
// late. Late ones come between the answers to other requests.
type stutterer struct {
	mu sync.Mutex // held while an answer is written
}

// writeLate writes an answer some time later.
func (st *stutterer) writeLate(co *fakeserver.Conn, answer string) {
	time.AfterFunc(stutterDelay, func() {
		st.mu.Lock()
		defer st.mu.Unlock()
		co.Printf("%s", answer)
	})
}

// serve answers a request. Its ID decides how.
func (st *stutterer) serve(co *fakeserver.Conn, rq fakeserver.Request) bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	body := stutterBody(rq.ID)
	half := body[:strings.Index(body, "id: 2")]
	head := strings.TrimSuffix(answerHead(rq, http.StatusOK, signatureLine), "\r\n")
	framed := head + lengthLine(body) + "\r\n\r\n" + body
	unframed := head + "\r\n" + body
	switch crc32.ChecksumIEEE([]byte(rq.ID)) % 9 {
	case 0:
		co.Printf("%s%s", framed, framed)
	case 1:
		co.Printf("%s", framed)
		st.writeLate(co, framed)
	case 2:
		co.Printf("%s", framed)
		st.writeLate(co, unframed)
	case 3:
		co.Printf("%sTransfer-Encoding: chunked\r\n\r\n", head)
		co.WriteChunk(body)
		co.EndStream()
		st.writeLate(co, framed[:len(framed)/2])
	case 4:
		co.Printf("%s", unframed)
		_ = co.Close()
		return false
	case 5:
		co.Printf("%s\r\n%s", head, half)
		time.Sleep(time.Millisecond) // a reset drops what the host hasn't read
		co.Reset()
		return false
	case 6:
		co.Printf("%s%s\r\n\r\n%s", head, lengthLine(body), half)
		_ = co.Close()
		return false
	case 7:
		co.Printf("%sTransfer-Encoding: chunked\r\n\r\n", head)
		co.WriteChunk(half)
		_ = co.Close()
		return false
	default:
		co.Printf("%s", framed)
	}
	return true
}

// TestAnswersOfStutteringServersAreWholeAndTheCallersOwn guards against answers that are cut,
// or late second ones, and reach a caller as a whole answer to its request.
func TestAnswersOfStutteringServersAreWholeAndTheCallersOwn(t *testing.T) {
	start := func() []*fakeserver.Server {
		return []*fakeserver.Server{startServer(t, new(stutterer).serve), startServer(t, new(stutterer).serve), startServer(t, new(stutterer).serve)}
	}
	fx := newFixture(t, start(), start())
	paths := []string{idempotentPath, nonIdempotentPath, resumablePath, nonResumablePath}
	var group sync.WaitGroup
	var mu sync.Mutex
	whole, broken := 0, []string{}
	for caller := range stutterCallers {
		group.Go(func() {
			for number := range stutterRequests {
				id := fmt.Sprintf("r-%d-%d", caller, number)
				got := fx.post(paths[number%len(paths)], id, strings.Repeat("b", number*200))
				mu.Lock()
				switch {
				case got.err != nil || got.status != http.StatusOK:
				case got.body == stutterBody(id) && got.header.Get(platform.HeaderSignature) != "":
					whole++
				default:
					broken = append(broken, fmt.Sprintf("%s %s: %q", paths[number%len(paths)], id, got.body))
				}
				mu.Unlock()
			}
		})
	}
	group.Wait()
	require.Empty(t, broken)
	require.Greater(t, whole, stutterCallers*stutterRequests/2)
}
