package http1_test

import (
	"bufio"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/mangopaddle/mangopaddle/http1"
)

// check parses a response and checks it.
func check(t *testing.T, raw string) error {
	t.Helper()
	response, err := http.ReadResponse(bufio.NewReader(strings.NewReader(raw)), nil)
	require.NoError(t, err)
	defer response.Body.Close()
	return http1.Check(response)
}

func TestSoundResponsePasses(t *testing.T) {
	for _, raw := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
		"HTTP/1.0 200\nx_!#$%&'*+-.^`|~9: any value, \tblanks: and bytes \xa0\n\n",
		"HTTP/1.1 100 Continue\r\n\r\n",
		"HTTP/1.1 599 Odd\r\n\r\n",
	} {
		require.NoError(t, check(t, raw), "%q", raw)
	}
}

func TestInvalidStatusIsRefused(t *testing.T) {
	for _, status := range []string{"000", "099", "+20", "101", "600", "999"} {
		require.ErrorIs(t, check(t, "HTTP/1.1 "+status+" Odd\r\n\r\n"), http1.ErrMalformed, status)
	}
}

func TestOtherVersionIsRefused(t *testing.T) {
	for _, version := range []string{"HTTP/0.9", "HTTP/2.0", "HTTP/9.9"} {
		require.ErrorIs(t, check(t, version+" 200 OK\r\n\r\n"), http1.ErrMalformed, version)
	}
}

func TestInvalidFieldNameIsRefused(t *testing.T) {
	for _, name := range []string{"X Filler", "X-Filler ", "Content-Length ", "Transfer-Encoding "} {
		require.ErrorIs(t, check(t, "HTTP/1.1 200 OK\r\n"+name+": 5\r\n\r\n"), http1.ErrMalformed, name)
	}
}

// TestEndsWithConnection covers the framings of RFC 9112, section 6.3.
func TestEndsWithConnection(t *testing.T) {
	head, err := http.NewRequest(http.MethodHead, "http://server/", nil)
	require.NoError(t, err)
	for _, fr := range []struct {
		raw     string
		request *http.Request
		want    bool
	}{
		{raw: "HTTP/1.1 200 OK\r\n\r\nbody", want: true},
		{raw: "HTTP/1.0 200 OK\r\n\r\n", want: true},
		{raw: "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody"},
		{raw: "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"},
		{raw: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"},
		{raw: "HTTP/1.1 204 No Content\r\n\r\n"},
		{raw: "HTTP/1.1 200 OK\r\n\r\n", request: head},
	} {
		response, err := http.ReadResponse(bufio.NewReader(strings.NewReader(fr.raw)), fr.request)
		require.NoError(t, err)
		require.Equal(t, fr.want, http1.EndsWithConnection(response), "%q", fr.raw)
		require.NoError(t, response.Body.Close())
	}
}
