package service_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	mp "github.com/mangopaddle/mangopaddle"
	"github.com/mangopaddle/mangopaddle/blackboard"
	"github.com/mangopaddle/mangopaddle/config"
	"github.com/mangopaddle/mangopaddle/platform/fakeserver"
	"github.com/mangopaddle/mangopaddle/service"
)

// firstID and secondID are request IDs as the router gives them.
const (
	firstID  = "req-6b29fc40-ca47-4067-b31d-00dd010662da"
	secondID = "req-0f8fad5b-d9cb-469f-a165-70867728950e"
)

// TestAnswerToAnotherCallIsNotReturned guards against an answer that a replica writes once more
// on a kept connection and that is taken for the one to the next call.
func TestAnswerToAnotherCallIsNotReturned(t *testing.T) {
	const answer = "HTTP/1.1 %d Status\r\n" + mp.HeaderRequestID + ": %s\r\nContent-Length: %d\r\n\r\n%s"
	for _, status := range []int{http.StatusOK, http.StatusServiceUnavailable} {
		server, stop, err := fakeserver.New(func(co *fakeserver.Conn, rq fakeserver.Request) bool {
			id := rq.Header.Get(mp.HeaderRequestID)
			if id == secondID && rq.ConnectionNumber == 1 {
				co.Printf(answer, status, firstID, 7, "earlier")
			}
			co.Printf(answer, http.StatusOK, id, len(id), id)
			return true
		})
		require.NoError(t, err)
		t.Cleanup(stop)
		client, closeClient := service.New()
		t.Cleanup(closeClient)
		replicas := []config.Replica{{Name: "a", Address: server.Address()}, {Name: "b", Address: server.Address()}}
		target := &blackboard.Service{Service: &config.Service{Name: "orders", Idempotent: true, Timeout: mp.Duration(10 * time.Second)}, Available: replicas}
		call := func(id string) string {
			response, err := client.Do(t.Context(), target, service.Call{Method: http.MethodGet, Path: "/", Header: http.Header{http.CanonicalHeaderKey(mp.HeaderRequestID): {id}}})
			require.NoError(t, err)
			return string(response.Body)
		}
		require.Equal(t, firstID, call(firstID))
		require.Equal(t, secondID, call(secondID), "status %d", status)
		require.Equal(t, 1, server.Requests()[1].ConnectionNumber, "the connection is kept")
	}
}

// TestAnswerWithAnIDOfItsOwnIsReturned guards against calls that run and get no answer because the service gives its answers IDs of its own.
func TestAnswerWithAnIDOfItsOwnIsReturned(t *testing.T) {
	for _, idempotent := range []bool{true, false} {
		server, stop, err := fakeserver.New(func(co *fakeserver.Conn, _ fakeserver.Request) bool {
			co.Printf("HTTP/1.1 200 OK\r\n" + mp.HeaderRequestID + ": " + firstID + "\r\nContent-Length: 3\r\n\r\nown")
			return true
		})
		require.NoError(t, err)
		t.Cleanup(stop)
		client, closeClient := service.New()
		t.Cleanup(closeClient)
		target := &blackboard.Service{Service: &config.Service{Name: "orders", Idempotent: idempotent, Timeout: mp.Duration(10 * time.Second)}, Available: []config.Replica{{Name: "a", Address: server.Address()}}}
		for range 3 {
			response, err := client.Do(t.Context(), target, service.Call{Method: http.MethodGet, Path: "/", Header: http.Header{http.CanonicalHeaderKey(mp.HeaderRequestID): {secondID}}})
			require.NoError(t, err)
			require.Equal(t, "own", string(response.Body))
		}
	}
}
